package proxy

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// TestNoAdapterSlot checks that a request for an adapter for which no endpoint has a free slot
// is rejected as not run well before its deadline, and is reported to the planner once although
// several endpoints were asked several times.
func TestNoAdapterSlot(t *testing.T) {
	a, b := startEndpoint(t, serveOK), startEndpoint(t, serveOK)
	g := startGateway(t, fleet.Stream, false, a, b)
	g.noAdapterSlot.Store(true)
	began := time.Now()
	res, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Model": "m/x"}, "")
	if err != nil || res.status != 503 || res.header.Get("Retry-After") == "" {
		t.Fatalf("response %+v, error %v", res, err)
	}
	if took := time.Since(began); took > 400*time.Millisecond {
		t.Errorf("rejected after %v of 600 ms", took)
	}
	if a.requests.Load()+b.requests.Load() != 0 {
		t.Error("the request ran")
	}
	if n := g.noCapacity.Load(); n != 1 {
		t.Errorf("the planner was told %d times, want once", n)
	}
}

// TestFullEngines checks that a request that all replicas of its model reject as full is
// rejected as not run and reported to the planner.
func TestFullEngines(t *testing.T) {
	a, b := startEndpoint(t, reject), startEndpoint(t, reject)
	g := startGateway(t, fleet.Stream, false, a, b)
	res, err := g.do(t.Context(), t, "POST", "/a/x", nil, "")
	if err != nil || res.status != 503 || res.header.Get("Retry-After") == "" {
		t.Fatalf("response %+v, error %v", res, err)
	}
	if n := g.noCapacity.Load(); n != 1 {
		t.Errorf("the planner was told %d times, want once", n)
	}
}

// TestTimeoutsFollowObjective guards against waits that are right for long objectives only, and
// against ones that are too short for a route without an objective.
func TestTimeoutsFollowObjective(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct{ objective, adapter, dial time.Duration }{
		{0, 300 * ms, 0},
		{100 * ms, 120 * ms, 80 * ms},
		{250 * ms, 125 * ms, 125 * ms},
		{300 * ms, 150 * ms, 150 * ms},
		{800 * ms, 300 * ms, 400 * ms},
	} {
		r := fleet.Route{Objective: tc.objective}
		if a, d := adapterLoadTimeout(r), dialTimeout(r); a != tc.adapter || d != tc.dial {
			t.Errorf("objective %v: adapter %v, dial %v, want %v and %v", tc.objective, a, d, tc.adapter, tc.dial)
		}
	}
}
