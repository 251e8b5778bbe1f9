package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilhead/internal/state/fault"
)

var now = time.Unix(1000, 0)

func code(c string) *fault.Error { return fault.New(fault.Unavailable, c, "", "") }

// TestDecide guards against retries that are unsafe, late or beyond the budget.
func TestDecide(t *testing.T) {
	base := RequestState{Outcome: fault.OutcomeFailed, Err: code(fault.CodeEngineCrashed), Dispatched: true, Idempotent: true, Attempts: 1, StartBy: now.Add(time.Minute)}
	with := func(f func(*RequestState)) RequestState { c := base; f(&c); return c }
	spent := Budget{spent: budgetCap}
	for _, tc := range []struct {
		name   string
		facts  RequestState
		budget Budget
		want   Decision
	}{
		{"safe", base, Budget{}, Again{50 * time.Millisecond}},
		{"third", with(func(f *RequestState) { f.Attempts = 3 }), Budget{}, Again{200 * time.Millisecond}},
		{"longest wait", with(func(f *RequestState) { f.Attempts = 5 }), Budget{}, Again{800 * time.Millisecond}},
		{"complete", with(func(f *RequestState) { f.Outcome = fault.OutcomeComplete }), Budget{}, Stop{"complete"}},
		{"first byte delivered", with(func(f *RequestState) { f.Delivered = true }), Budget{}, Stop{"part of the answer was delivered"}},
		{"not repeatable", with(func(f *RequestState) { f.Idempotent = false }), Budget{}, Stop{"the request may not be repeated"}},
		{"not repeatable, refused", with(func(f *RequestState) {
			f.Idempotent, f.Outcome, f.Err = false, fault.OutcomeNotRun, code(fault.CodeLeaving)
		}), Budget{}, Stop{"the request may not be repeated"}},
		{"not repeatable, nothing sent", with(func(f *RequestState) { f.Idempotent, f.Dispatched = false, false }), spent, Again{50 * time.Millisecond}},
		{"deadline", with(func(f *RequestState) { f.StartBy = now.Add(20 * time.Millisecond) }), Budget{}, Stop{"the deadline comes first"}},
		{"attempts", with(func(f *RequestState) { f.Attempts = 6 }), Budget{}, Stop{"no attempts left"}},
		{"budget", base, spent, Stop{"the retry budget is spent"}},
		{"covered by an equal request's charge", with(func(f *RequestState) { f.Charged = true }), spent, Again{50 * time.Millisecond}},
		{"a charge covers crashes only", with(func(f *RequestState) { f.Charged, f.Err = true, code(fault.CodeTruncated) }), spent, Stop{"the retry budget is spent"}},
		{"leaving is free", with(func(f *RequestState) { f.Err = code(fault.CodeLeaving) }), spent, Again{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, _ := DefaultPolicy().Decide(tc.facts, tc.budget, now, 0.5); got != tc.want {
				t.Errorf("got %#v, want %#v", got, tc.want)
			}
		})
	}
}

// TestBudget guards against retries beyond a tenth of fresh requests in the long run.
func TestBudget(t *testing.T) {
	var b Budget
	f := RequestState{Outcome: fault.OutcomeFailed, Err: code(fault.CodeEngineCrashed), Dispatched: true, Idempotent: true, Attempts: 1, StartBy: now.Add(time.Minute)}
	retries := 0
	for range 1000 {
		b = b.WithRequest()
		var d Decision
		if d, b = DefaultPolicy().Decide(f, b, now, 0); d != (Stop{"the retry budget is spent"}) {
			retries++
		}
	}
	if retries > 1000*budgetShare+budgetCap {
		t.Errorf("%d retries for 1000 requests", retries)
	}
}

// TestCharges guards against charges that cover too long, and against a memory that
// grows with the number of crashing requests.
func TestCharges(t *testing.T) {
	var c CrashCharges
	for i := range 2 * maxCharges {
		c.Add(fmt.Sprint(i), now)
	}
	if len(c.until) > maxCharges {
		t.Errorf("%d charges are kept, want at most %d", len(c.until), maxCharges)
	}
	later := now.Add(chargeLifetime)
	if !c.Covers("0", now) || c.Covers("0", later) || c.Covers(fmt.Sprint(2*maxCharges-1), now) {
		t.Error("a charge covers the wrong request or time")
	}
	if c.Add("new", later); !c.Covers("new", later) {
		t.Error("expired charges take the place of a new one")
	}
}

