package proxy

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilhead/internal/state/fleet"
)

// TestWhere guards against an answer that differs from where the next request goes, and against a question that reaches an endpoint.
func TestWhere(t *testing.T) {
	a, b := startEndpoint(t, serveOK), startEndpoint(t, serveOK)
	g := startGateway(t, fleet.Idempotent, false, a, b)
	h := g.Config.Handler.(*Handler)
	ask := func(query string) Where {
		t.Helper()
		rec := httptest.NewRecorder()
		h.WhereHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/where?"+query, nil))
		var out Where
		if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	const question = "host=test.example&path=/a/x"
	got := ask(question)
	if got.Verdict != verdictSent || got.Endpoint != "e0" || got.Route != "r" || got.Service != "s" || len(got.Candidates) != 2 || got.Candidates[1].Why != whyCost || got.Candidates[0].Why != "" {
		t.Errorf("the answer is %+v", got)
	}
	if a.requests.Load()+b.requests.Load() != 0 {
		t.Error("the question reached an endpoint")
	}
	expectStatus(t, g, http.StatusOK)
	if a.requests.Load() != 1 {
		t.Error("the request went elsewhere")
	}
	leaving := append([]fleet.State{}, *g.states.Load()...)
	leaving[0].Leaving = true
	g.states.Store(&leaving)
	if got := ask(question); got.Endpoint != "e1" || got.Candidates[0].Why != "leaving" {
		t.Errorf("while e0 leaves the answer is %+v", got)
	}
	if got := ask("host=test.example&path=/b"); got.Verdict != "no_route" {
		t.Errorf("a path without a route: %+v", got)
	}
	v := *g.view.Load()
	v.Config = v.Config.WithGroups(map[string]fleet.Group{"gold": {Name: "gold", Quota: fleet.Quota{PerSecond: 5, Burst: 2}}}, nil)
	g.view.Store(&v)
	if got := ask(question + "&group=gold"); got.Verdict != verdictSent || got.Quota == nil || got.Quota.PerSecond != 5 {
		t.Errorf("with a group: %+v", got)
	}
	if got := ask(question); got.Verdict != "unknown_group" {
		t.Errorf("without a group: %+v", got)
	}
	v.Config = v.Config.WithGroups(nil, nil)
	g.view.Store(&v)
	none := []fleet.State{}
	g.states.Store(&none)
	if got := ask(question); got.Verdict != "no_endpoint" || got.Endpoint != "" {
		t.Errorf("without endpoints: %+v", got)
	}
}
