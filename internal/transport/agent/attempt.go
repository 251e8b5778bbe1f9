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
	// phaseBarred marks an attempt that never started and never will.
	phaseBarred
)

// attempt is one attempt and the answer it has so far. Its answer is kept until
// the retention has passed, so that an entry can resume it.
type attempt struct {
	start   wire.Start
	startBy time.Time
	arrived time.Time
	item    *fairq.Item[*attempt]
	expiry  *time.Timer
	began   time.Time
	permit  *permit
	// engine is the engine's incarnation at the start of the run.
	engine string
	// prompt is guarded by mu of the agent.
	prompt prompt

	mu    sync.Mutex
	phase phase
	stop  context.CancelFunc
	// items is the answer from item base on; what is before was dropped for lack of memory.
	items []json.RawMessage
	base  int
	end   *wire.End
	out   *outbox
	// cursor is the index of the next item to send, counted from the start of the answer.
	cursor int
	// follows counts the connections that have followed the attempt.
	follows int
	// lostAt is when the newest of them broke.
	lostAt time.Time
	// sentEnd is set when the entry has confirmed the end and every item.
	sentEnd bool
}

func (at *attempt) current() phase {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.phase
}

// settled reports whether the attempt needs nothing more from its agent: its end
// was sent, or its entry has not come back within the grace.
func (at *attempt) settled(grace time.Duration) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.phase {
	case phaseBarred, phaseEnded:
		return at.end == nil || at.sentEnd || (at.out == nil && time.Since(at.lostAt) >= grace)
	default:
		return false
	}
}

// start accepts an attempt or returns why it will never start.
func (a *Agent) start(c *peer.Conn, s wire.Start) *fault.Error {
	now := time.Now()
	startBy := a.epoch.Add(time.Duration(s.StartByMillis) * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Incarnation != a.incarnation {
		return refuse(fault.Unavailable, fault.CodeStaleIncarnation, "the attempt names another incarnation of this agent", 0)
	}
	if old, ok := a.attempts[s.AttemptID]; ok {
		if old.current() == phaseBarred {
			return refuse(fault.Unavailable, fault.CodeCancelled, "the attempt was cancelled before it arrived", 0)
		}
		return nil // a repeated message starts nothing
	}
	if !now.Before(startBy) {
		return refuse(fault.Unavailable, fault.CodeExpired, "the attempt arrived after its start-by time", 0)
	}
	a.demanded(s.Model, now)
	if err := a.admit(s, startBy.Sub(now)); err != nil {
		// A refused attempt is only barred for as long as a repeated message may be under
		// way: under overload, bars up to a far start-by time would fill the memory.
		a.bar(s.AttemptID, startBy, min(startBy.Sub(now), a.cfg.AnswerRetention))
		return err
	}
	at := &attempt{start: s, startBy: startBy, arrived: now}
	a.attempts[s.AttemptID] = at
	a.queue.Arrived(s.Group, now)
	at.attach(a.outbox(c), 0)
	at.expiry = time.AfterFunc(startBy.Sub(now), func() { a.expire(at) })
	if !a.backend.alwaysReady() && !a.ready[s.Model] {
		a.parked[s.Model] = append(a.parked[s.Model], at)
		return nil
	}
	a.enqueue(at)
	a.fill()
	return nil
}

// admit applies the agent's own reasons to refuse; mu is held.
func (a *Agent) admit(s wire.Start, left time.Duration) *fault.Error {
	if a.leaving {
		return refuse(fault.Unavailable, fault.CodeLeaving, "the endpoint is leaving", 0)
	}
	if !a.backend.alwaysReady() && !a.ready[s.Model] && !a.wanted[s.Model] {
		return refuse(fault.Unavailable, fault.CodeNotResident, fmt.Sprintf("model %q is not placed on this endpoint", s.Model), time.Second)
	}
	wait := a.expectedWait()
	bound := defaultGroupQueue
	if g, ok := a.table.Group(s.Group); ok && g.QueueBound > 0 {
		bound = g.QueueBound
	}
	parked, parkedOfGroup := a.waiting(s.Group)
	switch {
	case a.queue.Len()+parked >= a.cfg.QueueBound || a.queue.GroupLen(s.Group)+parkedOfGroup >= bound:
		return refuse(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("the queue of group %q is full", s.Group), max(wait, time.Second))
	case wait > left:
		return refuse(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("the queue takes about %s, longer than the request may wait", wait.Round(time.Millisecond)), max(wait-left, time.Second))
	}
	return nil
}

// waiting counts the attempts that wait for a load, in total and of one group; mu is held.
func (a *Agent) waiting(group string) (total, ofGroup int) {
	for _, list := range a.parked {
		total += len(list)
		for _, at := range list {
			if at.start.Group == group {
				ofGroup++
			}
		}
	}
	return total, ofGroup
}

// bar remembers that an attempt never starts, for as long as it could arrive; mu is held.
func (a *Agent) bar(id string, startBy time.Time, keep time.Duration) {
	a.attempts[id] = &attempt{phase: phaseBarred, startBy: startBy}
	a.forgetAfter(id, keep)
}

// forgetAfter drops an attempt later. Until its start-by time the record itself
// refuses a late copy; afterwards the time does. The record of an attempt that
// started outlives its start-by time by the retention, so that until then a missing
// record proves that the attempt never started.
func (a *Agent) forgetAfter(id string, d time.Duration) {
	time.AfterFunc(max(d, 0)+time.Second, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if at, ok := a.attempts[id]; ok {
			a.held.Add(-at.drop())
		}
		delete(a.attempts, id)
	})
}

