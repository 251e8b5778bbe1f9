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
	// ejectAfter is the number of failures in a row that ejects an endpoint.
	ejectAfter = 2
	firstEject = time.Second
	maxEject   = 30 * time.Second
	// probeWindow frees the place of a probe whose request never reported back.
	probeWindow = 5 * time.Second
	// maxShare is the part of all endpoints that may be ejected at once.
	maxShare = 0.5
)

// Outliers is what an entry knows of failing endpoints; the zero value knows of none.
type Outliers struct {
	failing map[string]record
	// due lists the ejected endpoints in the order in which they are tried again.
	due []string
	// probing is the one ejected endpoint that is being tried.
	probing    string
	probeUntil time.Time
}

type record struct {
	fails   int
	ejected bool
	until   time.Time
	span    time.Duration
}

// EjectionState is Open, Ejected or Probe.
type EjectionState interface{ verdict() }

// Available means that an endpoint takes requests.
type Available struct{}

// Ejected means that an endpoint takes none for now.
type Ejected struct{}

// Probe means that one request may try whether an ejected endpoint works again.
type Probe struct{}

func (Available) verdict() {}
func (Ejected) verdict()   {}
func (Probe) verdict()     {}

// State returns the verdict on an endpoint.
func (f Outliers) State(endpoint string, now time.Time) EjectionState {
	r, ok := f.failing[endpoint]
	switch {
	case !ok || !r.ejected:
		return Available{}
	case now.Before(r.until) || (f.probing != "" && now.Before(f.probeUntil)):
		return Ejected{}
	default:
		return Probe{}
	}
}

// dueLooks bounds the ejected endpoints that one request looks at.
const dueLooks = 8

// NextProbe returns an ejected endpoint that a request may try now, if one is usable for it.
// The looks begin at a place that start draws, so that endpoints without requests
// don't hide others.
func (f Outliers) NextProbe(now time.Time, start func(n int) int, usable func(endpoint string) bool) (string, bool) {
	if len(f.due) == 0 || f.probing != "" && now.Before(f.probeUntil) {
		return "", false
	}
	n := sort.Search(len(f.due), func(i int) bool { return now.Before(f.failing[f.due[i]].until) })
	if n == 0 {
		return "", false
	}
	from := start(n)
	for k := range min(n, dueLooks) {
		if id := f.due[(from+k)%n]; usable(id) {
			return id, true
		}
	}
	return "", false
}

// ordered renews the order in which ejected endpoints are tried again.
func (f Outliers) ordered() Outliers {
	f.due = nil
	for id, r := range f.failing {
		if r.ejected {
			f.due = append(f.due, id)
		}
	}
	slices.SortFunc(f.due, func(a, b string) int {
		return cmp.Or(f.failing[a].until.Compare(f.failing[b].until), cmp.Compare(a, b))
	})
	return f
}

// WithProbe marks an endpoint as the one being tried.
func (f Outliers) WithProbe(endpoint string, now time.Time) Outliers {
	f.probing, f.probeUntil = endpoint, now.Add(probeWindow)
	return f
}

// WithSuccess readmits an endpoint.
func (f Outliers) WithSuccess(endpoint string) Outliers {
	if _, ok := f.failing[endpoint]; !ok {
		return f
	}
	f.failing = maps.Clone(f.failing)
	delete(f.failing, endpoint)
	return f.ordered().WithoutProbe(endpoint)
}

// WithFailure counts a failure of an endpoint of a fleet of total endpoints. An
// endpoint that fails in a row is ejected, unless too many are already.
func (f Outliers) WithFailure(endpoint string, total int, now time.Time) Outliers {
	next := maps.Clone(f.failing)
	if next == nil {
		next = map[string]record{}
	}
	r := next[endpoint]
	r.fails++
	if r.ejected || (r.fails >= ejectAfter && float64(f.EjectedCount()+1) <= maxShare*float64(total)) {
		r.ejected = true
		r.span = min(max(2*r.span, firstEject), maxEject)
		r.until = now.Add(r.span)
	}
	next[endpoint] = r
	f.failing = next
	return f.ordered().WithoutProbe(endpoint)
}

// WithoutProbe frees the place of a probe that showed nothing.
func (f Outliers) WithoutProbe(endpoint string) Outliers {
	if f.probing == endpoint {
		f.probing = ""
	}
	return f
}

// WithOnlyKnown forgets endpoints that are no longer known; otherwise hosts that were
// replaced would use up the share that may be ejected.
func (f Outliers) WithOnlyKnown(known func(endpoint string) bool) Outliers {
	f.failing = maps.Clone(f.failing)
	maps.DeleteFunc(f.failing, func(endpoint string, _ record) bool { return !known(endpoint) })
	return f.ordered()
}

// EjectedCount returns the number of ejected endpoints.
func (f Outliers) EjectedCount() int {
	n := 0
	for _, r := range f.failing {
		if r.ejected {
			n++
		}
	}
	return n
}

// EndpointFailed reports whether the result of an attempt speaks against its endpoint.
// A refusal or a withdrawal does not.
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
