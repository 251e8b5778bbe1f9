package watch

import (
	"time"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/state/resume"
)

// suspension is the time for which the machine had been suspended when the endpoints were last
// confirmed; the monotonic clock stands still meanwhile. The zero value means that it isn't known.
type suspension struct {
	known bool
	time  time.Duration
}

// recordGap records a confirmation of the endpoints, and whether it follows a gap, in which versions
// may have come and gone. A confirmation that waited in a socket buffer while the process was
// frozen ends a gap and doesn't hide it, because the gap lies between the times of processing.
func (v *View) recordGap(confirmedAt time.Time, suspended time.Duration) {
	if !v.EndpointsConfirmedAt.IsZero() {
		gap := v.endpointsAge(confirmedAt, suspended)
		if gap > resume.MaxViewAge {
			v.EndpointsGapAt = confirmedAt
		}
		if gap > resume.MaxShortGap {
			v.EndpointsLongGapAt = confirmedAt
		}
	}
	v.EndpointsConfirmedAt, v.suspended = confirmedAt, suspension{true, suspended}
}

// EndpointsAge returns the time since the endpoints were last confirmed, with the time for which the
// machine was suspended.
func (v *View) EndpointsAge(now time.Time) time.Duration {
	return v.endpointsAge(now, lease.SuspendedTime())
}

func (v *View) endpointsAge(now time.Time, suspended time.Duration) time.Duration {
	age := now.Sub(v.EndpointsConfirmedAt)
	if v.suspended.known {
		age += suspended - v.suspended.time
	}
	return age
}
