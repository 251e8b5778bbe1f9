package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fairq"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/transport/peer"
)

const (
	// permitTimeout bounds how long an attempt waits for one home's answer.
	permitTimeout = 500 * time.Millisecond
	// drainLimit bounds how long a trial may keep other attempts waiting before it starts.
	drainLimit = 5 * time.Second
	// lostPermit is how long a permit stands whose holder's connection ended without a
	// word, because the permitted run may still go on.
	lostPermit = 2 * time.Minute
	// permitTries bounds how often the end of a permitted run is reported.
	permitTries = 5
)

// watch is what an agent needs to keep requests that crash engines in bounds.
type watch struct {
	suspects *peer.PoisonTracker
	pool     *peer.Pool
	// addresses and holders come from the plan; mu of the agent guards them.
	addresses map[string]string
	holders   map[string][]string
	// rings holds what the homes of a model are chosen from, once it is needed.
	rings map[string]poison.Ring
	// permits holds, by fingerprint, the attempt that runs elsewhere under this home's permit.
	permits map[string]string
	// granted holds attempts that may start as soon as a slot is free.
	granted []*attempt
	// trials holds suspects that wait to run alone; trial is the one being drained for or run.
	trials []*attempt
	trial  *attempt
}

// permit is the right to run one attempt, given by a home.
type permit struct {
	home string
	// alone means that the attempt is a suspect's trial.
	alone bool
}

func (a *Agent) newWatch() {
	a.watch = watch{permits: map[string]string{}, rings: map[string]poison.Ring{}}
	a.watch.suspects = peer.NewPoisonTracker(a.holderAddresses, a.cfg.Random)
	a.docs.Subscribe(func(d gossip.Document) {
		if d.Kind == gossip.KindPlan {
			a.planned(d)
		}
	})
}

// EnablePoisonGossip lets the agent ask other agents for permits and spread suspicions.
func (a *Agent) EnablePoisonGossip(pool *peer.Pool, peers func() []string) {
	a.mu.Lock()
	a.watch.pool = pool
	a.mu.Unlock()
	a.watch.suspects.EnableGossip(pool, peers)
}

// RunPoisonGossip spreads suspicions until the context ends.
func (a *Agent) RunPoisonGossip(ctx context.Context) { a.watch.suspects.Run(ctx) }

