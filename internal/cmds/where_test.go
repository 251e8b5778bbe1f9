package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"chervilhead/internal/transport/proxy"
)

// TestWhere guards against an answer that the command misprints, and a question that lacks a field.
func TestWhere(t *testing.T) {
	answer := proxy.Where{
		Gateway: "g1", Verdict: "sent", Endpoint: "e2", Route: "r", Kind: "stream", Service: "s", EstimateMS: 40, Gateways: 6, ConfigVersion: 4, ConfigAgeMS: 300, RegistrationsAgeMS: 500, RegistrationsCertain: true,
		Candidates: []proxy.WhereCandidate{
			{Endpoint: "e1", Why: "leaving", LatencyRatio: 1, ReportAgeMS: -1},
			{Endpoint: "e3", Why: "costs_more", CostMS: 90, EstimateMS: 80, InFlight: 3, Slots: 64, PrefillTokens: 1500, BacklogTokens: 2000, LatencyRatio: 1.2, ReportAgeMS: 120},
			{Endpoint: "e2", CostMS: 45, EstimateMS: 40, Slots: 64, PrefillTokens: 1500, LatencyRatio: 1, ReportAgeMS: 180},
		},
	}
	query := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Path + "?" + r.URL.RawQuery
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer srv.Close()
	run := func(args ...string) string {
		t.Helper()
		var out bytes.Buffer
		cmd := New()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"where", "--gateway", strings.TrimPrefix(srv.URL, "http://"), "--host", "h", "--path", "/p"}, args...))
		if err := cmd.Execute(); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	text := run("--model", "m/x", "--tokens", "1500,200", "--prompt", "a:1500", "--group", "gold")
	if want := "/where?group=gold&host=h&model=m%2Fx&path=%2Fp&prompt=a%3A1500&tokens=1500%2C200"; query != want {
		t.Errorf("the question is %s, want %s", query, want)
	}
	golden, err := os.ReadFile("testdata/where.txt")
	if err != nil || text != string(golden) {
		t.Errorf("error %v; printed\n%s", err, text)
	}
	var back proxy.Where
	if err := json.Unmarshal([]byte(run("--json")), &back); err != nil || back.Endpoint != "e2" || len(back.Candidates) != 3 {
		t.Errorf("error %v, as JSON %+v", err, back)
	}
}
