package engsim

import (
	"slices"
	"strings"
	"time"

	"chervilhead/internal/protocol/engine"
)

// report is the engine's state from a time on.
type report struct {
	at    time.Time
	state engine.State
}

// State returns the engine's state as it was ReportLag ago, or an error while the engine is down.
func (e *Engine) State() (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.State{}, errDown
	}
	if e.cfg.ReportLag == 0 {
		return e.state(), nil
	}
	e.pruneReports(time.Now())
	return e.reports[0].state, nil
}

// recordState records a changed state for lagging reports; mu is held.
func (e *Engine) recordState() {
	if e.cfg.ReportLag == 0 {
		return
	}
	now := time.Now()
	e.reports = append(e.reports, report{now, e.state()})
	e.pruneReports(now)
}

// pruneReports drops the reports older than the one to show; mu is held.
func (e *Engine) pruneReports(now time.Time) {
	then := now.Add(-e.cfg.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(then) {
		e.reports = e.reports[1:]
	}
}

// state returns the current state; mu is held.
func (e *Engine) state() engine.State {
	s := engine.State{
		Incarnation: e.incarnation, FencingToken: e.fencingToken, Role: e.role,
		MemoryTotalBytes: e.cfg.MemoryTotalBytes, MemoryUsedBytes: e.memoryUsed(), KVBytes: e.kvBytes(e.role), RoleKVBytes: e.cfg.RoleKVBytes,
		Waiting: len(e.waiting), Restarts: e.restarts, AppliedOrders: slices.Clone(e.applied),
	}
	for _, r := range e.residents {
		s.Residents = append(s.Residents, r)
	}
	slices.SortFunc(s.Residents, func(a, b engine.ResidentModel) int { return strings.Compare(a.Model, b.Model) })
	for id := range e.running {
		s.Running = append(s.Running, id)
	}
	slices.Sort(s.Running)
	return s
}
