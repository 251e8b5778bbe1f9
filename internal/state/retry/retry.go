package retry

import (
	"time"

	"chervilhead/internal/state/fault"
)

// Policy sets the number of attempts of a request and the wait between them.
type Policy struct {
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts int
	// MaxAttemptsOnRestart replaces MaxAttempts if a stopping or restarted endpoint rejected
	// the last attempt; such attempts put no load on an engine.
	MaxAttemptsOnRestart int
}

// DefaultPolicy returns the policy of an entry.
func DefaultPolicy() Policy {
	return Policy{FirstBackoff: 50 * time.Millisecond, MaxBackoff: time.Second, MaxAttempts: 6, MaxAttemptsOnRestart: 12}
}

// RequestState is what an entry knows of a request after its newest attempt.
type RequestState struct {
	// Outcome and Err are those of the newest attempt.
	Outcome fault.Outcome
	Err     *fault.Error
	// Dispatched is set once an attempt of the request was sent to an agent.
	Dispatched bool
	Idempotent bool
	// Delivered is set once the caller has received a byte of the answer.
	Delivered bool
	// Attempts counts the attempts so far.
	Attempts int
	// StartBy is the time after which the request may not start.
	StartBy time.Time
	// Charged is set while the charge for the retry of an equal request after an engine
	// crash covers this request too.
	Charged bool
}

// Decision is Again or Stop.
type Decision interface{ decision() }

// Again asks for another attempt after a wait.
type Again struct{ Wait time.Duration }

// Stop ends the request with the result of its attempts.
type Stop struct{ Reason string }

func (Again) decision() {}
func (Stop) decision()  {}

// Decide returns whether a request is retried, and the budget that is left; jitter is a
// random number that is uniform in [0, 1).
func (p Policy) Decide(s RequestState, b Budget, now time.Time, jitter float64) (Decision, Budget) {
	switch {
	case s.Outcome == fault.OutcomeComplete:
		return Stop{"complete"}, b
	case s.Delivered:
		return Stop{"part of the answer was delivered"}, b
	case s.Dispatched && !s.Idempotent:
		return Stop{"the request may not be repeated"}, b
	case s.Err != nil && s.Err.Kind == fault.Invalid:
		return Stop{"the request is invalid"}, b
	case s.Attempts >= p.maxAttempts(s.Err):
		return Stop{"no attempts left"}, b
	}
	wait := time.Duration(0)
	if !rejectedByRestart(s.Err) || s.Attempts > maxImmediateRetries {
		wait = p.backoff(s.Attempts, jitter)
	}
	if !now.Add(wait).Before(s.StartBy) {
		return Stop{"the deadline comes first"}, b
	}
	if !s.Dispatched || rejectedByRestart(s.Err) || rejectedWithoutCost(s.Err) || s.Charged && EngineCrashed(s.Err) {
		return Again{wait}, b
	}
	next, ok := b.spend()
	if !ok {
		return Stop{"the retry budget is spent"}, b
	}
	return Again{wait}, next
}

// maxImmediateRetries is the number of retries without a wait after rejections by stopping
// or restarted endpoints. By then three attempts were rejected, while an entry samples two
// endpoints for an attempt, and the successor of a draining endpoint may need seconds to
// load the model.
const maxImmediateRetries = 2

// maxAttempts returns the largest number of attempts after an error. Twelve rejections by
// stopping or restarted endpoints take about 7 s, enough for a new plan and the load of a
// model.
func (p Policy) maxAttempts(err *fault.Error) int {
	if rejectedByRestart(err) {
		return p.MaxAttemptsOnRestart
	}
	return p.MaxAttempts
}

// rejectedByRestart reports whether an attempt was rejected because its endpoint is stopping
// or has just restarted. Retries after that are free, and the first ones are immediate, so
// that a planned stop fails no request.
func rejectedByRestart(err *fault.Error) bool {
	return err != nil && (err.Code == fault.CodeLeaving || err.Code == fault.CodeStaleIncarnation)
}

// rejectedWithoutCost reports whether an agent rejected the attempt at no cost to its engine:
// the model was not resident, an equal request was in an isolated run, or the engine was
// restarting. The retry is free, because repeats of one crashing request would otherwise
// spend the budget of other requests; it waits, because the condition passes.
func rejectedWithoutCost(err *fault.Error) bool {
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
// that ran when an engine crashed are suspect and run one at a time, so that a single charge
// for all of them limits the load of their retries.
func EngineCrashed(err *fault.Error) bool { return err != nil && err.Code == fault.CodeEngineCrashed }

// backoff returns a wait between 0.5 and 1.5 times the exponential step.
func (p Policy) backoff(attempts int, jitter float64) time.Duration {
	step := p.FirstBackoff
	for range attempts - 1 {
		step = min(2*step, p.MaxBackoff)
	}
	return step/2 + time.Duration(jitter*float64(step))
}

// CombineOutcomes returns the outcome of a request whose attempts had outcomes a and b. It
// is unknown if one attempt may have run and none is complete, whatever the others' outcome.
func CombineOutcomes(a, b fault.Outcome) fault.Outcome {
	for _, o := range []fault.Outcome{fault.OutcomeComplete, fault.OutcomeUnknown, fault.OutcomeFailed} {
		if a == o || b == o {
			return o
		}
	}
	return fault.OutcomeNotRun
}

const (
	// retriesPerRequest is the number of retries that a new request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries limits the retries that a quiet period can save up for an overload.
	maxSavedRetries = 20
)

// Budget limits retries to a share of new requests. It is immutable; the zero value is full.
type Budget struct{ spent float64 }

// WithRequest returns the budget after a new request.
func (b Budget) WithRequest() Budget { return Budget{max(b.spent-retriesPerRequest, 0)} }

func (b Budget) spend() (Budget, bool) {
	if b.spent+1 > maxSavedRetries {
		return b, false
	}
	return Budget{b.spent + 1}, true
}
