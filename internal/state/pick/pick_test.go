package pick

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
)

var (
	start = time.Unix(1000, 0)
	model = LatencyModel{PrefillPerToken: 25 * time.Microsecond, MeanPrefillTokens: 1000, MeanServiceTime: 50 * time.Millisecond}
)

func none() float64 { return 0 }

func candidate(id string, change func(c *Candidate)) Candidate {
	c := Candidate{Slots: 64, State: fleet.State{Endpoint: fleet.Endpoint{
		ID: id, Service: "s", FailureDomain: "z", Models: []fleet.Resident{{Model: "m"}},
	}}}
	if change != nil {
		change(&c)
	}
	return c
}

func request(name string) Request {
	n := fleet.ParseModelName(name)
	parts := ParsePromptParts(n, "aa:4000,bb:2000,cc:1000")
	return Request{Service: "s", ModelName: n, Parts: parts, SharedParts: len(parts) - 1, FailureDomain: "z"}
}

func TestBest(t *testing.T) {
	// home is what all gateways prefer for the prompt among a and b.
	home := Home(request("m"), []Candidate{candidate("a", nil), candidate("b", nil)})
	other := map[string]string{"a": "b", "b": "a"}[home]
	report := func(c *Candidate, l fleet.Status) {
		l.ReceivedAt, l.Alive = start, true
		if l.Models == nil {
			l.Models = c.State.Models
		}
		c.State.Status, c.State.Reported = l, true
	}
	for _, tc := range []struct {
		name       string
		home, away func(c *Candidate)
		request    string
		want       string
	}{
		{"an unknown prompt goes to its home", nil, nil, "m", home},
		{"a kept prompt goes where it is kept", nil, func(c *Candidate) { c.CachedTokens = 6000 }, "m", other},
		{"a long queue is worth reading again", func(c *Candidate) { c.PrefillTokens = 20000 }, nil, "m", other},
		{"the requests of other gateways count", func(c *Candidate) { report(c, fleet.Status{Waiting: 20}) }, nil, "m", other},
		{"an endpoint that leaves gets nothing", func(c *Candidate) { c.State.Leaving = true }, nil, "m", other},
		{"one without the model neither", func(c *Candidate) { c.State.Models = nil }, nil, "m", other},
		{"one whose engine doesn't answer neither", func(c *Candidate) { report(c, fleet.Status{}); c.State.Status.Alive = false }, nil, "m", other},
		{"one that can't be reached neither", func(c *Candidate) { c.Health = health.Record{}.WithConnectFailure(start) }, nil, "m", other},
		{"one that fails often is avoided", func(c *Candidate) {
			for range 4 {
				c.Health = c.Health.WithResult(false, start)
			}
		}, nil, "m", other},
		{"a slow one is avoided", func(c *Candidate) {
			for range 20 {
				c.Health = c.Health.WithLatency(time.Second, 50*time.Millisecond, start)
			}
		}, nil, "m", other},
		{"a host that may be frozen is avoided", func(c *Candidate) { c.State.KeeperSilent = true }, nil, "m", other},
		{"a full memory is avoided", func(c *Candidate) { report(c, fleet.Status{KVUsedTokens: 1000, KVTotalTokens: 1000}) }, nil, "m", other},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := []Candidate{candidate(home, tc.home), candidate(other, tc.away)}
			ch, ok := Best(request(tc.request), list, model, start, 8, none)
			if !ok || ch.ID != tc.want {
				t.Errorf("chose %q (%v), want %q", ch.ID, ok, tc.want)
			}
		})
	}
}

func TestAdapterStaysWhereItIs(t *testing.T) {
	with := func(c *Candidate) { c.State.Models = []fleet.Resident{{Model: "m", Adapters: []string{"x"}}} }
	for _, id := range []string{"a", "b"} {
		list := []Candidate{candidate("a", nil), candidate("b", nil)}
		for i := range list {
			if list[i].State.ID == id {
				with(&list[i])
			}
		}
		ch, ok := Best(request("m/x"), list, model, start, 8, none)
		if !ok || ch.ID != id || ch.LoadAdapter {
			t.Errorf("chose %+v, want %q, which holds the adapter", ch, id)
		}
	}
	full := func(c *Candidate) {
		c.State.Reported = true
		c.State.Status = fleet.Status{ReceivedAt: start, Alive: true, AdaptersInUse: 2, Models: []fleet.Resident{{Model: "m", Adapters: []string{"y", "z"}}}}
	}
	ch, ok := Best(request("m/x"), []Candidate{candidate("a", full), candidate("b", nil)}, model, start, 2, none)
	if !ok || ch.ID != "b" || !ch.LoadAdapter {
		t.Errorf("chose %+v, want b, which has a place", ch)
	}
}

