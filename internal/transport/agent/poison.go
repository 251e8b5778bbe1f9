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
	// permitTimeout bounds the wait for one home's answer.
	permitTimeout = 500 * time.Millisecond
	// isolationDrainTimeout bounds how long a pending isolated run may hold back other
	// attempts before it starts.
	isolationDrainTimeout = 5 * time.Second
	// lostPermitTimeout is how long a permit stays valid after its holder's connection
	// ended, because the permitted run may still go on.
	lostPermitTimeout = 2 * time.Minute
	// maxPermitReturnTries bounds the calls that return one permit.
	maxPermitReturnTries = 5
)

// poisonState limits the number of engines that one request can crash. The agent's mu
// guards all fields but tracker.
type poisonState struct {
	tracker *peer.PoisonTracker
	pool    *peer.Pool
	// addresses holds the peer addresses of the plan's endpoints by id, and holders the ids
	// of the endpoints that the plan places a model on.
	addresses map[string]string
	holders   map[string][]string
	// rings caches by model the ring from which homes are chosen.
	rings map[string]poison.Ring
	// permits holds, by fingerprint, the id of the attempt that holds this home's permit.
	permits map[string]string
	// permitted holds attempts with a permit that start as soon as a slot is free.
	permitted []*attempt
	// isolationQueue holds suspect requests that wait for their isolated run; isolated is the
	// one that runs, or that starts once no other attempt runs.
	isolationQueue []*attempt
	isolated       *attempt
}

// permit is a home's permission to run one attempt.
type permit struct {
	home string
	// isolated means that the attempt is the isolated run of a suspect request.
	isolated bool
}

func (a *Agent) initPoison() {
	a.poison = poisonState{permits: map[string]string{}, rings: map[string]poison.Ring{}}
	a.poison.tracker = peer.NewPoisonTracker(a.holderAddresses, a.cfg.Random)
	a.docs.Subscribe(func(d gossip.Document) {
		if d.Kind == gossip.KindPlan {
			a.applyPlan(d)
		}
	})
}

// EnablePoisonGossip makes the agent ask other agents for permits and exchange crash
// records with peers.
func (a *Agent) EnablePoisonGossip(pool *peer.Pool, peers func() []string) {
	a.mu.Lock()
	a.poison.pool = pool
	a.mu.Unlock()
	a.poison.tracker.EnableGossip(pool, peers)
}

// RunPoisonGossip spreads crash records to peers until the context ends.
func (a *Agent) RunPoisonGossip(ctx context.Context) { a.poison.tracker.Run(ctx) }

func (a *Agent) applyPlan(d gossip.Document) {
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
	for m := range a.poison.rings {
		if !slices.Equal(a.poison.holders[m], holders[m]) {
			delete(a.poison.rings, m)
		}
	}
	a.poison.addresses, a.poison.holders = addresses, holders
}

func (a *Agent) holderAddresses(model string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, id := range a.poison.holders[model] {
		if id != a.cfg.ID {
			out = append(out, a.poison.addresses[id])
		}
	}
	return out
}

func blockedError() *fault.Error {
	return fault.New(fault.Invalid, fault.CodeCrashesEngines, "the request crashes the engines that run it and is not run again", "change the request").WithOutcome(fault.OutcomeNotRun)
}

// equalRequestError rejects a request that must wait until an equal one ends. The equal one is a
// suspect request (on trial, in the error code) or runs on another endpoint with a permit.
func equalRequestError() *fault.Error {
	return rejectionError(fault.Unavailable, fault.CodeOnTrial, "an equal request is suspected of crashing an engine, or runs on another endpoint, and must end first", time.Second)
}

// nextRunnable returns the next attempt that may start; mu is held.
func (a *Agent) nextRunnable() (*attempt, bool) {
	if a.poison.isolated != nil {
		return nil, false
	}
	for len(a.poison.permitted) > 0 && len(a.running) < a.cfg.Slots {
		at := a.poison.permitted[0]
		a.poison.permitted = a.poison.permitted[1:]
		if at.currentPhase() == phaseQueued {
			return at, true
		}
		go a.returnPermit(at, *at.permit)
	}
	for {
		it, ok := a.queue.Take(a.weight, fairq.Server{Slots: a.cfg.Slots, MeanRun: a.meanRun}, time.Now())
		if !ok {
			return nil, false
		}
		if a.mayStart(it.Value) {
			return it.Value, true
		}
	}
}

