package proof

import (
	"fmt"
	"time"

	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/netsim"
)

func (s step) duration() time.Duration { return time.Duration(1+s.C) * 150 * time.Millisecond }

// ends returns an entry and an agent, the ends of the link that the step is about.
func (s step) ends() (entry, agent string) {
	return entryName(s.A % entries), agentName(s.B % (engines + 1))
}

func (f *fleet) crash(_ int, s step) { f.engines[s.A%engines].Crash() }

// outage makes the platform or one service of it unreachable or slow.
func (f *fleet) outage(_ int, s step) {
	d := s.duration()
	switch s.Do {
	case "outage":
		f.table.SetUnavailable(true)
		f.objects.SetUnavailable(true)
		f.later(d, func() { f.table.SetUnavailable(false); f.objects.SetUnavailable(false) })
	case "outage_objects":
		f.objects.SetUnavailable(true)
		f.later(d, func() { f.objects.SetUnavailable(false) })
	case "outage_weights":
		f.weights.SetUnavailable(true)
		f.later(d, func() { f.weights.SetUnavailable(false) })
	case "outage_hosts":
		f.hosts.SetUnavailable(true)
		f.mu.Lock()
		f.hostsBack = time.Now().Add(d)
		f.mu.Unlock()
		f.later(d, func() { f.hosts.SetUnavailable(false) })
	case "slow":
		f.table.SetDelay(time.Duration(1+s.B) * 40 * time.Millisecond)
		f.later(d, func() { f.table.SetDelay(platformDelay) })
	case "slow_objects":
		f.slowObjects(s)
	}
}

func (f *fleet) slowObjects(s step) {
	f.objects.SetDelay(time.Duration(1+s.B) * 2 * time.Millisecond) // a start reads up to eight objects in 2 s
	f.later(s.duration(), func() { f.objects.SetDelay(0) })
}

func (f *fleet) loseReply(_ int, s step) { f.table.LoseReplies(1 + s.B%5) }

// cut breaks connections: of an entry with one or all agents, or of an agent with its engine.
func (f *fleet) cut(_ int, s step) {
	e, a := s.ends()
	to := a
	if s.C%2 == 0 {
		to = ""
	}
	switch s.Do {
	case "cut":
		f.net.ResetConnections(e, to)
	case "break":
		f.net.DisconnectDialers(e, to, s.duration()/4)
	case "cut_engine":
		f.net.ResetConnections(a, backName(s.B%(engines+1)))
	}
}

// link makes the link between an entry and an agent faulty in both directions.
func (f *fleet) link(_ int, s step) {
	e, a := s.ends()
	d := s.duration()
	switch s.Do {
	case "silent":
		f.fault(e, a, netsim.Fault{Blackhole: true}, d/4)
	case "delay":
		f.fault(e, a, netsim.Fault{Delay: time.Duration(1+s.A) * 20 * time.Millisecond}, d)
	case "refuse":
		f.fault(e, a, netsim.Fault{Refuse: true}, d)
	case "repeat":
		// Every message between the entry and any agent, and to one agent from any process.
		for _, p := range f.procs() {
			if p.id != a {
				f.repeat(p.id, a, s)
			}
			if p.id != e && p.id != a {
				f.repeat(e, p.id, s)
			}
		}
	}
}

func (f *fleet) repeat(from, to string, s step) {
	f.fault(from, to, netsim.Fault{Delay: linkDelay, DuplicateAfter: time.Duration(1+s.A) * 30 * time.Millisecond}, s.duration())
}

func (f *fleet) orders(_ int, s step) {
	e := f.engines[s.A%engines]
	e.SetOrderFaults(engsim.OrderFaults{Seed: uint64(s.B), LossProbability: 0.3, LateProbability: 0.3, DuplicateProbability: 0.3, MaxDelay: orderDelay - 100*time.Millisecond})
	f.later(s.duration(), func() { e.SetOrderFaults(engsim.OrderFaults{}) })
}

