package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/state/fault"
)

// Metrics counts an agent's attempts, orders and resumed answers; a nil *Metrics does nothing.
type Metrics struct {
	attempts  *prometheus.CounterVec
	queueWait prometheus.Histogram
	orders    *prometheus.CounterVec
	resumes   *prometheus.CounterVec
}

// NewMetrics registers the metrics of an agent.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "agent", Name: "attempts_total", Help: "Ended attempts by outcome.",
		}, []string{"outcome"}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "chervilhead", Subsystem: "agent", Name: "queue_wait_seconds",
			Help: "Time that an attempt queued before its start.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "agent", Name: "orders_total", Help: "Orders sent to the engine, by kind.",
		}, []string{"kind"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "agent", Name: "engine_resumes_total",
			Help: "Broken connections to the engine by what came of resuming the answer.",
		}, []string{"result"}),
	}
	reg.MustRegister(m.attempts, m.queueWait, m.orders, m.resumes)
	return m
}

func (m *Metrics) attemptEnded(o fault.Outcome) {
	if m != nil {
		m.attempts.WithLabelValues(string(o)).Inc()
	}
}

func (m *Metrics) attemptStarted(wait time.Duration) {
	if m != nil {
		m.queueWait.Observe(wait.Seconds())
	}
}

func (m *Metrics) orderSent(kind string) {
	if m != nil {
		m.orders.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) resumeEnded(result string) {
	if m != nil {
		m.resumes.WithLabelValues(result).Inc()
	}
}

// endpointGauge is a gauge whose value is read from the agent when it is collected.
type endpointGauge struct {
	name, help string
	value      func(a *Agent) int64
}

var endpointGauges = []endpointGauge{
	{"queue_length", "Attempts queued before the engine.", func(a *Agent) int64 { return int64(a.Status().Endpoint.Queued) }},
	{"running", "Attempts running on the engine.", func(a *Agent) int64 { return int64(a.Status().Endpoint.Running) }},
	{"engine_memory_used_bytes", "Accelerator memory used, as the engine last reported it.", func(a *Agent) int64 { return a.Status().Endpoint.MemoryUsedBytes }},
	{"engine_memory_total_bytes", "Accelerator memory of the engine.", func(a *Agent) int64 { return a.Status().Endpoint.MemoryTotalBytes }},
	{"models_resident", "Models ready on the engine.", func(a *Agent) int64 { return int64(len(a.Status().Endpoint.Models)) }},
	{"engine_restarts", "Restarts of the engine, as it last reported them.", func(a *Agent) int64 { return int64(a.Status().Endpoint.Restarts) }},
	{"attempts_kept", "Attempts and tombstones in memory.", func(a *Agent) int64 { return int64(a.attemptCount()) }},
}

// RegisterMetrics registers gauges of the agent's current state.
func (a *Agent) RegisterMetrics(reg prometheus.Registerer) {
	for _, g := range endpointGauges {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "chervilhead", Subsystem: "agent", Name: g.name, Help: g.help,
		}, func() float64 { return float64(g.value(a)) }))
	}
}

func (a *Agent) attemptCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.attempts)
}
