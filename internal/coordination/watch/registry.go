package watch

import (
	"maps"
	"time"

	"chervilhead/internal/state/fleet"
)

const (
	// lapseThreshold is the time without an answer from the store after which registrations may
	// have lapsed unobserved; the platform removes one after three missed heartbeats, 3.6 s.
	lapseThreshold = 1500 * time.Millisecond
	// reregisterGrace is how long a registration may take to reappear after an outage of the
	// store: about 2 s by the platform's contract, plus one poll.
	reregisterGrace = 2300 * time.Millisecond
)

// registry holds the endpoints that the store lists, and uncertain ones. It is immutable.
type registry struct {
	endpoints map[string]fleet.Endpoint
	// uncertain maps endpoints that the store no longer lists to the time until which they are kept.
	uncertain map[string]time.Time
	// confirmedAt is when the store, or another process's observation of it, last confirmed the endpoints.
	confirmedAt time.Time
	// graceUntil is the end of the grace period after the last outage of the store.
	graceUntil time.Time
	// listBytes is the length of the last answer that listed all registrations.
	listBytes int
	// successions holds the incarnations of each endpoint that was registered as several.
	successions map[string]succession
}

// with returns the registry after an answer from the store.
func (r registry) with(change EndpointChange, now time.Time) registry {
	next := registry{endpoints: maps.Clone(r.endpoints), uncertain: maps.Clone(r.uncertain), confirmedAt: now, graceUntil: r.graceUntil, listBytes: r.listBytes, successions: maps.Clone(r.successions)}
	if change.Full {
		next.listBytes = change.Cost.Bytes
	}
	if next.endpoints == nil {
		next.endpoints, next.uncertain, next.successions = map[string]fleet.Endpoint{}, map[string]time.Time{}, map[string]succession{}
	}
	if !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) > lapseThreshold {
		next.graceUntil = now.Add(reregisterGrace)
	}
	listed := make(map[string]bool, len(change.Endpoints))
	for _, e := range change.Endpoints {
		listed[e.ID] = true
		if _, known := next.endpoints[e.ID]; !known && !r.confirmedAt.IsZero() {
			e.ListedAt = now
		}
		next.register(e, now)
		delete(next.uncertain, e.ID)
	}
	removed := change.Gone
	if change.Full {
		for id := range next.endpoints {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		e, ok := next.endpoints[id]
		if !ok || listed[id] {
			continue
		}
		if now.Before(next.graceUntil) && !e.Leaving {
			if _, waiting := next.uncertain[id]; !waiting {
				next.uncertain[id] = next.graceUntil
			}
			continue
		}
		next.remove(id)
	}
	for id, until := range next.uncertain {
		if !now.Before(until) {
			next.remove(id)
			delete(next.uncertain, id)
		}
	}
	next.markReplaced()
	return next
}

// markReplaced marks the endpoints whose address another one has registered since. A process that
// starts again under a new id takes over its address before its earlier registration lapses.
func (r registry) markReplaced() {
	newest := make(map[string]uint64, len(r.endpoints))
	for _, e := range r.endpoints {
		newest[e.Address] = max(newest[e.Address], e.Revision)
	}
	for id, e := range r.endpoints {
		if replaced := e.Revision > 0 && e.Revision < newest[e.Address]; replaced != e.Replaced {
			e.Replaced = replaced
			r.endpoints[id] = e
		}
	}
}

func (r registry) remove(id string) {
	delete(r.endpoints, id)
	delete(r.successions, id)
}

// register takes a registration that the store lists.
func (r registry) register(e fleet.Endpoint, now time.Time) {
	old, known := r.endpoints[e.ID]
	if !known {
		r.endpoints[e.ID] = e
		return
	}
	next, s := r.successions[e.ID].register(old, e, now)
	r.endpoints[e.ID] = next
	if s.isEmpty() {
		delete(r.successions, e.ID)
		return
	}
	r.successions[e.ID] = s
}

// withObservation returns the registry after another process observed the same endpoints, and whether
// that confirms registrations.
func (r registry) withObservation(now time.Time) (next registry, confirmed bool) {
	r.confirmedAt = now
	for id, s := range r.successions {
		e, s, ok := s.lapse(r.endpoints[id], now)
		if !ok {
			continue
		}
		if !confirmed {
			r.endpoints, r.successions, confirmed = maps.Clone(r.endpoints), maps.Clone(r.successions), true
		}
		r.endpoints[id], r.successions[id] = e, s
	}
	return r, confirmed
}
