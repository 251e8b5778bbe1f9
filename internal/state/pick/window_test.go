package pick

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBestInWindow guards against requests that a full window sends away although only its endpoint serves them in time, and against choices that change without windows.
func TestBestInWindow(t *testing.T) {
	inTime := func(ch Choice) bool { return ch.Estimate < time.Second }
	full := candidate("a", func(c *Candidate) { c.WindowFull = true })
	idle, busy := candidate("b", func(c *Candidate) { c.PrefillTokens = 2000 }), candidate("b", func(c *Candidate) { c.PrefillTokens = 200_000 })
	for name, tc := range map[string]struct {
		list []Candidate
		want string
	}{
		"another endpoint is in time":     {[]Candidate{full, idle}, "b"},
		"the other endpoint is too late":  {[]Candidate{full, busy}, "a"},
		"no other endpoint has the model": {[]Candidate{full, candidate("b", func(c *Candidate) { c.State.Models = nil })}, "a"},
	} {
		if ch, ok := BestInWindow(request("m"), tc.list, latencyModel, testTime, 8, zeroDraw, inTime); !ok || ch.ID != tc.want {
			t.Errorf("%s: %q was chosen, want %q", name, ch.ID, tc.want)
		}
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		list := []Candidate{candidate("a", nil), candidate("b", nil), candidate("c", nil)}
		for i := range list {
			list[i].PrefillTokens, list[i].InFlight = rnd.IntN(9000), rnd.IntN(90)
		}
		req, draw := request([]string{"m", "m/x", ""}[rnd.IntN(3)]), rnd.Float64()
		want, wantOK := Best(req, list, latencyModel, testTime, 8, func() float64 { return draw })
		got, ok := BestInWindow(req, list, latencyModel, testTime, 8, func() float64 { return draw }, func(Choice) bool { return false })
		if got != want || ok != wantOK {
			t.Fatalf("without windows %+v was chosen, want %+v", got, want)
		}
	}
}

// TestAssess guards against reasons that differ from the choice: an endpoint that is excluded but chosen, or a cheaper one that isn't.
func TestAssess(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 1))
	for range 500 {
		list := []Candidate{candidate("a", nil), candidate("b", nil), candidate("c", nil)}
		for i := range list {
			c := &list[i]
			c.PrefillTokens, c.InFlight, c.PauseLeft = rnd.IntN(9000), rnd.IntN(90), time.Duration(rnd.IntN(2))*time.Second
			c.State.Leaving = rnd.IntN(3) == 0
		}
		req := request([]string{"m", "m/x", "", "n"}[rnd.IntN(4)])
		ch, ok := Best(req, list, latencyModel, testTime, 8, func() float64 { return 0.5 })
		want := ""
		lowest := time.Duration(0)
		for _, a := range Assess(req, list, latencyModel, testTime, 8) {
			if a.Excluded == Included && (want == "" || a.Cost < lowest) {
				want, lowest = a.Choice.ID, a.Cost
			}
		}
		if ok != (want != "") || ch.ID != want {
			t.Fatalf("%q is chosen, %q assessed as the best", ch.ID, want)
		}
	}
}

// TestProbe guards against requests that are lost because they go to an endpoint that has not responded since it failed.
func TestProbe(t *testing.T) {
	failed := candidate("a", func(c *Candidate) {
		c.Health, c.Forgiven, c.Probing = c.Health.WithResult(false, testTime), true, true
	})
	list := []Candidate{failed, candidate("b", func(c *Candidate) { c.PrefillTokens = 2000 })}
	for _, tc := range []struct {
		repeatable, responded bool
		tried                 []string
		want                  string
	}{
		{true, false, nil, "a"},
		{false, false, nil, "b"},
		{true, false, []string{"c"}, "b"},
		{false, true, nil, "a"},
	} {
		req := request("m")
		req.SharedParts, req.Repeatable, req.Tried = 0, tc.repeatable, tc.tried
		list[0].Probing = !tc.responded
		if ch, _ := Best(req, list, latencyModel, testTime, 8, zeroDraw); ch.ID != tc.want {
			t.Errorf("%+v: %q was chosen", tc, ch.ID)
		}
	}
}
