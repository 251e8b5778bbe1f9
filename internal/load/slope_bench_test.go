package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fairq"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/entry"
)

// The sizes at which growth is measured, up to or near the target size.
var (
	endpointSizes = []int{75, 150, 300, 600}
	modelSizes    = []int{66, 132, 265, 530}
)

func benchTable(models, groups int) table.Table {
	var gs []table.Group
	for i := range groups {
		gs = append(gs, table.Group{Name: fmt.Sprintf("group-%04d", i), Weight: 1})
	}
	var ms []table.Model
	for i := range models {
		ms = append(ms, table.Model{
			Name: fmt.Sprintf("model-%04d", i), Groups: []string{"group-0000"}, Version: "v1", MemoryBytes: 20 << 30, LeastCopies: 2,
		})
	}
	return table.New(1, gs, ms, nil, nil)
}

func benchEndpoints(n int) []plan.Endpoint {
	var out []plan.Endpoint
	for i := range n {
		out = append(out, plan.Endpoint{
			ID: fmt.Sprintf("agent-%04d", i), Address: "10.0.0.1:7000", FailureDomain: fmt.Sprintf("domain-%02d", i%12), CapacityBytes: 320 << 30,
		})
	}
	return out
}

// BenchmarkRoute measures the choice of an endpoint for a model that is resident on every
// endpoint: a first attempt at its homes, and a retry in another failure domain.
func BenchmarkRoute(b *testing.B) {
	for _, kind := range []string{"first", "retry"} {
		for _, n := range endpointSizes {
			b.Run(fmt.Sprintf("%s/candidates=%d", kind, n), func(b *testing.B) {
				b.ReportAllocs()
				all, ids := make([]route.Candidate, n), make([]string, n)
				for i, ep := range benchEndpoints(n) {
					all[i], ids[i] = route.Candidate{Endpoint: ep.ID, FailureDomain: ep.FailureDomain, LoadKnown: true, Resident: true, Slots: 16}, ep.ID
				}
				x := route.NewIndex(all, ids)
				q := route.Query{HomeKey: "fingerprint", Tried: sets.Of[string](), TriedDomains: sets.Of[string](), Available: func(string) bool { return true }}
				if kind == "retry" {
					q.Tried.Add(ids[3])
					q.TriedDomains.Add(all[3].FailureDomain)
				}
				r := rand.New(rand.NewPCG(1, 0))
				for b.Loop() {
					route.Choose(x.Sample(r, 2, q))
				}
			})
		}
	}
}

// BenchmarkRouteIndex measures building the index of a model that is resident on every
// endpoint: from scratch, and from the previous index after a change of the host list.
func BenchmarkRouteIndex(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("first/candidates=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			all, ids := make([]route.Candidate, n), make([]string, n)
			for i, ep := range benchEndpoints(n) {
				all[i], ids[i] = route.Candidate{Endpoint: ep.ID, FailureDomain: ep.FailureDomain}, ep.ID
			}
			for b.Loop() {
				route.NewIndex(all, ids)
			}
		})
		b.Run(fmt.Sprintf("next/candidates=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			all, ids := make([]route.Candidate, n), make([]string, n)
			for i, ep := range benchEndpoints(n) {
				all[i], ids[i] = route.Candidate{Endpoint: ep.ID, FailureDomain: ep.FailureDomain}, ep.ID
			}
			x := route.NewIndex(all, ids)
			for b.Loop() {
				x = x.Rebuild(all, ids)
			}
		})
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			policy := fairq.DefaultPolicy
			policy.KeptSlots, policy.ExtraSlots = 1, 4
			q := fairq.New[int]().WithPolicy(policy)
			now := time.Now()
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("group-%04d", i)
				q.Push(names[i], 0, 1, i)
			}
			weight := func(string) float64 { return 1 }
			for b.Loop() {
				now = now.Add(time.Millisecond)
				it, _ := q.Take(weight, fairq.Server{Slots: 16, MeanRun: time.Second}, now)
				q.Push(it.Group, 0, 1, it.Value)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("models=530/endpoints=%d", n), func(b *testing.B) { benchPlan(b, 530, n) })
	}
	for _, n := range modelSizes {
		b.Run(fmt.Sprintf("endpoints=600/models=%d", n), func(b *testing.B) { benchPlan(b, n, 600) })
	}
}

