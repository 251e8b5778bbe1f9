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
	// silenceTimeout is how long an attempt may be silent before the entry resumes it on
	// its current connection. A paused agent keeps its connections open, and a delayed
	// duplicate resume may have made the agent send to an older connection.
	silenceTimeout = 2 * time.Second
	// idempotentReconnectWindow caps Settings.ReconnectWindow for an idempotent request
	// until the first item of its answer has arrived.
	idempotentReconnectWindow = 500 * time.Millisecond
	minReconnectBackoff       = 50 * time.Millisecond
	maxReconnectBackoff       = time.Second
)

// follower follows one attempt at one agent to its end, across lost connections.
type follower struct {
	e       *Entry
	req     *request
	address string
	conn    *peer.ClientConn
	start   wire.Start
	inbox   *inbox
	out     sink
}

// run starts the attempt and follows it. It also reports whether the start was sent: if
// the write failed, the frame is incomplete and the agent cannot have read it.
func (f *follower) run(ctx context.Context) (res result, sent bool) {
	waitReply, err := f.conn.CallAsync(ctx, wire.MethodStart, f.start)
	if err != nil {
		return result{outcome: fault.OutcomeNotRun, err: fault.As(peer.Unreachable(f.address, err))}, false
	}
	var reply wire.StartReply
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err = waitReply(callCtx, &reply)
	cancel()
	if err == nil {
		f.conn.ObserveVersions(&reply)
		if reply.Refused != nil {
			return result{outcome: fault.OutcomeNotRun, err: reply.Refused}, true
		}
	} else if res, done := f.reconnect(ctx); done {
		return res, true
	}
	return f.follow(ctx), true
}

// follow delivers items until the attempt ends.
func (f *follower) follow(ctx context.Context) result {
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	states := make(chan wire.AttemptState, 1)
	for {
		items, end, resumeFrom := f.inbox.take()
		if len(items) > 0 {
			if err := f.out(items); err != nil {
				return f.abandon()
			}
		}
		if end != nil {
			return resultOf(end)
		}
		if resumeFrom >= 0 {
			f.inbox.clearEnd()
			if res, done := f.reconnect(ctx); done {
				return res
			}
			continue
		}
		select {
		case <-f.inbox.wake:
			silence.Reset(silenceTimeout)
		case <-silence.C:
			go f.checkConn(ctx, f.conn, states)
			silence.Reset(silenceTimeout + callTimeout)
		case state := <-states:
			if res, done := f.handleState(ctx, state); done {
				return res
			}
		case <-f.conn.Done():
			if res, done := f.reconnect(ctx); done {
				return res
			}
		case <-ctx.Done():
			return f.abandon()
		}
	}
}

// resultOf returns the result in an agent's end message. An outcome that this version
// does not have counts as unknown.
func resultOf(end *wire.End) result {
	switch end.Outcome {
	case fault.OutcomeComplete, fault.OutcomeNotRun, fault.OutcomeFailed, fault.OutcomeUnknown:
		return result{outcome: end.Outcome, err: end.Error, usage: end.Usage}
	default:
		return agentLostResult()
	}
}

// checkConn resumes the attempt on a connection and sends its state to states. It closes
// the connection if the agent does not answer; all attempts on it then reconnect.
func (f *follower) checkConn(ctx context.Context, conn *peer.ClientConn, states chan<- wire.AttemptState) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var reply wire.ResumeReply
	err := conn.Call(ctx, wire.MethodResume, f.resumeParams(), &reply)
	switch {
	case err == nil:
		select {
		case states <- reply.State:
		default: // an earlier state has not been handled yet
		}
	case ctx.Err() != nil:
		conn.Close()
	}
}

func (f *follower) resumeParams() wire.Resume {
	return wire.Resume{AttemptID: f.start.AttemptID, Incarnation: f.start.Incarnation, Offset: f.inbox.offset()}
}

// reconnect connects to the agent again and resumes the answer at the next offset. It
// returns a result and true if the attempt cannot be followed any further.
func (f *follower) reconnect(ctx context.Context) (result, bool) {
	window := f.e.cfg.ReconnectWindow
	if f.req.idempotent && f.inbox.offset() == 0 {
		// Starting over on another endpoint is likely faster than waiting for the agent.
		window = min(window, idempotentReconnectWindow)
	}
	deadline := time.Now().Add(window)
	for backoff := minReconnectBackoff; ; backoff = min(2*backoff, maxReconnectBackoff) {
		if ctx.Err() != nil {
			return f.abandon(), true
		}
		state, err := f.resume(ctx)
		if err == nil {
			return f.handleState(ctx, state)
		}
		if time.Now().Add(backoff).After(deadline) {
			return agentLostResult(), true
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func agentLostResult() result {
	return result{outcome: fault.OutcomeUnknown, err: fault.New(fault.Upstream, fault.CodeAgentLost, "the agent that ran the request cannot be reached or has restarted",
		"find out whether the request took effect before you repeat it")}
}

func (f *follower) resume(ctx context.Context) (wire.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := f.e.pool.Get(ctx, f.address)
	if err != nil {
		return "", err
	}
	f.conn = conn
	if conn.HelloReply.Incarnation != f.start.Incarnation {
		return wire.NotFound, nil
	}
	var reply wire.ResumeReply
	err = conn.Call(ctx, wire.MethodResume, f.resumeParams(), &reply)
	if errors.Is(err, context.DeadlineExceeded) {
		conn.Close()
	}
	return reply.State, err
}

func (f *follower) handleState(ctx context.Context, state wire.AttemptState) (result, bool) {
	switch state {
	case wire.NotFound:
		// The attempt never arrived, or another incarnation of the agent answers.
		if f.cancel(ctx) == wire.NeverStarted {
			return notStartedResult(), true
		}
		return agentLostResult(), true
	case wire.NeverStarted:
		return notStartedResult(), true
	default:
		// The rest of the answer follows on the connection.
		return result{}, false
	}
}

func notStartedResult() result {
	return result{outcome: fault.OutcomeNotRun, err: fault.New(fault.Unavailable, fault.CodeCancelled, "the request was cancelled before it started", "retry later").WithRetryAfter(time.Second)}
}

// cancel cancels the attempt and returns its state, or NotFound if the agent cannot tell.
func (f *follower) cancel(ctx context.Context) wire.AttemptState {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	conn, err := f.e.pool.Get(ctx, f.address)
	if err != nil {
		return wire.NotFound
	}
	var reply wire.CancelReply
	err = conn.Call(ctx, wire.MethodCancel, wire.Cancel{
		AttemptID: f.start.AttemptID, Incarnation: f.start.Incarnation, StartByMillis: f.start.StartByMillis,
	}, &reply)
	if err != nil {
		return wire.NotFound
	}
	return reply.State
}

// abandon cancels an attempt whose caller has disconnected.
func (f *follower) abandon() result {
	if f.cancel(context.Background()) == wire.NeverStarted {
		return notStartedResult()
	}
	return result{outcome: fault.OutcomeUnknown, err: fault.New(fault.Upstream, "caller_gone", "the caller disconnected while the request was running", "")}
}