// mayStart reports whether an attempt may start without a permit. If not, the attempt is
// rejected or starts once a home has permitted it; mu is held.
func (a *Agent) mayStart(at *attempt) bool {
	if a.backend.alwaysReady() || at.currentPhase() != phaseQueued {
		return true
	}
	fp := at.start.Fingerprint
	homes := a.ring(at.start.Model).Homes(cmp.Or(at.start.HomeKey, fp))
	switch a.poison.tracker.Verdict(fp) {
	case poison.Blocked:
		go a.rejectQueued(at, blockedError())
		return false
	case poison.Clean:
		if len(homes) == 0 || a.poison.pool == nil {
			return true // the agent does not know its peers yet
		}
		if slices.Contains(homes, a.cfg.ID) {
			if _, granted := a.poison.permits[fp]; !granted {
				return true
			}
			go a.rejectQueued(at, equalRequestError())
			return false
		}
	}
	go a.requestPermit(at, homes)
	return false
}

// ring returns the ring from which a model's homes are chosen; mu is held.
func (a *Agent) ring(model string) poison.Ring {
	r, ok := a.poison.rings[model]
	if holders := a.poison.holders[model]; !ok && len(holders) > 0 {
		r = poison.NewRing(holders)
		a.poison.rings[model] = r
	}
	return r
}

// rejectQueued ends an attempt that has not started with an error.
func (a *Agent) rejectQueued(at *attempt, err *fault.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdraw(at, err)
}

// requestPermit asks the homes in order for a permit, the second only if the call to the
// first fails, and queues or rejects the attempt.
func (a *Agent) requestPermit(at *attempt, homes []string) {
	msg := wire.Permit{Fingerprint: at.start.Fingerprint, Model: at.start.Model, AttemptID: at.start.AttemptID, CrashRecords: a.poison.tracker.Lookup(at.start.Fingerprint)}
	for _, home := range homes {
		reply, err := a.callHome(home, msg)
		if err != nil {
			// The home may have granted the permit although its reply was late or lost.
			time.AfterFunc(permitTimeout, func() { a.returnPermit(at, permit{home: home}) })
			continue
		}
		a.poison.tracker.Receive(reply.CrashRecords)
		if !reply.Granted {
			break
		}
		a.enqueuePermitted(at, permit{home: home, isolated: a.poison.tracker.Verdict(msg.Fingerprint) != poison.Clean})
		return
	}
	if a.poison.tracker.Verdict(msg.Fingerprint) == poison.Blocked {
		a.rejectQueued(at, blockedError())
		return
	}
	a.rejectQueued(at, equalRequestError())
}

func (a *Agent) callHome(home string, msg wire.Permit) (wire.PermitReply, error) {
	if home == a.cfg.ID {
		return a.handlePermit(nil, msg), nil
	}
	a.mu.Lock()
	pool, addr := a.poison.pool, a.poison.addresses[home]
	a.mu.Unlock()
	var reply wire.PermitReply
	if pool == nil {
		return reply, fault.New(fault.Unavailable, "no_peers", "the agent is not connected to its peers", "retry later")
	}
	ctx, cancel := context.WithTimeout(a.ctx, permitTimeout)
	defer cancel()
	conn, err := pool.Get(ctx, addr)
	if err != nil {
		return reply, err
	}
	return reply, conn.Call(ctx, wire.MethodPermit, msg, &reply)
}

// enqueuePermitted queues an attempt that a home has permitted, or returns the permit if
// the attempt has ended meanwhile.
func (a *Agent) enqueuePermitted(at *attempt, p permit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.currentPhase() != phaseQueued {
		go a.returnPermit(at, p)
		return
	}
	at.permit = &p
	if p.isolated {
		a.poison.isolationQueue = append(a.poison.isolationQueue, at)
	} else {
		a.poison.permitted = append(a.poison.permitted, at)
	}
	a.fillSlots()
}

