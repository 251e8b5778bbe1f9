package proxy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilhead/internal/state/credit"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/notice"
)

// The load for which the quotas are designed, and engines that it uses fully with the flood.
const (
	isoGroups, isoEngines, isoSlots = 16, 24, 16
	isoStep                         = 4 * time.Millisecond
	// A group's usual use is 0.55 of its limit; one sends up to 7.5 times that.
	isoUsual, isoFlood = 0.55, 7.5
	isoMeanTokens      = 5500
	// isoPriority is the engines' priority of a request without priorities of its group and route.
	isoPriority, isoSeeds = 5, 3
	// isoReport is the time between the keepers' reports.
	isoReport = 200 * time.Millisecond
	// A request that has not started isoDeadline after its arrival is lost to its caller.
	isoDeadline = 2 * time.Second
	// The buckets are full before the first request, and a flood begins when the load is steady.
	isoFill, isoSteady, isoLength = 6 * time.Second, 10 * time.Second, 24 * time.Second
)

// isoAll are groups with a small, a middle and the largest limit.
var isoAll = []int{0, isoGroups / 4, isoGroups - 1}

// isoQuotas is the quota of one gateway without a network.
type isoQuotas struct {
	now     *time.Time
	account *credit.Account
	service *credit.Service
}

func (q *isoQuotas) Take(context.Context, fleet.Group, float64, time.Duration) (time.Duration, bool) {
	panic("unused")
}
func (q *isoQuotas) Return(fleet.Group, float64)     {}
func (q *isoQuotas) Confirmed() bool                 { return true }
func (q *isoQuotas) Ended(group string, served bool) { q.service.Add(*q.now, group, served) }
func (q *isoQuotas) AboveShare(group string) bool {
	return q.account.AboveShare(*q.now, group) && !q.service.PoorlyServed(group, *q.now)
}

type isoRequest struct {
	group, gateway, priority int
	tokens                   float64
	arrivedAt, endsAt        time.Time
}

type isoEngine struct{ running, waiting []*isoRequest }

// isoResult is what the callers of a group got.
type isoResult struct {
	offered, refused, admitted, served int
	waited                             time.Duration
}

func (r isoResult) add(o isoResult) isoResult {
	return isoResult{r.offered + o.offered, r.refused + o.refused, r.admitted + o.admitted, r.served + o.served, r.waited + o.waited}
}

func (r isoResult) share() float64 { return float64(r.served) / float64(r.offered) }

func (r isoResult) meanWait() time.Duration {
	return (r.waited / time.Duration(max(1, r.served))).Round(time.Millisecond)
}

