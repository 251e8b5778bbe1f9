package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/standin/engsim"
)

func allRequests(g *generator) []plannedRequest {
	var out []plannedRequest
	for pr, ok := g.next(); ok; pr, ok = g.next() {
		out = append(out, pr)
	}
	return out
}

// TestGeneratorIsDeterministic guards against requests that differ between runs with the
// same seed, or whose times or shares leave the bounds of the settings.
func TestGeneratorIsDeterministic(t *testing.T) {
	cfg := DefaultSettings()
	cfg.Rate, cfg.Duration, cfg.ResendShare, cfg.CancelShare = 500, 4*time.Second, 0.2, 0.1
	a, b := allRequests(newGenerator(cfg)), allRequests(newGenerator(cfg))
	if !reflect.DeepEqual(a, b) {
		t.Fatal("two generators with the same seed differ")
	}
	resends, cancels := 0, 0
	for i, s := range a {
		if s.offset >= cfg.Duration || (i > 0 && s.offset < a[i-1].offset) {
			t.Fatalf("request %d is out of order or too late: offset %s", i, s.offset)
		}
		if s.resend {
			resends++
		}
		if s.cancel {
			cancels++
		}
	}
	n := float64(len(a))
	if n < 1800 || n > 2200 || float64(resends)/n < 0.15 || float64(resends)/n > 0.25 || cancels == 0 {
		t.Fatalf("got %v requests, %d resends, %d cancelled requests", n, resends, cancels)
	}
}

// TestViolation guards against truncated or foreign answers that pass as complete.
func TestViolation(t *testing.T) {
	pr := plannedRequest{model: "m", prompt: "p", tokens: 4}
	whole := engsim.Answer("m", "p", 4)
	for _, tc := range []struct{ text, finish, outcome, want string }{
		{whole, "length", "complete", ""},
		{engsim.Answer("m", "p", 3), "length", "complete", "truncated"},
		{engsim.Answer("m", "q", 4), "length", "complete", "foreign"},
		{whole, "", "complete", "unmarked"},
		{engsim.Answer("m", "p", 2), "", "failed", ""},
		{engsim.Answer("m", "p", 2), "", "not_run", "ran although not_run"},
	} {
		a := &answer{finishReason: tc.finish, outcome: tc.outcome, ended: true}
		a.text.WriteString(tc.text)
		if got := a.violation(pr); got != tc.want {
			t.Errorf("%+v: got violation %q", tc, got)
		}
	}
}

// TestRun guards against lost outcomes and against results that cannot be printed or plotted.
func TestRun(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b requestBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			t.Error(err)
		}
		if strings.HasSuffix(b.Prompt, "-3") {
			w.Header().Set(openai.HeaderOutcome, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Trailer", openai.HeaderOutcome)
		for i := range b.MaxTokens {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", engsim.Token(b.Model, b.Prompt, i))
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
		w.Header().Set(openai.HeaderOutcome, "complete")
	}))
	defer srv.Close()
	cfg := DefaultSettings()
	cfg.Targets, cfg.Rate, cfg.Count, cfg.StreamShare, cfg.ChatShare, cfg.MaxPromptWords, cfg.MinPromptWords = []string{srv.URL}, 1000, 10, 1, 0, 1, 1
	res, err := Run(t.Context(), cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	sum := res.FinalSummary()
	if sum.Outcomes["complete"] != 9 || sum.Outcomes["not_run"] != 1 || sum.ViolationCount() != 0 || sum.FirstToken.Count != 9 {
		t.Fatalf("got %+v", sum)
	}
	var table, svg bytes.Buffer
	if err := sum.WriteTable(&table); err != nil || !strings.Contains(table.String(), "complete=9 not_run=1") {
		t.Fatalf("table %q, error %v", table.String(), err)
	}
	if err := res.WritePlot(&svg); err != nil || !strings.Contains(svg.String(), "<svg") {
		t.Fatalf("plot error %v", err)
	}
}

// TestRemoteTarget guards against load that is sent to another host by mistake.
func TestRemoteTarget(t *testing.T) {
	cfg := DefaultSettings()
	cfg.Targets = []string{"http://192.0.2.1:80"}
	if err := cfg.Check(); err == nil || !strings.Contains(err.Error(), "--allow-remote") {
		t.Fatalf("got %v", err)
	}
}