func (a *Agent) enqueue(at *attempt) {
	if at.current() != phaseQueued {
		return
	}
	at.item = a.queue.Push(at.start.Group, at.start.Priority, cost(at.start), at)
}

// weight returns a group's weight, corrected for its use of the whole fleet; mu is held.
func (a *Agent) weight(group string) float64 {
	w := 1.0
	if g, ok := a.table.Group(group); ok && g.Weight > 0 {
		w = g.Weight
	}
	return w * a.factors.Of(group)
}

// fill starts queued attempts while there are free slots for them; mu is held.
func (a *Agent) fill() {
	for {
		at, ok := a.next()
		if !ok {
			break
		}
		if at.current() == phaseQueued && !time.Now().Before(at.startBy) {
			a.withdraw(at, expired()) // its timer is late
			if at.permit != nil {
				go a.settle(at, *at.permit)
			}
			continue
		}
		a.begin(at)
	}
	a.drain()
}

// begin moves an attempt from the queue to the engine; mu is held.
func (a *Agent) begin(at *attempt) bool {
	at.mu.Lock()
	if at.phase != phaseQueued {
		at.mu.Unlock()
		return false
	}
	at.expiry.Stop()
	at.phase = phaseRunning
	at.began = time.Now()
	if a.engine != nil {
		at.engine = a.engine.Incarnation
	}
	a.cfg.Metrics.started(at.began.Sub(at.arrived))
	ctx, stop := context.WithCancel(a.ctx)
	at.stop = stop
	at.mu.Unlock()
	a.running[at.start.AttemptID] = at
	a.used[at.start.Group] += cost(at.start)
	a.queue.Start(at.start.Group, at.began)
	a.promptBegun(at)
	go a.run(ctx, at)
	return true
}

