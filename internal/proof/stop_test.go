package proof

import (
	"fmt"
	"time"

	"chervilhead/internal/coordination/store"
)

// take marks a process as leaving or killed, unless it is already or free says no.
func (f *fleet) take(p *proc, free func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.busy || free != nil && !free() {
		return false
	}
	p.busy = true
	return true
}

// replace stops a process once it leaves and starts the next one on its host.
func (f *fleet) replace(p *proc, role store.Role, left <-chan struct{}, stop, next func()) {
	f.stops.Go(func() {
		<-left
		stop()
		f.plat.Hosts.Remove(p.id)
		time.Sleep(2 * hostLag)
		f.list(p.id, role, store.HostLive)
		time.Sleep(2 * hostLag)
		next()
	})
}

// leaveAgent has an agent leave, as the host list or a signal says.
func (f *fleet) leaveAgent(_ int, s step) {
	i := s.A % (engines + 1)
	p := f.agents[i]
	if !f.take(p.proc, func() bool { return len(f.leaving) == 0 }) {
		return
	}
	signal := s.B%2 == 1
	f.mu.Lock()
	f.leaving[p.id] = leaving{at: time.Now(), signal: signal}
	f.mu.Unlock()
	if signal {
		p.a.Leave()
	} else {
		f.list(p.id, store.RoleAgent, store.HostLeaving)
	}
	f.wg.Go(func() { f.keepBusy(p.id, i) })
	f.replace(p.proc, store.RoleAgent, p.a.LeaveRequested(), p.stop, func() {
		f.mu.Lock()
		delete(f.leaving, p.id)
		f.mu.Unlock()
		f.setAgent(i, f.startAgent(i))
	})
}

// keepBusy sends requests while an agent leaves; the first ones run longer than a
// handover takes, so that they are in flight at its end.
func (f *fleet) keepBusy(id string, agent int) {
	const sends, long = 16, 4
	for i := range sends {
		c := &call{id: fmt.Sprintf("%s-%d-%d", id, time.Now().UnixNano(), i), model: modelName(i % models), tokens: 5, stream: true}
		if i < long {
			c.tokens = 400
		}
		if agent == serviceAgent {
			c.service, c.once, c.stream = true, true, false
		}
		f.launch(f.entryAt(i), c)
		time.Sleep(500 * time.Millisecond)
	}
}

// leaveEntry has an entry leave while the other one serves.
func (f *fleet) leaveEntry(_ int, s step) {
	i := s.A % entries
	p, other := f.entries[i], f.entries[1-i]
	if !f.take(p.proc, func() bool { return !other.busy && other.e.Ready() }) {
		return
	}
	f.list(p.id, store.RoleEntry, store.HostLeaving)
	f.replace(p.proc, store.RoleEntry, p.e.LeaveRequested(), p.stop, func() { f.setEntry(i, f.startEntry(p.id)) })
}

// killEntry kills an entry and starts the next incarnation.
func (f *fleet) killEntry(_ int, s step) {
	i := s.A % entries
	p := f.entries[i]
	if f.take(p.proc, nil) {
		p.kill()
		f.setEntry(i, f.startEntry(p.id))
	}
}

// restartAgent kills an agent and starts the next incarnation.
func (f *fleet) restartAgent(_ int, s step) {
	i := s.A % (engines + 1)
	p := f.agents[i]
	if f.take(p.proc, nil) {
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
