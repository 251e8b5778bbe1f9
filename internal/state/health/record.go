package health

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the record decays by half, so that an endpoint that
	// failed is tried again after some seconds.
	halfLife = 4 * time.Second
	// resultWeight is the weight of one result in the moving average of the failure rate.
	resultWeight = 0.25
	// latencyWeight is the weight of one latency in the moving average of logLatencyRatio.
	latencyWeight = 0.2
	// minLatencyRatio is the lowest ratio that one measured latency counts as.
	minLatencyRatio = 0.5
	// maxLatencyRatio is the highest ratio that one measured latency counts as.
	maxLatencyRatio = 12
	// initialBackoff is how long an endpoint is left out after a connection failure; it doubles
	// with each further one, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Record is the health record of one endpoint. The zero value is that of a new endpoint,
// which is taken to be healthy.
type Record struct {
	failureRate float64
	// logLatencyRatio is the moving average of the logarithm of measured over estimated latency.
	logLatencyRatio float64
	updatedAt       time.Time
	backoffUntil    time.Time
	connectFailures int
}

func (r Record) decayed(now time.Time) Record {
	if !r.updatedAt.IsZero() && now.After(r.updatedAt) {
		factor := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(halfLife))
		r.failureRate *= factor
		r.logLatencyRatio *= factor
	}
	r.updatedAt = now
	return r
}

// WithResult returns the record after a request that the endpoint answered (ok) or failed.
func (r Record) WithResult(ok bool, now time.Time) Record {
	r = r.decayed(now)
	if ok {
		r.failureRate *= 1 - resultWeight
		r.connectFailures, r.backoffUntil = 0, time.Time{}
		return r
	}
	r.failureRate += resultWeight * (1 - r.failureRate)
	return r
}

// WithLatency returns the record after a request whose latency was estimated beforehand.
func (r Record) WithLatency(measured, estimate time.Duration, now time.Time) Record {
	if measured <= 0 || estimate <= 0 {
		return r
	}
	r = r.decayed(now)
	logRatio := math.Log(min(maxLatencyRatio, max(minLatencyRatio, float64(measured)/float64(estimate))))
	r.logLatencyRatio += latencyWeight * (logRatio - r.logLatencyRatio)
	return r
}

// WithConnectFailure returns the record after a failure to open a connection to the endpoint.
func (r Record) WithConnectFailure(now time.Time) Record {
	r = r.WithResult(false, now)
	r.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(r.connectFailures, 8)))
	r.connectFailures++
	return r
}

// Reachable reports whether the endpoint may be tried: it is not backing off after a
// connection failure.
func (r Record) Reachable(now time.Time) bool { return !now.Before(r.backoffUntil) }

// FailureRate returns the fraction of requests that the endpoint fails, 0 to 1.
func (r Record) FailureRate(now time.Time) float64 { return r.decayed(now).failureRate }

// LatencyRatio returns the endpoint's latency as a multiple of the estimate; 1 is as estimated.
func (r Record) LatencyRatio(now time.Time) float64 { return math.Exp(r.decayed(now).logLatencyRatio) }
