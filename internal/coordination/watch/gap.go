package watch

import (
	"time"

	"chervilhead/internal/state/resume"
)

// recordGap records whether the endpoints are confirmed again after a gap, in which versions may
// have come and gone. A confirmation that waited in a socket buffer while the process was frozen
// ends a gap and doesn't hide it, because the gap lies between the times of processing.
func (v *View) recordGap(confirmedAt time.Time) {
	if !v.EndpointsConfirmedAt.IsZero() && confirmedAt.Sub(v.EndpointsConfirmedAt) > resume.MaxViewAge {
		v.EndpointsGapAt = confirmedAt
	}
}