func (a *Agent) planned(d gossip.Document) {
	p, err := plan.Decode(d.Data)
	if err != nil {
		a.log.WithError(err).Error("plan document does not decode; the previous one stays in force")
		return
	}
	addresses, holders := map[string]string{}, map[string][]string{}
	for _, ep := range p.Endpoints {
		addresses[ep.ID] = ep.Address
		for _, m := range ep.Models {
			holders[m] = append(holders[m], ep.ID)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for m := range a.watch.rings {
		if !slices.Equal(a.watch.holders[m], holders[m]) {
			delete(a.watch.rings, m)
		}
	}
	a.watch.addresses, a.watch.holders = addresses, holders
}

func (a *Agent) holderAddresses(model string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, id := range a.watch.holders[model] {
		if id != a.cfg.ID {
			out = append(out, a.watch.addresses[id])
		}
	}
	return out
}

func condemned() *fault.Error {
	return fault.New(fault.Invalid, fault.CodeCrashesEngines, "the request crashes the engines that run it and is not run again", "change the request").WithOutcome(fault.OutcomeNotRun)
}

func onTrial() *fault.Error {
	return refuse(fault.Unavailable, fault.CodeOnTrial, "an equal request ran when an engine crashed, or runs elsewhere, and must end first", time.Second)
}

// next returns the next attempt that may start; mu is held.
func (a *Agent) next() (*attempt, bool) {
	if a.watch.trial != nil {
		return nil, false
	}
	for len(a.watch.granted) > 0 && len(a.running) < a.cfg.Slots {
		at := a.watch.granted[0]
		a.watch.granted = a.watch.granted[1:]
		if at.current() == phaseQueued {
			return at, true
		}
		go a.settle(at, *at.permit)
	}
	for {
		it, ok := a.queue.Take(a.weight, fairq.Server{Slots: a.cfg.Slots, MeanRun: a.meanRun}, time.Now())
		if !ok {
			return nil, false
		}
		if a.free(it.Value) {
			return it.Value, true
		}
	}
}

// free reports whether an attempt may start without a permit. If not, it is refused or
// starts once a home has permitted it; mu is held.
func (a *Agent) free(at *attempt) bool {
	if a.backend.alwaysReady() || at.current() != phaseQueued {
		return true
	}
	fp := at.start.Fingerprint
	homes := a.ring(at.start.Model).Homes(cmp.Or(at.start.HomeKey, fp))
	switch a.watch.suspects.Verdict(fp) {
	case poison.Blocked:
		go a.deny(at, condemned())
		return false
	case poison.Clean:
		if len(homes) == 0 || a.watch.pool == nil {
			return true // the agent knows no other agents yet
		}
		if slices.Contains(homes, a.cfg.ID) {
			if _, lent := a.watch.permits[fp]; !lent {
				return true
			}
			go a.deny(at, onTrial())
			return false
		}
	}
	go a.seek(at, homes)
	return false
}

// ring returns what the homes of a model are chosen from; mu is held.
func (a *Agent) ring(model string) poison.Ring {
	r, ok := a.watch.rings[model]
	if holders := a.watch.holders[model]; !ok && len(holders) > 0 {
		r = poison.NewRing(holders)
		a.watch.rings[model] = r
	}
	return r
}

// deny ends an attempt that has not started.
func (a *Agent) deny(at *attempt, err *fault.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdraw(at, err)
}

// seek asks the homes in order for a permit; the second is asked only when the first
// does not answer.
func (a *Agent) seek(at *attempt, homes []string) {
	msg := wire.Permit{Fingerprint: at.start.Fingerprint, Model: at.start.Model, AttemptID: at.start.AttemptID, CrashRecords: a.watch.suspects.Lookup(at.start.Fingerprint)}
	for _, home := range homes {
		reply, err := a.ask(home, msg)
		if err != nil {
			// The home may have given the permit although its reply was late or lost.
			time.AfterFunc(permitTimeout, func() { a.settle(at, permit{home: home}) })
			continue
		}
		a.watch.suspects.Receive(reply.CrashRecords)
		if !reply.Granted {
			break
		}
		a.permitted(at, permit{home: home, alone: a.watch.suspects.Verdict(msg.Fingerprint) != poison.Clean})
		return
	}
	if a.watch.suspects.Verdict(msg.Fingerprint) == poison.Blocked {
		a.deny(at, condemned())
		return
	}
	a.deny(at, onTrial())
}

func (a *Agent) ask(home string, msg wire.Permit) (wire.PermitReply, error) {
	if home == a.cfg.ID {
		return a.permit(nil, msg), nil
	}
	a.mu.Lock()
	pool, addr := a.watch.pool, a.watch.addresses[home]
	a.mu.Unlock()
	var reply wire.PermitReply
	if pool == nil {
		return reply, fault.New(fault.Unavailable, "no_peers", "the agent has not joined its peers", "retry later")
	}
	ctx, cancel := context.WithTimeout(a.ctx, permitTimeout)
	defer cancel()
	link, err := pool.Get(ctx, addr)
	if err != nil {
		return reply, err
	}
	return reply, link.Call(ctx, wire.MethodPermit, msg, &reply)
}

// permitted queues an attempt that a home has permitted.
func (a *Agent) permitted(at *attempt, p permit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.current() != phaseQueued {
		go a.settle(at, p)
		return
	}
	at.permit = &p
	if p.alone {
		a.watch.trials = append(a.watch.trials, at)
	} else {
		a.watch.granted = append(a.watch.granted, at)
	}
	a.fill()
}

// drain starts the next trial when nothing else runs; mu is held.
func (a *Agent) drain() {
	w := &a.watch
	for w.trial == nil && len(w.trials) > 0 {
		at := w.trials[0]
		w.trials = w.trials[1:]
		if at.current() != phaseQueued {
			go a.settle(at, *at.permit)
			continue
		}
		w.trial = at
		time.AfterFunc(drainLimit, func() { a.deny(at, onTrial()); a.skipTrial(at) })
	}
	if w.trial == nil || len(a.running) > 0 {
		return
	}
	if at := w.trial; !a.begin(at) {
		go a.skipTrial(at)
	}
}

// skipTrial gives up a trial that did not start.
func (a *Agent) skipTrial(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watch.trial != at || at.current() != phaseBarred {
		return
	}
	a.watch.trial = nil
	go a.settle(at, *at.permit)
	a.fill()
}

// ran records what the end of an attempt says about its request and returns its permit.
func (a *Agent) ran(at *attempt, end wire.End) {
	if a.backend.alwaysReady() {
		return
	}
	alone := at.permit != nil && at.permit.alone
	fp := at.start.Fingerprint
	switch {
	case end.Error != nil && end.Error.Code == fault.CodeEngineCrashed && alone:
		a.watch.suspects.RecordCrash(fp, at.start.Model, at.start.AttemptID, poison.LevelAlone)
	case end.Error != nil && end.Error.Code == fault.CodeEngineCrashed:
		a.watch.suspects.RecordCrash(fp, at.start.Model, at.start.AttemptID, poison.LevelShared)
	case end.Outcome == fault.OutcomeComplete && alone:
		a.watch.suspects.RecordCompletion(fp)
	}
	if at.permit != nil {
		go a.settle(at, *at.permit)
	}
}

// settle returns a permit together with what is known of the request.
func (a *Agent) settle(at *attempt, p permit) {
	msg := wire.Permit{
		Fingerprint: at.start.Fingerprint, Model: at.start.Model, AttemptID: at.start.AttemptID, Done: true,
		CrashRecords: a.watch.suspects.Lookup(at.start.Fingerprint),
	}
	for range permitTries {
		if _, err := a.ask(p.home, msg); err == nil || a.ctx.Err() != nil {
			return
		}
		time.Sleep(permitTimeout)
	}
}

// permit answers a request for a permit, or takes one back; c is nil for the agent itself.
func (a *Agent) permit(c *peer.Conn, p wire.Permit) wire.PermitReply {
	a.watch.suspects.Receive(p.CrashRecords)
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Done {
		a.returned(p)
		return wire.PermitReply{Granted: true}
	}
	reply := wire.PermitReply{CrashRecords: a.watch.suspects.Lookup(p.Fingerprint)}
	holder, lent := a.watch.permits[p.Fingerprint]
	if a.watch.suspects.Verdict(p.Fingerprint) == poison.Blocked || (lent && holder != p.AttemptID) || a.runs(p.Fingerprint) {
		return reply
	}
	reply.Granted = true
	if !lent {
		a.watch.permits[p.Fingerprint] = p.AttemptID
		if c != nil {
			go a.expirePermit(c, p)
		}
	}
	return reply
}

// returned takes a permit back; mu is held.
func (a *Agent) returned(p wire.Permit) {
	if a.watch.permits[p.Fingerprint] == p.AttemptID {
		delete(a.watch.permits, p.Fingerprint)
	}
}

// runs reports whether an equal request runs here; mu is held.
func (a *Agent) runs(fingerprint string) bool {
	for _, at := range a.running {
		if at.start.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// expirePermit takes a permit back some time after its holder's connection has ended.
func (a *Agent) expirePermit(c *peer.Conn, p wire.Permit) {
	select {
	case <-c.Done():
	case <-a.ctx.Done():
		return
	}
	time.AfterFunc(lostPermit, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.returned(p)
	})
}
