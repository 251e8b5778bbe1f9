package entry

import (
	"context"
	"errors"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/transport/peer"
)

const (
	callTimeout = 2 * time.Second
	// quietCheck is how long an attempt may be silent before the entry resumes it on the
	// connection that it has. A paused agent keeps its connections open, and a repeated
	// message that comes late may have made the agent send to an older one.
	quietCheck = 2 * time.Second
	// freshWindow is how long a lost agent is tried when the request may be repeated
	// and nothing of its answer has arrived.
	freshWindow    = 500 * time.Millisecond
	firstReconnect = 50 * time.Millisecond
	maxReconnect   = time.Second
)

// follower follows one attempt at one agent, across lost connections.
type follower struct {
	e       *Entry
	req     *request
	address string
	link    *peer.ClientConn
	start   wire.Start
	in      *inbox
	out     sink
}

// run also reports whether anything was sent. A frame whose write failed is incomplete,
// so that its agent cannot have read the start.
func (f *follower) run(ctx context.Context) (res result, sent bool) {
	wait, err := f.link.CallAsync(ctx, wire.MethodStart, f.start)
	if err != nil {
		return result{outcome: fault.OutcomeNotRun, err: fault.As(peer.Unreachable(f.address, err))}, false
	}
	var reply wire.StartReply
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	err = wait(cctx, &reply)
	cancel()
	if err == nil {
		f.link.ObserveVersions(&reply)
		if reply.Refused != nil {
			return result{outcome: fault.OutcomeNotRun, err: reply.Refused}, true
		}
	} else if res, done := f.recover(ctx); done {
		return res, true
	}
	return f.follow(ctx), true
}

// follow delivers items until the attempt ends.
func (f *follower) follow(ctx context.Context) result {
	quiet := time.NewTimer(quietCheck)
	defer quiet.Stop()
	checked := make(chan wire.AttemptState, 1)
	for {
		items, end, resume := f.in.take()
		if len(items) > 0 {
			if err := f.out(items); err != nil {
				return f.abandon()
			}
		}
		if end != nil {
			return ended(end)
		}
		if resume >= 0 {
			f.in.restart()
			if res, done := f.recover(ctx); done {
				return res
			}
			continue
		}
		select {
		case <-f.in.wake:
			quiet.Reset(quietCheck)
		case <-quiet.C:
			go f.check(ctx, f.link, checked)
			quiet.Reset(quietCheck + callTimeout)
		case state := <-checked:
			if res, done := f.resumed(ctx, state); done {
				return res
			}
		case <-f.link.Done():
			if res, done := f.recover(ctx); done {
				return res
			}
		case <-ctx.Done():
			return f.abandon()
		}
	}
}

// ended returns the result that an agent reports. An answer without error that is
// not complete, or an outcome of another version, counts as unknown.
func ended(end *wire.End) result {
	switch end.Outcome {
	case fault.OutcomeComplete, fault.OutcomeNotRun, fault.OutcomeFailed, fault.OutcomeUnknown:
		return result{outcome: end.Outcome, err: end.Error, usage: end.Usage}
	default:
		return lostAgent()
	}
}

// check resumes the attempt on a connection and passes its state on. It closes a
// connection whose agent does not answer; the attempts that it carries then look for
// the agent over a new one.
func (f *follower) check(ctx context.Context, link *peer.ClientConn, checked chan<- wire.AttemptState) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var reply wire.ResumeReply
	err := link.Call(ctx, wire.MethodResume, f.resumption(), &reply)
	switch {
	case err == nil:
		select {
		case checked <- reply.State:
		default: // the state before has not been looked at yet
		}
	case ctx.Err() != nil:
		link.Close()
	}
}

func (f *follower) resumption() wire.Resume {
	return wire.Resume{AttemptID: f.start.AttemptID, Incarnation: f.start.Incarnation, Offset: f.in.offset()}
}

// recover reaches the agent again and resumes the answer at its offset. It reports
// a result when the attempt cannot be followed any further.
func (f *follower) recover(ctx context.Context) (result, bool) {
	window := f.e.cfg.ReconnectWindow
	if f.req.idempotent && f.in.offset() == 0 {
		// Another endpoint can start over sooner than the lost agent may come back.
		window = min(window, freshWindow)
	}
	until := time.Now().Add(window)
	for wait := firstReconnect; ; wait = min(2*wait, maxReconnect) {
		if ctx.Err() != nil {
			return f.abandon(), true
		}
		state, err := f.resume(ctx)
		if err == nil {
			return f.resumed(ctx, state)
		}
		if time.Now().Add(wait).After(until) {
			return lostAgent(), true
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func lostAgent() result {
	return result{outcome: fault.OutcomeUnknown, err: fault.New(fault.Upstream, fault.CodeAgentLost, "the agent that ran the request does not answer",
		"find out whether the request took effect before you repeat it")}
}

func (f *follower) resume(ctx context.Context) (wire.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	link, err := f.e.pool.Get(ctx, f.address)
	if err != nil {
		return "", err
	}
	f.link = link
	if link.HelloReply.Incarnation != f.start.Incarnation {
		return wire.NotFound, nil
	}
	var reply wire.ResumeReply
	err = link.Call(ctx, wire.MethodResume, f.resumption(), &reply)
	if errors.Is(err, context.DeadlineExceeded) {
		link.Close()
	}
	return reply.State, err
}

func (f *follower) resumed(ctx context.Context, state wire.AttemptState) (result, bool) {
	switch state {
	case wire.NotFound:
		// Either the attempt never arrived, or another incarnation of the agent answers.
		if f.cancel(ctx) == wire.NeverStarted {
			return neverStarted(), true
		}
		return lostAgent(), true
	case wire.NeverStarted:
		return neverStarted(), true
	default:
		// The rest of the answer follows on the connection.
		return result{}, false
	}
}

func neverStarted() result {
	return result{outcome: fault.OutcomeNotRun, err: fault.New(fault.Unavailable, fault.CodeCancelled, "the request was withdrawn before it started", "retry later").WithRetryAfter(time.Second)}
}

// cancel withdraws the attempt and returns its state, or Forgotten when the agent cannot tell.
func (f *follower) cancel(ctx context.Context) wire.AttemptState {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	link, err := f.e.pool.Get(ctx, f.address)
	if err != nil {
		return wire.NotFound
	}
	var reply wire.CancelReply
	err = link.Call(ctx, wire.MethodCancel, wire.Cancel{
		AttemptID: f.start.AttemptID, Incarnation: f.start.Incarnation, StartByMillis: f.start.StartByMillis,
	}, &reply)
	if err != nil {
		return wire.NotFound
	}
	return reply.State
}

// abandon ends an attempt whose caller has gone away.
func (f *follower) abandon() result {
	if f.cancel(context.Background()) == wire.NeverStarted {
		return neverStarted()
	}
	return result{outcome: fault.OutcomeUnknown, err: fault.New(fault.Upstream, "caller_gone", "the caller went away while the request ran", "")}
}
