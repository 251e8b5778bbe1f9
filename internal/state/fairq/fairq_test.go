package fairq

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "chervilhead/internal/seeds"
)

func equalWeights(string) float64 { return 1 }

// TestOrder guards against lost, repeated or reordered items: those of a group are taken by
// priority, then arrival, also when others are removed in between.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New[int]()
		var queued []*Item[int]
		next := 0
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				g := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "group")
				queued = append(queued, q.Push(g, rapid.IntRange(0, 2).Draw(rt, "priority"), rapid.Float64Range(0.1, 5).Draw(rt, "cost"), next))
				next++
			},
			"remove": func(rt *rapid.T) {
				if len(queued) == 0 {
					return
				}
				i := rapid.IntRange(0, len(queued)-1).Draw(rt, "item")
				if !q.Remove(queued[i]) || q.Remove(queued[i]) {
					rt.Fatalf("item %d was not removed exactly once", queued[i].Value)
				}
				queued = slices.Delete(queued, i, i+1)
			},
			"pop": func(rt *rapid.T) {
				it, ok := q.Pop(equalWeights)
				if ok != (len(queued) > 0) {
					rt.Fatalf("pop reported %v with %d items queued", ok, len(queued))
				}
				if !ok {
					return
				}
				first := firstOf(queued, it.Group)
				if first != it {
					rt.Fatalf("item %d was taken before item %d of its group", it.Value, first.Value)
				}
				queued = slices.DeleteFunc(queued, func(x *Item[int]) bool { return x == it })
			},
			"": func(rt *rapid.T) {
				cost := 0.0
				for _, it := range queued {
					cost += it.Cost
				}
				if q.Len() != len(queued) || max(q.Cost()-cost, cost-q.Cost()) > 1e-6 {
					rt.Fatalf("the queue holds %d items of cost %v, want %d of cost %v", q.Len(), q.Cost(), len(queued), cost)
				}
			},
		})
	})
}

func firstOf(queued []*Item[int], group string) *Item[int] {
	var first *Item[int]
	for _, it := range queued {
		if it.Group == group && (first == nil || it.Priority > first.Priority) {
			first = it
		}
	}
	return first
}

// TestNoCreditWhileIdle guards against a group that gains credit while idle and then starves
// the others.
func TestNoCreditWhileIdle(t *testing.T) {
	q := New[int]()
	for range 200 {
		q.Push("busy", 0, 1, 0)
	}
	for range 100 {
		q.Pop(equalWeights)
	}
	for range 100 {
		q.Push("idle", 0, 1, 0)
	}
	idle := 0
	for range 100 {
		if it, _ := q.Pop(equalWeights); it.Group == "idle" {
			idle++
		}
	}
	if idle < 49 || idle > 51 {
		t.Fatalf("the group that was idle got %d of 100 items, want 49 to 51", idle)
	}
}

// TestTakeWorkConserving guards against a policy that leaves an idle server idle although items
// wait, and against one that runs more items than slots and extra slots.
func TestTakeWorkConserving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(rt, "slots")
		policy := Policy{
			Window: time.Duration(rapid.IntRange(0, 10).Draw(rt, "window")) * time.Second, LateFraction: 0.05, WaitObjective: 10 * time.Millisecond,
			KeptSlots: rapid.IntRange(0, 20).Draw(rt, "kept"), ExtraSlots: rapid.IntRange(0, 4).Draw(rt, "extra"),
		}
		q := New[int]().WithPolicy(policy)
		now := time.Unix(0, 0)
		var running []string
		groups := rapid.SampledFrom([]string{"a", "b", "c"})
		weights := map[string]float64{"a": 1, "b": 3, "c": 0.1}
		weight := func(g string) float64 { return weights[g] }
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				g := groups.Draw(rt, "group")
				for range rapid.IntRange(1, 10).Draw(rt, "n") {
					q.Arrived(g, now)
					q.Push(g, 0, 1, 0)
				}
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"end": func(*rapid.T) {
				if len(running) > 0 {
					q.Done(running[0], now)
					running = running[1:]
				}
			},
			"": func(rt *rapid.T) {
				for {
					it, ok := q.Take(weight, Server{Slots: slots, MeanRun: time.Second}, now)
					if !ok {
						break
					}
					q.Start(it.Group, now)
					running = append(running, it.Group)
				}
				if len(running) > slots+policy.ExtraSlots || (len(running) == 0 && q.Len() > 0) {
					rt.Fatalf("%d items run on %d slots while %d items wait", len(running), slots, q.Len())
				}
			},
		})
	})
}

// TestKeptOnlyForDemand guards against slots kept free for groups without recent demand, which
// would not be work-conserving.
func TestKeptOnlyForDemand(t *testing.T) {
	q := New[int]().WithPolicy(Policy{Window: time.Second, KeptSlots: 2, LateFraction: 0.05})
	now := time.Unix(0, 0)
	server := Server{Slots: 16, MeanRun: time.Second}
	startAll := func() int {
		n := 0
		for {
			it, ok := q.Take(equalWeights, server, now)
			if !ok {
				return n
			}
			q.Start(it.Group, now)
			n++
		}
	}
	for range 100 {
		q.Push("flood", 0, 1, 0)
	}
	if n := startAll(); n != 16 {
		t.Fatalf("%d of 16 slots are taken without another group", n)
	}
	for range 20 {
		q.Arrived("quiet", now)
		now = now.Add(100 * time.Millisecond)
	}
	for range 3 {
		q.Done("flood", now)
	}
	if n := startAll(); n != 1 {
		t.Fatalf("%d of 3 free slots were taken, want 1 with 2 kept for recent demand", n)
	}
	now = now.Add(5 * time.Minute)
	if n := startAll(); n != 2 {
		t.Fatalf("%d of 2 free slots were taken after the demand ended, want 2", n)
	}
}

// TestAverageGivesNoCredit guards against a group that was idle, or ran little, and then
// takes the whole server because its average usage is low.
func TestAverageGivesNoCredit(t *testing.T) {
	q := New[int]().WithPolicy(Policy{Window: 10 * time.Second})
	now := time.Unix(0, 0)
	server := Server{Slots: 16, MeanRun: time.Second}
	running := map[string]int{}
	var order []string
	runSecond := func() {
		for range server.Slots {
			now = now.Add(time.Second / time.Duration(server.Slots))
			if len(order) == server.Slots {
				q.Done(order[0], now)
				running[order[0]]--
				order = order[1:]
			}
			for it, ok := q.Take(equalWeights, server, now); ok; it, ok = q.Take(equalWeights, server, now) {
				q.Start(it.Group, now)
				running[it.Group]++
				order = append(order, it.Group)
			}
		}
	}
	for range 10_000 {
		q.Push("busy", 0, 1, 0)
	}
	for range 100 {
		runSecond()
	}
	maxRunning, sum := 0, 0
	for range 10_000 {
		q.Push("idle", 0, 1, 0)
	}
	for range 100 {
		runSecond()
		maxRunning = max(maxRunning, running["idle"])
		sum += running["idle"]
	}
	share := server.Slots / 2
	if float64(maxRunning) > burstFactor*float64(share)+1 || sum < 100*share*9/10 || sum > 100*share*11/10 {
		t.Fatalf("the group that was idle used at most %d and on average %d of 16 slots", maxRunning, sum/100)
	}
}