// startIsolated selects the next isolated run, which holds back all other attempts, and
// starts it once no other attempt runs; mu is held.
func (a *Agent) startIsolated() {
	p := &a.poison
	for p.isolated == nil && len(p.isolationQueue) > 0 {
		at := p.isolationQueue[0]
		p.isolationQueue = p.isolationQueue[1:]
		if at.currentPhase() != phaseQueued {
			go a.returnPermit(at, *at.permit)
			continue
		}
		p.isolated = at
		time.AfterFunc(isolationDrainTimeout, func() { a.rejectQueued(at, equalRequestError()); a.abandonIsolated(at) })
	}
	if p.isolated == nil || len(a.running) > 0 {
		return
	}
	if at := p.isolated; !a.startRun(at) {
		go a.abandonIsolated(at)
	}
}

// abandonIsolated gives up an isolated run that was withdrawn before it started.
func (a *Agent) abandonIsolated(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.poison.isolated != at || at.currentPhase() != phaseNotRun {
		return
	}
	a.poison.isolated = nil
	go a.returnPermit(at, *at.permit)
	a.fillSlots()
}

// recordRunEnd adds a crash or a completed isolated run to the crash record of an attempt's
// request, and returns the attempt's permit.
func (a *Agent) recordRunEnd(at *attempt, end wire.End) {
	if a.backend.alwaysReady() {
		return
	}
	isolated := at.permit != nil && at.permit.isolated
	fp := at.start.Fingerprint
	switch {
	case end.Error != nil && end.Error.Code == fault.CodeEngineCrashed && isolated:
		a.poison.tracker.RecordCrash(fp, at.start.Model, at.start.AttemptID, poison.LevelAlone)
	case end.Error != nil && end.Error.Code == fault.CodeEngineCrashed:
		a.poison.tracker.RecordCrash(fp, at.start.Model, at.start.AttemptID, poison.LevelShared)
	case end.Outcome == fault.OutcomeComplete && isolated:
		a.poison.tracker.RecordCompletion(fp)
	}
	if at.permit != nil {
		go a.returnPermit(at, *at.permit)
	}
}

// returnPermit returns a permit to its home together with the request's crash record.
func (a *Agent) returnPermit(at *attempt, p permit) {
	msg := wire.Permit{
		Fingerprint: at.start.Fingerprint, Model: at.start.Model, AttemptID: at.start.AttemptID, Done: true,
		CrashRecords: a.poison.tracker.Lookup(at.start.Fingerprint),
	}
	for range maxPermitReturnTries {
		if _, err := a.callHome(p.home, msg); err == nil || a.ctx.Err() != nil {
			return
		}
		time.Sleep(permitTimeout)
	}
}

// handlePermit grants or refuses a permit, or takes one back. c is the caller's connection;
// nil for the agent itself.
func (a *Agent) handlePermit(c *peer.Conn, p wire.Permit) wire.PermitReply {
	a.poison.tracker.Receive(p.CrashRecords)
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Done {
		a.releasePermit(p)
		return wire.PermitReply{Granted: true}
	}
	reply := wire.PermitReply{CrashRecords: a.poison.tracker.Lookup(p.Fingerprint)}
	holder, granted := a.poison.permits[p.Fingerprint]
	if a.poison.tracker.Verdict(p.Fingerprint) == poison.Blocked || (granted && holder != p.AttemptID) || a.isRunning(p.Fingerprint) {
		return reply
	}
	reply.Granted = true
	if !granted {
		a.poison.permits[p.Fingerprint] = p.AttemptID
		if c != nil {
			go a.expirePermit(c, p)
		}
	}
	return reply
}

// releasePermit removes a permit if its attempt still holds it; mu is held.
func (a *Agent) releasePermit(p wire.Permit) {
	if a.poison.permits[p.Fingerprint] == p.AttemptID {
		delete(a.poison.permits, p.Fingerprint)
	}
}

// isRunning reports whether a request with the fingerprint runs here; mu is held.
func (a *Agent) isRunning(fingerprint string) bool {
	for _, at := range a.running {
		if at.start.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// expirePermit releases a permit lostPermitTimeout after its holder's connection has ended.
func (a *Agent) expirePermit(c *peer.Conn, p wire.Permit) {
	select {
	case <-c.Done():
	case <-a.ctx.Done():
		return
	}
	time.AfterFunc(lostPermitTimeout, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.releasePermit(p)
	})
}
