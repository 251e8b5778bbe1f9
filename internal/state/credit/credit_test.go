package credit

import (
	"math"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

var start = time.Unix(1_000_000, 0)

func poolOf(q fleet.Quota, gateways int) (*Pool, Fleet) {
	return NewPool(1, start), Fleet{Groups: map[string]fleet.Group{"g": {Name: "g", Quota: q}}, Gateways: gateways}
}

// ask sends a request for one group and returns the grant.
func ask(t *testing.T, p *Pool, f Fleet, at time.Time, gateway string, seq uint64, e Entry) GrantEntry {
	t.Helper()
	e.Group = "g"
	g, ok := p.Handle(at, Request{Gateway: gateway, Incarnation: 1, Sequence: seq, Entries: []Entry{e}}, f)
	if !ok || len(g.Entries) != 1 {
		t.Fatalf("no reply to %s %d: %+v", gateway, seq, g)
	}
	return g.Entries[0]
}

// TestRepeatedRequest guards against a lost reply that makes the planner grant the same credit
// twice, and against a late request that replaces a newer report.
func TestRepeatedRequest(t *testing.T) {
	p, f := poolOf(tokens(100_000), 1)
	ask(t, p, f, start, "a", 1, Entry{})
	at := start.Add(3 * time.Second)
	first := ask(t, p, f, at, "a", 2, Entry{Need: 5000, Least: 5000})
	again := ask(t, p, f, at.Add(resendAfter), "a", 2, Entry{Need: 5000, Least: 5000})
	if first.Granted != 5000 || again != first {
		t.Errorf("granted %+v, then %+v", first, again)
	}
	if held := p.groups["g"].held; held != 5000 {
		t.Errorf("the pool counts %v units at the gateway", held)
	}
	if _, ok := p.Handle(at, Request{Gateway: "a", Incarnation: 1, Sequence: 1}, f); ok {
		t.Error("an older request got a reply")
	}
}

// TestCapacityCountsHeldCredit guards against a bucket that fills up while gateways hold credit,
// so that both can be used in one window.
func TestCapacityCountsHeldCredit(t *testing.T) {
	q := tokens(100_000)
	p, f := poolOf(q, 2)
	ask(t, p, f, start, "a", 1, Entry{})
	ask(t, p, f, start, "b", 1, Entry{})
	at := start.Add(5 * time.Second)
	ask(t, p, f, at, "b", 2, Entry{})
	a := ask(t, p, f, at, "a", 2, Entry{Ahead: 60_000})
	at = at.Add(900 * time.Millisecond)
	ask(t, p, f, at, "a", 3, Entry{Held: a.Granted})
	b := ask(t, p, f, at, "b", 3, Entry{Need: math.MaxUint32, Least: 1000, Ahead: 0})
	rest := ask(t, p, f, at, "b", 4, Entry{Held: b.Granted, Need: 300_000, Least: 1000})
	if a.Granted != 60_000 || p.groups["g"].held > capacity(q) || p.groups["g"].bucket.Level()+p.groups["g"].held > capacity(q) {
		t.Errorf("granted %d, %d and %d of %v units", a.Granted, b.Granted, rest.Granted, capacity(q))
	}
}

// TestReplyAfterFreeze guards against credit from a reply that waited in the socket buffer of a
// frozen gateway, and against credit that a thawed gateway still spends.
func TestReplyAfterFreeze(t *testing.T) {
	g := fleet.Group{Name: "g", Quota: tokens(100_000)}
	a := NewAccount("a", 1, start)
	a.Arrive(start, g, 1000)
	r, _ := a.Next(start)
	if !a.Apply(start.Add(time.Millisecond), Grant{Term: 1, Sequence: r.Sequence, Entries: []GrantEntry{{Granted: 9000}}}) {
		t.Fatal("the reply was not accepted")
	}
	if _, ok := a.Take(start.Add(2*time.Millisecond), g, 1000, 1).(Taken); !ok {
		t.Fatal("the credit was not spent")
	}
	at := start.Add(time.Second)
	r, _ = a.Next(at)
	at = at.Add(maxReplyAge + time.Millisecond)
	if a.Apply(at, Grant{Term: 1, Sequence: r.Sequence, Entries: make([]GrantEntry, len(r.Entries))}) {
		t.Error("a reply was accepted after a freeze")
	}
	if c := a.Credit(at, "g"); c != 0 {
		t.Errorf("%v units are left after a freeze", c)
	}
}

// TestLowerTerm guards against a planner that was frozen, doesn't know yet that it has a
// successor and grants credit a second time.
func TestLowerTerm(t *testing.T) {
	a := NewAccount("a", 1, start)
	r, _ := a.Next(start)
	a.Apply(start, Grant{Term: 2, Sequence: r.Sequence})
	at := start.Add(heartbeat)
	r, _ = a.Next(at)
	if a.Apply(at, Grant{Term: 1, Sequence: r.Sequence}) {
		t.Error("a grant of a lower term was accepted")
	}
}

// TestUnusedCreditReturned guards against credit that stays at a gateway whose demand has moved
// away.
func TestUnusedCreditReturned(t *testing.T) {
	g := fleet.Group{Name: "g", Quota: tokens(100_000)}
	a := NewAccount("a", 1, start)
	a.Arrive(start, g, 1000)
	r, _ := a.Next(start)
	a.Apply(start, Grant{Term: 1, Sequence: r.Sequence, Entries: []GrantEntry{{Granted: 9000}}})
	at := start.Add(unusedAfter + time.Millisecond)
	r, ok := a.Next(at)
	if !ok || len(r.Entries) != 1 || r.Entries[0].Returned != 9000 || r.Entries[0].Held != 0 || r.Entries[0].Ahead != 0 {
		t.Errorf("the gateway sent %+v", r)
	}
}

// TestRefusedWait guards against callers that are told a time at which the budget doesn't cover
// their request yet.
func TestRefusedWait(t *testing.T) {
	p, f := poolOf(tokens(10_000), 1)
	ask(t, p, f, start, "a", 1, Entry{})
	e := ask(t, p, f, start.Add(100*time.Millisecond), "a", 2, Entry{Need: 6000, Least: 6000})
	if want := 500 * time.Millisecond; e.Granted != 0 || e.Wait < want || e.Wait > want+time.Millisecond {
		t.Errorf("granted %d, wait %v, want %v", e.Granted, e.Wait, want)
	}
	if e = ask(t, p, f, start.Add(600*time.Millisecond), "a", 3, Entry{Need: 6000, Least: 6000}); e.Granted != 6000 {
		t.Errorf("granted %d after the wait", e.Granted)
	}
}

// TestAboveShare guards against a lower priority for groups that use their share, and against
// groups with other units in the comparison.
func TestAboveShare(t *testing.T) {
	requests := fleet.Quota{Unit: fleet.QuotaRequests, PerSecond: 10}
	above := AboveShare(map[string]Use{
		"usual": {tokens(100_000), 55_000}, "small": {tokens(29_000), 16_000}, "idle": {tokens(610_000), 200_000},
		"flood": {tokens(100_000), 100_000}, "requests": {requests, 10},
	})
	if len(above) != 1 || !above["flood"] {
		t.Errorf("above their share: %v", above)
	}
	if above := AboveShare(map[string]Use{"a": {tokens(100), 60}, "b": {tokens(50), 30}, "c": {tokens(29), 15}}); len(above) != 0 {
		t.Errorf("above their share at usual use: %v", above)
	}
}

// TestPoorlyServed guards against a lower priority for a group that is already served less often
// than the others, and shows the worst tenth.
func TestPoorlyServed(t *testing.T) {
	s := NewService()
	for i := range 40 {
		s.Add(start, "well", true)
		s.Add(start, "poor", i%4 == 0)
	}
	if !s.PoorlyServed("poor", start) || s.PoorlyServed("well", start) || s.PoorlyServed("unknown", start) {
		t.Error("the wrong group counts as poorly served")
	}
	if w := s.Worst(start); math.Abs(w-0.25/0.625) > 1e-9 {
		t.Errorf("the worst tenth is served %.3f times as often", w)
	}
}

// TestCreditEndsWithoutReplies guards against credit that a gateway still uses when the planner,
// which no longer hears it, has given it to others.
func TestCreditEndsWithoutReplies(t *testing.T) {
	g := fleet.Group{Name: "g", Quota: tokens(100_000)}
	a := NewAccount("a", 1, start)
	a.Arrive(start, g, 1000)
	r, _ := a.Next(start)
	a.Apply(start, Grant{Term: 1, Sequence: r.Sequence, Entries: []GrantEntry{{Granted: 90_000}}})
	at := start
	for ; at.Sub(start) <= lifetime; at = at.Add(unusedAfter / 2) {
		if _, ok := a.Take(at, g, 1000, 1).(Taken); !ok {
			t.Fatalf("no credit after %v", at.Sub(start))
		}
	}
	if c := a.Credit(at, "g"); c != 0 {
		t.Errorf("%v units are left after %v", c, at.Sub(start))
	}
}
