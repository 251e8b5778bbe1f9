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
	// othersLapsedAfter is the silence of all others after which an incarnation is taken for the newest
	// one without a second write of its own: two heartbeats and a read.
	othersLapsedAfter = 3 * time.Second
	// maxReplaced bounds the replaced incarnations that are known of one endpoint, and maxClaims those
	// that may be the newest one.
	maxReplaced = 8
	maxClaims   = 8
)

// succession is what is known of the order of the incarnations that use one id. Their times of start
// don't tell it, because the time of day may jump between two starts. What tells is that an incarnation
// that lives writes its registration again with each heartbeat, while a late write of one that has
// ended stays the only one. It is immutable.
type succession struct {
	// claims are the incarnations of which one is the newest, while that isn't known: the first that
	// writes a second time.
	claims []claim
	// before is the newest incarnation that was known, and leaving is set if it or one of claims leaves.
	before  fleet.IncarnationID
	leaving bool
	// ownLeaving is set if the registration in use says itself that it leaves.
	ownLeaving bool
	// replaced lists incarnations that have ended, the latest one last.
	replaced []fleet.IncarnationID
	// writtenAt is when a write of the newest incarnation was last read.
	writtenAt time.Time
}

// claim is the first write of an incarnation since the newest one isn't known.
type claim struct {
	id       fleet.IncarnationID
	revision uint64
	readAt   time.Time
}

func (s succession) isEmpty() bool { return len(s.claims) == 0 && len(s.replaced) == 0 }

// register returns the registration to use once e was read while old was in use.
func (s succession) register(old, e fleet.Endpoint, now time.Time) (fleet.Endpoint, succession) {
	same := e.IncarnationID() == old.IncarnationID()
	if e.ListedAt = now; same {
		e.ListedAt = old.ListedAt
	}
	switch {
	case !old.Unconfirmed && same:
		s.writtenAt = now
		return e, s
	case s.hasEnded(e.IncarnationID()) && now.Sub(s.writtenAt) < lapsedAfter:
		return old, s
	case !old.Unconfirmed:
		s.claims, s.before, s.leaving = nil, old.IncarnationID(), old.Leaving
	}
	return s.claim(e, now)
}

// hasEnded reports whether an incarnation was replaced and has made no claim since.
func (s succession) hasEnded(id fleet.IncarnationID) bool {
	return slices.Contains(s.replaced, id) && !slices.ContainsFunc(s.claims, func(c claim) bool { return c.id == id })
}

// claim takes a write while the newest incarnation isn't known.
func (s succession) claim(e fleet.Endpoint, now time.Time) (fleet.Endpoint, succession) {
	id := e.IncarnationID()
	i := slices.IndexFunc(s.claims, func(c claim) bool { return c.id == id })
	switch {
	case i < 0:
		s.claims = append(slices.Clone(s.claims[max(0, len(s.claims)+1-maxClaims):]), claim{id, e.Revision, now})
	case e.Revision != s.claims[i].revision && now.Sub(s.claims[i].readAt) >= confirmSpan:
		return e, s.confirm(id, now)
	}
	s.writtenAt, s.leaving, s.ownLeaving = now, s.leaving || e.Leaving, e.Leaving
	e.Unconfirmed, e.Leaving = true, s.leaving
	return e, s
}

// lapse returns the registration in use as a confirmed one if nothing but it was written for long, as
// other processes observed that read more often.
func (s succession) lapse(inUse fleet.Endpoint, now time.Time) (fleet.Endpoint, succession, bool) {
	if !inUse.Unconfirmed || now.Sub(s.writtenAt) < othersLapsedAfter {
		return inUse, s, false
	}
	inUse.Unconfirmed, inUse.Leaving = false, s.ownLeaving
	return inUse, s.confirm(inUse.IncarnationID(), now), true
}

// confirm returns the succession once it is known which incarnation is the newest one: the others have
// ended.
func (s succession) confirm(newest fleet.IncarnationID, now time.Time) succession {
	ended := append(slices.Clone(s.replaced), s.before)
	for _, c := range s.claims {
		ended = append(ended, c.id)
	}
	return succession{replaced: latest(ended, newest), writtenAt: now}
}

// latest returns the newest maxReplaced of some incarnations, each once and without one that lives.
func latest(ended []fleet.IncarnationID, living fleet.IncarnationID) []fleet.IncarnationID {
	var out []fleet.IncarnationID
	for i, id := range ended {
		if id != living && !slices.Contains(ended[i+1:], id) {
			out = append(out, id)
		}
	}
	return out[max(0, len(out)-maxReplaced):]
}
