package health

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which experience loses half of its weight, so that an
	// endpoint that failed is tried again after some seconds.
	halfLife = 4 * time.Second
	// failWeight is the weight of one result in the failure share.
	failWeight = 0.25
	// paceWeight is the weight of one measured latency in the pace.
	paceWeight = 0.2
	// minPace and maxPace bound how far a single endpoint is thought to be off the estimate.
	minPace = 0.5
	maxPace = 12
	// firstDown and maxDown bound how long an endpoint that can't be reached is left out.
	firstDown = 250 * time.Millisecond
	maxDown   = 2 * time.Second
)

// Record is the experience with one endpoint. The zero value knows of nothing bad.
type Record struct {
	failing float64
	// pace is the logarithm of the measured latency over the estimate.
	pace      float64
	at        time.Time
	downUntil time.Time
	downs     int
}

func (r Record) aged(now time.Time) Record {
	if !r.at.IsZero() && now.After(r.at) {
		f := math.Exp2(-float64(now.Sub(r.at)) / float64(halfLife))
		r.failing *= f
		r.pace *= f
	}
	r.at = now
	return r
}

// WithResult returns the record after a request that the endpoint answered or failed.
func (r Record) WithResult(ok bool, now time.Time) Record {
	r = r.aged(now)
	if ok {
		r.failing *= 1 - failWeight
		r.downs, r.downUntil = 0, time.Time{}
		return r
	}
	r.failing += failWeight * (1 - r.failing)
	return r
}

// WithLatency returns the record after a latency was measured against an estimate.
func (r Record) WithLatency(measured, estimate time.Duration, now time.Time) Record {
	if measured <= 0 || estimate <= 0 {
		return r
	}
	r = r.aged(now)
	ratio := math.Log(min(maxPace, max(minPace, float64(measured)/float64(estimate))))
	r.pace += paceWeight * (ratio - r.pace)
	return r
}

// WithConnectFailure returns the record after a connection could not be opened.
func (r Record) WithConnectFailure(now time.Time) Record {
	r = r.WithResult(false, now)
	r.downUntil = now.Add(min(maxDown, firstDown<<min(r.downs, 8)))
	r.downs++
	return r
}

// Reachable reports whether the endpoint may be tried.
func (r Record) Reachable(now time.Time) bool { return !now.Before(r.downUntil) }

// FailureRate returns the share of requests that the endpoint fails, 0 to 1.
func (r Record) FailureRate(now time.Time) float64 { return r.aged(now).failing }

// LatencyRatio returns how many times longer the endpoint takes than estimated.
func (r Record) LatencyRatio(now time.Time) float64 { return math.Exp(r.aged(now).pace) }