func (a *Agent) run(ctx context.Context, at *attempt) {
	a.nameBlocks(at.start)
	first := true
	end := a.backend.run(ctx, at.start, at.engine, func(item json.RawMessage) {
		if first {
			first = false
			a.promptDone(at, at.start.Stream)
		}
		a.waitRoom(ctx)
		a.held.Add(at.append(item))
	})
	at.stop()
	a.promptDone(at, false)
	a.ran(at, end)
	took := time.Since(at.began)
	a.mu.Lock()
	delete(a.running, at.start.AttemptID)
	a.queue.Done(at.start.Group, time.Now())
	if a.watch.trial == at {
		a.watch.trial = nil
	}
	const smoothing = 8 // one part in eight of the newest run
	if a.meanRun == 0 {
		a.meanRun = took
	}
	a.meanRun += (took - a.meanRun) / smoothing
	if end.Usage != nil {
		diff := realCost(*end.Usage) - cost(at.start)
		a.used[at.start.Group] += diff
		a.queue.Charge(at.start.Group, diff, a.weight(at.start.Group))
	}
	a.fill()
	a.mu.Unlock()
	a.finish(at, end)
}

// finish records the end of an attempt, sends it and keeps the answer for the retention.
func (a *Agent) finish(at *attempt, end wire.End) {
	at.mu.Lock()
	defer at.mu.Unlock()
	a.conclude(at, end)
}

// conclude is finish while at.mu is held, so that no attempt is ever seen ended without its end.
func (a *Agent) conclude(at *attempt, end wire.End) {
	end.AttemptID, end.Incarnation, end.Items = at.start.AttemptID, a.incarnation, at.base+len(at.items)
	at.end = &end
	// The record stays for the retention; a body of a megabyte must not.
	at.start.Body, at.start.HTTPRequest = nil, nil
	at.phase = phaseEnded
	if end.Outcome == fault.OutcomeNotRun {
		at.phase = phaseBarred
	}
	a.cfg.Metrics.ended(end.Outcome)
	if at.out != nil {
		at.out.mark(at)
	}
	a.log.WithField("attempt", at.start.AttemptID).WithField("outcome", end.Outcome).WithField("items", end.Items).Debug("attempt ended")
	a.forgetAfter(at.start.AttemptID, a.cfg.AnswerRetention+max(time.Until(at.startBy), 0))
}

// expire ends an attempt that did not start in time.
func (a *Agent) expire(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdraw(at, expired())
}

func expired() *fault.Error {
	return refuse(fault.Unavailable, fault.CodeExpired, "the request waited in the queue until its start-by time", time.Second)
}

func cancelled() *fault.Error {
	return refuse(fault.Unavailable, fault.CodeCancelled, "the attempt was cancelled", 0)
}

// withdraw takes an attempt out of the queue, ends it with why and reports whether
// it had not started; mu is held.
func (a *Agent) withdraw(at *attempt, why *fault.Error) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.phase != phaseQueued {
		return false
	}
	at.expiry.Stop()
	if at.item != nil {
		a.queue.Remove(at.item)
	}
	list := a.parked[at.start.Model]
	for i, p := range list {
		if p == at {
			a.parked[at.start.Model] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(a.parked[at.start.Model]) == 0 {
		delete(a.parked, at.start.Model)
	}
	a.conclude(at, wire.End{Outcome: fault.OutcomeNotRun, Error: why})
	return true
}

// cancel withdraws an attempt, also one that has not arrived yet.
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
			return wire.NotFound // it may have run, ended and been dropped
		}
		a.bar(c.AttemptID, startBy, time.Until(startBy))
		return wire.NeverStarted
	}
	if a.withdraw(at, cancelled()) {
		return wire.NeverStarted
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	switch at.phase {
	case phaseBarred:
		return wire.NeverStarted
	case phaseEnded:
		return wire.Finished
	default:
		at.stop()
		return wire.Started
	}
}

// resume sends the items of an attempt from an offset on over another connection.
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
	// With mu held, the end of a connection that is closing detaches the attempt afterwards.
	p, ok := at.attach(a.outbox(c), r.Offset)
	a.mu.Unlock()
	if !ok {
		return wire.NotFound
	}
	switch p {
	case phaseBarred:
		return wire.NeverStarted
	case phaseEnded:
		return wire.Finished
	case phaseRunning:
		return wire.Started
	default:
		return wire.Queued
	}
}
