package peer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

// nodeBytes is what a node may spend a second on control work.
const nodeBytes = 7000

// targetPlan is a plan of 600 endpoints that hold two copies of each of 530 models.
func targetPlan() plan.Plan {
	p := plan.Plan{Version: 1}
	for i := range 600 {
		e := plan.Endpoint{ID: fmt.Sprintf("agent-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), FailureDomain: fmt.Sprintf("domain-%02d", i%12), CapacityBytes: 320 << 30, ModelsVersion: 1}
		for _, m := range []int{i, i + 265} {
			e.Models = append(e.Models, fmt.Sprintf("model-%03d", m%530))
		}
		p.Endpoints = append(p.Endpoints, e)
	}
	return p
}

// burst offers eight documents to changing nodes, one a second, and measures the ten seconds.
// Each edit changes a row, each plan moves a copy between two endpoints.
func burst(t *testing.T, nodes int, kind string) string {
	doc := edit.TableDocument(targetTable().WithRevision(1))
	p := targetPlan()
	if kind == gossip.KindPlan {
		doc = gossip.Document{Kind: kind, Version: 1, Data: plan.Encode(p)}
	}
	f := newFleet(nodes, 71)
	for i := range nodes {
		f.start(i, pltsim.NewTable(&pltsim.Faults{}), nil, time.Hour, doc)
	}
	defer f.halt()
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		n.bytes.Store(0)
	}
	began := time.Now()
	times := make([][]time.Duration, nodes)
	for e := range measuredEdits {
		doc.Version++
		if kind == gossip.KindPlan {
			p.Version = doc.Version
			from, to := &p.Endpoints[e*71], &p.Endpoints[e*71+13]
			to.Models = append(to.Models, from.Models[0])
			from.Models, from.ModelsVersion, to.ModelsVersion = from.Models[1:], p.Version, p.Version
			doc.Data = plan.Encode(p)
		} else {
			next, _ := table.Decode(doc.Data)
			doc = edit.TableDocument(next.WithRow(table.Group{Name: fmt.Sprintf("group-%02d", e), Weight: 2}).WithRevision(doc.Version))
		}
		offered, want := time.Now(), doc.Version
		for i, n := range f.nodes {
			n.docs.Subscribe(func(d gossip.Document) {
				if d.Kind == kind && d.Version >= want && len(times[i]) == e {
					times[i] = append(times[i], time.Since(offered))
				}
			})
		}
		f.nodes[e*7].docs.PutIfNewer(doc)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	took := time.Since(began).Seconds()
	for _, n := range f.nodes {
		n.docs.Get(kind) // orders the subscribers' writes to times before the reads
	}
	// Goroutines that run at the same virtual time make the last figures vary a little.
	t.Log(summary(f, times, took, 0))
	return verdict(f, times, took)
}

// verdict compares the slowest node and the node that carried most with their targets.
func verdict(f *fleet, times [][]time.Duration, took float64) string {
	var count int
	var slowest time.Duration
	var most int64
	for i, n := range f.nodes {
		count += len(times[i])
		slowest = max(slowest, slices.Max(append(times[i], 0)))
		most = max(most, n.bytes.Load())
	}
	return fmt.Sprintf("in force: %d of %d\nlargest time within %v: %v\nlargest bytes/s per node within %d: %v\n",
		count, measuredEdits*len(f.nodes), settleTime, slowest <= settleTime, nodeBytes, float64(most)/took <= nodeBytes)
}
