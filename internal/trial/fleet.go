package trial

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

type request struct {
	at    time.Duration
	model string
}

// endpoint is an engine with its queue, its resident models and its agent's report.
type endpoint struct {
	id, domain  string
	up, leaving bool
	// incarnation lets events of an earlier incarnation be ignored.
	incarnation  int
	ready        map[string]time.Duration // time of last use
	loading      map[string]bool
	used         int64
	staging      int64
	running      int
	busy         map[string]int
	queue        []request
	awaitingLoad map[string][]request
	placement    plan.Endpoint
	// loadTimes is when the load of each model of the placement may be requested.
	loadTimes map[string]time.Duration
	meters    map[string]plan.DemandMeter
	// demand is the demand in the endpoint's row, written at demandAt.
	demand   []plan.Demand
	demandAt time.Duration
	// usedAt is when each model was last requested here or loaded; idle and waiting are the
	// contents of the row; retireDeferred is set while a model to be retired is in use.
	usedAt         map[string]time.Duration
	idle           []plan.IdleModel
	waiting        []string
	retireDeferred bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type transfer struct {
	e           *endpoint
	incarnation int
	model       table.Model
}

// fleet is the state of one run.
type fleet struct {
	spec      FleetSpec
	table     table.Table
	policy    policy
	rand      *rand.Rand
	now       time.Duration
	seq       int
	events    events
	endpoints []*endpoint
	byID      map[string]*endpoint
	store     struct {
		queue   []transfer
		active  int
		next    time.Duration
		waiting bool
		// peak is the largest number of transfers queued or active.
		peak int
	}
	result Result
}

func newFleet(s FleetSpec, t table.Table, p policy) *fleet {
	f := &fleet{spec: s, table: t, policy: p, rand: rand.New(rand.NewPCG(1, 2)), byID: map[string]*endpoint{}}
	for i := range s.Engines {
		e := &endpoint{id: fmt.Sprintf("engine-%03d", i), domain: fmt.Sprint("domain-", i%s.FailureDomains)}
		e.reset()
		f.endpoints = append(f.endpoints, e)
		f.byID[e.id] = e
	}
	return f
}

// reset turns an endpoint into a new host without resident models.
func (e *endpoint) reset() {
	e.incarnation++
	e.up, e.leaving, e.used, e.staging, e.running = true, false, 0, 0, 0
	e.ready, e.loading = map[string]time.Duration{}, map[string]bool{}
	e.loadTimes, e.usedAt, e.idle, e.waiting, e.retireDeferred = nil, map[string]time.Duration{}, nil, nil, false
	e.meters, e.demand, e.demandAt = map[string]plan.DemandMeter{}, nil, 0
	e.busy, e.awaitingLoad, e.queue = map[string]int{}, map[string][]request{}, nil
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, do: do})
}

// accept queues a request, or holds it until its model is resident.
func (f *fleet) accept(e *endpoint, r request) {
	e.busy[r.model]++
	m, _ := f.table.Model(r.model)
	e.usedAt[m.Name], e.usedAt[m.Base] = f.now, f.now
	e.meters[r.model] = e.meters[r.model].Add(f.now, serviceTime.Seconds()/slots)
	if _, ok := e.ready[r.model]; !ok {
		e.awaitingLoad[r.model] = append(e.awaitingLoad[r.model], r)
		return
	}
	e.queue = append(e.queue, r)
	f.start(e)
}

// start runs queued requests while slots are free and drops those past the caller's deadline.
func (f *fleet) start(e *endpoint) {
	for e.running < slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if f.now-r.at > callerDeadline {
			e.busy[r.model]--
			continue
		}
		e.running++
		e.ready[r.model] = f.now
		life := e.incarnation
		f.after(serviceTime, func() {
			if e.incarnation != life {
				return
			}
			e.running--
			e.busy[r.model]--
			f.result.Finished++
			if f.now-serviceTime-r.at <= maxStartDelay {
				f.result.MetObjective++
			}
			f.start(e)
		})
	}
}

// fits reports whether a model and its staging memory fit beside what is reserved.
func (e *endpoint) fits(m table.Model) bool {
	return e.used+e.staging+m.MemoryBytes+memory.StagingBytes(m.MemoryBytes) <= capacityBytes
}

// load reserves memory and queues a transfer at the weight store.
func (f *fleet) load(e *endpoint, m table.Model) {
	e.loading[m.Name] = true
	e.used += m.MemoryBytes
	e.staging += memory.StagingBytes(m.MemoryBytes)
	f.result.Loads++
	f.store.queue = append(f.store.queue, transfer{e: e, incarnation: e.incarnation, model: m})
	f.store.peak = max(f.store.peak, len(f.store.queue)+f.store.active)
	f.transfer()
}

// transfer starts queued transfers as the weight store's concurrency and rate limits allow.
func (f *fleet) transfer() {
	s := &f.store
	if s.active >= f.spec.LoadsAtOnce || len(s.queue) == 0 || s.waiting {
		return
	}
	if f.now < s.next {
		s.waiting = true
		f.after(s.next-f.now, func() { s.waiting = false; f.transfer() })
		return
	}
	t := s.queue[0]
	s.queue = s.queue[1:]
	s.active++
	s.next = f.now + storeInterval
	f.after(time.Duration(float64(t.model.MemoryBytes)/float64(storeBytesPerSecond)*float64(time.Second)), func() {
		s.active--
		if t.e.incarnation == t.incarnation && t.e.up {
			f.loaded(t.e, t.model)
		}
		f.transfer()
	})
	f.transfer()
}

func (f *fleet) loaded(e *endpoint, m table.Model) {
	delete(e.loading, m.Name)
	e.staging -= memory.StagingBytes(m.MemoryBytes)
	e.ready[m.Name], e.usedAt[m.Name] = f.now, f.now
	e.queue = append(e.queue, e.awaitingLoad[m.Name]...)
	delete(e.awaitingLoad, m.Name)
	f.start(e)
}

// unload evicts a model and its resident adapters, unless one of them has requests or an
// adapter of the model is loading; it reports whether it did.
func (f *fleet) unload(e *endpoint, m table.Model) bool {
	evicted := []table.Model{}
	for name := range e.ready {
		if a, _ := f.table.Model(name); a.Base == m.Name && m.Base == "" {
			evicted = append(evicted, a)
		}
	}
	for name := range e.loading {
		if a, _ := f.table.Model(name); a.Base == m.Name {
			return false
		}
	}
	evicted = append(evicted, m)
	for _, r := range evicted {
		if e.busy[r.Name] > 0 {
			return false
		}
	}
	for _, r := range evicted {
		delete(e.ready, r.Name)
		e.used -= r.MemoryBytes
		f.result.Evictions++
	}
	return true
}

// fail removes an endpoint with its running requests; queued requests are dispatched again.
func (f *fleet) fail(e *endpoint) {
	queued := e.queue
	for _, m := range slices.Sorted(maps.Keys(e.awaitingLoad)) {
		queued = append(queued, e.awaitingLoad[m]...)
	}
	e.reset()
	e.up = false
	f.policy.membershipChanged()
	for _, r := range queued {
		f.dispatch(r)
	}
}

// restore puts a new host in the place of a failed endpoint.
func (f *fleet) restore(e *endpoint) {
	e.reset()
	f.policy.membershipChanged()
}
