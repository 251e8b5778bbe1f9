package resume

import "time"

// Breaks tells when connections to an endpoint incarnation broke, each of which may be the end of the
// incarnation. It is immutable; the zero value has no breaks.
type Breaks struct {
	// first and last are the times of the breaks of which nothing shows that the endpoint outlived them.
	first, last time.Time
}

// WithBreak returns the breaks with a further one.
func (b Breaks) WithBreak(at time.Time) Breaks {
	if b.last.IsZero() || at.Sub(b.last) > 2*registrationLapse {
		// Registrations show since what the earlier ones were.
		return Breaks{at, at}
	}
	return Breaks{b.first, at}
}

// WithEvent returns the breaks after an event of a request that was sent at a time: the endpoint has
// outlived all breaks since.
func (b Breaks) WithEvent(sentAt time.Time) Breaks {
	switch {
	case sentAt.Before(b.first):
		return Breaks{}
	case sentAt.Before(b.last):
		return Breaks{b.first, sentAt}
	default:
		return b
	}
}

// Last returns the time of the last break, or zero.
func (b Breaks) Last() time.Time { return b.last }

// Before returns a time that isn't before the last break up to another time, or zero if there is none.
func (b Breaks) Before(at time.Time) time.Time {
	switch {
	case !b.first.Before(at):
		return time.Time{}
	case b.last.Before(at):
		return b.last
	default:
		return at
	}
}
