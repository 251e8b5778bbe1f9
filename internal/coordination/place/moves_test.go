package place

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/plan"
)

// TestLogMoves guards against a placement decision whose endpoint and reason are not logged.
func TestLogMoves(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	at := func(id string, leaving bool, models ...string) plan.Endpoint {
		return plan.Endpoint{ID: id, Models: models, Leaving: leaving}
	}
	p := &Planner{log: log.WithField("test", true), last: plan.Plan{Endpoints: []plan.Endpoint{at("a", false, "moved", "less"), at("b", false, "less"), at("c", false, "gone")}}}
	p.logMoves(plan.Plan{Version: 2, Endpoints: []plan.Endpoint{at("a", false, "less"), at("b", false, "moved", "new"), at("c", true)}})
	for _, want := range []string{
		`msg="placement: copy added" copies=1 endpoint=b failure_domain= model=moved reason="the copy replaces one on another endpoint"`,
		`msg="placement: copy added" copies=1 endpoint=b failure_domain= model=new reason="the model had no copy"`,
		`msg="placement: copy removed" copies=1 endpoint=a failure_domain= model=moved reason="a copy on another endpoint replaces it"`,
		`msg="placement: copy removed" copies=1 endpoint=b failure_domain= model=less reason="fewer copies are needed, or the memory is needed"`,
		`msg="placement: copy removed" copies=0 endpoint=c failure_domain= model=gone reason="the endpoint is leaving"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line %s in\n%s", want, out.String())
		}
	}
	if n := strings.Count(out.String(), "\n"); n != 5 {
		t.Errorf("%d lines for five decisions", n)
	}
}
