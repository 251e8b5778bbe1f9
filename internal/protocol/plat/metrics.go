package plat

import (
	"errors"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/coordination/store"
)

// Metrics counts calls to the platform's services; a nil *Metrics counts nothing.
type Metrics struct {
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

// NewMetrics registers the metrics of a client.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilhead", Subsystem: "platform", Name: "calls_total",
		Help: "Calls to the platform's services by service, operation, cause and result.",
	}, []string{"service", "operation", "cause", "result"})}
	m.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilhead", Subsystem: "platform", Name: "bytes_total",
		Help: "Bytes of the bodies exchanged with the platform's services by service and direction.",
	}, []string{"service", "direction"})
	reg.MustRegister(m.calls, m.bytes)
	return m
}

// cause returns the kind of row that a key stands for: its first segment, and for leases
// the second too, because planner and endpoint leases differ in cost.
func cause(key string) string {
	kind, rest, _ := strings.Cut(key, "/")
	if kind == "lease" {
		sub, _, _ := strings.Cut(rest, "/")
		return kind + "/" + sub
	}
	return kind
}

// causeOfTxn returns the cause of a transaction: that of the first row written, or none.
func causeOfTxn(t store.Txn) string {
	for _, w := range t.Writes {
		return cause(w.Key)
	}
	return "none"
}

func (m *Metrics) count(service, operation, cause string, err error) {
	if m == nil {
		return
	}
	result := "ok"
	switch {
	case errors.Is(err, store.ErrConflict):
		result = "conflict"
	case errors.Is(err, store.ErrNotFound):
		result = "absent"
	case err != nil:
		result = "error"
	}
	m.calls.WithLabelValues(service, operation, cause, result).Inc()
}

func (m *Metrics) addBytes(service string, sent, received int) {
	if m == nil {
		return
	}
	m.bytes.WithLabelValues(service, "sent").Add(float64(sent))
	m.bytes.WithLabelValues(service, "received").Add(float64(received))
}
