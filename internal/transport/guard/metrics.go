package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/state/intake"
)

// Metrics counts the clients that are refused or shed, and measures what clients hold.
type Metrics struct {
	reg      prometheus.Registerer
	refusals *prometheus.CounterVec
	shed     *prometheus.CounterVec
}

// NewMetrics registers the metrics of all guards of a process with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		reg: reg,
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_client_refusals_total", Help: "Connections, heads, bodies and answers of clients for which there was no memory or connection left, by listener.",
		}, []string{"listener", "what"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_client_shed_total", Help: "Connections of clients that were ended to make room for others, by listener and what they did.",
		}, []string{"listener", "phase"}),
	}
	reg.MustRegister(m.refusals, m.shed)
	return m
}

// follow measures what the clients of a listener hold.
func (m *Metrics) follow(name string, l *intake.Ledger) {
	if m == nil {
		return
	}
	gauge := func(metric, help string, value func(intake.State) float64) {
		m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: metric, Help: help, ConstLabels: prometheus.Labels{"listener": name},
		}, func() float64 { return value(l.State()) }))
	}
	gauge("chervilhead_client_bytes", "Memory that counts for clients, in bytes.", func(s intake.State) float64 { return float64(s.Bytes) })
	gauge("chervilhead_client_large_bytes", "Part of the memory for clients that large bodies take, in bytes.", func(s intake.State) float64 { return float64(s.LargeBytes) })
	gauge("chervilhead_client_connections", "Open connections of clients.", func(s intake.State) float64 { return float64(s.Connections) })
}

func (m *Metrics) countRefusal(name, reason string) {
	if m != nil {
		m.refusals.WithLabelValues(name, reason).Inc()
	}
}

func (m *Metrics) countShed(name string, p intake.Phase) {
	if m != nil {
		m.shed.WithLabelValues(name, p.String()).Inc()
	}
}
