package main

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

const (
	// adapterSlots is the number of adapters that an engine holds.
	adapterSlots = 5
	// diskLoadTime is the time of a load of weights that are on the engine's disk.
	diskLoadTime = time.Second
)

// engine is what a model engine holds. It starts with the model, and empty after a restart; the
// copy of the weights on its disk stays.
type engine struct {
	r *runner

	mu       sync.Mutex
	sequence int64
	resident bool
	loadEnd  time.Time
	adapters []string
	// late, if set, chooses the order that gets no answer and is carried out after lateness.
	late     func(o stub.Order) bool
	lateness time.Duration
	// overflows counts the orders that would have the engine hold more than it can.
	overflows int
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence, e.resident, e.loadEnd, e.adapters = 0, false, time.Time{}, nil
}

// update ends a load whose time is over; the caller holds mu.
func (e *engine) update() {
	if !e.loadEnd.IsZero() && time.Now().After(e.loadEnd) {
		e.resident, e.loadEnd = true, time.Time{}
	}
}

func (e *engine) models() []stub.Resident {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update()
	if !e.resident {
		return []stub.Resident{}
	}
	return []stub.Resident{{Name: modelName, Version: 1, Adapters: append([]string{}, e.adapters...)}}
}

func (e *engine) state() (sequence int64, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update()
	return e.sequence, !e.loadEnd.IsZero()
}

func (e *engine) holds(model string) bool {
	for _, m := range e.models() {
		if m.Name == model {
			return true
		}
		for _, a := range m.Adapters {
			if m.Name+"/"+a == model {
				return true
			}
		}
	}
	return false
}

// serveOrder answers an order, or leaves it unanswered and carries it out later.
func (e *engine) serveOrder(w http.ResponseWriter, in *http.Request, instance string) {
	o, err := stub.ReadOrder(in.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := in.Header.Get(headerExpectInstance); want != "" && want != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	late := e.late != nil && e.late(o)
	if late {
		e.late = nil
	}
	e.mu.Unlock()
	if !late {
		w.WriteHeader(e.apply(o, "at once"))
		return
	}
	e.r.f.rec.add("order to %s: %s %s/%s, precondition %d: no answer, carried out %v later", instance, o.Op, o.Model, o.Adapter, *o.ExpectedSequence, e.lateness)
	time.AfterFunc(e.lateness, func() {
		e.r.mu.Lock()
		now, up := e.r.id, e.r.up
		e.r.mu.Unlock()
		if up && now == instance {
			e.apply(o, "late")
		}
	})
	<-in.Context().Done()
	panic(http.ErrAbortHandler)
}

// apply carries an order out and returns the status of its answer.
func (e *engine) apply(o stub.Order, when string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update()
	status := e.applyLocked(o)
	e.r.f.rec.add("order to %s %s: %s %s/%s by %s, fence %d: status %d, sequence now %d, adapters %v", e.r.name, when, o.Op, o.Model, o.Adapter, o.Holder, o.FencingToken, status, e.sequence, e.adapters)
	if len(e.adapters) > adapterSlots {
		e.overflows++
		e.r.f.rec.add("%s holds %d adapters and has places for %d: it crashes", e.r.name, len(e.adapters), adapterSlots)
		go func() {
			e.r.crash()
			time.Sleep(2 * time.Second)
			_ = e.r.start()
		}()
	}
	return status
}

func (e *engine) applyLocked(o stub.Order) int {
	held := slices.Contains(e.adapters, o.Adapter)
	switch {
	case !e.loadEnd.IsZero(), o.ExpectedSequence != nil && *o.ExpectedSequence != e.sequence:
		return http.StatusConflict
	case o.Model != modelName, o.Adapter != "" && !e.resident:
		return http.StatusMisdirectedRequest
	case o.Op == stub.OpLoad && o.Adapter == "" && e.resident, o.Op == stub.OpLoad && held:
		return http.StatusOK
	}
	e.sequence++
	switch {
	case o.Op == stub.OpLoad && o.Adapter == "":
		e.loadEnd = time.Now().Add(diskLoadTime)
		return http.StatusAccepted
	case o.Op == stub.OpLoad:
		e.adapters = append(e.adapters, o.Adapter)
		return http.StatusAccepted
	case o.Adapter == "":
		e.resident, e.adapters = false, nil
	default:
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Adapter })
	}
	return http.StatusOK
}
