package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// serveAfter answers after a time, or not at all if its caller leaves.
func serveAfter(d time.Duration) serveFunc {
	return func(r *http.Request, _ string, c net.Conn) {
		time.Sleep(d)
		reply(c, r, 200, "", "fine")
	}
}

// TestRequestsLateInGrace guards against a request that is passed on so late in a planned stop that it is cut off without an answer.
func TestRequestsLateInGrace(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.Idempotent, fleet.AtMostOnce, fleet.Stream} {
		for _, tc := range []struct {
			name string
			// unready and cutoff are times after the request, limit its time limit and takes that of
			// the endpoint.
			unready, cutoff, limit, takes time.Duration
			status                        int
			passedOn                      bool
		}{
			{"fits, the load balancer has yet to notice", 200 * time.Millisecond, time.Second, 500 * time.Millisecond, 50 * time.Millisecond, 200, true},
			{"may last longer, the load balancer has yet to notice", 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 50 * time.Millisecond, 200, true},
			{"lasts longer, the load balancer has yet to notice", 50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond, 504, true},
			{"fits, late", -time.Second, time.Second, 500 * time.Millisecond, 50 * time.Millisecond, 200, true},
			{"may last longer, late", -time.Second, 400 * time.Millisecond, 600 * time.Millisecond, 10 * time.Millisecond, 503, false},
			{"after the cutoff", -time.Second, -10 * time.Millisecond, 600 * time.Millisecond, 10 * time.Millisecond, 503, false},
		} {
			t.Run(fmt.Sprintf("%s/%s", kind, tc.name), func(t *testing.T) {
				t.Parallel()
				e := startEndpoint(t, serveAfter(tc.takes))
				g := startGateway(t, kind, false, e)
				now := time.Now()
				g.handler.Drain(Stop{UnreadyUntil: now.Add(tc.unready), Cutoff: now.Add(tc.cutoff)})
				a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Deadline": fmt.Sprint(tc.limit.Milliseconds())}, "p")
				if err != nil || a.status != tc.status || e.requests.Load() > 0 != tc.passedOn {
					t.Errorf("status %d, error %v, %d requests passed on; want %d, passed on: %v", a.status, err, e.requests.Load(), tc.status, tc.passedOn)
				}
				if took := time.Since(now); took > max(tc.cutoff, 0)+150*time.Millisecond {
					t.Errorf("the answer came %v after the request, %v after the cutoff", took, took-tc.cutoff)
				}
			})
		}
	}
}

// TestRunningRequestAtCutoff guards against a request from before a planned stop that is cut off without an answer at its end.
func TestRunningRequestAtCutoff(t *testing.T) {
	g := startGateway(t, fleet.AtMostOnce, false, startEndpoint(t, serveAfter(time.Second)))
	time.AfterFunc(100*time.Millisecond, func() { g.handler.Drain(Stop{Cutoff: time.Now().Add(100 * time.Millisecond)}) })
	a, err := g.do(t.Context(), t, "POST", "/a/x", nil, "p")
	if err != nil || a.status != http.StatusGatewayTimeout || !strings.Contains(a.body, "timeout") {
		t.Errorf("status %d, %q, error %v; want 504", a.status, a.body, err)
	}
}