func benchPlan(b *testing.B, models, endpoints int) {
	b.ReportAllocs()
	t, eps := benchTable(models, 100), benchEndpoints(endpoints)
	p := plan.Compute(t, eps, plan.Plan{})
	for b.Loop() {
		p = plan.Compute(t, eps, p)
	}
	b.ReportMetric(float64(len(plan.Encode(p))), "document-B")
}

func BenchmarkPlanDecode(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			data := plan.Encode(plan.Compute(benchTable(530, 100), benchEndpoints(n), plan.Plan{}))
			for b.Loop() {
				if _, err := plan.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkTable(b *testing.B) {
	for _, n := range modelSizes {
		t := benchTable(n, 100)
		data := table.Encode(t)
		b.Run(fmt.Sprintf("encode/models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Encode(t)
			}
			b.ReportMetric(float64(len(data)), "document-B")
		})
		b.Run(fmt.Sprintf("decode/models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("apply/models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.WithGroup(table.Group{Name: "group-0001", Weight: 2})
			}
		})
	}
}

func BenchmarkRelayOffer(b *testing.B) {
	for _, n := range modelSizes {
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			data := table.Encode(benchTable(n, 100))
			s := gossip.NewStore()
			v := uint64(0)
			for b.Loop() {
				v++
				s.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: v, Data: data})
			}
		})
	}
}

// BenchmarkHosts measures decoding the whole host list, which a process reads when it starts.
func BenchmarkHosts(b *testing.B) {
	for _, n := range []int{118, 235, 470, 940} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var list store.HostChanges
			for i := range n {
				list.Hosts = append(list.Hosts, store.Host{
					ID: fmt.Sprintf("agent-%04d", i), Role: store.RoleAgent, Address: "10.0.0.1:7000",
					FailureDomain: fmt.Sprintf("domain-%02d", i%12), State: store.HostLive,
				})
			}
			data, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var out store.HostChanges
				if err := json.Unmarshal(data, &out); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "reply-B")
		})
	}
}

// BenchmarkViewMemory measures the heap that the documents take in an entry: their bytes
// and the structures derived from them.
func BenchmarkViewMemory(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("models=530/endpoints=%d", n), func(b *testing.B) { benchViewMemory(b, 530, n) })
	}
	for _, n := range modelSizes {
		b.Run(fmt.Sprintf("endpoints=600/models=%d", n), func(b *testing.B) { benchViewMemory(b, n, 600) })
	}
}

func benchViewMemory(b *testing.B, models, endpoints int) {
	const entries = 8 // averaging over several reduces the effect of unrelated heap changes
	log := logrus.New()
	log.SetOutput(io.Discard)
	t := benchTable(models, 100)
	p := plan.Compute(t, benchEndpoints(endpoints), plan.Plan{})
	for b.Loop() {
		before, built := liveHeapBytes(), make([]*entry.Entry, 0, entries)
		for range entries {
			docs := gossip.NewStore()
			members := member.NewWatcher(nil, time.Second, log.WithField("bench", ""))
			built = append(built, entry.New(entry.DefaultSettings("entry", "domain-00"), docs, members, nil, log.WithField("bench", "")))
			docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(t)})
			docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: 1, Data: plan.Encode(p)})
		}
		b.ReportMetric((liveHeapBytes()-before)/entries/1024, "heapKB")
		for _, e := range built {
			e.Pool().Close()
		}
	}
}

// liveHeapBytes returns the heap in use after garbage collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
