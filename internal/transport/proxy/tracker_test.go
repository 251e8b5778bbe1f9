package proxy

import (
	"testing"
	"time"

	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
)

func TestTracker(t *testing.T) {
	tr := newTracker(budget.Limit{Ratio: 0.2, Slack: 10, Window: time.Second}, true)
	e := fleet.Endpoint{ID: "e", Service: "s", FailureDomain: "z", Models: []fleet.Resident{{Model: "m"}}}
	req := pick.Request{Service: "s", ModelName: fleet.ParseModelName("m/x"), Parts: pick.ParsePromptParts(fleet.ParseModelName("m/x"), "a:10,b:20,c:5"), SharedParts: 2}
	states := []fleet.State{{Endpoint: e}}
	connected := func(fleet.Endpoint) bool { return false }
	one := func() pick.Candidate { return tr.candidates(states, 4, req, 1, connected)[0] }

	first, end := tr.beginRequest(e, req, 35)
	if c := one(); c.InFlight != 1 || c.Prefilling != 1 || c.PrefillTokens != 35 || c.CachedTokens != 0 {
		t.Errorf("after the start: %+v", c)
	}
	first()
	first()
	tr.recordPrefill(e, req.Parts, req.SharedParts)
	if c := one(); c.InFlight != 1 || c.Prefilling != 0 || c.PrefillTokens != 0 || c.CachedTokens != 35 {
		t.Errorf("after the first token: %+v", c)
	}
	if used := tr.takeUsedAdapters("e"); len(used) != 1 || used[0] != "m/x" {
		t.Errorf("used %v", used)
	}
	if used := tr.takeUsedAdapters("e"); len(used) != 1 {
		t.Errorf("an adapter in use isn't reported again: %v", used)
	}
	end()
	end()
	if used := tr.takeUsedAdapters("e"); len(used) != 0 {
		t.Errorf("an adapter without requests is reported as used: %v", used)
	}
	if c := one(); c.InFlight != 0 {
		t.Errorf("after the end: %+v", c)
	}
	if read := tr.takePrefilledPrefixes("e"); len(read) != 2 {
		t.Errorf("prefilled prefixes %v, want the two shared ones", read)
	}

	// Another gateway learns the shared prefixes; a new incarnation has an empty cache.
	other := newTracker(budget.Limit{Window: time.Second}, true)
	other.merge(e, []uint64{req.Parts[0].PrefixHash, req.Parts[1].PrefixHash})
	if c := other.candidates(states, 4, req, 1, connected)[0]; c.CachedTokens != 30 {
		t.Errorf("the other gateway estimates %d cached tokens, want 30", c.CachedTokens)
	}
	states[0].Incarnation = 7
	if c := one(); c.CachedTokens != 0 {
		t.Errorf("a new incarnation has %d cached tokens, want 0", c.CachedTokens)
	}
}
