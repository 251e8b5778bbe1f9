package retry

import (
	"time"

	"chervilhead/internal/state/fault"
)

// Policy sets the bounds of retries.
type Policy struct {
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxAttemptsOnRestart bounds the attempts of a request that a stopping or starting
	// endpoint turned away last; no engine is burdened by them.
	MaxAttemptsOnRestart int
}

// DefaultPolicy returns the policy of an entry.
func DefaultPolicy() Policy {
	return Policy{FirstBackoff: 50 * time.Millisecond, MaxBackoff: time.Second, MaxAttempts: 6, MaxAttemptsOnRestart: 12}
}

// RequestState are what is known of a request after its newest attempt.
type RequestState struct {
	// Outcome and Err are those of the newest attempt.
	Outcome fault.Outcome
	Err     *fault.Error
	// Dispatched is set once any attempt of the request was sent to an agent.
	Dispatched bool
	Idempotent bool
	// Delivered is set once the caller has received a byte of the answer.
	Delivered bool
	// Attempts counts the attempts so far.
	Attempts int
	// StartBy is the time after which the request may not start.
	StartBy time.Time
	// Charged is set while the charge for the retry of an equal request after a crash
	// covers this request too.
	Charged bool
}

// Decision is Again or Stop.
type Decision interface{ decision() }

// Again asks for another attempt after a wait.
type Again struct{ Wait time.Duration }

// Stop ends the request with what its attempts came to.
type Stop struct{ Reason string }

func (Again) decision() {}
func (Stop) decision()  {}

// Decide returns whether a request is tried again, and the budget after that.
// jitter is uniform in [0, 1).
func (p Policy) Decide(f RequestState, b Budget, now time.Time, jitter float64) (Decision, Budget) {
	switch {
	case f.Outcome == fault.OutcomeComplete:
		return Stop{"complete"}, b
	case f.Delivered:
		return Stop{"part of the answer was delivered"}, b
	case f.Dispatched && !f.Idempotent:
		return Stop{"the request may not be repeated"}, b
	case f.Err != nil && f.Err.Kind == fault.Invalid:
		return Stop{"the request is invalid"}, b
	case f.Attempts >= p.maxAttempts(f.Err):
		return Stop{"no attempts left"}, b
	}
	wait := time.Duration(0)
	if !turnedAway(f.Err) || f.Attempts > immediateTurns {
		wait = p.backoff(f.Attempts, jitter)
	}
	if !now.Add(wait).Before(f.StartBy) {
		return Stop{"the deadline comes first"}, b
	}
	if !f.Dispatched || turnedAway(f.Err) || cheap(f.Err) || f.Charged && EngineCrashed(f.Err) {
		return Again{wait}, b
	}
	next, ok := b.spend()
	if !ok {
		return Stop{"the retry budget is spent"}, b
	}
	return Again{wait}, next
}

// immediateTurns is the number of attempts after which a request that was turned away is
// tried again at once. Then every endpoint in its sample has refused it, and the
// successor of a leaving endpoint may need seconds to load the model.
const immediateTurns = 2

// maxAttempts returns the bound on attempts after an error. Twelve refusals take about
// 7 s, in which a plan is made and a model loaded.
func (p Policy) maxAttempts(err *fault.Error) int {
	if turnedAway(err) {
		return p.MaxAttemptsOnRestart
	}
	return p.MaxAttempts
}

// turnedAway reports whether an endpoint stops or has just started again. Such a
// retry is free and first immediate, so that a planned stop fails nobody.
func turnedAway(err *fault.Error) bool {
	return err != nil && (err.Code == fault.CodeLeaving || err.Code == fault.CodeStaleIncarnation)
}

// cheap reports whether an agent turned the attempt away at no cost to its engine: the
// model was not resident, an equal request was on trial, or the engine was restarting.
// Such a retry is free, but it waits, because the condition passes. Were it not free,
// copies of one crashing request would spend the budget of the requests beside it.
func cheap(err *fault.Error) bool {
	if err == nil || err.Outcome != fault.OutcomeNotRun {
		return false
	}
	switch err.Code {
	case fault.CodeNotResident, fault.CodeOnTrial, fault.CodeEngineUnreachable:
		return true
	default:
		return false
	}
}

// EngineCrashed reports whether the engine crashed while it ran the attempt. Equal requests
// that were hit by a crash are suspects, which run one at a time, so that one charge for
// all of them bounds the load of their retries.
func EngineCrashed(err *fault.Error) bool { return err != nil && err.Code == fault.CodeEngineCrashed }

// backoff returns a wait between half and one and a half times the exponential step.
func (p Policy) backoff(attempts int, jitter float64) time.Duration {
	step := p.FirstBackoff
	for range attempts - 1 {
		step = min(2*step, p.MaxBackoff)
	}
	return step/2 + time.Duration(jitter*float64(step))
}

// CombineOutcomes returns the outcome of a request whose attempts had outcomes a and b. An
// attempt that may have run leaves the request unknown, whatever later ones came to.
func CombineOutcomes(a, b fault.Outcome) fault.Outcome {
	for _, o := range []fault.Outcome{fault.OutcomeComplete, fault.OutcomeUnknown, fault.OutcomeFailed} {
		if a == o || b == o {
			return o
		}
	}
	return fault.OutcomeNotRun
}

const (
	// budgetShare is the number of retries that a fresh request earns.
	budgetShare = 0.1
	// budgetCap bounds saved retries, so that a quiet hour does not pay for a storm.
	budgetCap = 20
)

// Budget limits retries to a share of fresh requests; the zero value is full.
type Budget struct{ spent float64 }

// WithRequest returns the budget after a new request.
func (b Budget) WithRequest() Budget { return Budget{max(b.spent-budgetShare, 0)} }

func (b Budget) spend() (Budget, bool) {
	if b.spent+1 > budgetCap {
		return b, false
	}
	return Budget{b.spent + 1}, true
}
