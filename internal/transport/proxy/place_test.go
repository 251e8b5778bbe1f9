package proxy

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// TestNoPlaceForAdapter plays a request for an adapter that no endpoint has a place for: it
// is refused as not run within a part of its time, and counts once for the planner though
// it asked several endpoints several times.
func TestNoPlaceForAdapter(t *testing.T) {
	a, b := startEndpoint(t, ok), startEndpoint(t, ok)
	g := startGateway(t, fleet.Stream, false, a, b)
	g.full.Store(true)
	began := time.Now()
	res, err := g.ask(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Model": "m/x"}, "")
	if err != nil || res.status != 503 || res.header.Get("Retry-After") == "" {
		t.Fatalf("answer %+v, error %v", res, err)
	}
	if took := time.Since(began); took > 400*time.Millisecond {
		t.Errorf("refused after %v of 600 ms", took)
	}
	if a.runs.Load()+b.runs.Load() != 0 {
		t.Error("the request ran")
	}
	if n := g.crowds.Load(); n != 1 {
		t.Errorf("counted %d times, want once", n)
	}
}

// TestFullEngines plays a request that all copies of its model turn away because they are
// full: it is refused as not run, and the planner learns of it.
func TestFullEngines(t *testing.T) {
	a, b := startEndpoint(t, notRun), startEndpoint(t, notRun)
	g := startGateway(t, fleet.Stream, false, a, b)
	res, err := g.ask(t.Context(), t, "POST", "/a/x", nil, "")
	if err != nil || res.status != 503 || res.header.Get("Retry-After") == "" {
		t.Fatalf("answer %+v, error %v", res, err)
	}
	if n := g.crowds.Load(); n != 1 {
		t.Errorf("the planner was told %d times, want once", n)
	}
}
