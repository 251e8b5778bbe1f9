package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/plan"
)

// offerPlan puts a plan in force that places the model on n hosts, or nowhere for a reason.
func (r *rig) offerPlan(version uint64, n int, why plan.Reason) {
	p := plan.Plan{Version: version}
	for i, h := range r.hosts {
		e := plan.Endpoint{ID: h.addr, Address: h.addr, FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
		if i < n {
			e.Models = []string{oneModel}
		}
		p.Endpoints = append(p.Endpoints, e)
	}
	if n == 0 {
		p.Unplaced, p.UnplacedReasons = []string{oneModel}, map[string]plan.Reason{oneModel: why}
	}
	r.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: version, Data: plan.Encode(p)})
}

// waitingAt counts the hosts whose agent reports that the model is waited for.
func (r *rig) waitingAt() int {
	n := 0
	for _, h := range r.hosts {
		if len(h.agent.AwaitedModels()) > 0 {
			n++
		}
	}
	return n
}

// TestAwait guards against a request for a model that isn't resident that is refused
// although the model can be loaded in time, and whose demand no planner hears of.
func TestAwait(t *testing.T) {
	inBubble(t, 3, time.Millisecond, func(t *testing.T, r *rig) {
		r.offerPlan(2, 0, plan.ReasonOnDemand)
		time.AfterFunc(4*time.Second, func() {
			if n := r.waitingAt(); n != 1 {
				t.Errorf("%d agents know of the waiting request, want 1", n)
			}
			r.offerPlan(3, 1, "")
		})
		a := r.send(t.Context(), call{id: "r", tokens: 1})
		if a.outcome != fault.OutcomeComplete || a.took < 4*time.Second || a.took > 5*time.Second {
			t.Fatalf("outcome %q after %s: %s", a.outcome, a.took, a.body)
		}
	})
}

// TestAwaitRefused guards against a refusal that is held back, names no cause or tells
// the caller nothing about when to come back.
func TestAwaitRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		why     plan.Reason
		startBy time.Duration
		code    string
		waiting int
	}{
		{"deadline before any load", plan.ReasonOnDemand, 2 * time.Second, "model_loading", 1},
		{"larger than any endpoint", plan.ReasonTooLarge, 20 * time.Second, "model_does_not_fit", 0},
		{"limit of its group", plan.ReasonGroupLimit, 20 * time.Second, "model_does_not_fit", 0},
		{"no copy may make room", plan.ReasonNoRoom, 20 * time.Second, "no_room_for_model", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 3, time.Millisecond, func(t *testing.T, r *rig) {
				r.offerPlan(2, 0, tc.why)
				a := r.send(t.Context(), call{id: "r", tokens: 1, startBy: tc.startBy})
				if a.outcome != fault.OutcomeNotRun || a.took > 0 || !strings.Contains(a.body, tc.code) || a.retryAfter == "" {
					t.Fatalf("outcome %q after %s, retry after %q: %s", a.outcome, a.took, a.retryAfter, a.body)
				}
				time.Sleep(time.Second)
				if n := r.waitingAt(); n != tc.waiting {
					t.Fatalf("%d agents know of the request, want %d", n, tc.waiting)
				}
			})
		})
	}
}

// TestAwaitGivenUp guards against a request that goes on waiting after the planner found no room.
func TestAwaitGivenUp(t *testing.T) {
	inBubble(t, 3, time.Millisecond, func(t *testing.T, r *rig) {
		r.offerPlan(2, 0, plan.ReasonOnDemand)
		time.AfterFunc(3*time.Second, func() { r.offerPlan(3, 0, plan.ReasonNoRoom) })
		a := r.send(t.Context(), call{id: "r", tokens: 1})
		if a.outcome != fault.OutcomeNotRun || a.took != 3*time.Second || !strings.Contains(a.body, "no_room_for_model") {
			t.Fatalf("outcome %q after %s: %s", a.outcome, a.took, a.body)
		}
	})
}
