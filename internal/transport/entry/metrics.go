package entry

import (
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/route"
)

// Metrics are the request metrics of an entry; nil disables them. Groups are rows of the
// operators' table, which bounds the number of label values.
type Metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	firstToken    *prometheus.HistogramVec
	itemGaps      prometheus.Histogram
	choices       *prometheus.CounterVec
	promptTokens  *prometheus.CounterVec
	prefixDigests prometheus.Gauge
}

// NewMetrics returns the metrics of an entry, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "entry", Name: "requests_total",
			Help: "Dispatched requests by group, kind and outcome.",
		}, []string{"group", "kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "entry", Name: "attempts_total",
			Help: "Attempts at agents by outcome.",
		}, []string{"outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilhead", Subsystem: "entry", Name: "retries_total",
			Help: "Attempts after the first one of a request, by group.",
		}, []string{"group"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilhead", Subsystem: "entry", Name: "first_token_seconds",
			Help: "Time from dispatch to the first item of a stream.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"group"}),
		itemGaps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "chervilhead", Subsystem: "entry", Name: "between_items_seconds",
			Help: "Time between deliveries of a stream's items.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
	}
	m.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilhead", Subsystem: "entry", Name: "choices_total",
		Help: "Endpoint choices by the deciding reason.",
	}, []string{"reason"})
	m.promptTokens = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilhead", Subsystem: "entry", Name: "prompt_tokens_total",
		Help: "Prompt tokens of attempts: all and cached tokens as reported by engines, and the tokens that the entry expected to be cached.",
	}, []string{"kind"})
	m.prefixDigests = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "chervilhead", Subsystem: "entry", Name: "prefix_marks",
		Help: "Prompt prefixes in the entry's prefix index.",
	})
	reg.MustRegister(m.requests, m.attempts, m.retries, m.firstToken, m.itemGaps, m.choices, m.promptTokens, m.prefixDigests)
	return m
}

// meter records the metrics of one request.
type meter struct {
	m        *Metrics
	req      *request
	started  time.Time
	lastItem time.Time
	attempts int
}

func (m *Metrics) startMeter(req *request) *meter { return &meter{m: m, req: req, started: time.Now()} }

// sink returns a sink that also records the latencies of a stream's items.
func (t *meter) sink(out sink) sink {
	if t.m == nil || !t.req.stream {
		return out
	}
	return func(items []json.RawMessage) error {
		now := time.Now()
		if t.lastItem.IsZero() {
			t.m.firstToken.WithLabelValues(t.req.group).Observe(now.Sub(t.started).Seconds())
		} else {
			t.m.itemGaps.Observe(now.Sub(t.lastItem).Seconds())
		}
		t.lastItem = now
		return out(items)
	}
}

// recordAttempt counts an attempt by its outcome.
func (t *meter) recordAttempt(o fault.Outcome) {
	if t.m == nil {
		return
	}
	if t.attempts++; t.attempts > 1 {
		t.m.retries.WithLabelValues(t.req.group).Inc()
	}
	t.m.attempts.WithLabelValues(string(o)).Inc()
}

// recordOutcome counts the request by its outcome and returns the result.
func (t *meter) recordOutcome(r result) result {
	if t.m == nil {
		return r
	}
	t.m.requests.WithLabelValues(t.req.group, string(t.req.kind), string(r.outcome)).Inc()
	return r
}

// recordPromptTokens counts the prompt tokens of an attempt if its engine reported them.
func (t *meter) recordPromptTokens(c route.Candidate, u *wire.Usage) {
	if t.m == nil || u == nil {
		return
	}
	t.m.promptTokens.WithLabelValues("all").Add(float64(u.PromptTokens))
	t.m.promptTokens.WithLabelValues("cached").Add(float64(u.CachedTokens))
	t.m.promptTokens.WithLabelValues("expected_cached").Add(float64(min(c.CachedTokens, c.PromptTokens)))
}

// recordChoice counts an endpoint choice by its deciding reason.
func (m *Metrics) recordChoice(reason string) {
	if m != nil {
		m.choices.WithLabelValues(reason).Inc()
	}
}

// setPrefixDigests sets the number of prefix digests in the entry's index.
func (m *Metrics) setPrefixDigests(n int) {
	if m != nil {
		m.prefixDigests.Set(float64(n))
	}
}
