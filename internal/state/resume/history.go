package resume

import (
	"sync"
	"time"

	"chervilhead/internal/state/fleet"
)

const (
	// SettleAfter is how long a version counts after its last registration is gone: as long as a
	// record lasts, so that a stream of it is either recorded or too old to be resumed.
	SettleAfter = RecordTTL
	// MaxViewAge is the age of the confirmation of the endpoints from which another version may
	// be registered unseen. Endpoints are confirmed every 0.6 to 1 s.
	MaxViewAge = 1500 * time.Millisecond
	// MaxShortGap is the longest gap between two confirmations of the endpoints in which no gateway can
	// have settled at a version that came in it.
	MaxShortGap = 10 * time.Second
	// impliedFor is how long a settled service's version is implied after a second one came: a gateway
	// that missed all of that for as long as allowed must not yet have settled at the second one.
	impliedFor = SettleAfter - MaxShortGap - 2*MaxViewAge
)

// Row is what the row of versions says, by service and version.
type Row map[string]map[string]RowEntry

// RowEntry is one version of a service in the row.
type RowEntry struct {
	// Present is set while the version is registered.
	Present bool
	// CameFor is the time since it was first registered after it had been gone for SettleAfter or
	// longer; 0 stands for long ago.
	CameFor time.Duration
	// GoneFor is the time since its last registration was gone, if it isn't present; 0 counts as gone
	// now.
	GoneFor time.Duration
}

// History holds which software versions of each service were registered within SettleAfter. It is
// safe for concurrent use.
type History struct {
	startedAt time.Time

	mu sync.Mutex
	// observedAt is when the endpoints were first read.
	observedAt time.Time
	services   map[string]map[string]presence
	// inRow lists the services whose versions before the start the row told.
	inRow map[string]bool
}

// presence says whether a version is registered, or when its last registration was gone.
type presence struct {
	present bool
	// since is when it was first registered after it had been gone for SettleAfter or longer, zero if that
	// was long ago, and backAt when it last came back after a shorter time. goneAt is when it was gone, if
	// it isn't present.
	since, backAt, goneAt time.Time
	// unread is set while only the row says that it is registered.
	unread bool
}

// NewHistory returns the history of a gateway that starts now, which knows of no versions.
func NewHistory(now time.Time) *History {
	return &History{startedAt: now, services: map[string]map[string]presence{}, inRow: map[string]bool{}}
}

// Observe records a reading of the endpoints.
func (h *History) Observe(endpoints map[string]fleet.Endpoint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedAt.IsZero() {
		h.observedAt = now
	}
	registered := VersionsOf(endpoints)
	for service, versions := range h.services {
		for v, l := range versions {
			switch {
			case registered[service][v]:
			case l.present:
				l.present, l.goneAt = false, now
				versions[v] = l
			case l.unread:
				l.unread, l.goneAt = false, h.startedAt
				versions[v] = l
			case now.Sub(l.goneAt) >= SettleAfter:
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	for service, versions := range registered {
		for v := range versions {
			switch p := h.versions(service)[v]; {
			case p.present:
			case p.unread:
				h.versions(service)[v] = presence{present: true, since: p.since}
			case now.Sub(p.goneAt) < SettleAfter:
				h.versions(service)[v] = presence{present: true, since: p.since, backAt: now}
			default:
				h.versions(service)[v] = presence{present: true, since: now}
			}
		}
	}
}

// Restore adds what the row says of the time before the start. A version that was present in it
// and isn't registered counts as gone as of the start.
func (h *History) Restore(row Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range row {
		h.inRow[service] = true
		for v, e := range versions {
			p, known := h.versions(service)[v]
			switch {
			case e.Present:
				p.unread = !known
			case known:
				p.backAt = h.observedAt
			default:
				p.goneAt = h.startedAt.Add(-e.GoneFor)
			}
			if e.Present || e.GoneFor < SettleAfter {
				if p.since = (time.Time{}); e.CameFor > 0 {
					p.since = h.startedAt.Add(-e.CameFor)
				}
			}
			h.versions(service)[v] = p
		}
	}
}

func (h *History) versions(service string) map[string]presence {
	if h.services[service] == nil {
		h.services[service] = map[string]presence{}
	}
	return h.services[service]
}

// lastSeen returns when a version that isn't present was gone.
func (h *History) lastSeen(p presence) time.Time {
	if p.unread {
		return h.startedAt
	}
	return p.goneAt
}

// Confirmation tells how well a gateway's view of the endpoints is confirmed.
type Confirmation struct {
	// At is when the endpoints were last confirmed, GapAt the end of the last gap of more than
	// MaxViewAge between two confirmations, and LongGapAt that of one of more than MaxShortGap, or zero.
	At, GapAt, LongGapAt time.Time
}

// Settled returns the only version of a service that was registered within SettleAfter. It is
// false if there were several or none, or if that isn't known.
func (h *History) Settled(service string, c Confirmation, now time.Time) (version string, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.observedAt.IsZero() || now.Sub(c.At) > MaxViewAge:
		return "", false
	case !c.GapAt.IsZero() && now.Sub(c.GapAt) < SettleAfter:
		return "", false
	case !h.inRow[service] && now.Sub(h.observedAt) < SettleAfter:
		return "", false
	}
	n := 0
	for v, l := range h.services[service] {
		if l.present || now.Sub(h.lastSeen(l)) < SettleAfter {
			version = v
			n++
		}
	}
	return version, n == 1
}

// Implied returns the version of all streams of a service without a record: the only one at which
// gateways for which the service was settled may have begun them. It is false if there is none, or if
// that isn't known.
func (h *History) Implied(service string, c Confirmation, now time.Time) (version string, implied bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedAt.IsZero() || now.Sub(c.At) > MaxViewAge || !c.LongGapAt.IsZero() && now.Sub(c.LongGapAt) < SettleAfter+impliedFor {
		return "", false
	}
	n := 0
	for v := range h.services[service] {
		at, settled := h.settledUntil(service, v, now)
		if settled && now.Sub(at) <= impliedFor && (h.inRow[service] || at.Sub(h.observedAt) >= SettleAfter) {
			version = v
			n++
		}
	}
	return version, n == 1
}

// settledUntil returns until when the service was settled at a version; the caller holds mu.
func (h *History) settledUntil(service, version string, now time.Time) (at time.Time, settled bool) {
	versions := h.services[service]
	own := versions[version]
	if at = now; !own.present {
		at = h.lastSeen(own)
	}
	for v, o := range versions {
		if v != version && now.Sub(o.since) <= impliedFor && o.since.Before(at) {
			at = o.since
		}
	}
	for v, o := range versions {
		if v != version && o.since.Before(at) && (o.present || at.Sub(h.lastSeen(o)) < SettleAfter) {
			return time.Time{}, false
		}
	}
	return at, own.since.Before(at)
}

// Came reports whether a version of a service came or came back beside others within SettleAfter, so that some
// gateway may imply one of the others for streams without a record.
func (h *History) Came(service, version string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.services[service][version]
	return len(h.services[service]) > 1 && (now.Sub(p.since) < SettleAfter || now.Sub(p.backAt) < SettleAfter)
}

// VersionsOf returns the registered versions by service.
func VersionsOf(endpoints map[string]fleet.Endpoint) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, e := range endpoints {
		if out[e.Service] == nil {
			out[e.Service] = map[string]bool{}
		}
		out[e.Service][e.SoftwareVersion] = true
	}
	return out
}
