package clock

import "time"

// Reading is a time on the other clock. The zero value means that no time is known.
type Reading struct {
	// Era is the run of the other clock; times of two eras can't be compared.
	Era  uint64
	Time time.Duration
}

// IsZero reports whether the reading holds no time.
func (r Reading) IsZero() bool { return r.Time <= 0 }

// Sample is a reading in the answer to a call that began at a local time.
type Sample struct {
	Reading
	Began time.Duration
}

const (
	// maxDrift is the largest relative drift of the two clocks: the kernel slews each by at most
	// 500 ppm to follow a time server.
	maxDrift = 0.001
	// rounding is how far a reading may be ahead of the present by the rounding of both clocks to
	// milliseconds.
	rounding = 2 * time.Millisecond
)

// Bound is an upper bound on the other clock's offset, its time minus the local time, in one era.
// The zero value bounds nothing.
type Bound struct {
	known  bool
	era    uint64
	offset time.Duration
	// at is the local time of the sample that gave offset.
	at time.Duration
}

// With returns the bound after a sample. The other clock was read after the call began, so the
// reading minus the local time of the beginning is at least the offset.
func (b Bound) With(s Sample) Bound {
	if s.IsZero() {
		return b
	}
	offset := s.Time - s.Began
	if b.known && b.era == s.Era && offset > b.offsetAt(s.Began) {
		return b
	}
	return Bound{known: true, era: s.Era, offset: offset, at: s.Began}
}

// offsetAt returns the bound at a local time, by which it may have loosened by drift.
func (b Bound) offsetAt(now time.Duration) time.Duration {
	return b.offset + time.Duration(maxDrift*float64(max(0, now-b.at)))
}

// Local returns the local time of a reading, or an earlier one. It returns false if the reading
// is of another era than the bound, or lies in the future and thus isn't one of this clock.
func (b Bound) Local(r Reading, now time.Duration) (time.Duration, bool) {
	if r.IsZero() || !b.known || b.era != r.Era {
		return 0, false
	}
	local := r.Time - b.offsetAt(now)
	if local > now+rounding {
		return 0, false
	}
	return min(local, now), true
}

// Latest returns the latest time that the other clock may show at a local time, or a zero reading
// if that isn't known.
func (b Bound) Latest(now time.Duration) Reading {
	if !b.known {
		return Reading{}
	}
	return Reading{b.era, now + b.offsetAt(now) + rounding}
}
