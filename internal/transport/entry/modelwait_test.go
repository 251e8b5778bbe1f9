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

// publishPlan publishes a plan that places the model on n hosts, or nowhere for a reason.
func (f *testFleet) publishPlan(version uint64, n int, reason plan.Reason) {
	p := plan.Plan{Version: version}
	for i, h := range f.hosts {
		e := plan.Endpoint{ID: h.addr, Address: h.addr, FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
		if i < n {
			e.Models = []string{testModel}
		}
		p.Endpoints = append(p.Endpoints, e)
	}
	if n == 0 {
		p.Unplaced, p.UnplacedReasons = []string{testModel}, map[string]plan.Reason{testModel: reason}
	}
	f.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: version, Data: plan.Encode(p)})
}

// awaitReports counts the agents that were told that requests wait for the model.
func (f *testFleet) awaitReports() int {
	n := 0
	for _, h := range f.hosts {
		if len(h.agent.AwaitedModels()) > 0 {
			n++
		}
	}
	return n
}

// TestAwait guards against a request for a model that is not resident being rejected
// although the model can be loaded in time, and against its demand not being reported.
func TestAwait(t *testing.T) {
	inBubble(t, 3, time.Millisecond, func(t *testing.T, f *testFleet) {
		f.publishPlan(2, 0, plan.ReasonOnDemand)
		time.AfterFunc(4*time.Second, func() {
			if n := f.awaitReports(); n != 1 {
				t.Errorf("%d agents were told of the waiting request, want 1", n)
			}
			f.publishPlan(3, 1, "")
		})
		a := f.send(t.Context(), call{id: "r", tokens: 1})
		if a.outcome != fault.OutcomeComplete || a.latency < 4*time.Second || a.latency > 5*time.Second {
			t.Fatalf("outcome %q after %s: %s", a.outcome, a.latency, a.body)
		}
	})
}

// TestAwaitRejected guards against a rejection that is delayed, has no specific error code
// or lacks a Retry-After header.
func TestAwaitRejected(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reason  plan.Reason
		startBy time.Duration
		code    string
		waiting int
	}{
		{"deadline before the load can finish", plan.ReasonOnDemand, 2 * time.Second, "model_loading", 1},
		{"larger than any endpoint", plan.ReasonTooLarge, 20 * time.Second, "model_does_not_fit", 0},
		{"larger than the limit of its group", plan.ReasonGroupLimit, 20 * time.Second, "model_does_not_fit", 0},
		{"no replica can be evicted", plan.ReasonNoRoom, 20 * time.Second, "no_room_for_model", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 3, time.Millisecond, func(t *testing.T, f *testFleet) {
				f.publishPlan(2, 0, tc.reason)
				a := f.send(t.Context(), call{id: "r", tokens: 1, startBy: tc.startBy})
				if a.outcome != fault.OutcomeNotRun || a.latency > 0 || !strings.Contains(a.body, tc.code) || a.retryAfter == "" {
					t.Fatalf("outcome %q after %s, retry after %q: %s", a.outcome, a.latency, a.retryAfter, a.body)
				}
				time.Sleep(time.Second)
				if n := f.awaitReports(); n != tc.waiting {
					t.Fatalf("%d agents were told of the request, want %d", n, tc.waiting)
				}
			})
		})
	}
}

// TestAwaitNoRoom guards against a request that keeps waiting after the planner found no room.
func TestAwaitNoRoom(t *testing.T) {
	inBubble(t, 3, time.Millisecond, func(t *testing.T, f *testFleet) {
		f.publishPlan(2, 0, plan.ReasonOnDemand)
		time.AfterFunc(3*time.Second, func() { f.publishPlan(3, 0, plan.ReasonNoRoom) })
		a := f.send(t.Context(), call{id: "r", tokens: 1})
		if a.outcome != fault.OutcomeNotRun || a.latency != 3*time.Second || !strings.Contains(a.body, "no_room_for_model") {
			t.Fatalf("outcome %q after %s: %s", a.outcome, a.latency, a.body)
		}
	})
}
