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

// configure gives the gateway one streaming route with some times to endpoints of one model.
func (g *gateway) configure(r fleet.Route, m fleet.Model) {
	r.Name, r.Host, r.Prefix, r.Kind, r.MaxAttempts = "r", "test.example", "/a/", fleet.Stream, 1
	r.Targets = []fleet.Target{{Service: "s", Weight: 1}}
	v := *g.view.Load()
	v.Config = fleet.NewConfig(2, []fleet.Route{r}, []fleet.Service{{Name: "s", Engine: &fleet.EngineSpec{Slots: 64, Models: map[string]fleet.Model{m.Name: m}}}}, fleet.Limits{})
	g.view.Store(&v)
}

// TestAwaitedModel lets the only holder of a model die; the request waits for the next copy.
// A load from the weight store would take too long, one from a host's disk doesn't.
func TestAwaitedModel(t *testing.T) {
	for _, tc := range []struct {
		name  string
		model fleet.Model
		kept  []string
	}{
		{"from the weight store", fleet.Model{Name: "m", StoreLoadTime: 200 * time.Millisecond}, nil},
		{"from a disk", fleet.Model{Name: "m", StoreLoadTime: time.Hour, DiskLoadTime: 200 * time.Millisecond}, []string{"m"}},
	} {
		t.Run(tc.name, func(t *testing.T) { awaitModel(t, tc.model, tc.kept) })
	}
}

func awaitModel(t *testing.T, m fleet.Model, kept []string) {
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		chunk(c, event(1))
		chunk(c, "")
	})
	g := startGateway(t, fleet.Stream, false, e)
	g.configure(fleet.Route{Timeout: 2 * time.Second}, m)
	alive := *g.states.Load()
	dead := []fleet.State{alive[0], alive[0]}
	dead[0].Reported, dead[0].Status = true, fleet.Status{ReceivedAt: time.Now().Add(time.Hour), Models: alive[0].Models}
	dead[1].ID, dead[1].Models = "empty", nil
	dead[1].Reported, dead[1].Status = true, fleet.Status{ReceivedAt: time.Now(), Alive: true, OnDisk: kept}
	g.states.Store(&dead)
	time.AfterFunc(150*time.Millisecond, func() { g.states.Store(&alive) })
	a, err := g.ask(context.Background(), t, "POST", "/a/x", nil, "p")
	if err != nil || a.status != 200 || a.body != event(1) {
		t.Fatalf("answer %+v, error %v", a, err)
	}
}

// TestImpatientClient asks for a model whose load fits the request's time but not its
// client's patience: it is refused at once rather than kept until the client leaves.
func TestImpatientClient(t *testing.T) {
	g := startGateway(t, fleet.Stream, false, startEndpoint(t, ok))
	g.configure(fleet.Route{Timeout: 15 * time.Second, Objective: 500 * time.Millisecond, GapObjective: 400 * time.Millisecond}, fleet.Model{Name: "m", StoreLoadTime: 5 * time.Second})
	empty := []fleet.State{(*g.states.Load())[0]}
	empty[0].Models = nil
	g.states.Store(&empty)
	began := time.Now()
	a, err := g.ask(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Deadline": "15000"}, "p")
	if err != nil || a.status != 503 || a.header.Get("Retry-After") != "5.30" {
		t.Fatalf("answer %+v, error %v", a, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v; the client leaves after 3.2 s", took)
	}
}

// TestQueueBeyondPatience plays an endpoint whose queue takes longer than the client waits
// for a first event, though not than it waits for the whole answer: the request is refused
// at once and may come back. A shorter queue takes it.
func TestQueueBeyondPatience(t *testing.T) {
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		chunk(c, event(1))
		chunk(c, "")
	})
	g := startGateway(t, fleet.Stream, false, e)
	g.configure(fleet.Route{Timeout: 15 * time.Second, Objective: 500 * time.Millisecond, GapObjective: 400 * time.Millisecond}, fleet.Model{Name: "m"})
	for reading, want := range map[int]int{10: 200, 200: 503} {
		st := []fleet.State{(*g.states.Load())[0]}
		st[0].Reported, st[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Alive: true, Prefilling: reading, Models: []fleet.Resident{{Model: "m"}}}
		g.states.Store(&st)
		a, err := g.ask(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Request": fmt.Sprint("id-", reading), "Test-Deadline": "15000"}, "p")
		if err != nil || a.status != want || (want == 503) != (a.header.Get("Retry-After") != "") {
			t.Errorf("%d prompts before it: answer %+v, error %v; want status %d", reading, a, err, want)
		}
	}
	if n := e.runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// TestNoModelInTime asks for a model whose load takes longer than the request has: it is
// refused at once, and told when the load can have ended.
func TestNoModelInTime(t *testing.T) {
	g := startGateway(t, fleet.Stream, false, startEndpoint(t, ok))
	empty := []fleet.State{(*g.states.Load())[0]}
	empty[0].Models = nil
	g.states.Store(&empty)
	began := time.Now()
	a, err := g.ask(t.Context(), t, "POST", "/a/x", nil, "p")
	if err != nil || a.status != 503 || a.header.Get("Retry-After") != "3600.30" {
		t.Fatalf("answer %+v, error %v", a, err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}
