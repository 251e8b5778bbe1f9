package proof

import (
	"fmt"
	"time"

	"chervilhead/internal/coordination/store"
)

// reserve marks a process as busy, unless it is already or free returns false.
func (f *fleet) reserve(p *proc, free func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.busy || free != nil && !free() {
		return false
	}
	p.busy = true
	return true
}

// replace waits until a process drains, stops it and starts its successor on the same host.
func (f *fleet) replace(p *proc, role store.Role, draining <-chan struct{}, stop, next func()) {
	f.replacements.Go(func() {
		<-draining
		stop()
		f.plat.Hosts.Remove(p.id)
		time.Sleep(2 * hostListLag)
		f.setHost(p.id, role, store.HostLive)
		time.Sleep(2 * hostListLag)
		next()
	})
}

// leaveAgent drains and replaces an agent, announced by a signal or by the host list.
func (f *fleet) leaveAgent(_ int, s step) {
	i := s.A % (engines + 1)
	p := f.agents[i]
	if !f.reserve(p.proc, func() bool { return len(f.leaving) == 0 }) {
		return
	}
	signal := s.B%2 == 1
	f.mu.Lock()
	f.leaving[p.id] = drainStart{at: time.Now(), signal: signal}
	f.mu.Unlock()
	if signal {
		p.a.Leave()
	} else {
		f.setHost(p.id, store.RoleAgent, store.HostLeaving)
	}
	f.wg.Go(func() { f.sendDuringDrain(p.id, i) })
	f.replace(p.proc, store.RoleAgent, p.a.LeaveRequested(), p.stop, func() {
		f.mu.Lock()
		delete(f.leaving, p.id)
		f.mu.Unlock()
		f.setAgent(i, f.startAgent(i))
	})
}

// sendDuringDrain sends requests while an agent drains; the first ones run longer than a
// handover, so that they are in flight at its end.
func (f *fleet) sendDuringDrain(id string, agent int) {
	const sends, longCalls = 16, 4
	for i := range sends {
		c := &call{id: fmt.Sprintf("%s-%d-%d", id, time.Now().UnixNano(), i), model: modelName(i % models), maxTokens: 5, stream: true}
		if i < longCalls {
			c.maxTokens = 400
		}
		if agent == serviceAgent {
			c.service, c.nonIdempotent, c.stream = true, true, false
		}
		f.launch(f.entryAt(i), c)
		time.Sleep(500 * time.Millisecond)
	}
}

// leaveEntry drains and replaces an entry if the other one is ready.
func (f *fleet) leaveEntry(_ int, s step) {
	i := s.A % entries
	p, other := f.entries[i], f.entries[1-i]
	if !f.reserve(p.proc, func() bool { return !other.busy && other.e.Ready() }) {
		return
	}
	f.setHost(p.id, store.RoleEntry, store.HostLeaving)
	f.replace(p.proc, store.RoleEntry, p.e.LeaveRequested(), p.stop, func() { f.setEntry(i, f.startEntry(p.id)) })
}

// killEntry kills an entry and starts the next incarnation.
func (f *fleet) killEntry(_ int, s step) {
	i := s.A % entries
	p := f.entries[i]
	if f.reserve(p.proc, nil) {
		p.kill()
		f.setEntry(i, f.startEntry(p.id))
	}
}

// restartAgent kills an agent and starts the next incarnation.
func (f *fleet) restartAgent(_ int, s step) {
	i := s.A % (engines + 1)
	p := f.agents[i]
	if f.reserve(p.proc, nil) {
		p.close(false)
		f.setAgent(i, f.startAgent(i))
	}
}

func (f *fleet) setAgent(i int, p *agentProc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[i] = p
}

func (f *fleet) setEntry(i int, p *entryProc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[i] = p
}
