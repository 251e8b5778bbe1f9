package proof

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/state/fault"
)

// executions counts the executions of each prompt on all engines and the service.
func (f *fleet) executions() map[string]int {
	n := map[string]int{}
	for _, e := range f.engines {
		for _, r := range e.Executions() {
			n[r.Prompt]++
		}
	}
	for _, body := range f.svc.ExecutedBodies() {
		n[body]++
	}
	return n
}

// checkCalls compares the outcome of each call with the executions.
func (f *fleet) checkCalls(k caseKind) {
	executions := f.executions()
	sends := map[string][]*call{}
	for _, c := range f.calls {
		sends[c.id] = append(sends[c.id], c)
		if !c.done {
			f.violate("R2: call %s from %s never ended", c.id, c.sentAt)
			continue
		}
		f.checkAnswer(c)
		if temporary := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable; temporary && c.outcome == fault.OutcomeNotRun && !c.retryAfter {
			f.violate("R4: call %s got outcome not_run without a Retry-After header: %s", c.id, c.body)
		}
		n := executions[c.prompt()]
		if c.outcome == fault.OutcomeComplete && n == 0 {
			f.violate("R3: call %s got outcome complete without an execution: %s", c.id, c.body)
		}
		// A non-idempotent request is dispatched once, even if the agent rejects it, so the
		// outcome not_run is allowed for it.
		if k == calm && !c.aborted && !c.limited && (!c.nonIdempotent || c.outcome != fault.OutcomeNotRun) && c.outcome != fault.OutcomeComplete {
			rule := "R2: call %s was not served although no fault was injected: %s %s"
			if n > 0 {
				rule = "R7: call %s was interrupted by a graceful stop: %s %s"
			}
			f.violate(rule, c.id, c.outcome, c.body)
		}
	}
	for id, cs := range sends {
		n, allTold := executions[cs[0].prompt()], func(o fault.Outcome) bool {
			return !slices.ContainsFunc(cs, func(c *call) bool { return c.outcome != o })
		}
		if allTold(fault.OutcomeNotRun) && n > 0 {
			f.violate("R4: call %s got outcome not_run but ran %d times: %s", id, n, cs[0].body)
		}
		if cs[0].nonIdempotent && n > 1 {
			f.violate("R5: call %s (%d sends) ran %d times", id, len(cs), n)
		}
		f.checkReplay(cs)
		if k == poisoned && strings.HasPrefix(id, poisonWord) && n > maxCrashes {
			f.violate("poison: call %s crashed %d engines", id, n)
		}
	}
}

// maxCrashes is the number of engines that one request may crash.
const maxCrashes = 3

// checkReplay checks that all complete responses to one idempotency key are equal.
func (f *fleet) checkReplay(sends []*call) {
	var first *call
	for _, c := range sends {
		switch {
		case c.idempotencyKey == "" || !c.complete():
		case first == nil:
			first = c
		case first.body != c.body:
			f.violate("R5: sends of key %s got %q and %q", c.idempotencyKey, first.body, c.body)
		}
	}
}

// checkAnswer compares a response with the one deterministic answer to its request.
func (f *fleet) checkAnswer(c *call) {
	if c.aborted {
		return
	}
	if c.service {
		if c.outcome == fault.OutcomeComplete && c.body != c.prompt() {
			f.violate("R3: call %s got the wrong answer %q from the service", c.id, c.body)
		}
		return
	}
	want := engsim.Answer(c.model, c.prompt(), c.maxTokens)
	got, complete := c.text()
	if c.outcome == fault.OutcomeComplete && (!complete || got != want) {
		f.violate("R3: call %s got %q (complete: %v), want %q", c.id, got, complete, want)
	}
	if !strings.HasPrefix(want, got) || c.outcome != fault.OutcomeComplete && complete {
		f.violate("R3: call %s got %q with outcome %q (complete: %v)", c.id, got, c.outcome, complete)
	}
}

func (f *fleet) checkMemory() {
	for i, e := range f.engines {
		if n := e.Overcommits(); n > 0 {
			f.violate("R1: engine %d was overcommitted %d times", i, n)
		}
	}
}

// checkEdits checks that every accepted edit is in the history, and that the table has the
// newest accepted edit or a later revision.
func (f *fleet) checkEdits() {
	ctx := context.Background()
	t, err := edit.LoadTable(ctx, f.plat.Table)
	if err != nil {
		f.violate("R8: the table does not load: %v", err)
		return
	}
	for _, id := range f.accepted {
		if !f.inHistory(ctx, id, t.Revision) {
			f.violate("R8: accepted edit %s is not in the history", id)
		}
	}
	if g, ok := t.Group(groupName); !ok || len(f.accepted) > 0 && f.newest != nil && g.Weight != f.newest.weight && g.Revision <= f.newest.revision {
		f.violate("R8: weight is %v at revision %d, newest accepted edit is %+v", g.Weight, g.Revision, f.newest)
	}
}

// propagationTimeout is how long an accepted edit may take to reach every process.
const propagationTimeout = 6 * time.Second

// checkPropagation checks, propagationTimeout from now, that every process has the revision.
func (f *fleet) checkPropagation(revision uint64) {
	f.after(propagationTimeout, func() {
		for _, p := range f.procs() {
			if v := p.docs.Get(gossip.KindTable).Version; v < revision && time.Since(p.startedAt) > propagationTimeout && p.ctx.Err() == nil {
				f.violate("R8: %s has table revision %d, %s after revision %d was accepted", p.id, v, propagationTimeout, revision)
			}
		}
	})
}

// checkTableVersions checks that every process has the newest table.
func (f *fleet) checkTableVersions() {
	t, err := edit.LoadTable(context.Background(), f.plat.Table)
	if err != nil {
		f.violate("R8: the table does not load: %v", err)
	}
	for _, p := range f.procs() {
		if v := p.docs.Get(gossip.KindTable).Version; v != t.Revision {
			f.violate("R8: %s has table revision %d, want %d", p.id, v, t.Revision)
		}
	}
}

func (f *fleet) inHistory(ctx context.Context, id string, newest uint64) bool {
	for rev := newest; rev > 0; rev-- {
		if h, err := edit.FindRevision(ctx, f.plat.Table, rev); err == nil && h.ID == id {
			return true
		}
	}
	return false
}

// checkServing checks that each entry serves each model, the adapter, the limited group and
// the service.
func (f *fleet) checkServing() {
	for _, p := range f.entries {
		cs := []*call{{id: "adapter", model: adapterName}, {id: "capped", model: modelName(0), limited: true}, {id: "service", service: true}}
		for i := range models {
			cs = append(cs, &call{id: modelName(i), model: modelName(i), chat: i%2 == 0})
		}
		for _, c := range cs {
			c.id, c.maxTokens = "live-"+p.id+"-"+c.id, 2
			if f.serveCall(p, c); c.outcome != fault.OutcomeComplete {
				f.violate("R2: %s returned outcome %s for %s: %s", p.id, c.outcome, c.id, c.body)
			}
		}
	}
}

// checkNoneInFlight checks that no entry or agent still holds a request.
func (f *fleet) checkNoneInFlight() {
	time.Sleep(2 * retention)
	for _, p := range f.entries {
		if n := p.e.InFlight(); n != 0 {
			f.violate("R2: %s has %d requests in flight", p.id, n)
		}
	}
	for _, p := range f.agents {
		if !p.a.Idle() {
			f.violate("R2: %s is not idle", p.id)
		}
	}
}
