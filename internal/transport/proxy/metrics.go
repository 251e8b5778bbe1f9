package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/resume"
	"chervilhead/internal/transport/guard"
)

// Metrics counts a handler's requests and measures their time to the first event.
type Metrics struct {
	requests         *prometheus.CounterVec
	timeToFirstEvent *prometheus.HistogramVec
	rateLimits       *prometheus.CounterVec
	notices          *prometheus.CounterVec
	late             *prometheus.CounterVec
	crashReports     *prometheus.CounterVec
	trials           *prometheus.CounterVec
	brokenConns      *prometheus.CounterVec
	keys             keyMetrics
	ramp             *rampMetrics
	quotaRefusals    *prometheus.CounterVec
	yields           prometheus.Counter
	retries          *prometheus.CounterVec
	gateways         prometheus.Gauge
	resumptions      *prometheus.CounterVec
	recordWaits      *prometheus.HistogramVec
}

// NewMetrics registers the metrics of a handler with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_requests_total", Help: "Requests by route kind, status and outcome.",
		}, []string{"kind", "status", "outcome"}),
		timeToFirstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilhead_gateway_first_seconds", Help: "Time to the first event or the whole plain answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"kind"}),
		rateLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_rate_limits_total", Help: "Rate limits that endpoints named, withdrew or gave in an unreadable form, by service.",
		}, []string{"service", "event"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_notices_total", Help: "Answers in which endpoints say that they leave or ask for a pause, or do so in an unreadable form, by service.",
		}, []string{"service", "event"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_late_total", Help: "Answered requests that missed a latency objective of their route, by route kind and objective.",
		}, []string{"kind", "objective"}),
		crashReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_crash_records_total", Help: "News of requests that may crash endpoints, by source: this gateway's own attempts or reports received from others.",
		}, []string{"source"}),
		brokenConns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_broken_connections_total", Help: "Connections to endpoints that broke under a request, by whether the endpoint had ended.",
		}, []string{"ended"}),
		trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_trials_total", Help: "Trials of blocked requests that this gateway began, those that were answered and those that crashed an endpoint.",
		}, []string{"event"}),
		quotaRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_quota_refusals_total", Help: "Requests that their group's quota refused, by reason.",
		}, []string{"reason"}),
		yields: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilhead_quota_yields_total", Help: "Requests sent with the last priority because their group uses more than its share.",
		}),
	}
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilhead_gateway_retries_total", Help: "Retries asked of the retry budgets, by service and result.",
	}, []string{"service", "result"})
	m.gateways = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "chervilhead_gateway_sharers", Help: "Number of gateways by which this one divided the slack of the retry budget at its last retry.",
	})
	reg.MustRegister(m.retries, m.gateways)
	m.ramp = newRampMetrics(reg)
	m.keys = newKeyMetrics(reg)
	reg.MustRegister(m.requests, m.timeToFirstEvent, m.rateLimits, m.notices, m.late, m.crashReports, m.trials, m.brokenConns, m.quotaRefusals, m.yields)
	m.resumptions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilhead_gateway_resumptions_total", Help: "Resumptions of streams that were rejected, or went to another endpoint than a new stream, for their software version, by service and reason.",
	}, []string{"service", "reason"})
	m.recordWaits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "chervilhead_gateway_record_wait_seconds", Help: "Time for which the first event of a stream waited until the stream's record was kept, in seconds, by result.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 7),
	}, []string{"result"})
	reg.MustRegister(m.resumptions, m.recordWaits)
	return m
}

// outcomeAnswered is the outcome of a request whose caller got an endpoint's whole response.
const outcomeAnswered = "answered"

// recordOutcome counts a request in the metrics and logs how it ended.
func (h *Handler) recordOutcome(c *call) {
	kind := c.route.Kind.String()
	label, _, _ := strings.Cut(c.outcome, ":")
	h.metrics.requests.WithLabelValues(kind, strconv.Itoa(c.status), label).Inc()
	if c.timeToFirstEvent > 0 {
		h.metrics.timeToFirstEvent.WithLabelValues(kind).Observe(c.timeToFirstEvent.Seconds())
	}
	late := ""
	if c.outcome == outcomeAnswered {
		late = c.lateReason()
	}
	if late != "" {
		h.metrics.late.WithLabelValues(kind, late).Inc()
	}
	h.log.WithFields(c.access.fields()).WithFields(c.memoryFields()).WithFields(c.resumptionFields()).WithFields(logrus.Fields{
		"late": late, "gap_ms": c.longestGap.Milliseconds(),
		"request": c.id, "route": c.route.Name, "group": c.group.Name, "name": c.req.ModelName.String(), "endpoint": c.choice.ID, "candidates": c.choice.CandidateCount,
		"estimate_ms": c.choice.Estimate.Milliseconds(), "unread": c.choice.PrefillTokens, "backlog": c.choice.BacklogTokens, "start_wait_ms": c.choice.StartWait.Milliseconds(), "fetch": c.choice.LoadAdapter,
		"report_age_ms": c.reportAge.Milliseconds(), "config": c.configVersion, "left_ms": time.Until(c.deadline).Milliseconds(),
		"tries": c.attempts, "runs": c.possibleRuns, "status": c.status, "outcome": c.outcome,
		"framing": c.framing, "partial_event_bytes": c.partialEventBytes,
		"first_ms": c.timeToFirstEvent.Milliseconds(), "took_ms": time.Since(c.began).Milliseconds(),
	}).Info("request ended")
}

// resumptionFields returns what a resumption went by.
func (c *call) resumptionFields() logrus.Fields {
	if c.resumes == nil {
		return nil
	}
	fields := logrus.Fields{"record": string(c.resumes.Source), "record_version": c.resumes.Record.Version, "settled": c.resumes.Settled, "version": c.version}
	if named, ok := c.resumes.Mention.(resume.Named); ok {
		fields["resumes"] = named.ID
	}
	return fields
}

// memoryFields returns what clients held when a request was refused for want of memory.
func (c *call) memoryFields() logrus.Fields {
	s, ok := guard.Held(c.in)
	if !ok || c.outcome != "memory" && c.outcome != "body_stalled" {
		return nil
	}
	return logrus.Fields{"client_bytes": s.Bytes, "client_large_bytes": s.LargeBytes, "client_connections": s.Connections, "body_bytes": c.in.ContentLength}
}

// logFailedAttempt logs an attempt that didn't end the request.
func (h *Handler) logFailedAttempt(c *call, res attemptFailed) {
	h.log.WithFields(logrus.Fields{
		"request": c.id, "endpoint": c.choice.ID, "may_have_run": res.mayHaveRun, "why": res.reason,
		"estimate_ms": c.choice.Estimate.Milliseconds(), "report_age_ms": c.reportAge.Milliseconds(),
		"took_ms": time.Since(c.began).Milliseconds(),
	}).Info("attempt failed")
}
