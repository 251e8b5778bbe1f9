package retry

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"chervilhead/internal/state/fault"
)

const (
	// ejectionThreshold is the number of consecutive failures that ejects an endpoint.
	ejectionThreshold = 2
	minEjectionTime   = time.Second
	maxEjectionTime   = 30 * time.Second
	// probeTimeout is the time after which another endpoint may be probed although the
	// request of the last probe never reported a result.
	probeTimeout = 5 * time.Second
	// maxEjectedShare is the share of all endpoints that may be ejected at once.
	maxEjectedShare = 0.5
)

// Outliers holds the failing endpoints that an entry knows of and ejects those that fail
// repeatedly. It is immutable; the zero value holds none.
type Outliers struct {
	failures map[string]failureRecord
	// probeOrder lists the ejected endpoints in the order in which they may be probed.
	probeOrder []string
	// probing is the ejected endpoint that is being probed; only one is at a time.
	probing    string
	probeUntil time.Time
}

type failureRecord struct {
	consecutiveFailures int
	ejected             bool
	ejectedUntil        time.Time
	ejectionTime        time.Duration
}

// EjectionState is Available, Ejected or Probe.
type EjectionState interface{ ejectionState() }

// Available means that an endpoint takes requests.
type Available struct{}

// Ejected means that an endpoint takes no requests for now.
type Ejected struct{}

// Probe means that one request may be sent to an ejected endpoint to test it.
type Probe struct{}

func (Available) ejectionState() {}
func (Ejected) ejectionState()   {}
func (Probe) ejectionState()     {}

// State returns the ejection state of an endpoint.
func (o Outliers) State(endpoint string, now time.Time) EjectionState {
	r, ok := o.failures[endpoint]
	switch {
	case !ok || !r.ejected:
		return Available{}
	case now.Before(r.ejectedUntil) || (o.probing != "" && now.Before(o.probeUntil)):
		return Ejected{}
	default:
		return Probe{}
	}
}

// maxProbeCandidates is the number of ejected endpoints that NextProbe examines.
const maxProbeCandidates = 8

// NextProbe returns an ejected endpoint that a request may probe now, if there is one that
// is usable for it. The search begins at a position below n that start(n) draws, so that
// endpoints that get no requests don't hide others.
func (o Outliers) NextProbe(now time.Time, start func(n int) int, usable func(endpoint string) bool) (string, bool) {
	if len(o.probeOrder) == 0 || o.probing != "" && now.Before(o.probeUntil) {
		return "", false
	}
	n := sort.Search(len(o.probeOrder), func(i int) bool { return now.Before(o.failures[o.probeOrder[i]].ejectedUntil) })
	if n == 0 {
		return "", false
	}
	first := start(n)
	for k := range min(n, maxProbeCandidates) {
		if id := o.probeOrder[(first+k)%n]; usable(id) {
			return id, true
		}
	}
	return "", false
}

// withProbeOrder returns the outliers with probeOrder computed anew.
func (o Outliers) withProbeOrder() Outliers {
	o.probeOrder = nil
	for id, r := range o.failures {
		if r.ejected {
			o.probeOrder = append(o.probeOrder, id)
		}
	}
	slices.SortFunc(o.probeOrder, func(a, b string) int {
		return cmp.Or(o.failures[a].ejectedUntil.Compare(o.failures[b].ejectedUntil), cmp.Compare(a, b))
	})
	return o
}

// WithProbe returns the outliers with an endpoint as the one being probed.
func (o Outliers) WithProbe(endpoint string, now time.Time) Outliers {
	o.probing, o.probeUntil = endpoint, now.Add(probeTimeout)
	return o
}

// WithSuccess returns the outliers after a success of an endpoint, which is readmitted.
func (o Outliers) WithSuccess(endpoint string) Outliers {
	if _, ok := o.failures[endpoint]; !ok {
		return o
	}
	o.failures = maps.Clone(o.failures)
	delete(o.failures, endpoint)
	return o.withProbeOrder().WithoutProbe(endpoint)
}

// WithFailure returns the outliers after a failure of one of total endpoints. Consecutive
// failures eject an endpoint, unless too many are ejected already; each failure of an
// ejected endpoint doubles its ejection time, up to maxEjectionTime.
func (o Outliers) WithFailure(endpoint string, total int, now time.Time) Outliers {
	next := maps.Clone(o.failures)
	if next == nil {
		next = map[string]failureRecord{}
	}
	r := next[endpoint]
	r.consecutiveFailures++
	if r.ejected || (r.consecutiveFailures >= ejectionThreshold && float64(o.EjectedCount()+1) <= maxEjectedShare*float64(total)) {
		r.ejected = true
		r.ejectionTime = min(max(2*r.ejectionTime, minEjectionTime), maxEjectionTime)
		r.ejectedUntil = now.Add(r.ejectionTime)
	}
	next[endpoint] = r
	o.failures = next
	return o.withProbeOrder().WithoutProbe(endpoint)
}

// WithoutProbe returns the outliers after a probe of an endpoint that gave no result, so
// that another endpoint may be probed.
func (o Outliers) WithoutProbe(endpoint string) Outliers {
	if o.probing == endpoint {
		o.probing = ""
	}
	return o
}

// WithOnlyKnown returns the outliers without endpoints that are no longer known; otherwise
// hosts that were replaced would use up the share that may be ejected.
func (o Outliers) WithOnlyKnown(known func(endpoint string) bool) Outliers {
	o.failures = maps.Clone(o.failures)
	maps.DeleteFunc(o.failures, func(endpoint string, _ failureRecord) bool { return !known(endpoint) })
	return o.withProbeOrder()
}

// EjectedCount returns the number of ejected endpoints.
func (o Outliers) EjectedCount() int {
	n := 0
	for _, r := range o.failures {
		if r.ejected {
			n++
		}
	}
	return n
}

// EndpointFailed reports whether the error of an attempt counts as a failure of its
// endpoint; the rejection or cancellation of a request does not.
func EndpointFailed(err *fault.Error) bool {
	if err == nil {
		return false
	}
	switch err.Code {
	case fault.CodeEngineCrashed, fault.CodeConnectionLost, fault.CodeTruncated, fault.CodePeerUnreachable, fault.CodeAgentLost, fault.CodeEngineUnreachable, fault.CodeEngineError:
		return true
	}
	return false
}
