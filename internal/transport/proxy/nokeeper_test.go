package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// TestNoKeeper guards against requests that wait for a model or an adapter that nobody can load.
func TestNoKeeper(t *testing.T) {
	serve := func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		writeChunk(c, event(1))
		writeChunk(c, "")
	}
	for _, tc := range []struct {
		name, model string
		status      int
		// runs counts the requests at the endpoint without and the one with the adapter.
		runs [2]int64
	}{
		{"a resident model is served", "m", 200, [2]int64{1, 0}},
		{"an adapter is served where it is resident", "m/a", 200, [2]int64{0, 1}},
		{"an adapter that is not resident is rejected", "m/b", 503, [2]int64{0, 0}},
		{"a model that is not resident is rejected", "n", 503, [2]int64{0, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			without, with := startEndpoint(t, serve), startEndpoint(t, serve)
			g := startGateway(t, fleet.Stream, false, without, with)
			g.configure(fleet.Route{Timeout: 4 * time.Second}, fleet.Model{Name: "m"}, fleet.Model{Name: "n", StoreLoadTime: 100 * time.Millisecond})
			states := append([]fleet.State(nil), *g.states.Load()...)
			states[1].Models = []fleet.Resident{{Model: "m", Adapters: []string{"a"}}}
			g.states.Store(&states)
			g.keepersAbsent.Store(true)
			began := time.Now()
			a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Model": tc.model}, "p")
			if err != nil || a.status != tc.status || (tc.status == 503) != (a.header.Get("Retry-After") != "") {
				t.Fatalf("response %+v, error %v", a, err)
			}
			if took := time.Since(began); took > 200*time.Millisecond {
				t.Errorf("ended after %v", took)
			}
			if runs := [2]int64{without.requests.Load(), with.requests.Load()}; runs != tc.runs {
				t.Errorf("requests received %v, want %v", runs, tc.runs)
			}
		})
	}
}
