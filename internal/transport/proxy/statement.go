package proxy

import (
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pace"
)

// statements are what an endpoint incarnation said of itself in its answers. They are kept apart
// from the endpointRecord, which ends with the registration.
type statements struct {
	// rateLimit is what the last readable answer named.
	rateLimit rateLimit
	// pace counts this gateway's requests against its share of the limit.
	pace pace.Pace
	// invalidRateLimit and invalidNotice are set once an answer wasn't readable.
	invalidRateLimit, invalidNotice bool
	// listedAt is when the incarnation was last known to be registered.
	listedAt time.Time
}

// forgetStatementsAfter is how long statements outlive the registration of their incarnation,
// which may be missing for seconds while the endpoint goes on.
const forgetStatementsAfter = 10 * time.Minute

// statementsOf returns the statements of an endpoint incarnation; the caller holds mu.
func (t *tracker) statementsOf(e fleet.Endpoint) *statements {
	id := e.IncarnationID()
	s, ok := t.statements[id]
	if !ok {
		s = &statements{listedAt: time.Now()}
		t.statements[id] = s
	}
	return s
}

// retainStatements drops the statements of incarnations that have not been registered for long;
// the caller holds mu.
func (t *tracker) retainStatements(known func(key string) bool, now time.Time) {
	for id, s := range t.statements {
		switch {
		case known(incarnationPoolKey(id)):
			s.listedAt = now
		case now.Sub(s.listedAt) > forgetStatementsAfter:
			delete(t.statements, id)
		}
	}
}

// firstInvalidNotice reports whether an unreadable notice is the first of an endpoint
// incarnation.
func (t *tracker) firstInvalidNotice(e fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statementsOf(e)
	first := !s.invalidNotice
	s.invalidNotice = true
	return first
}
