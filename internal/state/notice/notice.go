package notice

import (
	"sync"
	"time"

	"chervilhead/internal/state/fleet"
)

// forgetAfter is how long what an incarnation said outlives its registration. A registration
// may be missing for seconds while its endpoint goes on, and an endpoint that leaves ends within
// a minute.
const forgetAfter = 10 * time.Minute

// Leavers is the set of the endpoint incarnations that said that they leave; none takes it back.
type Leavers struct {
	mu sync.RWMutex
	// listedAt is when the incarnation was last known to be registered.
	listedAt map[fleet.IncarnationID]time.Time
}

// NewLeavers returns an empty set.
func NewLeavers() *Leavers { return &Leavers{listedAt: map[fleet.IncarnationID]time.Time{}} }

// Add adds an incarnation and reports whether it is new.
func (l *Leavers) Add(id fleet.IncarnationID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.listedAt[id]
	if !known {
		l.listedAt[id] = now
	}
	return !known
}

// Has reports whether an incarnation said that it leaves.
func (l *Leavers) Has(id fleet.IncarnationID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.listedAt[id]
	return ok
}

// Retain drops the incarnations that have not been registered for long.
func (l *Leavers) Retain(listed func(id fleet.IncarnationID) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.listedAt {
		switch {
		case listed(id):
			l.listedAt[id] = now
		case now.Sub(at) > forgetAfter:
			delete(l.listedAt, id)
		}
	}
}

// Pauses holds the ends of the pauses that endpoint incarnations asked for.
type Pauses struct {
	mu    sync.RWMutex
	until map[fleet.IncarnationID]time.Time
}

// NewPauses returns a Pauses without any pause.
func NewPauses() *Pauses { return &Pauses{until: map[fleet.IncarnationID]time.Time{}} }

// Extend makes a pause last until a time, unless it lasts longer already, and returns its end
// before.
func (p *Pauses) Extend(id fleet.IncarnationID, until time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.until[id]
	if until.After(before) {
		p.until[id] = until
	}
	return before
}

// Left returns how long an incarnation's pause still lasts, 0 if it has none.
func (p *Pauses) Left(id fleet.IncarnationID, now time.Time) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(0, p.until[id].Sub(now))
}

// DropEnded drops the pauses that have ended.
func (p *Pauses) DropEnded(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, until := range p.until {
		if !until.After(now) {
			delete(p.until, id)
		}
	}
}
