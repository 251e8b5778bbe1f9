package watch

import (
	"maps"
	"time"

	"chervilhead/internal/state/fleet"
)

const (
	// lapseGap is the time without an answer of the store after which registrations may
	// have lapsed unseen; the platform removes one after three missed heartbeats, 3.6 s.
	lapseGap = 1500 * time.Millisecond
	// lapseGrace is how long a registration may take to come back after an outage of the
	// store: about 2 s by the platform's contract, and a poll.
	lapseGrace = 2300 * time.Millisecond
)

// book is the endpoints as the store has them. It is immutable.
type book struct {
	endpoints map[string]fleet.Endpoint
	// doubtful are endpoints without a registration that are kept until a time.
	doubtful map[string]time.Time
	// answered is when the store last answered.
	answered time.Time
	grace    time.Time
}

// with returns the book after an answer of the store.
func (b book) with(ch EndpointChange, now time.Time) book {
	next := book{endpoints: maps.Clone(b.endpoints), doubtful: maps.Clone(b.doubtful), answered: now, grace: b.grace}
	if next.endpoints == nil {
		next.endpoints, next.doubtful = map[string]fleet.Endpoint{}, map[string]time.Time{}
	}
	if !b.answered.IsZero() && now.Sub(b.answered) > lapseGap {
		next.grace = now.Add(lapseGrace)
	}
	listed := make(map[string]bool, len(ch.Endpoints))
	for _, e := range ch.Endpoints {
		listed[e.ID] = true
		if old, ok := next.endpoints[e.ID]; ok && e.Incarnation != 0 && e.Incarnation < old.Incarnation {
			// A late write of an earlier incarnation says nothing about this one.
			continue
		}
		next.endpoints[e.ID] = e
		delete(next.doubtful, e.ID)
	}
	gone := ch.Gone
	if ch.Full {
		for id := range next.endpoints {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		e, ok := next.endpoints[id]
		if !ok || listed[id] {
			continue
		}
		if now.Before(next.grace) && !e.Leaving {
			if _, waits := next.doubtful[id]; !waits {
				next.doubtful[id] = next.grace
			}
			continue
		}
		delete(next.endpoints, id)
	}
	for id, until := range next.doubtful {
		if !now.Before(until) {
			delete(next.endpoints, id)
			delete(next.doubtful, id)
		}
	}
	return next
}
