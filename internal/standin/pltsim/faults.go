package pltsim

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilhead/internal/state/fault"
)

// Faults says how the stand-in's services misbehave; it may be changed while they run.
// The zero value has no faults. What For returns applies to one service, on top of what
// applies to all.
type Faults struct {
	// all is the faults of the whole platform, or nil if these are they.
	all *Faults

	mu    sync.Mutex
	away  bool
	delay time.Duration
	lag   time.Duration
	// lagged is set once a lag was set or scheduled.
	lagged    bool
	loseReply int
	plan      []scheduled
	services  map[Service]*Faults
}

// ForService returns the faults of one service.
func (f *Faults) ForService(s Service) *Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[Service]*Faults{}
	}
	if f.services[s] == nil {
		f.services[s] = &Faults{all: f}
	}
	return f.services[s]
}

// SetUnavailable makes every call fail until it is called with false.
func (f *Faults) SetUnavailable(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// SetDelay slows every call.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetLag makes reads show what was there some time ago, but nothing from before a lag
// was first set or scheduled.
func (f *Faults) SetLag(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag, f.lagged = d, true
}

// LoseReplies makes the next n writes take effect and then fail.
func (f *Faults) LoseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseReply = n
}

// state is what is wrong at the present time.
type state struct {
	away       bool
	delay, lag time.Duration
}

// now adds up the faults that were set, those that are scheduled and those of the whole platform.
func (f *Faults) now() state {
	if f == nil {
		return state{}
	}
	s := f.all.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.away, s.delay, s.lag = s.away || f.away, s.delay+f.delay, s.lag+f.lag
	for _, p := range f.plan {
		if !p.active(time.Since(p.start)) {
			continue
		}
		switch p.Fault {
		case FaultUnavailable:
			s.away = true
		case FaultSlow:
			s.delay += p.Delay
		case FaultLag:
			s.lag += p.Delay
		}
	}
	return s
}

func (f *Faults) before(ctx context.Context, service string) error {
	s := f.now()
	if s.delay > 0 {
		timer := time.NewTimer(s.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fault.Outage(service, ctx.Err())
		}
	}
	if s.away {
		return fault.Outage(service, errors.New("stand-in is set away"))
	}
	return nil
}

// then returns the time whose state a read shows.
func (f *Faults) then() time.Time { return time.Now().Add(-f.now().lag) }

// remembers reports whether reads may lag, so that the past has to be kept.
func (f *Faults) remembers() bool {
	f.mu.Lock()
	lagged := f.lagged
	f.mu.Unlock()
	return lagged || f.all != nil && f.all.remembers()
}

// after loses the reply of a write that has taken effect, if it is to be lost.
func (f *Faults) after(service string) error {
	if f.loses() || f.all != nil && f.all.loses() {
		return fault.Outage(service, errors.New("stand-in loses the reply"))
	}
	return nil
}

func (f *Faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.plan {
		if p.Fault == FaultLostReply && p.active(time.Since(p.start)) && p.rand.Float64() < p.LossProbability {
			return true
		}
	}
	if f.loseReply > 0 {
		f.loseReply--
		return true
	}
	return false
}
