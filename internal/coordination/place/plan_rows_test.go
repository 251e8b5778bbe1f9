package place

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	_ "chervilhead/internal/seeds"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/plan"
)

var errReplyLost = errors.New("the reply is lost")

// lossyTable is a table service that can fail a commit before or after it takes effect.
type lossyTable struct {
	store.TableService
	before, after bool
}

func (l *lossyTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if l.before {
		return 0, errReplyLost
	}
	v, err := l.TableService.Commit(ctx, txn)
	if l.after && err == nil {
		return 0, errReplyLost
	}
	return v, err
}

// planPublishers are two planners that publish to one table service, and the plans that they
// tried to publish.
type planPublishers struct {
	st       *lossyTable
	planners []*Planner
	tried    map[string]bool
	inForce  plan.Plan
}

func newPlanPublishers() *planPublishers {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &planPublishers{st: &lossyTable{TableService: pltsim.NewTable(&pltsim.Faults{})}, tried: map[string]bool{}}
	for i := range 2 {
		l := lease.New(s.st, lease.Settings{Key: PlannerLeaseKey, Holder: fmt.Sprint("p", i), Term: time.Hour, ImmediateTakeover: true})
		s.planners = append(s.planners, New(s.st, l, gossip.NewStore(), nil, log.WithField("test", true)))
	}
	return s
}

// publish lets a planner publish a change of the plan that it takes to be in force.
func (s *planPublishers) publish(t *rapid.T) {
	p := rapid.SampledFrom(s.planners).Draw(t, "planner")
	if rapid.Bool().Draw(t, "takes the lease") && p.lease.Refresh(t.Context(), nil) == nil {
		p.loaded = false
	}
	s.st.before, s.st.after = rapid.IntRange(0, 5).Draw(t, "fails") == 0, rapid.IntRange(0, 5).Draw(t, "reply lost") == 0
	defer func() { s.st.before, s.st.after = false, false }()
	if p.loadPlan(t.Context()) != nil {
		return
	}
	next := plan.Plan{Version: p.last.Version + 1, Unplaced: rapid.SliceOfN(rapid.StringMatching("m[0-9]"), 0, 2).Draw(t, "unplaced")}
	for i := range 100 {
		e := plan.Endpoint{ID: fmt.Sprintf("agent-%03d", i), Models: []string{"m"}, ModelsVersion: 1}
		if old, ok := p.last.Endpoint(e.ID); ok {
			e = old
		}
		switch rapid.IntRange(0, 60).Draw(t, "endpoint") {
		case 0:
			continue
		case 1:
			e.Models, e.ModelsVersion = []string{"m", fmt.Sprint("n", next.Version)}, next.Version
		}
		next.Endpoints = append(next.Endpoints, e)
	}
	s.tried[string(plan.Encode(next))] = true
	_ = p.publish(t.Context(), next)
}

// check fails the test unless a node reads a whole plan that was tried and not an older one than before.
func (s *planPublishers) check(t *rapid.T) {
	doc, err := PlanSource(s.st)(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if doc.Version == 0 {
		return
	}
	if !s.tried[string(doc.Data)] {
		t.Fatalf("version %d is a mixture of plans: %s", doc.Version, doc.Data)
	}
	got, err := plan.Decode(doc.Data)
	if err != nil || got.Version < s.inForce.Version {
		t.Fatalf("plan %d went back to %d, %v", s.inForce.Version, got.Version, err)
	}
	if got.Version == s.inForce.Version && !bytes.Equal(plan.Encode(got), plan.Encode(s.inForce)) {
		t.Fatalf("two plans have version %d", got.Version)
	}
	s.inForce = got
}

// TestStoredPlan guards against a node that reads parts of different plans or goes back to an
// older plan. Replies get lost, and two planners may both consider the lease theirs.
func TestStoredPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPlanPublishers()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.publish(t)
			s.check(t)
		}
	})
}

// TestPlanWrites guards against a move that rewrites the whole plan instead of the changed rows.
func TestPlanWrites(t *testing.T) {
	var p plan.Plan
	for i := range 600 {
		p.Endpoints = append(p.Endpoints, plan.Endpoint{ID: fmt.Sprintf("agent-%04d", i), Models: []string{"model-0001", "model-0002"}})
	}
	p.Version = 1
	if n := len(rowWrites(plan.Plan{}, p)); n != planParts+2 {
		t.Errorf("the first plan takes %d writes, want one per part, the head and the rest", n)
	}
	next := plan.Plan{Version: 2, Endpoints: append([]plan.Endpoint{}, p.Endpoints...)}
	next.Endpoints[7].Models, next.Endpoints[300].Models = []string{"model-0001"}, []string{"model-0001", "model-0002", "model-0003"}
	if w := rowWrites(p, next); len(w) != 3 || w[0].Key != headKey {
		t.Errorf("a move takes the writes %v", w)
	}
	if w := rowWrites(next, plan.Plan{Version: 3}); len(w) != planParts+1 || !w[1].Delete {
		t.Errorf("a plan without endpoints takes %d writes", len(w))
	}
}
