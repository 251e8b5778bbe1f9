package proxy

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
)

// rampGateway returns a gateway whose start is over, with windows if on is set, and its log. Its
// requests have time enough on a busy machine.
func rampGateway(t *testing.T, on bool, endpoints ...*fakeEndpoint) (*gateway, *Handler, *bytes.Buffer) {
	t.Helper()
	g := startGateway(t, fleet.Idempotent, false, endpoints...)
	v := *g.view.Load()
	route, _ := v.Config.Route("test.example", "/a/x")
	route.Timeout = 10 * time.Second
	v.Config = fleet.NewConfig(1, []fleet.Route{route}, []fleet.Service{{Name: "s"}}, fleet.Limits{BodyBytes: 1 << 20})
	g.view.Store(&v)
	h := g.Config.Handler.(*Handler)
	log, out := logrus.New(), &bytes.Buffer{}
	log.SetOutput(out)
	if on {
		h.tracker.ramps = newRamps("g", time.Now().Add(-rampStartupTime), h.metrics.ramp, logrus.NewEntry(log))
	}
	return g, h, out
}

// send sends requests at the same time, all of which have to be answered.
func send(t *testing.T, g *gateway, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if res, err := g.do(t.Context(), t, "POST", "/a/x", nil, ""); err != nil || res.status != http.StatusOK {
				t.Errorf("status %d, error %v", res.status, err)
			}
		})
	}
	wg.Wait()
}

// TestEndpointStarts guards against an endpoint that starts and gets all requests at once, against one that gets none, and against windows where the setting is off.
func TestEndpointStarts(t *testing.T) {
	const n = 6
	for name, tc := range map[string]struct {
		on, alone, known bool
		// min and max bound the requests that reach the endpoint before it has responded.
		min, max int64
	}{
		"windows":               {on: true, min: 1, max: 1},
		"the only endpoint":     {on: true, alone: true, min: n, max: n},
		"known from the start":  {on: true, known: true, min: 2, max: n},
		"the setting isn't set": {min: 2, max: n},
	} {
		t.Run(name, func(t *testing.T) {
			// Nobody responds until all requests have arrived.
			arrived, hold := make(chan struct{}, 2*n), make(chan struct{})
			var holds atomic.Bool
			serve := func(r *http.Request, body string, c net.Conn) {
				if holds.Load() {
					arrived <- struct{}{}
					<-hold
				}
				serveOK(r, body, c)
			}
			started, other := startEndpoint(t, serve), startEndpoint(t, serve)
			g, h, log := rampGateway(t, tc.on, started, other)
			all := *g.states.Load()
			if !tc.known {
				before := all[1:]
				g.states.Store(&before)
			}
			send(t, g, 1)
			if tc.alone {
				all = all[:1]
			}
			g.states.Store(&all)
			before := started.requests.Load()
			holds.Store(true)
			go func() {
				for range n {
					<-arrived
				}
				close(hold)
			}()
			send(t, g, n)
			if k := started.requests.Load() - before; k < tc.min || k > tc.max {
				t.Errorf("%d requests reached the endpoint, want %d to %d", k, tc.min, tc.max)
			}
			v := *g.view.Load()
			v.Endpoints = map[string]fleet.Endpoint{}
			g.view.Store(&v)
			h.Sweep()
			begun, ended, want := strings.Count(log.String(), "are limited until"), strings.Count(log.String(), "no longer limited"), 0
			if tc.on && !tc.known {
				want = 1
			}
			if begun != want || ended != want {
				t.Errorf("%d lines of a beginning and %d of an end, want %d:\n%s", begun, ended, want, log)
			}
		})
	}
}

// TestEndpointRecovers guards against an endpoint that gets several requests before it responds again, or none for seconds.
func TestEndpointRecovers(t *testing.T) {
	var fails atomic.Bool
	var now, most atomic.Int64
	slow := func(r *http.Request, body string, c net.Conn) {
		time.Sleep(100 * time.Millisecond)
		serveOK(r, body, c)
	}
	e, other := startEndpoint(t, func(r *http.Request, body string, c net.Conn) {
		if fails.Load() {
			closeConnection(r, body, c)
			return
		}
		most.Store(max(most.Load(), now.Add(1)))
		slow(r, body, c)
		now.Add(-1)
	}), startEndpoint(t, slow)
	g, _, log := rampGateway(t, true, e, other)
	send(t, g, 1)
	sound := e.requests.Load()
	fails.Store(true)
	// One failure alone doesn't make an endpoint avoided.
	for deadline := time.Now().Add(5 * time.Second); e.requests.Load() < sound+2 && time.Now().Before(deadline); {
		send(t, g, 4)
	}
	fails.Store(false)
	if e.requests.Load() < sound+2 {
		t.Fatal("no two requests reached the endpoint while it failed")
	}
	failed := e.requests.Load()
	most.Store(0)
	// Probes are 0.25 s apart with one gateway.
	for deadline := time.Now().Add(5 * time.Second); e.requests.Load() == failed && time.Now().Before(deadline); {
		send(t, g, 4)
	}
	if n := most.Load(); n != 1 || !strings.Contains(log.String(), "cause=recovered") {
		t.Errorf("%d requests at once before the endpoint responded; log:\n%s", n, log)
	}
}
