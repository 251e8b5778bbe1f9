package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Metrics are the counters of a handler.
type Metrics struct {
	requests *prometheus.CounterVec
	first    *prometheus.HistogramVec
}

// NewMetrics registers the counters of a handler.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_requests_total", Help: "Requests by route kind, status and outcome.",
		}, []string{"kind", "status", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilhead_gateway_first_seconds", Help: "Time to the first event or the whole plain answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"kind"}),
	}
	reg.MustRegister(m.requests, m.first)
	return m
}

// note counts a request and writes its line.
func (h *Handler) note(c *call) {
	kind := c.route.Kind.String()
	label, _, _ := strings.Cut(c.outcome, ":")
	h.met.requests.WithLabelValues(kind, strconv.Itoa(c.status), label).Inc()
	if c.first > 0 {
		h.met.first.WithLabelValues(kind).Observe(c.first.Seconds())
	}
	h.log.WithFields(logrus.Fields{
		"request": c.id, "route": c.route.Name, "name": c.req.ModelName.String(), "endpoint": c.choice.ID, "candidates": c.choice.CandidateCount,
		"estimate_ms": c.choice.Estimate.Milliseconds(), "unread": c.choice.PrefillTokens, "backlog": c.choice.BacklogTokens, "fetch": c.choice.LoadAdapter,
		"report_age_ms": c.reportAge.Milliseconds(), "config": c.config, "left_ms": time.Until(c.limit).Milliseconds(),
		"tries": c.tries, "runs": c.runs, "status": c.status, "outcome": c.outcome,
		"first_ms": c.first.Milliseconds(), "took_ms": time.Since(c.began).Milliseconds(),
	}).Info("request ended")
}

// noteAttempt writes a line on an attempt that didn't end the request.
func (h *Handler) noteAttempt(c *call, v another) {
	h.log.WithFields(logrus.Fields{
		"request": c.id, "endpoint": c.choice.ID, "may_have_run": v.ran, "why": v.reason,
		"estimate_ms": c.choice.Estimate.Milliseconds(), "report_age_ms": c.reportAge.Milliseconds(),
		"took_ms": time.Since(c.began).Milliseconds(),
	}).Info("attempt failed")
}