// TestAdapterAvoidsLoad plays a request for an adapter that nobody holds while an engine
// loads a model and rejects other orders.
func TestAdapterAvoidsLoad(t *testing.T) {
	home := Home(request("m/x"), []Candidate{candidate("a", nil), candidate("b", nil)})
	other := map[string]string{"a": "b", "b": "a"}[home]
	for _, load := range []fleet.Status{{ExecutingOrder: true}, {LoadingModels: []string{"n"}}} {
		load.ReceivedAt, load.Alive, load.Models = start, true, []fleet.Resident{{Model: "m"}}
		loads := candidate(home, func(c *Candidate) { c.State.Status, c.State.Reported = load, true })
		if ch, ok := Best(request("m/x"), []Candidate{loads, candidate(other, nil)}, model, start, 8, none); !ok || ch.ID != other {
			t.Errorf("chose %+v, want %q, which takes orders", ch, other)
		}
		if ch, ok := Best(request("m/x"), []Candidate{loads}, model, start, 8, none); !ok || ch.Estimate < loadingWait {
			t.Errorf("estimated %v (%v) at an engine that takes no orders now", ch.Estimate, ok)
		}
		held := candidate(home, func(c *Candidate) {
			c.State.Status, c.State.Reported = load, true
			c.State.Status.Models = []fleet.Resident{{Model: "m", Adapters: []string{"x"}}}
		})
		if ch, ok := Best(request("m/x"), []Candidate{held, candidate(other, nil)}, model, start, 8, none); !ok || ch.ID != home {
			t.Errorf("chose %+v, want %q, which holds the adapter and serves it during the load", ch, home)
		}
	}
}

func TestNoCandidate(t *testing.T) {
	if ch, ok := Best(request("other"), []Candidate{candidate("a", nil)}, model, start, 8, none); ok {
		t.Errorf("chose %+v for a model that nobody holds", ch)
	}
	tried := request("m")
	tried.Tried = []string{"a"}
	if ch, ok := Best(tried, []Candidate{candidate("a", nil)}, model, start, 8, none); ok {
		t.Errorf("chose %+v again", ch)
	}
}

// TestSilentHost sends at most one request without a first token to a host that may be frozen.
func TestSilentHost(t *testing.T) {
	c := candidate("a", func(c *Candidate) { c.State.KeeperSilent = true })
	if _, ok := Best(request("m"), []Candidate{c}, model, start, 8, none); !ok {
		t.Error("the only endpoint got nothing; its keeper alone may be gone")
	}
	c.Prefilling = 1
	if _, ok := Best(request("m"), []Candidate{c}, model, start, 8, none); ok {
		t.Error("a second request was sent to a host that may be frozen")
	}
}

// TestPlainSpread plays calls to equal endpoints and checks that none gets far more.
func TestPlainSpread(t *testing.T) {
	list := []Candidate{candidate("a", nil), candidate("b", nil), candidate("c", nil), candidate("d", nil)}
	for i := range list {
		list[i].Slots = 6
	}
	for i := range 24 {
		ch, ok := Best(Request{Service: "s", FailureDomain: "z"}, list, model, start, 0, func() float64 { return float64(i%5) / 5 })
		if !ok {
			t.Fatal("no endpoint")
		}
		for k := range list {
			if list[k].State.ID == ch.ID {
				list[k].InFlight++
			}
		}
	}
	for _, c := range list {
		if c.InFlight > 8 || c.InFlight < 4 {
			t.Errorf("endpoint %s has %d of 24 calls", c.State.ID, c.InFlight)
		}
	}
}

func FuzzPrompt(f *testing.F) {
	f.Add("aa:4000,bb:2000", "1460,80")
	f.Add(":,", ",")
	f.Add("a:-1,b:99999999999999999999", "-5")
	f.Fuzz(func(t *testing.T, parts, counts string) {
		for _, p := range ParsePromptParts(fleet.ModelName{Model: "m"}, parts) {
			if p.Tokens < 0 {
				t.Fatalf("a part of %d tokens", p.Tokens)
			}
		}
		if a, b := ParseTokenCounts(counts); a < 0 || b < 0 {
			t.Fatalf("counts %d and %d", a, b)
		}
	})
}