// isolationPlay plays 16 groups at their usual use, of which one floods if it isn't negative, before
// engines that the usual use loads to a part of their capacity.
func isolationPlay(seed uint64, gateways int, load float64, flooding int) []isoResult {
	now := time.Unix(1_000_000, 0)
	pool, f := credit.NewPool(1, now), credit.Fleet{Groups: map[string]fleet.Group{}, Gateways: gateways}
	var groups []fleet.Group
	total := 0.0
	for i := range isoGroups {
		rate := 29_000 + float64(i)*581_000/(isoGroups-1)
		g := fleet.Group{Name: fmt.Sprint("group-", i), Quota: fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: rate, Burst: rate}}
		f.Groups[g.Name], groups, total = g, append(groups, g), total+rate
	}
	states := make([]fleet.State, isoEngines)
	for i := range states {
		states[i] = fleet.State{Endpoint: fleet.Endpoint{ID: fmt.Sprint("e", i)}, StatusSupersedes: true}
	}
	control := fakeControlPlane{states: func() []fleet.State { return states }, leavers: notice.NewLeavers()}
	metrics := NewMetrics(prometheus.NewRegistry())
	handlers, quotas := make([]*Handler, gateways), make([]*isoQuotas, gateways)
	for i := range handlers {
		quotas[i] = &isoQuotas{now: &now, account: credit.NewAccount(fmt.Sprint("gateway-", i), 1, now), service: credit.NewService()}
		handlers[i] = &Handler{cfg: Settings{Quotas: quotas[i], Random: jitter.Seeded(seed + uint64(i))}, control: control, metrics: metrics}
	}
	serve := func(a *credit.Account) {
		for r, ok := a.Next(now); ok; r, ok = a.Next(now) {
			if g, ok := pool.Handle(now, r, f); ok {
				a.Apply(now, g)
			}
		}
	}
	// Each group has its own draws, so that the flood changes none of the others' requests.
	arrivals, dues := make([]*rand.Rand, isoGroups), make([]time.Time, isoGroups)
	began := now.Add(isoFill)
	for i := range arrivals {
		arrivals[i], dues[i] = rand.New(rand.NewPCG(seed, uint64(i))), began
	}
	choices := rand.New(rand.NewPCG(seed, 99))
	engines, results := make([]isoEngine, isoEngines), make([]isoResult, isoGroups)
	perSlot := isoUsual * total / load / (isoEngines * isoSlots)
	floodAt, end := began.Add(isoSteady), began.Add(isoLength)
	ended := func(r *isoRequest, served bool) {
		quotas[r.gateway].Ended(groups[r.group].Name, served)
		if r.arrivedAt.Before(floodAt) || r.arrivedAt.After(end.Add(-isoDeadline)) {
			return
		}
		out := &results[r.group]
		if out.admitted++; served {
			out.served++
			out.waited += r.endsAt.Sub(r.arrivedAt) - time.Duration(r.tokens/perSlot*float64(time.Second))
		}
	}
	for reportAt := now; now.Before(end); now = now.Add(isoStep) {
		for _, q := range quotas {
			serve(q.account)
		}
		for i := range engines {
			e := &engines[i]
			e.running = slices.DeleteFunc(e.running, func(r *isoRequest) bool {
				if r.endsAt.After(now) {
					return false
				}
				ended(r, true)
				return true
			})
			e.waiting = slices.DeleteFunc(e.waiting, func(r *isoRequest) bool {
				if now.Sub(r.arrivedAt) < isoDeadline {
					return false
				}
				ended(r, false)
				return true
			})
			for len(e.running) < isoSlots && len(e.waiting) > 0 {
				first := 0
				for j, r := range e.waiting {
					if r.priority < e.waiting[first].priority {
						first = j
					}
				}
				r := e.waiting[first]
				r.endsAt = now.Add(time.Duration(r.tokens / perSlot * float64(time.Second)))
				e.waiting, e.running = slices.Delete(e.waiting, first, first+1), append(e.running, r)
			}
		}
		if !now.Before(reportAt) {
			reportAt = now.Add(isoReport)
			for i, e := range engines {
				states[i].Status = fleet.Status{Alive: true, Running: len(e.running), Waiting: len(e.waiting), ReceivedAt: now}
			}
		}
		for i, g := range groups {
			for !dues[i].After(now) {
				rate := isoUsual * g.Quota.PerSecond / isoMeanTokens
				if i == flooding && !dues[i].Before(floodAt) {
					rate *= isoFlood
				}
				dues[i] = dues[i].Add(time.Duration(arrivals[i].ExpFloat64() / rate * float64(time.Second)))
				r := &isoRequest{group: i, gateway: arrivals[i].IntN(gateways), tokens: float64(1000 + arrivals[i].IntN(9001)), arrivedAt: now}
				counted := !now.Before(floodAt) && !now.After(end.Add(-isoDeadline))
				if counted {
					results[i].offered++
				}
				a := quotas[r.gateway].account
				a.Arrive(now, g, r.tokens)
				d := a.Take(now, g, r.tokens, gateways)
				if _, ok := d.(credit.Pending); ok {
					a.Wait(g.Name, r.tokens)
					serve(a)
					a.Leave(g.Name, r.tokens)
					d = a.Take(now, g, r.tokens, gateways)
				}
				if _, ok := d.(credit.Taken); !ok {
					if counted {
						results[i].refused++
					}
					continue
				}
				// The better of two engines, as a gateway's estimates have it.
				x, y := choices.IntN(isoEngines), choices.IntN(isoEngines)
				if len(engines[y].waiting)+len(engines[y].running) < len(engines[x].waiting)+len(engines[x].running) {
					x = y
				}
				r.priority = handlers[r.gateway].enginePriority(&call{group: g}, states[x].Endpoint, isoPriority)
				engines[x].waiting = append(engines[x].waiting, r)
			}
		}
	}
	return results
}

// TestIsolation guards against a group that harms others by sending 7.5 times its usual load, and
// against one that is served less than a quarter as often as all.
func TestIsolation(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		load     float64
		flooding []int
	}{{31, 0.8, isoAll}, {31, 0.95, isoAll}, {31, 1.1, isoAll}, {103, 1.1, isoAll[1:2]}} {
		gateways, load := tc.gateways, tc.load
		without := make([]isoResult, isoGroups)
		for seed := range uint64(isoSeeds) {
			for i, r := range isolationPlay(seed, gateways, load, -1) {
				without[i] = without[i].add(r)
			}
		}
		for _, flooding := range tc.flooding {
			t.Run(fmt.Sprintf("%d gateways, load %.2f, group %d", gateways, load, flooding), func(t *testing.T) {
				t.Parallel()
				with := make([]isoResult, isoGroups)
				for seed := range uint64(isoSeeds) {
					for i, r := range isolationPlay(seed, gateways, load, flooding) {
						with[i] = with[i].add(r)
					}
				}
				var all, others, othersWithout isoResult
				for i, r := range with {
					w := without[i]
					all = all.add(r)
					if i != flooding {
						others, othersWithout = others.add(r), othersWithout.add(w)
					}
					share, before := r.share(), w.share()
					t.Logf("group %d: offered %d, refused %d (%d), served %.3f (%.3f without the flood), mean wait %v (%v)", i, r.offered, r.refused, w.refused, share, before, r.meanWait(), w.meanWait())
					// The plays differ in the engines that they draw: three standard errors are chance.
					chance := 3 * math.Sqrt((share*(1-share)+before*(1-before))/float64(r.offered))
					if i != flooding && share < before-max(0.01, chance) {
						t.Errorf("group %d: %.3f of its requests served, %.3f without the flood", i, share, before)
					}
				}
				t.Logf("the others: served %.4f (%.4f without the flood), mean wait %v (%v)", others.share(), othersWithout.share(), others.meanWait(), othersWithout.meanWait())
				if others.share() < othersWithout.share()-0.01 {
					t.Errorf("%.4f of the others' requests served, %.4f without the flood", others.share(), othersWithout.share())
				}
				for i, r := range with {
					if share := float64(r.served) / float64(r.admitted); share < 0.25*float64(all.served)/float64(all.admitted) {
						t.Errorf("group %d: %.3f of its requests within the quota served, %.3f of all", i, share, float64(all.served)/float64(all.admitted))
					}
				}
			})
		}
	}
}
