package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

const (
	// lateness is how long after it was sent an order without an answer is carried out.
	lateness = 11 * time.Second
	// darkTime is how long a machine is without power.
	darkTime = time.Second
	// places is the number of adapters that a runner holds.
	places = 5
	// lateName is the adapter that is ordered late.
	lateName = "a6"
)

// holds reports whether the runner has a model, or an adapter of it; the caller holds mu.
func (r *runner) holds(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	for _, m := range r.residents() {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// applyAdapter carries out an order for an adapter and returns the answer's status; the caller holds mu.
func (r *runner) applyAdapter(id string, o stub.Order) int {
	held := slices.Contains(r.adapters, o.Adapter)
	switch {
	case r.loading != "", o.ExpectedSequence != nil && *o.ExpectedSequence != r.sequence:
		return http.StatusConflict
	case !slices.Contains(r.models, o.Model):
		return http.StatusMisdirectedRequest
	case held == (o.Op == stub.OpLoad):
		return http.StatusOK
	}
	r.sequence++
	r.f.rec.notef("runner %s is ordered: %s %s/%s, sequence %d", id, o.Op, o.Model, o.Adapter, r.sequence)
	if o.Op == stub.OpUnload {
		r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == o.Adapter })
		return http.StatusOK
	}
	r.adapters = append(r.adapters, o.Adapter)
	if len(r.adapters) > r.engine.AdapterSlots {
		r.overflows++
		r.f.rec.notef("runner %s holds %d adapters in %d places", id, len(r.adapters), r.engine.AdapterSlots)
		go r.crash(id, "it has no place for the adapter")
	}
	return http.StatusAccepted
}

// actsLate reports whether an order is the one that gets no answer.
func (r *runner) actsLate(o stub.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateAdapter != "" && o.Op == stub.OpLoad && o.Adapter == r.lateAdapter
}

// actLate leaves an order without an answer and carries it out late, if its conditions hold then.
func (r *runner) actLate(req *http.Request, id string, o stub.Order) {
	r.mu.Lock()
	r.lateAdapter = ""
	r.mu.Unlock()
	r.f.rec.notef("runner %s leaves an order without an answer: %s %s/%s, expected sequence %d", id, o.Op, o.Model, o.Adapter, *o.ExpectedSequence)
	time.AfterFunc(lateness, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up || r.id != id {
			return
		}
		r.residents()
		r.f.rec.notef("the late order is carried out now: status %d", r.applyAdapter(id, o))
	})
	<-req.Context().Done()
	panic(http.ErrAbortHandler)
}

var errNotOrdered = errors.New("the adapter was not ordered")

// lateOrder plays an order without an answer that is carried out after its runner's machine, and so the
// keeper, has lost power and come back, the runner under its id.
func lateOrder(f *fleet, trouble bool) (verdict, error) {
	cfg := smallConfig()
	e := cfg.Services[0].Engine
	e.Models = e.Models[:1]
	e.Models[0].AdapterMB, e.Models[0].Adapters, e.AdapterSlots = 12, 8, places
	if err := f.start(layout{gateways: 2, engines: 1, plain: 1, config: cfg, hold: holdBusy}); err != nil {
		return verdict{}, err
	}
	r, k := f.runners[0], f.keepers[0]
	time.Sleep(stable)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var lastRests atomic.Bool
	ask := func(n int, adapter string, deadline time.Duration) {
		q := f.dossier(n, fmt.Sprintf("aa01:300,c%07x:20", requestNumber.Load()))
		q.model, q.deadline = busyModel+"/"+adapter, deadline
		f.send(q)
	}
	for i := range places {
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				if i < places-1 || !lastRests.Load() {
					ask(n, fmt.Sprintf("a%d", i+1), 5*time.Second)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	lastRests.Store(true)
	time.Sleep(4 * time.Second)
	if trouble {
		r.mu.Lock()
		r.lateAdapter = lateName
		r.mu.Unlock()
	}
	ask(0, lateName, time.Second)
	if trouble {
		r.mu.Lock()
		waiting := r.lateAdapter != ""
		r.keepID = true
		r.mu.Unlock()
		if waiting {
			return verdict{}, errNotOrdered
		}
		f.rec.notef("the machine of the runner and its keeper loses power")
		r.end()
		_ = k.stop(syscall.SIGKILL, grace)
		time.Sleep(darkTime)
		if err := r.start(); err != nil {
			return verdict{}, err
		}
		if err := k.start(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(4 * time.Second)
	lastRests.Store(false)
	time.Sleep(12 * time.Second)
	cancel()
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return verdict{r.overflows > 0, fmt.Sprintf("LIMIT: the runner was ordered %d times to hold more adapters than its %d places", r.overflows, places)}, nil
}
