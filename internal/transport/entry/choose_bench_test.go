package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
)

// BenchmarkRouteDecision measures the choice of an endpoint, without fetching loads, for a
// model that every endpoint holds.
func BenchmarkRouteDecision(b *testing.B) {
	for _, n := range []int{75, 150, 300, 600} {
		for _, kind := range []string{"first", "retry"} {
			b.Run(fmt.Sprintf("%s/candidates=%d", kind, n), func(b *testing.B) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				docs := gossip.NewStore()
				p := plan.Plan{Version: 1}
				for i := range n {
					id := fmt.Sprintf("agent-%04d", i)
					p.Endpoints = append(p.Endpoints, plan.Endpoint{ID: id, Address: id, FailureDomain: fmt.Sprintf("domain-%02d", i%12), Models: []string{"m"}})
				}
				docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: 1, Data: plan.Encode(p)})
				cfg := DefaultSettings("entry", "domain-00")
				cfg.Seed = 1
				e := New(cfg, docs, member.NewWatcher(nil, time.Second, log.WithField("b", "")), nil, log.WithField("b", ""))
				req := &request{group: "g", model: "m", kind: wire.KindCompletion, idempotent: true}
				tried := triedTargets{endpoints: sets.Of[string](), domains: sets.Of[string]()}
				if kind == "retry" {
					tried.endpoints.Add("agent-0003")
					tried.domains.Add("domain-03")
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					req.body, req.cachedFingerprint = fmt.Append(req.body[:0], i), ""
					route.Choose(e.sample(req, e.index(req), tried))
				}
			})
		}
	}
}
