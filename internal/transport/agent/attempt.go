package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fairq"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/transport/peer"
)

type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseEnded
	// phaseNotRun is the phase of an attempt that was not run and never will be.
	phaseNotRun
)

// attempt is one attempt and its answer so far. The answer is held for the retention
// time after its end, so that an entry can resume it.
type attempt struct {
	start       wire.Start
	startBy     time.Time
	arrivedAt   time.Time
	queueItem   *fairq.Item[*attempt]
	expiryTimer *time.Timer
	startedAt   time.Time
	permit      *permit
	// engineIncarnation is the engine's incarnation at the start of the run.
	engineIncarnation string
	// prefill is guarded by the agent's mu.
	prefill attemptPrefill

	mu        sync.Mutex
	phase     phase
	cancelRun context.CancelFunc
	// items is the answer from item itemsOffset on; earlier items were dropped for lack of memory.
	items       []json.RawMessage
	itemsOffset int
	end         *wire.End
	outbox      *outbox
	// cursor is the index of the next item to send, counted from the start of the answer.
	cursor int
	// attachCount is how often a connection was attached to the attempt.
	attachCount int
	// detachedAt is when the latest attached connection ended.
	detachedAt time.Time
	// endConfirmed is set when the entry has confirmed that it received the end and all items.
	endConfirmed bool
}

func (at *attempt) currentPhase() phase {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.phase
}

// done reports whether the agent has nothing left to do for the attempt: the entry
// confirmed its end, or did not reconnect within the grace period.
func (at *attempt) done(grace time.Duration) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.phase {
	case phaseNotRun, phaseEnded:
		return at.end == nil || at.endConfirmed || (at.outbox == nil && time.Since(at.detachedAt) >= grace)
	default:
		return false
	}
}

// accept queues an attempt, or returns the reason why it will never start.
func (a *Agent) accept(c *peer.Conn, s wire.Start) *fault.Error {
	now := time.Now()
	startBy := a.epoch.Add(time.Duration(s.StartByMillis) * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Incarnation != a.incarnation {
		return rejectionError(fault.Unavailable, fault.CodeStaleIncarnation, "the attempt was sent to another incarnation of this agent", 0)
	}
	if old, ok := a.attempts[s.AttemptID]; ok {
		if old.currentPhase() == phaseNotRun {
			return rejectionError(fault.Unavailable, fault.CodeCancelled, "the attempt was cancelled or rejected before this message arrived", 0)
		}
		return nil // duplicate of an accepted message
	}
	if !now.Before(startBy) {
		return rejectionError(fault.Unavailable, fault.CodeExpired, "the attempt arrived after its start-by time", 0)
	}
	a.noteArrival(s.Model, now)
	if err := a.admit(s, startBy.Sub(now)); err != nil {
		// The tombstone of a rejected attempt is kept only for as long as a duplicate may be in
		// transit: under overload, tombstones that last until distant start-by times would
		// fill the memory.
		a.addTombstone(s.AttemptID, startBy, min(startBy.Sub(now), a.cfg.AnswerRetention))
		return err
	}
	at := &attempt{start: s, startBy: startBy, arrivedAt: now}
	a.attempts[s.AttemptID] = at
	a.queue.Arrived(s.Group, now)
	at.attach(a.outbox(c), 0)
	at.expiryTimer = time.AfterFunc(startBy.Sub(now), func() { a.expire(at) })
	if !a.backend.alwaysReady() && !a.ready[s.Model] {
		a.pendingLoad[s.Model] = append(a.pendingLoad[s.Model], at)
		return nil
	}
	a.enqueue(at)
	a.fillSlots()
	return nil
}

// admit returns the agent's reason to reject a new attempt, or nil; mu is held.
func (a *Agent) admit(s wire.Start, maxWait time.Duration) *fault.Error {
	if a.leaving {
		return rejectionError(fault.Unavailable, fault.CodeLeaving, "the endpoint is leaving and accepts no new attempts", 0)
	}
	if !a.backend.alwaysReady() && !a.ready[s.Model] && !a.placed[s.Model] {
		return rejectionError(fault.Unavailable, fault.CodeNotResident, fmt.Sprintf("model %q is not placed on this endpoint", s.Model), time.Second)
	}
	wait := a.expectedWait()
	bound := defaultGroupQueueBound
	if g, ok := a.table.Group(s.Group); ok && g.QueueBound > 0 {
		bound = g.QueueBound
	}
	pending, pendingOfGroup := a.pendingLoadCount(s.Group)
	switch {
	case a.queue.Len()+pending >= a.cfg.QueueBound || a.queue.GroupLen(s.Group)+pendingOfGroup >= bound:
		return rejectionError(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("the queue of group %q is full", s.Group), max(wait, time.Second))
	case wait > maxWait:
		return rejectionError(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("the expected wait in the queue is %s, longer than the request may wait", wait.Round(time.Millisecond)), max(wait-maxWait, time.Second))
	}
	return nil
}

// pendingLoadCount returns the number of attempts that wait for a load, in total and of
// one group; mu is held.
func (a *Agent) pendingLoadCount(group string) (total, ofGroup int) {
	for _, list := range a.pendingLoad {
		total += len(list)
		for _, at := range list {
			if at.start.Group == group {
				ofGroup++
			}
		}
	}
	return total, ofGroup
}

// addTombstone records for a time that an attempt never starts, also if its message
// arrives later; mu is held.
func (a *Agent) addTombstone(id string, startBy time.Time, keep time.Duration) {
	a.attempts[id] = &attempt{phase: phaseNotRun, startBy: startBy}
	a.forgetAfter(id, keep)
}

// forgetAfter drops an attempt's record after a time. Until the start-by time the record
// rejects a late duplicate; afterwards the start-by time does. The record of an attempt
// that was queued is kept for the retention time past its start-by time, so that until
// then a missing record proves that the attempt never started.
func (a *Agent) forgetAfter(id string, d time.Duration) {
	time.AfterFunc(max(d, 0)+time.Second, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if at, ok := a.attempts[id]; ok {
			a.answerBytes.Add(-at.dropAll())
		}
		delete(a.attempts, id)
	})
}

