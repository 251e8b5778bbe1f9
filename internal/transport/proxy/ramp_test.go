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

// rampGateway returns a gateway with windows whose start is over, and its log.
func rampGateway(t *testing.T, kind fleet.RouteKind, on bool, endpoints ...*fakeEndpoint) (*gateway, *bytes.Buffer) {
	t.Helper()
	g := startGateway(t, kind, false, endpoints...)
	h := g.Config.Handler.(*Handler)
	log, out := logrus.New(), &bytes.Buffer{}
	log.SetOutput(out)
	if on {
		h.tracker.ramps = newRamps("g", time.Now().Add(-rampStartupTime), h.metrics.ramp, logrus.NewEntry(log))
	}
	return g, out
}

// serveAfter returns an endpoint's function that answers after a time and keeps the highest number
// of requests that it had at once.
func serveAfter(d time.Duration, most *atomic.Int64) serveFunc {
	var now atomic.Int64
	return func(r *http.Request, body string, c net.Conn) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(d)
		now.Add(-1)
		serveOK(r, body, c)
	}
}

func send(t *testing.T, g *gateway, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { expectStatus(t, g, http.StatusOK) })
	}
	wg.Wait()
}

// TestEndpointStarts guards against an endpoint that starts and gets all requests at once, against one that gets none, and against windows where the setting is off.
func TestEndpointStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		on, alone, known bool
		// min and max bound the requests that the endpoint gets at once, of six.
		min, max int64
	}{
		"windows":               {on: true, min: 1, max: 1},
		"the only endpoint":     {on: true, alone: true, min: 6, max: 6},
		"known from the start":  {on: true, known: true, min: 2, max: 6},
		"the setting isn't set": {min: 2, max: 6},
	} {
		t.Run(name, func(t *testing.T) {
			var most, otherMost atomic.Int64
			started, other := startEndpoint(t, serveAfter(60*time.Millisecond, &most)), startEndpoint(t, serveAfter(60*time.Millisecond, &otherMost))
			g, log := rampGateway(t, fleet.Idempotent, tc.on, started, other)
			all := *g.states.Load()
			if !tc.known {
				before := all[1:]
				g.states.Store(&before)
				send(t, g, 1)
			}
			if tc.alone {
				all = all[:1]
			}
			g.states.Store(&all)
			send(t, g, 6)
			if n := most.Load(); n < tc.min || n > tc.max {
				t.Errorf("%d requests at once, want %d to %d", n, tc.min, tc.max)
			}
			want := 0
			if tc.on && !tc.known {
				want = 1
				// The window ends after a second in which it excludes none.
				for range 30 {
					send(t, g, 1)
				}
			}
			begun, ended := strings.Count(log.String(), "are limited until"), strings.Count(log.String(), "no longer limited")
			if begun != want || ended != want {
				t.Errorf("%d lines of a beginning and %d of an end, want %d:\n%s", begun, ended, want, log)
			}
		})
	}
}

// TestEndpointRecovers guards against an endpoint that gets all waiting requests after its failures, or none for seconds.
func TestEndpointRecovers(t *testing.T) {
	var fails atomic.Bool
	var most, otherMost atomic.Int64
	serve := serveAfter(30*time.Millisecond, &most)
	e, other := startEndpoint(t, func(r *http.Request, body string, c net.Conn) {
		if fails.Load() {
			closeConnection(r, body, c)
			return
		}
		serve(r, body, c)
	}), startEndpoint(t, serveAfter(30*time.Millisecond, &otherMost))
	g, log := rampGateway(t, fleet.Idempotent, true, e, other)
	send(t, g, 1)
	fails.Store(true)
	send(t, g, 4)
	fails.Store(false)
	most.Store(0)
	failed := e.requests.Load()
	send(t, g, 4)
	if n := e.requests.Load() - failed; n != 0 {
		t.Errorf("%d requests reached the endpoint at once after it failed", n)
	}
	// Probes are 0.25 s apart with one gateway.
	for deadline := time.Now().Add(2 * time.Second); e.requests.Load() == failed && time.Now().Before(deadline); {
		send(t, g, 4)
	}
	if n := most.Load(); n != 1 || !strings.Contains(log.String(), "cause=recovered") {
		t.Errorf("%d requests at once in the probe; log:\n%s", n, log)
	}
}
