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

// maxNodeBytesPerSecond is a node's budget for control traffic.
const maxNodeBytesPerSecond = 7000

// targetPlan returns a placement plan of the target size: 600 endpoints that hold at least
// two replicas of each of 530 models.
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

// measureBurst publishes eight documents, one a second, each on another node, and measures
// ten seconds. Each table changes a row; each plan moves a replica between two endpoints.
func measureBurst(t *testing.T, nodes int, kind string) string {
	doc := edit.TableDocument(targetTable().WithRevision(1))
	p := targetPlan()
	if kind == gossip.KindPlan {
		doc = gossip.Document{Kind: kind, Version: 1, Data: plan.Encode(p)}
	}
	f := newFleet(nodes, 71)
	for i := range nodes {
		f.start(i, pltsim.NewTable(&pltsim.Faults{}), nil, time.Hour, doc)
	}
	defer f.stop()
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		n.bytes.Store(0)
	}
	start := time.Now()
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
		published, want := time.Now(), doc.Version
		for i, n := range f.nodes {
			n.docs.Subscribe(func(d gossip.Document) {
				if d.Kind == kind && d.Version >= want && len(times[i]) == e {
					times[i] = append(times[i], time.Since(published))
				}
			})
		}
		f.nodes[e*7].docs.PutIfNewer(doc)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	seconds := time.Since(start).Seconds()
	for _, n := range f.nodes {
		n.docs.Get(kind) // orders the subscribers' writes to times before the reads
	}
	// Goroutines that run at the same virtual time make the last figures vary a little.
	t.Log(summarize(f, times, seconds, 0))
	return checkTargets(f, times, seconds)
}

// checkTargets compares the largest propagation time and the largest traffic of a node with their targets.
func checkTargets(f *fleet, times [][]time.Duration, seconds float64) string {
	var updates int
	var slowest time.Duration
	var maxBytes int64
	for i, n := range f.nodes {
		updates += len(times[i])
		slowest = max(slowest, slices.Max(append(times[i], 0)))
		maxBytes = max(maxBytes, n.bytes.Load())
	}
	return fmt.Sprintf("in force: %d of %d\nlargest time within %v: %v\nlargest bytes/s per node within %d: %v\n",
		updates, measuredEdits*len(f.nodes), convergenceTimeout, slowest <= convergenceTimeout, maxNodeBytesPerSecond, float64(maxBytes)/seconds <= maxNodeBytesPerSecond)
}
