package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilhead/internal/state/fault"
)

var now = time.Unix(1000, 0)

func errorWithCode(c string) *fault.Error { return fault.New(fault.Unavailable, c, "", "") }

// TestDecide guards against retries that are unsafe, past the deadline or over the budget.
func TestDecide(t *testing.T) {
	base := RequestState{Outcome: fault.OutcomeFailed, Err: errorWithCode(fault.CodeEngineCrashed), Dispatched: true, Idempotent: true, Attempts: 1, StartBy: now.Add(time.Minute)}
	modified := func(f func(*RequestState)) RequestState { c := base; f(&c); return c }
	spent := Budget{spent: maxSavedRetries}
	for _, tc := range []struct {
		name   string
		state  RequestState
		budget Budget
		want   Decision
	}{
		{"safe", base, Budget{}, Again{50 * time.Millisecond}},
		{"third", modified(func(f *RequestState) { f.Attempts = 3 }), Budget{}, Again{200 * time.Millisecond}},
		{"longest wait", modified(func(f *RequestState) { f.Attempts = 5 }), Budget{}, Again{800 * time.Millisecond}},
		{"complete", modified(func(f *RequestState) { f.Outcome = fault.OutcomeComplete }), Budget{}, Stop{"complete"}},
		{"first byte delivered", modified(func(f *RequestState) { f.Delivered = true }), Budget{}, Stop{"part of the answer was delivered"}},
		{"not idempotent", modified(func(f *RequestState) { f.Idempotent = false }), Budget{}, Stop{"the request may not be repeated"}},
		{"not idempotent, rejected", modified(func(f *RequestState) {
			f.Idempotent, f.Outcome, f.Err = false, fault.OutcomeNotRun, errorWithCode(fault.CodeLeaving)
		}), Budget{}, Stop{"the request may not be repeated"}},
		{"not idempotent, nothing sent", modified(func(f *RequestState) { f.Idempotent, f.Dispatched = false, false }), spent, Again{50 * time.Millisecond}},
		{"deadline", modified(func(f *RequestState) { f.StartBy = now.Add(20 * time.Millisecond) }), Budget{}, Stop{"the deadline comes first"}},
		{"attempts", modified(func(f *RequestState) { f.Attempts = 6 }), Budget{}, Stop{"no attempts left"}},
		{"budget", base, spent, Stop{"the retry budget is spent"}},
		{"covered by an equal request's charge", modified(func(f *RequestState) { f.Charged = true }), spent, Again{50 * time.Millisecond}},
		{"a charge covers crashes only", modified(func(f *RequestState) { f.Charged, f.Err = true, errorWithCode(fault.CodeTruncated) }), spent, Stop{"the retry budget is spent"}},
		{"leaving is free", modified(func(f *RequestState) { f.Err = errorWithCode(fault.CodeLeaving) }), spent, Again{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, _ := DefaultPolicy().Decide(tc.state, tc.budget, now, 0.5); got != tc.want {
				t.Errorf("got %#v, want %#v", got, tc.want)
			}
		})
	}
}

// TestBudget guards against retries beyond a tenth of new requests in the long run.
func TestBudget(t *testing.T) {
	var b Budget
	state := RequestState{Outcome: fault.OutcomeFailed, Err: errorWithCode(fault.CodeEngineCrashed), Dispatched: true, Idempotent: true, Attempts: 1, StartBy: now.Add(time.Minute)}
	retries := 0
	for range 1000 {
		b = b.WithRequest()
		var d Decision
		if d, b = DefaultPolicy().Decide(state, b, now, 0); d != (Stop{"the retry budget is spent"}) {
			retries++
		}
	}
	if retries > 1000*retriesPerRequest+maxSavedRetries {
		t.Errorf("%d retries for 1000 requests", retries)
	}
}

// TestCharges guards against charges that don't expire, and against memory that grows with
// the number of crashing requests.
func TestCharges(t *testing.T) {
	var c CrashCharges
	for i := range 2 * maxCharges {
		c.Add(fmt.Sprint(i), now)
	}
	if len(c.expiry) > maxCharges {
		t.Errorf("%d charges in memory, want at most %d", len(c.expiry), maxCharges)
	}
	later := now.Add(chargeLifetime)
	if !c.Covers("0", now) || c.Covers("0", later) || c.Covers(fmt.Sprint(2*maxCharges-1), now) {
		t.Error("a charge covers the wrong request or time")
	}
	if c.Add("new", later); !c.Covers("new", later) {
		t.Error("expired charges leave no room for a new one")
	}
}

