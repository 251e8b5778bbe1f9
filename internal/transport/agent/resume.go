package agent

import (
	"context"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/fault"
)

const (
	// maxResumesWithoutProgress bounds the consecutive resumes that bring no new event.
	maxResumesWithoutProgress = 4
	// maxResumes bounds the resumes of one attempt.
	maxResumes = 64
	// resumeTimeout bounds the time from the loss of a connection until the engine accepts a
	// resume, and with it the delay of an idempotent request's retry on another endpoint.
	resumeTimeout = time.Second
	// resumeBackoff is the wait before the second resume without progress.
	resumeBackoff = 20 * time.Millisecond
	// resumeBackoffFactor is the ratio of each further wait to the one before.
	resumeBackoffFactor = 3
)

// connectionBroke reports whether a call to the engine ended because its connection broke.
func connectionBroke(ctx context.Context, err error) bool {
	return ctx.Err() == nil && fault.CodeOf(err) == fault.CodeEngineCrashed
}

// resume fetches the rest of an answer whose connection broke. Resuming never starts a
// run, so it is safe for requests that must not be repeated. The error is engine_crashed
// if the engine has restarted or cannot be reached, and engine_connection_lost if it
// still runs but no longer holds the rest of the answer.
func (b EngineBackend) resume(ctx context.Context, req engine.Request, got engine.Result, sink engine.Sink) (engine.Result, error) {
	brokenAt, backoff, tries := time.Now(), time.Duration(0), 0
	for range maxResumes {
		if !sleep(ctx, backoff) {
			return got, runCancelledError(ctx)
		}
		eventsBefore := got.Events
		var err error
		got, err = b.Engine.Resume(ctx, req, got, sink)
		if err == nil {
			b.Metrics.resumeEnded("resumed")
			return got, nil
		}
		if resumeErr := b.resumeError(ctx, err, got.Incarnation); resumeErr != nil {
			b.Metrics.resumeEnded(fault.CodeOf(err))
			return got, resumeErr
		}
		if ctx.Err() != nil {
			return got, err
		}
		if got.Events > eventsBefore {
			b.Metrics.resumeEnded("resumed")
			brokenAt, backoff, tries = time.Now(), 0, 0
			continue
		}
		if fault.CodeOf(err) == fault.CodeEngineCrashed {
			brokenAt = time.Now() // the engine accepted the resume before the connection broke again
		}
		if tries++; tries >= maxResumesWithoutProgress || time.Since(brokenAt) >= resumeTimeout {
			break
		}
		backoff = max(resumeBackoffFactor*backoff, resumeBackoff)
	}
	b.Metrics.resumeEnded("gave_up")
	return got, engineCrashedError()
}

// resumeError returns the error that ends an attempt whose resume failed with err, or nil
// if another resume may succeed. incarnation is the engine's at the start of the run; if it
// is unknown, a request that the engine does not hold counts as ended by a crash.
func (b EngineBackend) resumeError(ctx context.Context, err error, incarnation string) error {
	switch fault.As(err).Code {
	case fault.CodeEngineCrashed, engine.CodeUnreachable, fault.CodeCancelled:
		return nil
	case engine.CodeRestarted:
		return engineCrashedError()
	case engine.CodeUnknownRequest, engine.CodeOffsetDropped:
		if incarnation == "" {
			return engineCrashedError()
		}
		return connectionLostError(err)
	case engine.CodeResumeUnsupported:
		// An engine without resume may not have checked the incarnation in the resume.
		if s, serr := b.Engine.State(ctx); serr != nil || s.Incarnation != incarnation {
			return engineCrashedError()
		}
		return connectionLostError(err)
	default:
		// The engine's reply is not the rest of the answer.
		return fault.New(fault.Upstream, fault.CodeTruncated, "the answer ended without its finish marker", "send the request again").WithCause(err)
	}
}

func connectionLostError(err error) *fault.Error {
	return fault.New(fault.Upstream, fault.CodeConnectionLost, "the connection to the engine broke during the answer", "send the request again").WithCause(err)
}

func engineCrashedError() *fault.Error {
	return fault.New(fault.Upstream, fault.CodeEngineCrashed, "the engine went away while it ran the request", "send the request again")
}

func runCancelledError(ctx context.Context) *fault.Error {
	return fault.New(fault.Upstream, fault.CodeCancelled, "the attempt was cancelled", "").WithCause(ctx.Err())
}

// sleep waits for a duration or the end of the context, and reports whether the context
// is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
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
