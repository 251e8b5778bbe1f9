package watch

import (
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
)

const (
	// confirmSpan is the least time between the first write of an incarnation that was read here and
	// one that confirms it: half a heartbeat, so that two writes that were on their way together
	// don't count as two.
	confirmSpan = 600 * time.Millisecond
	// lapsedAfter is the silence of an incarnation after which one that it had replaced is believed
	// again: three missed heartbeats.
	lapsedAfter = 3600 * time.Millisecond
	// maxReplaced bounds the replaced incarnations that are known of one endpoint.
	maxReplaced = 8
)

// succession is what is known of the order of the incarnations that use one id. Their times of start
// don't tell it, because the time of day may jump between two starts. What tells is that an incarnation
// that lives writes its registration again with each heartbeat, while a late write of one that has
// ended stays the only one. It is immutable.
type succession struct {
	// before is the registration that an unconfirmed one replaced.
	before fleet.Endpoint
	// firstWrite is the revision of the unconfirmed incarnation's first write.
	firstWrite uint64
	// replaced lists incarnations that have ended, the latest one last.
	replaced []fleet.IncarnationID
	// writtenAt is when a write of the newest incarnation was last read.
	writtenAt time.Time
}

func (s succession) isEmpty() bool { return s.before.ID == "" && len(s.replaced) == 0 }

// register returns the registration to use once e was read while old was in use.
func (s succession) register(old, e fleet.Endpoint, now time.Time) (fleet.Endpoint, succession) {
	switch id := e.IncarnationID(); {
	case id == old.IncarnationID():
		return s.repeat(old, e, now)
	case old.Unconfirmed && id == s.before.IncarnationID():
		// The write in between was late.
		e.ListedAt = s.before.ListedAt
		return e, s.replace(old, e, now)
	case slices.Contains(s.replaced, id) && now.Sub(s.writtenAt) < lapsedAfter:
		return old, s
	default:
		e.ListedAt, e.Unconfirmed = now, true
		s.before, s.firstWrite, s.writtenAt = old, e.Revision, now
		// The endpoint may still be the one that leaves.
		e.Leaving = e.Leaving || old.Leaving
		return e, s
	}
}

// repeat takes a further registration of the incarnation in use, which confirms it if it is of a later
// write than the first.
func (s succession) repeat(old, e fleet.Endpoint, now time.Time) (fleet.Endpoint, succession) {
	e.ListedAt, s.writtenAt = old.ListedAt, now
	switch {
	case !old.Unconfirmed:
		return e, s
	case e.Revision == s.firstWrite || now.Sub(old.ListedAt) < confirmSpan:
		e.Unconfirmed, e.Leaving = true, e.Leaving || s.before.Leaving
		return e, s
	default:
		return e, s.replace(s.before, e, now)
	}
}

// replace returns the succession once it is known that one incarnation has ended and another lives.
func (s succession) replace(ended, living fleet.Endpoint, now time.Time) succession {
	replaced := slices.DeleteFunc(slices.Clone(s.replaced), func(id fleet.IncarnationID) bool {
		return id == ended.IncarnationID() || id == living.IncarnationID()
	})
	replaced = append(replaced, ended.IncarnationID())
	return succession{replaced: replaced[max(0, len(replaced)-maxReplaced):], writtenAt: now}
}