// pause freezes a process, for up to three times the term of a lease: its access to the
// platform blocks and what it sends to or gets from other processes arrives late.
func (f *fleet) pause(_ int, s step) {
	d := 2 * s.duration()
	procs := f.procs()
	p := procs[s.A%len(procs)]
	p.gate.pause(d)
	for _, q := range procs {
		if q != p {
			f.fault(p.id, q.id, netsim.Fault{Delay: d}, d)
			f.fault(q.id, p.id, netsim.Fault{Delay: d}, d)
		}
	}
}

// lateStart breaks an entry's connections while the starts of requests that may run
// once are under way; the agents read them after the entry has withdrawn them.
func (f *fleet) lateStart(i int, s step) {
	const slow = 40 * time.Millisecond
	p := f.entryAt(s.A)
	for j := range engines + 1 {
		f.fault(p.id, agentName(j), netsim.Fault{Delay: slow}, 4*slow)
	}
	for j := range 4 {
		c := &call{id: fmt.Sprintf("l%d-%d", i, j), model: modelName(j % models), tokens: 5, once: true}
		c.service = j == 3
		if s.B%2 == 0 {
			c.startIn = time.Second
		}
		f.launch(p, c)
		time.Sleep(callGap)
	}
	// A start goes out once the probes have come back, after two delays.
	f.later(2*slow+time.Duration(s.C)*slow/100, func() { f.net.DisconnectDialers(p.id, "", 50*time.Millisecond+s.duration()/3) })
}

// lateLeave has an agent that is busy leave by a signal while starts that an entry sent
// before are under way to it for more than the 3 s in which new work may arrive.
func (f *fleet) lateLeave(i int, s step) {
	const slow = 40 * time.Millisecond
	p, a := f.entryAt(s.A), s.B%engines
	for j := range 2 * models {
		c := &call{id: fmt.Sprintf("b%d-%d", i, j), model: modelName(j % models), tokens: 400, stream: true}
		f.launch(f.entryAt(s.A+1), c)
		time.Sleep(callGap)
	}
	f.fault(p.id, agentName(a), netsim.Fault{Delay: slow}, 3*slow)
	for j := range 2 * models {
		f.launch(p, &call{id: fmt.Sprintf("b%d-late-%d", i, j), model: modelName(j % models), tokens: 5})
		time.Sleep(callGap)
	}
	// The probes come back after two delays, then the starts go out.
	f.later(slow+slow/2, func() {
		f.fault(p.id, agentName(a), netsim.Fault{Delay: 4*time.Second + s.duration()/16}, 2*slow)
		time.Sleep(3 * slow)
		f.leaveAgent(i, step{A: a, B: 1})
	})
}

// staleCopy leaves an old copy of the table in the object store and restarts a process
// that reads it late, after it has the newest table from its peers.
func (f *fleet) staleCopy(i int, s step) {
	f.edits(i, step{A: s.A, C: 1})
	f.later(time.Second, func() {
		f.slowObjects(s)
		if s.A%2 == 0 {
			f.killEntry(i, s)
		} else {
			f.restartAgent(i, s)
		}
	})
}

func (f *fleet) later(d time.Duration, end func()) {
	f.wg.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (f *fleet) fault(from, to string, what netsim.Fault, d time.Duration) {
	f.net.SetFault(from, to, what)
	f.later(d, func() { f.net.SetFault(from, to, netsim.Fault{Delay: linkDelay}) })
}

func (f *fleet) procs() []*proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*proc
	for _, p := range f.entries {
		out = append(out, p.proc)
	}
	for _, p := range f.agents {
		out = append(out, p.proc)
	}
	return out
}

// breaks breaks answers of an engine in the middle of their events.
func (f *fleet) breaks(_ int, s step) {
	i := s.A % engines
	f.engines[i].SetStreamFaults(engsim.StreamFaults{BreakProbability: 0.05})
	f.later(s.duration(), func() { f.engines[i].SetStreamFaults(engsim.StreamFaults{}) })
}
