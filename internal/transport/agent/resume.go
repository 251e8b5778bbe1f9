package agent

import (
	"context"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/fault"
)

const (
	// resumeTries bounds the resumes in a row that bring no new event.
	resumeTries = 4
	// resumeLimit bounds the resumes of one attempt.
	resumeLimit = 64
	// resumeTime bounds the time from the loss of a connection until the engine accepts a
	// resume. An idempotent request waits no longer for its retry on another endpoint.
	resumeTime = time.Second
	// resumeWait is the wait before the second try; each further one is resumeFactor longer.
	resumeWait   = 20 * time.Millisecond
	resumeFactor = 3
)

// broken reports whether an exchange with the engine ended because its connection broke.
func broken(ctx context.Context, err error) bool {
	return ctx.Err() == nil && fault.CodeOf(err) == fault.CodeEngineCrashed
}

// resume fetches the rest of an answer whose connection broke. Resuming never starts a
// run, so it is safe for requests that may not be repeated. The error is engine_crashed
// when the engine has restarted or cannot be reached, and engine_connection_lost when
// it still runs but has no more of the answer.
func (b EngineBackend) resume(ctx context.Context, req engine.Request, got engine.Result, sink engine.Sink) (engine.Result, error) {
	lostAt, wait, tries := time.Now(), time.Duration(0), 0
	for range resumeLimit {
		if !pause(ctx, wait) {
			return got, cancelledRun(ctx)
		}
		before := got.Events
		var err error
		got, err = b.Engine.Resume(ctx, req, got, sink)
		if err == nil {
			b.Metrics.resumed("resumed")
			return got, nil
		}
		if final := b.refused(ctx, err, got.Incarnation); final != nil {
			b.Metrics.resumed(fault.CodeOf(err))
			return got, final
		}
		if ctx.Err() != nil {
			return got, err
		}
		if got.Events > before {
			b.Metrics.resumed("resumed")
			lostAt, wait, tries = time.Now(), 0, 0
			continue
		}
		if fault.CodeOf(err) == fault.CodeEngineCrashed {
			lostAt = time.Now() // the engine had accepted the resume
		}
		if tries++; tries >= resumeTries || time.Since(lostAt) >= resumeTime {
			break
		}
		wait = max(resumeFactor*wait, resumeWait)
	}
	b.Metrics.resumed("gave_up")
	return got, engineCrashed()
}

// refused returns the error of an attempt whose engine refused to resume it, or nil for
// an error after which another try may succeed. incarnation is the engine's at the start
// of the run; without it a request that cannot be resumed may have ended with a crash.
func (b EngineBackend) refused(ctx context.Context, err error, incarnation string) error {
	switch fault.As(err).Code {
	case fault.CodeEngineCrashed, engine.CodeUnreachable, fault.CodeCancelled:
		return nil
	case engine.CodeRestarted:
		return engineCrashed()
	case engine.CodeUnknownRequest, engine.CodeOffsetDropped:
		if incarnation == "" {
			return engineCrashed()
		}
		return connectionLost(err)
	case engine.CodeResumeUnsupported:
		// Such an engine need not check the incarnation that the resume names.
		if s, serr := b.Engine.State(ctx); serr != nil || s.Incarnation != incarnation {
			return engineCrashed()
		}
		return connectionLost(err)
	default:
		// What the engine sent cannot be the rest of the answer.
		return fault.New(fault.Upstream, fault.CodeTruncated, "the answer ended without its finish marker", "send the request again").WithCause(err)
	}
}

func connectionLost(err error) *fault.Error {
	return fault.New(fault.Upstream, fault.CodeConnectionLost, "the connection to the engine broke during the answer", "send the request again").WithCause(err)
}

func engineCrashed() *fault.Error {
	return fault.New(fault.Upstream, fault.CodeEngineCrashed, "the engine went away while it ran the request", "send the request again")
}

func cancelledRun(ctx context.Context) *fault.Error {
	return fault.New(fault.Upstream, fault.CodeCancelled, "the attempt was cancelled", "").WithCause(ctx.Err())
}

// pause waits and reports whether the context is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
