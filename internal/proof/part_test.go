package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/fault"
)

// scene runs on a fleet that has booted; the rules of the package are checked after it.
func scene(t *testing.T, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(faulty)
		time.Sleep(bootTime)
		run(t, f)
		if broken := f.finish(); broken != "" {
			t.Error(broken)
		}
	})
}

// steady sends requests for all models through both entries, one every 100 ms, and checks
// that all are answered complete.
func (f *fleet) steady(t *testing.T, name string, n int, keyed bool) {
	t.Helper()
	first := len(f.calls)
	for i := range n {
		c := &call{id: fmt.Sprintf("%s-%d", name, i), model: modelName(i % models), tokens: 3, stream: i%2 == 0, once: keyed}
		if keyed {
			c.key = c.id
		}
		f.launch(f.entryAt(i), c)
		time.Sleep(100 * time.Millisecond)
	}
	f.checkComplete(t, f.calls[first:])
}

func (f *fleet) checkComplete(t *testing.T, calls []*call) {
	t.Helper()
	f.wg.Wait()
	out := map[fault.Outcome]int{}
	for _, c := range calls {
		out[c.outcome]++
	}
	if out[fault.OutcomeComplete] != len(calls) {
		t.Errorf("of %d requests, %v", len(calls), out)
	}
}

// copies returns how many engines hold each model, and each model in each version.
func (f *fleet) copies() map[string]int {
	out := map[string]int{}
	for _, e := range f.engines {
		s, _ := e.State()
		for _, r := range s.Residents {
			out[r.Model]++
			out[r.Model+" "+r.Version]++
		}
	}
	return out
}

// TestTableLosesReplies guards against a claim, an edit or a lease whose write took
// effect but whose reply was lost, and that its writer takes for refused or makes twice.
func TestTableLosesReplies(t *testing.T) {
	scene(t, func(t *testing.T, f *fleet) {
		f.plat.Faults.SetSchedules([]pltsim.Schedule{{Service: pltsim.ServiceTable, Fault: pltsim.FaultLostReply, LossProbability: 0.3, Seed: 20261203, Duration: 90 * time.Second}})
		for i := range 10 {
			f.weigh(fmt.Sprintf("edit-%d", i), float64(1+i), step{A: i})
		}
		if len(f.accepted) != 10 {
			t.Errorf("%d of 10 edits accepted", len(f.accepted))
		}
		f.steady(t, "keyed", 60, true)
		// The same keys again, through the other entry: each answer is the recorded one.
		sent := f.calls
		for i, c := range sent {
			f.launch(f.entryAt(i+1), &call{id: c.id, model: c.model, tokens: c.tokens, stream: c.stream, once: true, key: c.key})
		}
		f.checkComplete(t, f.calls[len(sent):])
	})
}

// TestObjectStoreAway guards against anything but a start-up without peers that waits
// for the object store.
func TestObjectStoreAway(t *testing.T) {
	scene(t, func(t *testing.T, f *fleet) {
		table, objects, hosts := f.table, f.objects, f.hosts
		newest, _ := edit.LoadTable(t.Context(), f.plat.Table)
		_ = edit.SaveBackup(t.Context(), f.plat.Objects, edit.TableDocument(newest))
		objects.SetUnavailable(true)
		f.steady(t, "plain", 20, false)
		f.steady(t, "keyed", 20, true)
		if f.weigh("edit-1", 2, step{}); len(f.accepted) != 1 {
			t.Error("no edit is accepted")
		}
		holds := func(after time.Duration, want bool) {
			t.Helper()
			time.Sleep(after)
			if got := f.agents[0].docs.Get(gossip.KindTable).Version > 0; got != want {
				t.Errorf("a started agent holds a table: %v, want %v", got, want)
			}
		}
		table.SetUnavailable(true)
		f.restartAgent(0, step{})
		holds(5*time.Second, true) // from its peers
		hosts.SetUnavailable(true)
		f.net.SetFault("", "a0", netsim.Fault{Refuse: true})
		f.restartAgent(0, step{})
		holds(20*time.Second, false) // it knows no peers, and none reaches it
		objects.SetUnavailable(false)
		holds(5*time.Second, true)
		table.SetUnavailable(false)
		hosts.SetUnavailable(false)
		f.net.SetFault("", "a0", netsim.Fault{Delay: linkDelay})
	})
}

// TestWeightStoreAway guards against copies that are given up for loads that cannot
// happen, and against requests that fail for them.
func TestWeightStoreAway(t *testing.T) {
	scene(t, func(t *testing.T, f *fleet) {
		weights, before := f.weights, f.copies()
		weights.SetUnavailable(true)
		f.version(7, step{B: 0})
		f.wg.Wait()
		f.steady(t, "plain", 100, false)
		for i := range models {
			if m := modelName(i); f.copies()[m] < before[m] {
				t.Errorf("a copy of %s was given up: %v, before %v", m, f.copies(), before)
			}
		}
		weights.SetUnavailable(false)
		time.Sleep(quietTime)
		if n := f.copies()[modelName(0)+" 9"]; n < 2 {
			t.Errorf("%d copies of the new version after the outage", n)
		}
	})
}

// TestHostListLags guards against work that is sent to an agent which has announced that
// it leaves, and against requests that fail because a host list still shows a dead agent.
func TestHostListLags(t *testing.T) {
	scene(t, func(t *testing.T, f *fleet) {
		lag := f.hosts
		lag.SetLag(2 * time.Minute)
		leaver, dead := f.agents[1], f.agents[2]
		leaver.busy, dead.busy = true, true
		leaver.a.Leave() // as a signal or an operator tells it
		f.mu.Lock()
		f.leaving[leaver.id] = leaving{at: time.Now(), signal: true} // no list shows it, so no lag is allowed
		f.mu.Unlock()
		f.plat.Hosts.Remove(leaver.id)
		f.steady(t, "leave", 60, false)
		leaver.stop()
		dead.gate.kill()
		dead.close(false)
		f.steady(t, "dead", 60, false)
		if hosts, _ := f.plat.Hosts.List(t.Context()); len(hosts) != entries+engines+1 {
			t.Errorf("the list does not lag: %v", hosts)
		}
		lag.SetLag(0)
		time.Sleep(2 * hostLag)
		f.list(leaver.id, store.RoleAgent, store.HostLive)
		f.mu.Lock()
		delete(f.leaving, leaver.id)
		f.mu.Unlock()
		f.setAgent(1, f.startAgent(1))
		f.setAgent(2, f.startAgent(2))
	})
}
