package proof

import (
	"fmt"
	"time"

	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/netsim"
)

func (s step) duration() time.Duration { return time.Duration(1+s.C) * 150 * time.Millisecond }

// linkEnds returns the entry and the agent whose link the step affects.
func (s step) linkEnds() (entry, agent string) {
	return entryName(s.A % entries), agentName(s.B % (engines + 1))
}

func (f *fleet) crash(_ int, s step) { f.engines[s.A%engines].Crash() }

// outage makes one or two of the platform's services unavailable or slow.
func (f *fleet) outage(_ int, s step) {
	d := s.duration()
	switch s.Action {
	case "outage":
		f.table.SetUnavailable(true)
		f.objects.SetUnavailable(true)
		f.after(d, func() { f.table.SetUnavailable(false); f.objects.SetUnavailable(false) })
	case "outage_objects":
		f.objects.SetUnavailable(true)
		f.after(d, func() { f.objects.SetUnavailable(false) })
	case "outage_weights":
		f.weights.SetUnavailable(true)
		f.after(d, func() { f.weights.SetUnavailable(false) })
	case "outage_hosts":
		f.hosts.SetUnavailable(true)
		f.mu.Lock()
		f.hostListOutageEnd = time.Now().Add(d)
		f.mu.Unlock()
		f.after(d, func() { f.hosts.SetUnavailable(false) })
	case "slow":
		f.table.SetDelay(time.Duration(1+s.B) * 40 * time.Millisecond)
		f.after(d, func() { f.table.SetDelay(platformDelay) })
	case "slow_objects":
		f.slowObjects(s)
	}
}

func (f *fleet) slowObjects(s step) {
	f.objects.SetDelay(time.Duration(1+s.B) * 2 * time.Millisecond) // a starting process reads up to eight objects within 2 s
	f.after(s.duration(), func() { f.objects.SetDelay(0) })
}

func (f *fleet) loseReply(_ int, s step) { f.table.LoseReplies(1 + s.B%5) }

// cut closes connections between an entry and one or all agents, or an agent and its endpoint.
func (f *fleet) cut(_ int, s step) {
	e, a := s.linkEnds()
	to := a
	if s.C%2 == 0 {
		to = ""
	}
	switch s.Action {
	case "cut":
		f.net.ResetConnections(e, to)
	case "break":
		f.net.DisconnectDialers(e, to, s.duration()/4)
	case "cut_engine":
		f.net.ResetConnections(a, backendAddress(s.B%(engines+1)))
	}
}

// link injects a fault into the link between an entry and an agent.
func (f *fleet) link(_ int, s step) {
	e, a := s.linkEnds()
	d := s.duration()
	switch s.Action {
	case "silent":
		f.fault(e, a, netsim.Fault{Blackhole: true}, d/4)
	case "delay":
		f.fault(e, a, netsim.Fault{Delay: time.Duration(1+s.A) * 20 * time.Millisecond}, d)
	case "refuse":
		f.fault(e, a, netsim.Fault{Refuse: true}, d)
	case "repeat":
		// Duplicates messages from the entry to every process and from every process to the agent.
		for _, p := range f.procs() {
			if p.id != a {
				f.duplicateMessages(p.id, a, s)
			}
			if p.id != e && p.id != a {
				f.duplicateMessages(e, p.id, s)
			}
		}
	}
}

func (f *fleet) duplicateMessages(from, to string, s step) {
	f.fault(from, to, netsim.Fault{Delay: linkDelay, DuplicateAfter: time.Duration(1+s.A) * 30 * time.Millisecond}, s.duration())
}

func (f *fleet) faultOrders(_ int, s step) {
	e := f.engines[s.A%engines]
	e.SetOrderFaults(engsim.OrderFaults{Seed: uint64(s.B), LossProbability: 0.3, LateProbability: 0.3, DuplicateProbability: 0.3, MaxDelay: orderDelay - 100*time.Millisecond})
	f.after(s.duration(), func() { e.SetOrderFaults(engsim.OrderFaults{}) })
}

// pause suspends a process for up to three lease terms: its calls to the platform block, and
// messages to and from other processes are delayed.
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

// lateStart breaks an entry's connections while start messages of non-idempotent requests
// are in flight; the agents read them after the entry has withdrawn the attempts.
func (f *fleet) lateStart(i int, s step) {
	const slow = 40 * time.Millisecond
	p := f.entryAt(s.A)
	for j := range engines + 1 {
		f.fault(p.id, agentName(j), netsim.Fault{Delay: slow}, 4*slow)
	}
	for j := range 4 {
		c := &call{id: fmt.Sprintf("l%d-%d", i, j), model: modelName(j % models), maxTokens: 5, nonIdempotent: true}
		c.service = j == 3
		if s.B%2 == 0 {
			c.startTimeout = time.Second
		}
		f.launch(p, c)
		time.Sleep(callGap)
	}
	// The start message is sent after the replies to the probes, that is after two delays.
	f.after(2*slow+time.Duration(s.C)*slow/100, func() { f.net.DisconnectDialers(p.id, "", 50*time.Millisecond+s.duration()/3) })
}

// lateLeave drains a busy agent by a signal while start messages from an entry are delayed
// beyond the 3 s in which a draining agent may accept new attempts.
func (f *fleet) lateLeave(i int, s step) {
	const slow = 40 * time.Millisecond
	p, a := f.entryAt(s.A), s.B%engines
	for j := range 2 * models {
		c := &call{id: fmt.Sprintf("b%d-%d", i, j), model: modelName(j % models), maxTokens: 400, stream: true}
		f.launch(f.entryAt(s.A+1), c)
		time.Sleep(callGap)
	}
	f.fault(p.id, agentName(a), netsim.Fault{Delay: slow}, 3*slow)
	for j := range 2 * models {
		f.launch(p, &call{id: fmt.Sprintf("b%d-late-%d", i, j), model: modelName(j % models), maxTokens: 5})
		time.Sleep(callGap)
	}
	// The start messages are sent after the replies to the probes, that is after two delays.
	f.after(slow+slow/2, func() {
		f.fault(p.id, agentName(a), netsim.Fault{Delay: 4*time.Second + s.duration()/16}, 2*slow)
		time.Sleep(3 * slow)
		f.leaveAgent(i, step{A: a, B: 1})
	})
}

// staleBackup leaves an outdated copy of the table in the object store and restarts a process
// that reads the copy only after it has the newest table from its peers.
func (f *fleet) staleBackup(i int, s step) {
	f.conflictingEdits(i, step{A: s.A, C: 1})
	f.after(time.Second, func() {
		f.slowObjects(s)
		if s.A%2 == 0 {
			f.killEntry(i, s)
		} else {
			f.restartAgent(i, s)
		}
	})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.wg.Go(func() {
		time.Sleep(d)
		do()
	})
}

func (f *fleet) fault(from, to string, what netsim.Fault, d time.Duration) {
	f.net.SetFault(from, to, what)
	f.after(d, func() { f.net.SetFault(from, to, netsim.Fault{Delay: linkDelay}) })
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

// breakStreams makes an engine break off streams between events.
func (f *fleet) breakStreams(_ int, s step) {
	i := s.A % engines
	f.engines[i].SetStreamFaults(engsim.StreamFaults{BreakProbability: 0.05})
	f.after(s.duration(), func() { f.engines[i].SetStreamFaults(engsim.StreamFaults{}) })
}