// TestCombineOutcomes guards against a request that may have run being reported as failed or
// not run.
func TestCombineOutcomes(t *testing.T) {
	for _, tc := range []struct{ a, b, want fault.Outcome }{
		{fault.OutcomeUnknown, fault.OutcomeNotRun, fault.OutcomeUnknown},
		{fault.OutcomeUnknown, fault.OutcomeFailed, fault.OutcomeUnknown},
		{fault.OutcomeNotRun, fault.OutcomeFailed, fault.OutcomeFailed},
		{fault.OutcomeUnknown, fault.OutcomeComplete, fault.OutcomeComplete},
		{fault.OutcomeNotRun, fault.OutcomeNotRun, fault.OutcomeNotRun},
	} {
		if got := CombineOutcomes(tc.a, tc.b); got != tc.want {
			t.Errorf("%s and %s: got %s, want %s", tc.a, tc.b, got, tc.want)
		}
	}
}

// TestEjection guards against ejecting more than half of the endpoints and against probing
// several endpoints at once.
func TestEjection(t *testing.T) {
	const total = 8
	var outliers Outliers
	for range 3 {
		for i := range total {
			outliers = outliers.WithFailure(fmt.Sprint(i), total, now)
		}
	}
	if known := outliers.WithOnlyKnown(func(e string) bool { return e != "0" }); known.EjectedCount() != total/2-1 {
		t.Errorf("%d endpoints are ejected after one was removed", known.EjectedCount())
	}
	if outliers.EjectedCount() != total/2 {
		t.Fatalf("%d of %d endpoints are ejected", outliers.EjectedCount(), total)
	}
	if _, ok := outliers.State("0", now).(Ejected); !ok {
		t.Error("an endpoint may be probed as soon as it is ejected")
	}
	later := now.Add(maxEjectionTime)
	probed := 0
	for i := range total {
		if _, ok := outliers.State(fmt.Sprint(i), later).(Probe); ok {
			outliers = outliers.WithProbe(fmt.Sprint(i), later)
			probed++
		}
	}
	if probed != 1 {
		t.Errorf("%d endpoints are probed at once", probed)
	}
	outliers = outliers.WithSuccess("0")
	if _, ok := outliers.State("0", later).(Available); !ok {
		t.Error("an endpoint that works again is not readmitted")
	}
	if _, ok := outliers.State("1", later).(Probe); !ok {
		t.Error("the next endpoint is not probed after the first")
	}
}

// TestNextProbe guards against an ejected endpoint that is never probed because endpoints
// that hold other models come before it, and against a probe that is too early.
func TestNextProbe(t *testing.T) {
	const total = 64
	now := time.Unix(0, 0)
	var outliers Outliers
	for i := range total / 2 {
		for range ejectionThreshold {
			outliers = outliers.WithFailure(fmt.Sprint(i), total, now.Add(time.Duration(i)*time.Millisecond))
		}
	}
	r := rand.New(rand.NewPCG(1, 2))
	last := func(id string) bool { return id == fmt.Sprint(total/2-1) }
	if id, ok := outliers.NextProbe(now.Add(minEjectionTime), r.IntN, last); ok {
		t.Errorf("%s may be probed too early", id)
	}
	due := now.Add(minEjectionTime + time.Second)
	tries := 1
	for ; tries < 100; tries++ {
		if id, ok := outliers.NextProbe(due, r.IntN, last); ok {
			if !last(id) {
				t.Fatalf("%s is not usable", id)
			}
			break
		}
	}
	if tries == 100 {
		t.Error("the endpoint is not probed in 100 requests")
	}
	if id, ok := outliers.WithProbe("0", due).NextProbe(due, r.IntN, last); ok {
		t.Errorf("%s is probed during another probe", id)
	}
	if id, ok := outliers.WithSuccess(fmt.Sprint(total/2-1)).NextProbe(due, r.IntN, last); ok {
		t.Errorf("%s is probed although it was readmitted", id)
	}
}

// TestRetryUntilSuccessorLoads guards against a request that fails within milliseconds
// because the only endpoint with its model drains while the successor still loads the model,
// and against one that waits much longer than such a load takes.
func TestRetryUntilSuccessorLoads(t *testing.T) {
	state := RequestState{Outcome: fault.OutcomeNotRun, Err: errorWithCode(fault.CodeLeaving), Dispatched: true, Idempotent: true, StartBy: now.Add(time.Minute)}
	at, spent := now, Budget{spent: maxSavedRetries}
	for {
		state.Attempts++
		d, _ := DefaultPolicy().Decide(state, spent, at, 0.5)
		a, ok := d.(Again)
		if !ok {
			break
		}
		at = at.Add(a.Wait)
	}
	if waited := at.Sub(now); waited < 5*time.Second || waited > 10*time.Second {
		t.Errorf("request stopped after %s and %d attempts", waited, state.Attempts)
	}
}