// TestWorse guards against a request that may have run being reported as failed or not run.
func TestWorse(t *testing.T) {
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

// TestEject guards against ejecting more than half of the endpoints and against
// trying several ejected ones at once.
func TestEject(t *testing.T) {
	const total = 8
	var f Outliers
	for range 3 {
		for i := range total {
			f = f.WithFailure(fmt.Sprint(i), total, now)
		}
	}
	if g := f.WithOnlyKnown(func(e string) bool { return e != "0" }); g.EjectedCount() != total/2-1 {
		t.Errorf("%d ejected after one is gone", g.EjectedCount())
	}
	if f.EjectedCount() != total/2 {
		t.Fatalf("%d of %d ejected", f.EjectedCount(), total)
	}
	if _, ok := f.State("0", now).(Ejected); !ok {
		t.Error("an endpoint is tried again at once")
	}
	later := now.Add(maxEject)
	probed := 0
	for i := range total {
		if _, ok := f.State(fmt.Sprint(i), later).(Probe); ok {
			f = f.WithProbe(fmt.Sprint(i), later)
			probed++
		}
	}
	if probed != 1 {
		t.Errorf("%d endpoints are tried at once", probed)
	}
	f = f.WithSuccess("0")
	if _, ok := f.State("0", later).(Available); !ok {
		t.Error("an endpoint that works again is not readmitted")
	}
	if _, ok := f.State("1", later).(Probe); !ok {
		t.Error("the next endpoint is not tried after the first")
	}
}

// TestDue guards against an ejected endpoint that is never tried again because others
// are due before it that hold other models, and against one tried too early.
func TestDue(t *testing.T) {
	const total = 64
	now := time.Unix(0, 0)
	var f Outliers
	for i := range total / 2 {
		for range ejectAfter {
			f = f.WithFailure(fmt.Sprint(i), total, now.Add(time.Duration(i)*time.Millisecond))
		}
	}
	r := rand.New(rand.NewPCG(1, 2))
	last := func(id string) bool { return id == fmt.Sprint(total/2-1) }
	if id, ok := f.NextProbe(now.Add(firstEject), r.IntN, last); ok {
		t.Errorf("%s is due too early", id)
	}
	due := now.Add(firstEject + time.Second)
	tries := 1
	for ; tries < 100; tries++ {
		if id, ok := f.NextProbe(due, r.IntN, last); ok {
			if !last(id) {
				t.Fatalf("%s is not usable", id)
			}
			break
		}
	}
	if tries == 100 {
		t.Error("a due endpoint was not found in 100 requests")
	}
	if id, ok := f.WithProbe("0", due).NextProbe(due, r.IntN, last); ok {
		t.Errorf("%s is tried beside another one", id)
	}
	if id, ok := f.WithSuccess(fmt.Sprint(total/2-1)).NextProbe(due, r.IntN, last); ok {
		t.Errorf("%s is due although it works again", id)
	}
}

// TestLeavingHolders guards against a request being given up within milliseconds because
// the only endpoint that holds its model is leaving and its successor still loads, and
// against an answer that such a request waits for much longer.
func TestLeavingHolders(t *testing.T) {
	f := RequestState{Outcome: fault.OutcomeNotRun, Err: code(fault.CodeLeaving), Dispatched: true, Idempotent: true, StartBy: now.Add(time.Minute)}
	at, spent := now, Budget{spent: budgetCap}
	for {
		f.Attempts++
		d, _ := DefaultPolicy().Decide(f, spent, at, 0.5)
		a, ok := d.(Again)
		if !ok {
			break
		}
		at = at.Add(a.Wait)
	}
	if waited := at.Sub(now); waited < 5*time.Second || waited > 10*time.Second {
		t.Errorf("given up after %s and %d attempts", waited, f.Attempts)
	}
}
