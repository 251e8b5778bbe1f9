package watch

import (
	"time"

	"chervilhead/internal/state/clock"
)

// restoreQuarantine is the time, in pauses between reads of the endpoints, for which the answers
// of a restored store prove nothing: the planner announces its configuration after each read, and
// one of two announcements arrives.
const restoreQuarantine = 2

// readSlack is how long after the end of a quarantine a read that waits for it is answered, so
// that the rounding of its wait to milliseconds doesn't end it sooner.
const readSlack = 10 * time.Millisecond

// prover decides what the store's answers, and other processes' observations of it, prove about
// the configuration in force. It isn't safe for concurrent use.
type prover struct {
	bound clock.Bound
	// era is that of the last answer, and eraKnown set once there was one.
	era      uint64
	eraKnown bool
	// quarantine is how long a new era proves nothing; it ends at quarantineEnd.
	quarantine, quarantineEnd time.Duration
	// newest is the highest version of the configuration that any process has observed. A store
	// that was restored from a copy may have lost it.
	newest uint64
}

// addSample takes the time of an answer of the store.
func (p *prover) addSample(v *View, s clock.Sample, now time.Duration) {
	if s.IsZero() {
		return
	}
	if p.eraKnown && p.era != s.Era || !p.eraKnown && s.Era > 0 {
		p.quarantineEnd = now + p.quarantine
	}
	p.era, p.eraKnown = s.Era, true
	p.bound = p.bound.With(s)
	if v.HasConfig {
		p.newest = max(p.newest, v.Config.Version)
	}
}

// proveByAnswer takes an answer that the view's configuration was the newest one.
func (p *prover) proveByAnswer(v *View, s clock.Sample, now time.Duration) {
	p.addSample(v, s, now)
	p.prove(v, s.Reading, now)
}

// proveByObservation takes another process's observation of the configuration.
func (p *prover) proveByObservation(v *View, obs Observation, now time.Duration) {
	p.newest = max(p.newest, obs.ConfigVersion)
	switch {
	case !v.HasConfig:
	case obs.ConfigVersion == v.Config.Version:
		p.prove(v, obs.ConfigProof, now)
	case obs.ConfigVersion > v.Config.Version && p.era > 0:
		// The copy from which the store was restored may lack the newer configuration, so that its
		// answers since then have proven nothing.
		v.ConfigProven, v.ConfigProof, v.ConfigProvenAt = false, clock.Reading{}, 0
	}
}

// prove takes a time of the store at which the view's configuration was the newest one there.
func (p *prover) prove(v *View, r clock.Reading, now time.Duration) {
	local, ok := p.bound.Local(r, now)
	if !ok || !v.HasConfig || now < p.quarantineEnd || v.Config.Version < p.newest || v.ConfigProven && local <= v.ConfigProvenAt {
		return
	}
	v.ConfigProven, v.ConfigProof, v.ConfigProvenAt = true, r, local
}

// readWait returns how long a read of the configuration may wait for a change, so that its answer
// comes when answers prove something again.
func (p *prover) readWait(wait, now time.Duration) time.Duration {
	if left := p.quarantineEnd - now; left > 0 {
		return min(wait, left+readSlack)
	}
	return wait
}

// configReadDue reports whether the proof of the configuration is so old that it has to be read.
func (w *Watcher) configReadDue() bool {
	v := w.View()
	return w.timing.MaxProofAge > 0 && v.ConfigProven && w.timing.Elapsed()-v.ConfigProvenAt > w.timing.MaxProofAge
}

// restartDueConfigRead starts the read of the configuration anew if the proof of it is old and the
// read has been open for long: its connection may be dead, and the store answers other reads.
func (w *Watcher) restartDueConfigRead() {
	if !w.configReadDue() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restartConfigRead != nil && time.Since(w.configReadBegan) > w.timing.ConfigWait/2 {
		w.restartConfigRead()
	}
}
