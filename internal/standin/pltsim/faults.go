package pltsim

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilhead/internal/state/fault"
)

// Faults configures the faults of the services; it is safe to change while they run.
// The zero value has no faults. The faults that ForService returns apply to one service,
// in addition to those of the whole platform.
type Faults struct {
	// platform is the faults of the whole platform; it is nil in those themselves.
	platform *Faults

	mu          sync.Mutex
	unavailable bool
	delay       time.Duration
	lag         time.Duration
	// keepsHistory is set once a lag was set or scheduled, so that past states are kept.
	keepsHistory  bool
	repliesToLose int
	schedules     []activeSchedule
	services      map[Service]*Faults
}

// ForService returns the faults of one service.
func (f *Faults) ForService(s Service) *Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[Service]*Faults{}
	}
	if f.services[s] == nil {
		f.services[s] = &Faults{platform: f}
	}
	return f.services[s]
}

// SetUnavailable makes every call fail, or ends that if unavailable is false.
func (f *Faults) SetUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

// SetDelay delays every call.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetLag makes reads return the state of a time d ago, but none from before a lag was first
// set or scheduled.
func (f *Faults) SetLag(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag, f.keepsHistory = d, true
}

// LoseReplies makes the next n writes take effect and then return an error.
func (f *Faults) LoseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesToLose = n
}

// activeFaults is the sum of the faults in force at a time.
type activeFaults struct {
	unavailable bool
	delay, lag  time.Duration
}

// active returns the sum of the faults that were set, that are scheduled now and that apply to
// the whole platform.
func (f *Faults) active() activeFaults {
	if f == nil {
		return activeFaults{}
	}
	s := f.platform.active()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.unavailable, s.delay, s.lag = s.unavailable || f.unavailable, s.delay+f.delay, s.lag+f.lag
	for _, p := range f.schedules {
		if !p.active(time.Since(p.start)) {
			continue
		}
		switch p.Fault {
		case FaultUnavailable:
			s.unavailable = true
		case FaultSlow:
			s.delay += p.Delay
		case FaultLag:
			s.lag += p.Delay
		}
	}
	return s
}

func (f *Faults) beforeCall(ctx context.Context, service string) error {
	s := f.active()
	if s.delay > 0 {
		timer := time.NewTimer(s.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fault.Outage(service, ctx.Err())
		}
	}
	if s.unavailable {
		return fault.Outage(service, errors.New("stand-in is set unavailable"))
	}
	return nil
}

// readTime returns the time whose state a read returns.
func (f *Faults) readTime() time.Time { return time.Now().Add(-f.active().lag) }

// historyNeeded reports whether reads may lag, so that past states have to be kept.
func (f *Faults) historyNeeded() bool {
	f.mu.Lock()
	lagged := f.keepsHistory
	f.mu.Unlock()
	return lagged || f.platform != nil && f.platform.historyNeeded()
}

// afterWrite returns an error if the reply to a write that took effect is to be lost.
func (f *Faults) afterWrite(service string) error {
	if f.losesReply() || f.platform != nil && f.platform.losesReply() {
		return fault.Outage(service, errors.New("stand-in loses the reply"))
	}
	return nil
}

func (f *Faults) losesReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.schedules {
		if p.Fault == FaultLostReply && p.active(time.Since(p.start)) && p.rand.Float64() < p.LossProbability {
			return true
		}
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return true
	}
	return false
}
