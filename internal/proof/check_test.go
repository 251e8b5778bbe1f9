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

// runs counts the executions of each prompt over all engines and the service.
func (f *fleet) runs() map[string]int {
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

// checkCalls compares what each caller was told with the executions.
func (f *fleet) checkCalls(k kind) {
	runs := f.runs()
	sends := map[string][]*call{}
	for _, c := range f.calls {
		sends[c.id] = append(sends[c.id], c)
		if !c.done {
			f.violate("R2: call %s from %s never ended", c.id, c.began)
			continue
		}
		f.checkAnswer(c)
		if temporary := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable; temporary && c.outcome == fault.OutcomeNotRun && !c.retryAfter {
			f.violate("R4: call %s was told not_run without a time to come back: %s", c.id, c.body)
		}
		n := runs[c.prompt()]
		if c.outcome == fault.OutcomeComplete && n == 0 {
			f.violate("R3: call %s was answered without a run: %s", c.id, c.body)
		}
		// A request that may run once is dispatched once, also when its agent refuses it.
		if k == calm && !c.gone && !c.capped && (!c.once || c.outcome != fault.OutcomeNotRun) && c.outcome != fault.OutcomeComplete {
			rule := "R2: call %s was not served without a fault: %s %s"
			if n > 0 {
				rule = "R7: call %s was cut by a planned stop: %s %s"
			}
			f.violate(rule, c.id, c.outcome, c.body)
		}
	}
	for id, cs := range sends {
		n, told := runs[cs[0].prompt()], func(o fault.Outcome) bool {
			return !slices.ContainsFunc(cs, func(c *call) bool { return c.outcome != o })
		}
		if told(fault.OutcomeNotRun) && n > 0 {
			f.violate("R4: call %s was told not_run and ran %d times: %s", id, n, cs[0].body)
		}
		if cs[0].once && n > 1 {
			f.violate("R5: call %s (%d sends) ran %d times", id, len(cs), n)
		}
		f.checkReplay(cs)
		if k == poisoned && strings.HasPrefix(id, poisonWord) && n > maxCrashes {
			f.violate("poison: call %s crashed %d engines", id, n)
		}
	}
}

// maxCrashes is the number of endpoints that one request may bring down.
const maxCrashes = 3

// checkReplay checks that all sends of a key that got the whole answer got the same.
func (f *fleet) checkReplay(sends []*call) {
	var first *call
	for _, c := range sends {
		switch {
		case c.key == "" || !c.whole():
		case first == nil:
			first = c
		case first.body != c.body:
			f.violate("R5: sends of key %s got %q and %q", c.key, first.body, c.body)
		}
	}
}

// checkAnswer compares an answer with the only one that its request has.
func (f *fleet) checkAnswer(c *call) {
	if c.gone {
		return
	}
	if c.service {
		if c.outcome == fault.OutcomeComplete && c.body != c.prompt() {
			f.violate("R3: call %s got the service's answer %q", c.id, c.body)
		}
		return
	}
	want := engsim.Answer(c.model, c.prompt(), c.tokens)
	got, whole := c.text()
	if c.outcome == fault.OutcomeComplete && (!whole || got != want) {
		f.violate("R3: call %s got %q (whole: %v), not %q", c.id, got, whole, want)
	}
	if !strings.HasPrefix(want, got) || c.outcome != fault.OutcomeComplete && whole {
		f.violate("R3: call %s got %q with outcome %q (whole: %v)", c.id, got, c.outcome, whole)
	}
}

func (f *fleet) checkMemory() {
	for i, e := range f.engines {
		if n := e.Overcommits(); n > 0 {
			f.violate("R1: engine %d was overcommitted %d times", i, n)
		}
	}
}

// checkEdits checks that every accepted edit is in the history and the newest in the table.
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
		f.violate("R8: weight is %v at revision %d, accepted was %+v", g.Weight, g.Revision, f.newest)
	}
}

// inForceTime is how long an accepted edit may take to be in force everywhere.
const inForceTime = 6 * time.Second

// checkSpread checks, once an edit has to be in force, that it is.
func (f *fleet) checkSpread(revision uint64) {
	f.later(inForceTime, func() {
		for _, p := range f.procs() {
			if v := p.docs.Get(gossip.KindTable).Version; v < revision && time.Since(p.began) > inForceTime && p.ctx.Err() == nil {
				f.violate("R8: %s holds table %d %s after revision %d was accepted", p.id, v, inForceTime, revision)
			}
		}
	})
}

// checkInForce checks that every process holds the newest table.
func (f *fleet) checkInForce() {
	t, err := edit.LoadTable(context.Background(), f.plat.Table)
	if err != nil {
		f.violate("R8: the table does not load: %v", err)
	}
	for _, p := range f.procs() {
		if v := p.docs.Get(gossip.KindTable).Version; v != t.Revision {
			f.violate("R8: %s holds table %d, not %d", p.id, v, t.Revision)
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

// checkLive sends one request for each model, the adapter, the limited group and the
// service through each entry.
func (f *fleet) checkLive() {
	for _, p := range f.entries {
		cs := []*call{{id: "adapter", model: adapterName}, {id: "capped", model: modelName(0), capped: true}, {id: "service", service: true}}
		for i := range models {
			cs = append(cs, &call{id: modelName(i), model: modelName(i), chat: i%2 == 0})
		}
		for _, c := range cs {
			c.id, c.tokens = "live-"+p.id+"-"+c.id, 2
			if f.serveCall(p, c); c.outcome != fault.OutcomeComplete {
				f.violate("R2: %s answers %s for %s: %s", p.id, c.outcome, c.id, c.body)
			}
		}
	}
}

// checkEmpty checks that ended requests leave nothing behind.
func (f *fleet) checkEmpty() {
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
