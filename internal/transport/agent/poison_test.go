package agent

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
)

// TestProbeDuringPlan guards against a deadlock between a probe, which reads the document
// versions, and a plan that arrives at the same time. It hangs when it fails.
func TestProbeDuringPlan(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	docs := gossip.NewStore()
	a := New(t.Context(), Settings{ID: "a", Slots: 1}, EngineBackend{}, docs, log.WithField("test", t.Name()))
	var wg sync.WaitGroup
	wg.Go(func() {
		for v := range uint64(5000) {
			docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: v + 1, Data: plan.Encode(plan.Plan{Version: v + 1})})
		}
	})
	for range 4 {
		wg.Go(func() {
			for range 5000 {
				a.probe(wire.Probe{Model: "m"})
			}
		})
	}
	wg.Wait()
}

// TestIsolatedRunIsCharged guards against an isolated run that is not charged to its group
// and leaves the group's count of running attempts below zero.
func TestIsolatedRunIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		a, _ := newAgent(t, fakeBackend{took: time.Second, runs: &runs})
		s := a.startMsg("trial", "m", time.Minute)
		s.MaxTokens = 10
		at := &attempt{start: s, startBy: time.Now().Add(time.Minute), expiryTimer: time.NewTimer(time.Minute)}
		a.enqueuePermitted(at, permit{home: "a", isolated: true})
		time.Sleep(10 * time.Second)
		if used := a.usage().Used["g"]; runs != 1 || used != estimatedCost(s) {
			t.Fatalf("%d runs used %v, want 1 and %v", runs, used, estimatedCost(s))
		}
	})
}
