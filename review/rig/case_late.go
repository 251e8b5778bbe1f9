package main

import (
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

const (
	// orderLateness is how long after it was sent the order is carried out.
	orderLateness = 11 * time.Second
	// briefDeadline is how long the client of the late adapter waits.
	briefDeadline = time.Second
	// darkTime is how long the machine is without power.
	darkTime = time.Second
)

// lateCase checks that an engine isn't ordered to hold more adapters than it has places for, when an
// order gets no answer and is carried out late, and the machine of the engine and its keeper loses power
// in between. The engine starts again under its id.
func lateCase(f *fleet, trouble bool) (bool, error) {
	if err := f.deploy(2, 2, 0, 1); err != nil {
		return false, err
	}
	target := f.serviceRunners(modelsService)[0]
	target.mu.Lock()
	target.keepsID = true
	target.mu.Unlock()
	var keeper *proc
	for _, p := range f.processes() {
		if p.role == "keeper" {
			keeper = p
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var lastPaused atomic.Bool
	for i, adapter := range []string{"a1", "a2", "a3", "a4", "a5"} {
		callers.Go(func() {
			c := &client{f: f}
			defer c.drop()
			g := f.gateways()[i%2]
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if adapter == "a5" && lastPaused.Load() {
					continue
				}
				c.stream(g, newStream(modelName+"/"+adapter, adapter, streamDeadline))
			}
		})
	}
	time.Sleep(10 * time.Second)
	lastPaused.Store(true)
	time.Sleep(shortStream + 3*time.Second)
	ordered := make(chan struct{})
	if trouble {
		target.engine.mu.Lock()
		target.engine.lateness = orderLateness
		target.engine.late = func(o stub.Order) bool {
			if o.Op == stub.OpLoad && o.Adapter == "a6" {
				close(ordered)
				return true
			}
			return false
		}
		target.engine.mu.Unlock()
	}
	callers.Go(func() {
		c := &client{f: f}
		defer c.drop()
		c.stream(f.gateways()[0], newStream(modelName+"/a6", "a6", briefDeadline))
	})
	if trouble {
		select {
		case <-ordered:
		case <-time.After(5 * time.Second):
			f.rec.add("the adapter was not ordered")
		}
		time.Sleep(300 * time.Millisecond)
		f.rec.add("the machine of %s loses power", target.name)
		target.crash()
		keeper.kill("its machine loses power")
		time.Sleep(darkTime)
		if err := target.start(); err != nil {
			return false, err
		}
		if err := keeper.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	lastPaused.Store(false)
	time.Sleep(12 * time.Second)
	close(stop)
	callers.Wait()
	target.engine.mu.Lock()
	overflows := target.engine.overflows
	target.engine.mu.Unlock()
	f.rec.conclude("LIMIT: the engine was ordered %d times to hold more adapters than adapterSlots, allowed 0", overflows)
	return overflows > 0, nil
}
