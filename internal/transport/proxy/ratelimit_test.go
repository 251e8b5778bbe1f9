package proxy

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
)

// startLimitedEndpoint starts an endpoint whose answers name the limit that the returned value
// holds.
func startLimitedEndpoint(t *testing.T, limit string) (*fakeEndpoint, *atomic.Value) {
	t.Helper()
	named := &atomic.Value{}
	named.Store(limit)
	return startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		header := ""
		if v, _ := named.Load().(string); v != "" {
			header = "Test-Limit: " + v + "\r\n"
		}
		reply(c, r, 200, header, "fine")
	}), named
}

// expectStatus sends a request to a gateway and checks the status and that the answer came soon.
func expectStatus(t *testing.T, g *gateway, want int) {
	t.Helper()
	began := time.Now()
	res, err := g.do(t.Context(), t, "POST", "/a/x", nil, "")
	if err != nil || res.status != want || want == http.StatusServiceUnavailable && res.header.Get("Retry-After") == "" {
		t.Fatalf("response %+v, error %v, want status %d, with Retry-After if it is 503", res, err, want)
	}
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("status %d after %v", want, took)
	}
}

// TestOnlyEndpointLimited guards against requests that wait in vain for the only endpoint of a model, and against a limit that outlives its end.
func TestOnlyEndpointLimited(t *testing.T) {
	e, named := startLimitedEndpoint(t, "0.5")
	g := startGateway(t, fleet.Stream, false, e)
	expectStatus(t, g, http.StatusOK)
	for range 5 {
		expectStatus(t, g, http.StatusServiceUnavailable)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want one", n)
	}
	if g.noCapacity.Load() == 0 {
		t.Error("the planner was not told that the model lacks capacity")
	}
	named.Store("0.5 or so")
	time.Sleep(3 * time.Second)
	expectStatus(t, g, http.StatusOK)
	expectStatus(t, g, http.StatusServiceUnavailable)
	named.Store("")
	time.Sleep(3 * time.Second)
	for range 3 {
		expectStatus(t, g, http.StatusOK)
	}
}

// TestOtherEndpointsTakeLimitedLoad guards against rejections for an endpoint's limit while another one has none.
func TestOtherEndpointsTakeLimitedLoad(t *testing.T) {
	limited, _ := startLimitedEndpoint(t, "1")
	free := startEndpoint(t, serveOK)
	g := startGateway(t, fleet.Stream, false, limited, free)
	for range 20 {
		expectStatus(t, g, http.StatusOK)
	}
	if n := limited.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the limited endpoint, want one", n)
	}
}

// TestEndpointLeavesDuringRateWait guards against a request that waited for an endpoint's limit and is sent although the endpoint leaves.
func TestEndpointLeavesDuringRateWait(t *testing.T) {
	e, _ := startLimitedEndpoint(t, "5")
	g := startGateway(t, fleet.Stream, false, e)
	expectStatus(t, g, http.StatusOK)
	time.AfterFunc(100*time.Millisecond, func() {
		states := slices.Clone(*g.states.Load())
		states[0].Leaving = true
		g.states.Store(&states)
		v := *g.view.Load()
		v.Endpoints = maps.Clone(v.Endpoints)
		v.Endpoints["e0"] = states[0].Endpoint
		g.view.Store(&v)
	})
	res, err := g.do(t.Context(), t, "POST", "/a/x", nil, "")
	if err != nil || res.status != http.StatusServiceUnavailable || e.requests.Load() != 1 {
		t.Errorf("response %+v, error %v, %d requests at the endpoint, want 503 and one request", res, err, e.requests.Load())
	}
}

func TestParseRateLimit(t *testing.T) {
	for text, want := range map[string]rateLimit{"": {}, "1": {true, 1}, "0.25": {true, 0.25}, "0": {named: true}, "1e3": {true, 1000}} {
		if got, err := parseRateLimit(text); err != nil || got != want {
			t.Errorf("%q: got %+v, error %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "Inf", "1/s", " ", "1,5"} {
		if _, err := parseRateLimit(text); !errors.Is(err, errInvalidRateLimit) {
			t.Errorf("%q: got error %v", text, err)
		}
	}
}

// TestRejectionKeepsRateLimit guards against a limit that ends with a rejection that lacks the field.
func TestRejectionKeepsRateLimit(t *testing.T) {
	var served atomic.Int64
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		if served.Add(1) == 1 {
			reply(c, r, 200, "Test-Limit: 5\r\n", "fine")
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 X\r\nTest-Request: %s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Request"))
	})
	g := startGateway(t, fleet.AtMostOnce, false, e)
	expectStatus(t, g, http.StatusOK)
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if _, err := g.do(t.Context(), t, "POST", "/a/x", nil, ""); err != nil {
			t.Fatal(err)
		}
	}
	if n := served.Load(); n > 6 {
		t.Errorf("%d requests reached the endpoint in a second, want at most its limit of 5 and the first one", n)
	}
}

// BenchmarkCandidates measures the collection of candidates at the target of 600 endpoints.
func BenchmarkCandidates(b *testing.B) {
	for name, limit := range map[string]rateLimit{"no_limits": {}, "all_limited": {named: true, perSecond: 1}} {
		b.Run(name, func(b *testing.B) {
			tr := newTracker(budget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, true)
			var states []fleet.State
			for i := range 600 {
				e := fleet.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s"}
				states = append(states, fleet.State{Endpoint: e})
				tr.setRateLimit(e, limit, 0.5)
			}
			b.ReportAllocs()
			for b.Loop() {
				tr.candidates(states, 4, pick.Request{Service: "s"}, 340, func(fleet.Endpoint) bool { return true })
			}
		})
	}
}

// TestRateLimitOutlivesRegistration guards against a limit that is forgotten because the endpoint's registration was missing for a while or an older incarnation's answer came late.
func TestRateLimitOutlivesRegistration(t *testing.T) {
	tr := newTracker(budget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, true)
	old, next := fleet.Endpoint{ID: "e", Service: "s", Incarnation: 1}, fleet.Endpoint{ID: "e", Service: "s", Incarnation: 2}
	limited := func() bool {
		list := tr.candidates([]fleet.State{{Endpoint: next}}, 4, pick.Request{Service: "s"}, 1, func(fleet.Endpoint) bool { return false })
		return list[0].RateWait > 0
	}
	_, oldEnded := tr.beginRequest(old, pick.Request{Service: "s"}, 0)
	tr.setRateLimit(next, rateLimit{named: true, perSecond: 0.5}, 0)
	if !limited() {
		t.Fatal("the limit isn't in force")
	}
	tr.recordResult(old, true)
	oldEnded()
	if !limited() {
		t.Error("the end of a request to the incarnation before ended the limit")
	}
	tr.retain(func(string) bool { return false })
	if !limited() {
		t.Error("a missing registration ended the limit")
	}
}
