package testbed

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

// modelState is the resident models of a simulated engine; it carries out orders and checks them.
type modelState struct {
	spec    *stub.Engine
	checker *Checker

	mu     sync.Mutex
	seq    int64
	models []stub.Resident
	// loadEnd is when the load in progress ends, loading the model that it loads.
	loadEnd time.Time
	loading string
	// holder is the lease holder and fencingToken the token of the newest order.
	holder       string
	fencingToken uint64
	inHostMemory []string
}

func newModelState(spec *stub.Engine, holds []string, checker *Checker) *modelState {
	m := &modelState{spec: spec, checker: checker}
	for _, n := range holds {
		m.models = append(m.models, stub.Resident{Name: n, Version: 1, Adapters: []string{}})
		m.inHostMemory = append(m.inHostMemory, n)
	}
	return m
}

// finishLoad makes the loading model resident once its load time is over; the caller holds mu.
func (m *modelState) finishLoad() {
	if m.loading != "" && !time.Now().Before(m.loadEnd) {
		m.models = append(m.models, stub.Resident{Name: m.loading, Version: 1, Adapters: []string{}})
		if !slices.Contains(m.inHostMemory, m.loading) {
			m.inHostMemory = append(m.inHostMemory, m.loading)
		}
		m.loading = ""
	}
}

func (m *modelState) sequence() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seq
}

func (m *modelState) list() []stub.Resident {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finishLoad()
	out := make([]stub.Resident, 0, len(m.models))
	for _, r := range m.models {
		r.Adapters = slices.Clone(r.Adapters)
		out = append(out, r)
	}
	return out
}

func (m *modelState) holds(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	for _, r := range m.list() {
		if r.Name == model {
			return adapter == "" || slices.Contains(r.Adapters, adapter)
		}
	}
	return false
}

func (m *modelState) report(born int64, state stub.State, waiting, running int) stub.Report {
	list := m.list()
	m.mu.Lock()
	defer m.mu.Unlock()
	return stub.Report{
		Models: list, Busy: m.loading != "", Sequence: m.seq, Waiting: waiting, Running: running, CacheTokens: m.spec.CacheTokens,
		State: state, Born: born, Pending: []string{}, Runs: [][]any{}, Available: stub.Available{InMemory: m.inHostMemory, OnDisk: []string{}},
	}
}

// order carries out an order; it returns true if the engine runs out of memory or adapter
// slots and crashes.
func (m *modelState) order(w http.ResponseWriter, r *http.Request) bool {
	o, err := stub.ReadOrder(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finishLoad()
	if m.holder != "" && m.holder != o.Holder {
		m.checker.AddViolation("ONE", "one engine received orders from %s and from %s", m.holder, o.Holder)
	}
	if o.FencingToken < m.fencingToken {
		m.checker.AddViolation("ONE", "fencing token %d received after %d", o.FencingToken, m.fencingToken)
	}
	m.holder, m.fencingToken = o.Holder, o.FencingToken
	i := slices.IndexFunc(m.models, func(r stub.Resident) bool { return r.Name == o.Model })
	switch {
	case m.loading != "", o.ExpectedSequence != nil && *o.ExpectedSequence != m.seq:
		w.WriteHeader(http.StatusConflict)
		return false
	case o.Adapter != "" && i < 0:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	m.seq++
	switch {
	case o.Op == stub.OpLoad && o.Adapter != "":
		m.models[i].Adapters = append(m.models[i].Adapters, o.Adapter)
	case o.Op == stub.OpLoad && i < 0:
		m.loading, m.loadEnd = o.Model, time.Now().Add(m.loadTime(o.Model))
	case o.Op == stub.OpUnload && o.Adapter != "":
		m.models[i].Adapters = slices.DeleteFunc(m.models[i].Adapters, func(a string) bool { return a == o.Adapter })
	case o.Op == stub.OpUnload && i >= 0:
		m.models = slices.Delete(m.models, i, i+1)
	}
	if mb, adapters := m.memory(); mb > m.spec.WeightsMB || adapters > m.spec.AdapterSlots {
		m.checker.AddViolation("LIMIT", "an engine of %.0f MB and %d adapters was ordered to hold %.0f MB and %d", m.spec.WeightsMB, m.spec.AdapterSlots, mb, adapters)
		return true
	}
	w.WriteHeader(http.StatusAccepted)
	return false
}

func (m *modelState) loadTime(name string) time.Duration {
	for _, s := range m.spec.Models {
		if s.Name == name {
			if slices.Contains(m.inHostMemory, name) {
				return time.Duration(s.WarmS * float64(time.Second))
			}
			return time.Duration(s.LoadS * float64(time.Second))
		}
	}
	return 0
}

func (m *modelState) memory() (mb float64, adapters int) {
	for _, s := range m.spec.Models {
		if s.Name == m.loading {
			mb += s.WeightsMB
		}
		for _, r := range m.models {
			if r.Name == s.Name {
				mb += s.WeightsMB + float64(len(r.Adapters))*s.AdapterMB
				adapters += len(r.Adapters)
			}
		}
	}
	return mb, adapters
}