func (a *Agent) enqueue(at *attempt) {
	if at.currentPhase() != phaseQueued {
		return
	}
	at.queueItem = a.queue.Push(at.start.Group, at.start.Priority, estimatedCost(at.start), at)
}

// weight returns a group's weight, corrected for the group's use of the whole fleet; mu is held.
func (a *Agent) weight(group string) float64 {
	w := 1.0
	if g, ok := a.table.Group(group); ok && g.Weight > 0 {
		w = g.Weight
	}
	return w * a.factors.Of(group)
}

// fillSlots starts queued attempts while there are free slots for them; mu is held.
func (a *Agent) fillSlots() {
	for {
		at, ok := a.nextRunnable()
		if !ok {
			break
		}
		if at.currentPhase() == phaseQueued && !time.Now().Before(at.startBy) {
			a.withdraw(at, expiredError()) // its expiry timer has not run yet
			if at.permit != nil {
				go a.returnPermit(at, *at.permit)
			}
			continue
		}
		a.startRun(at)
	}
	a.startIsolated()
}

// startRun runs a queued attempt on the backend and reports whether it was still queued;
// mu is held.
func (a *Agent) startRun(at *attempt) bool {
	at.mu.Lock()
	if at.phase != phaseQueued {
		at.mu.Unlock()
		return false
	}
	at.expiryTimer.Stop()
	at.phase = phaseRunning
	at.startedAt = time.Now()
	if a.engine != nil {
		at.engineIncarnation = a.engine.Incarnation
	}
	a.cfg.Metrics.attemptStarted(at.startedAt.Sub(at.arrivedAt))
	ctx, cancel := context.WithCancel(a.ctx)
	at.cancelRun = cancel
	at.mu.Unlock()
	a.running[at.start.AttemptID] = at
	a.used[at.start.Group] += estimatedCost(at.start)
	a.queue.Start(at.start.Group, at.startedAt)
	a.prefillStarted(at)
	go a.run(ctx, at)
	return true
}

func (a *Agent) run(ctx context.Context, at *attempt) {
	a.indexCacheBlocks(at.start)
	first := true
	end := a.backend.run(ctx, at.start, at.engineIncarnation, func(item json.RawMessage) {
		if first {
			first = false
			a.prefillDone(at, at.start.Stream)
		}
		a.waitForAnswerMemory(ctx)
		a.answerBytes.Add(at.appendItem(item))
	})
	at.cancelRun()
	a.prefillDone(at, false)
	a.recordRunEnd(at, end)
	took := time.Since(at.startedAt)
	a.mu.Lock()
	delete(a.running, at.start.AttemptID)
	a.queue.Done(at.start.Group, time.Now())
	if a.poison.isolated == at {
		a.poison.isolated = nil
	}
	const smoothing = 8 // the latest run has a weight of 1/8
	if a.meanRun == 0 {
		a.meanRun = took
	}
	a.meanRun += (took - a.meanRun) / smoothing
	if end.Usage != nil {
		diff := actualCost(*end.Usage) - estimatedCost(at.start)
		a.used[at.start.Group] += diff
		a.queue.Charge(at.start.Group, diff, a.weight(at.start.Group))
	}
	a.fillSlots()
	a.mu.Unlock()
	a.finish(at, end)
}

