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

// runScenario runs a test on a booted fleet in virtual time and checks the rules of the
// package afterwards.
func runScenario(t *testing.T, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(faulty)
		time.Sleep(bootTime)
		run(t, f)
		if violations := f.finish(); violations != "" {
			t.Error(violations)
		}
	})
}

// sendSteadily sends n requests for all models through both entries, one every 100 ms, and
// checks that all get the outcome complete.
func (f *fleet) sendSteadily(t *testing.T, name string, n int, keyed bool) {
	t.Helper()
	first := len(f.calls)
	for i := range n {
		c := &call{id: fmt.Sprintf("%s-%d", name, i), model: modelName(i % models), maxTokens: 3, stream: i%2 == 0, nonIdempotent: keyed}
		if keyed {
			c.idempotencyKey = c.id
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
		t.Errorf("not all of %d requests are complete: %v", len(calls), out)
	}
}

// replicas counts the replicas of each model, and of each model and version.
func (f *fleet) replicas() map[string]int {
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

// TestTableLosesReplies guards against lost replies to writes that took effect: a claim, an
// edit or a lease must neither be taken for rejected nor be written twice.
func TestTableLosesReplies(t *testing.T) {
	runScenario(t, func(t *testing.T, f *fleet) {
		f.plat.Faults.SetSchedules([]pltsim.Schedule{{Service: pltsim.ServiceTable, Fault: pltsim.FaultLostReply, LossProbability: 0.3, Seed: 20261203, Duration: 90 * time.Second}})
		for i := range 10 {
			f.editWeight(fmt.Sprintf("edit-%d", i), float64(1+i), step{A: i})
		}
		if len(f.accepted) != 10 {
			t.Errorf("%d of 10 edits accepted", len(f.accepted))
		}
		f.sendSteadily(t, "keyed", 60, true)
		// Sends the same keys through the other entry: each response is the recorded one.
		sent := f.calls
		for i, c := range sent {
			f.launch(f.entryAt(i+1), &call{id: c.id, model: c.model, maxTokens: c.maxTokens, stream: c.stream, nonIdempotent: true, idempotencyKey: c.idempotencyKey})
		}
		f.checkComplete(t, f.calls[len(sent):])
	})
}

// TestObjectStoreOutage guards against dependencies on the object store: only a process
// that starts without peers may wait for it.
func TestObjectStoreOutage(t *testing.T) {
	runScenario(t, func(t *testing.T, f *fleet) {
		table, objects, hosts := f.table, f.objects, f.hosts
		newest, _ := edit.LoadTable(t.Context(), f.plat.Table)
		_ = edit.SaveBackup(t.Context(), f.plat.Objects, edit.TableDocument(newest))
		objects.SetUnavailable(true)
		f.sendSteadily(t, "plain", 20, false)
		f.sendSteadily(t, "keyed", 20, true)
		if f.editWeight("edit-1", 2, step{}); len(f.accepted) != 1 {
			t.Error("the edit was not accepted during the outage of the object store")
		}
		holds := func(after time.Duration, want bool) {
			t.Helper()
			time.Sleep(after)
			if got := f.agents[0].docs.Get(gossip.KindTable).Version > 0; got != want {
				t.Errorf("restarted agent has a table: %v, want %v", got, want)
			}
		}
		table.SetUnavailable(true)
		f.restartAgent(0, step{})
		holds(5*time.Second, true) // from its peers
		hosts.SetUnavailable(true)
		f.net.SetFault("", "a0", netsim.Fault{Refuse: true})
		f.restartAgent(0, step{})
		holds(20*time.Second, false) // it knows no peers, and no peer reaches it
		objects.SetUnavailable(false)
		holds(5*time.Second, true)
		table.SetUnavailable(false)
		hosts.SetUnavailable(false)
		f.net.SetFault("", "a0", netsim.Fault{Delay: linkDelay})
	})
}

// TestWeightStoreOutage guards against evicting replicas for loads that cannot succeed, and
// against requests that fail because of it.
func TestWeightStoreOutage(t *testing.T) {
	runScenario(t, func(t *testing.T, f *fleet) {
		weights, before := f.weights, f.replicas()
		weights.SetUnavailable(true)
		f.changeVersion(7, step{B: 0})
		f.wg.Wait()
		f.sendSteadily(t, "plain", 100, false)
		for i := range models {
			if m := modelName(i); f.replicas()[m] < before[m] {
				t.Errorf("a replica of %s was evicted: %v, before %v", m, f.replicas(), before)
			}
		}
		weights.SetUnavailable(false)
		time.Sleep(recoveryDelay)
		if n := f.replicas()[modelName(0)+" 9"]; n < 2 {
			t.Errorf("%d replicas of the new version after the outage, want at least 2", n)
		}
	})
}

// TestHostListLags guards against attempts that are sent to an agent which announced that it
// drains, and against requests that fail because the host list still shows a dead agent.
func TestHostListLags(t *testing.T) {
	runScenario(t, func(t *testing.T, f *fleet) {
		hosts := f.hosts
		hosts.SetLag(2 * time.Minute)
		leaver, dead := f.agents[1], f.agents[2]
		leaver.busy, dead.busy = true, true
		leaver.a.Leave() // as on a signal or an operator's command
		f.mu.Lock()
		f.leaving[leaver.id] = drainStart{at: time.Now(), signal: true} // the host list is not involved, so its lag is not allowed for
		f.mu.Unlock()
		f.plat.Hosts.Remove(leaver.id)
		f.sendSteadily(t, "leave", 60, false)
		leaver.stop()
		dead.gate.kill()
		dead.close(false)
		f.sendSteadily(t, "dead", 60, false)
		if listed, _ := f.plat.Hosts.List(t.Context()); len(listed) != entries+engines+1 {
			t.Errorf("the host list does not lag: %v", listed)
		}
		hosts.SetLag(0)
		time.Sleep(2 * hostListLag)
		f.setHost(leaver.id, store.RoleAgent, store.HostLive)
		f.mu.Lock()
		delete(f.leaving, leaver.id)
		f.mu.Unlock()
		f.setAgent(1, f.startAgent(1))
		f.setAgent(2, f.startAgent(2))
	})
}
