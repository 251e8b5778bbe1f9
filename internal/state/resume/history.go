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
)

// Row is what the row of versions says, by service and version.
type Row map[string]map[string]RowEntry

// RowEntry is one version of a service in the row.
type RowEntry struct {
	// Present is set while the version is registered.
	Present bool
	// GoneFor is the time since its last registration was gone; 0 counts as gone now.
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
	goneAt  time.Time
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
				versions[v] = presence{goneAt: now}
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
			h.versions(service)[v] = presence{present: true}
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
			if _, known := h.versions(service)[v]; !known {
				h.versions(service)[v] = presence{goneAt: h.startedAt.Add(-e.GoneFor)}
			}
		}
	}
}

func (h *History) versions(service string) map[string]presence {
	if h.services[service] == nil {
		h.services[service] = map[string]presence{}
	}
	return h.services[service]
}

// Confirmation tells how well a gateway's view of the endpoints is confirmed.
type Confirmation struct {
	// At is when the endpoints were last confirmed, GapAt the end of the last gap of more than
	// MaxViewAge between two confirmations, or zero.
	At, GapAt time.Time
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
		if l.present || now.Sub(l.goneAt) < SettleAfter {
			version = v
			n++
		}
	}
	return version, n == 1
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