// finish records the end of an attempt, sends it and holds the answer for the retention time.
func (a *Agent) finish(at *attempt, end wire.End) {
	at.mu.Lock()
	defer at.mu.Unlock()
	a.finishLocked(at, end)
}

// finishLocked is finish with at.mu held, so that the phase and the end change together.
func (a *Agent) finishLocked(at *attempt, end wire.End) {
	end.AttemptID, end.Incarnation, end.Items = at.start.AttemptID, a.incarnation, at.itemsOffset+len(at.items)
	at.end = &end
	// The record is kept for the retention time; a request body of a megabyte must not be.
	at.start.Body, at.start.HTTPRequest = nil, nil
	at.phase = phaseEnded
	if end.Outcome == fault.OutcomeNotRun {
		at.phase = phaseNotRun
	}
	a.cfg.Metrics.attemptEnded(end.Outcome)
	if at.outbox != nil {
		at.outbox.markDirty(at)
	}
	a.log.WithField("attempt", at.start.AttemptID).WithField("outcome", end.Outcome).WithField("items", end.Items).Debug("attempt ended")
	a.forgetAfter(at.start.AttemptID, a.cfg.AnswerRetention+max(time.Until(at.startBy), 0))
}

// expire ends an attempt that did not start by its start-by time.
func (a *Agent) expire(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdraw(at, expiredError())
}

func expiredError() *fault.Error {
	return rejectionError(fault.Unavailable, fault.CodeExpired, "the request waited in the queue until its start-by time", time.Second)
}

func cancelledError() *fault.Error {
	return rejectionError(fault.Unavailable, fault.CodeCancelled, "the attempt was cancelled", 0)
}

// withdraw removes a queued attempt, ends it with the error why, and reports whether it
// was still queued; mu is held.
func (a *Agent) withdraw(at *attempt, why *fault.Error) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.phase != phaseQueued {
		return false
	}
	at.expiryTimer.Stop()
	if at.queueItem != nil {
		a.queue.Remove(at.queueItem)
	}
	list := a.pendingLoad[at.start.Model]
	for i, p := range list {
		if p == at {
			a.pendingLoad[at.start.Model] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(a.pendingLoad[at.start.Model]) == 0 {
		delete(a.pendingLoad, at.start.Model)
	}
	a.finishLocked(at, wire.End{Outcome: fault.OutcomeNotRun, Error: why})
	return true
}

// cancel withdraws or stops an attempt. One that has not arrived yet gets a tombstone, so
// that it never starts.
func (a *Agent) cancel(c wire.Cancel) wire.AttemptState {
	if c.Incarnation != a.incarnation {
		return wire.NotFound
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.attempts[c.AttemptID]
	if !ok {
		startBy := a.epoch.Add(time.Duration(c.StartByMillis) * time.Millisecond)
		if time.Since(startBy) >= a.cfg.AnswerRetention {
			return wire.NotFound // it may have run, and its record expired
		}
		a.addTombstone(c.AttemptID, startBy, time.Until(startBy))
		return wire.NeverStarted
	}
	if a.withdraw(at, cancelledError()) {
		return wire.NeverStarted
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.phase {
	case phaseNotRun:
		return wire.NeverStarted
	case phaseEnded:
		return wire.Finished
	default:
		at.cancelRun()
		return wire.Started
	}
}

// resume makes a connection receive the items of an attempt from an offset on.
func (a *Agent) resume(c *peer.Conn, r wire.Resume) wire.AttemptState {
	if r.Incarnation != a.incarnation {
		return wire.NotFound
	}
	a.mu.Lock()
	at, ok := a.attempts[r.AttemptID]
	if !ok {
		a.mu.Unlock()
		return wire.NotFound
	}
	// mu is held until the attempt is attached, so that a connection that closes meanwhile
	// detaches it afterwards.
	p, ok := at.attach(a.outbox(c), r.Offset)
	a.mu.Unlock()
	if !ok {
		return wire.NotFound
	}
	switch p {
	case phaseNotRun:
		return wire.NeverStarted
	case phaseEnded:
		return wire.Finished
	case phaseRunning:
		return wire.Started
	default:
		return wire.Queued
	}
}
