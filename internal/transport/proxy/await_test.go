package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// configure gives the gateway one streaming route, based on r, to endpoints of the models.
func (g *gateway) configure(r fleet.Route, models ...fleet.Model) {
	r.Name, r.Host, r.Prefix, r.Kind, r.MaxAttempts = "r", "test.example", "/a/", fleet.Stream, 1
	r.Targets = []fleet.Target{{Service: "s", Weight: 1}}
	spec := &fleet.EngineSpec{Slots: 64, Models: map[string]fleet.Model{}}
	for _, m := range models {
		spec.Models[m.Name] = m
	}
	v := *g.view.Load()
	v.Config = fleet.NewConfig(2, []fleet.Route{r}, []fleet.Service{{Name: "s", Engine: spec}}, fleet.Limits{})
	g.view.Store(&v)
}

// TestRequestWaitsForModel checks that a request waits for the next replica of a model whose
// only endpoint died, if a load from the weight store or from a host's disk fits its time.
func TestRequestWaitsForModel(t *testing.T) {
	for _, tc := range []struct {
		name   string
		model  fleet.Model
		onDisk []string
	}{
		{"from the weight store", fleet.Model{Name: "m", StoreLoadTime: 200 * time.Millisecond}, nil},
		{"from a disk", fleet.Model{Name: "m", StoreLoadTime: time.Hour, DiskLoadTime: 200 * time.Millisecond}, []string{"m"}},
	} {
		t.Run(tc.name, func(t *testing.T) { testModelWait(t, tc.model, tc.onDisk) })
	}
}

func testModelWait(t *testing.T, m fleet.Model, onDisk []string) {
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		writeChunk(c, event(1))
		writeChunk(c, "")
	})
	g := startGateway(t, fleet.Stream, false, e)
	g.configure(fleet.Route{Timeout: 2 * time.Second}, m)
	alive := *g.states.Load()
	dead := []fleet.State{alive[0], alive[0]}
	dead[0].StatusSupersedes, dead[0].Status = true, fleet.Status{ReceivedAt: time.Now().Add(time.Hour), Models: alive[0].Models}
	dead[1].ID, dead[1].Models = "empty", nil
	dead[1].StatusSupersedes, dead[1].Status = true, fleet.Status{ReceivedAt: time.Now(), Alive: true, OnDisk: onDisk}
	g.states.Store(&dead)
	time.AfterFunc(150*time.Millisecond, func() { g.states.Store(&alive) })
	a, err := g.do(context.Background(), t, "POST", "/a/x", nil, "p")
	if err != nil || a.status != 200 || a.body != event(1) {
		t.Fatalf("response %+v, error %v", a, err)
	}
}

// TestLoadExceedsClientIdleTimeout checks that a request for a model whose load fits the
// request's time, but not its client's idle timeout, is rejected at once rather than held
// until the client leaves.
func TestLoadExceedsClientIdleTimeout(t *testing.T) {
	g := startGateway(t, fleet.Stream, false, startEndpoint(t, serveOK))
	g.configure(fleet.Route{Timeout: 15 * time.Second, Objective: 500 * time.Millisecond, GapObjective: 400 * time.Millisecond}, fleet.Model{Name: "m", StoreLoadTime: 5 * time.Second})
	empty := []fleet.State{(*g.states.Load())[0]}
	empty[0].Models = nil
	g.states.Store(&empty)
	began := time.Now()
	a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Deadline": "15000"}, "p")
	if err != nil || a.status != 503 || a.header.Get("Retry-After") != "5.30" {
		t.Fatalf("response %+v, error %v", a, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %v; the client leaves after 3.2 s", took)
	}
}

// TestQueueExceedsClientIdleTimeout checks that a request is rejected at once with a
// Retry-After when the endpoint's queue exceeds the client's idle timeout, though not the
// request's time, and that a shorter queue accepts it.
func TestQueueExceedsClientIdleTimeout(t *testing.T) {
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		writeChunk(c, event(1))
		writeChunk(c, "")
	})
	g := startGateway(t, fleet.Stream, false, e)
	g.configure(fleet.Route{Timeout: 15 * time.Second, Objective: 500 * time.Millisecond, GapObjective: 400 * time.Millisecond}, fleet.Model{Name: "m"})
	for prefilling, want := range map[int]int{10: 200, 200: 503} {
		st := []fleet.State{(*g.states.Load())[0]}
		st[0].StatusSupersedes, st[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Alive: true, Prefilling: prefilling, Models: []fleet.Resident{{Model: "m"}}}
		g.states.Store(&st)
		a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Request": fmt.Sprint("id-", prefilling), "Test-Deadline": "15000"}, "p")
		if err != nil || a.status != want || (want == 503) != (a.header.Get("Retry-After") != "") {
			t.Errorf("%d prompts before it: response %+v, error %v; want status %d", prefilling, a, err, want)
		}
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// TestLoadExceedsDeadline checks that a request for a model whose load takes longer than the
// request's time is rejected at once, with a Retry-After at which the load can have ended.
func TestLoadExceedsDeadline(t *testing.T) {
	g := startGateway(t, fleet.Stream, false, startEndpoint(t, serveOK))
	empty := []fleet.State{(*g.states.Load())[0]}
	empty[0].Models = nil
	g.states.Store(&empty)
	began := time.Now()
	a, err := g.do(t.Context(), t, "POST", "/a/x", nil, "p")
	if err != nil || a.status != 503 || a.header.Get("Retry-After") != "3600.30" {
		t.Fatalf("response %+v, error %v", a, err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("rejected after %v", took)
	}
}
