package peer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

// TestMain fixes the seed of the property tests, so that runs repeat; -rapid.seed and
// -rapid.checks choose another seed and more runs.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("690")
	}
	os.Exit(m.Run())
}

const (
	oracleNodes  = 6
	oracleGroups = 3
	// convergenceTimeout is the time within which a change must come into force on every reachable node.
	convergenceTimeout = 6 * time.Second
)

// step is one step of a run: an edit, a fault or its end. The kind gives a and b their meaning.
type step struct {
	kind string
	a, b int
}

func stepSequences() *rapid.Generator[[]step] {
	kinds := []string{"edit", "edit", "edit", "stale", "race", "lose", "away", "back", "slow", "split", "heal", "restart", "pause", "resume", "sleep", "undo"}
	oneStep := rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, oracleNodes-1).Draw(t, "a"), rapid.IntRange(0, 63).Draw(t, "b")}
	})
	return rapid.SliceOfN(oneStep, 5, 40)
}

// TestOracle guards against an accepted edit that is lost or reverted on a node, and
// against a document version that goes backwards, under outages, lost replies, concurrent
// writers, partitions, restarts and pauses.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := stepSequences().Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = newOracleRun(t).execute(steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// oracleRun holds the system under test and the oracle, which applies the accepted edits
// in sequence to one table.
type oracleRun struct {
	ctx     context.Context
	f       *fleet
	faults  *pltsim.Faults
	st      *pltsim.Table
	objects *pltsim.Objects

	mu sync.Mutex
	// revisions holds the oracle's table at each accepted revision, in order from 1.
	revisions []table.Table
	// unsettled holds the edits whose outcome is not known yet.
	unsettled []edit.Request
	ids       int
	paused    [oracleNodes]bool
	partition [oracleNodes]bool
	errs      []error
}

func newOracleRun(t *testing.T) *oracleRun {
	r := &oracleRun{ctx: t.Context(), faults: &pltsim.Faults{}}
	r.st, r.objects = pltsim.NewTable(r.faults), pltsim.NewObjects(r.faults)
	var groups []table.Group
	for i := range oracleGroups {
		groups = append(groups, table.Group{Name: fmt.Sprint("g", i), Weight: 1, Revision: 1})
	}
	r.revisions = []table.Table{table.New(1, groups, nil, nil, nil)}
	if _, err := edit.SeedTable(r.ctx, r.st, r.revisions[0]); err != nil {
		t.Fatal(err)
	}
	r.f = newFleet(oracleNodes, 690)
	r.f.reachable = func(a, b int) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !r.paused[a] && !r.paused[b] && r.partition[a] == r.partition[b]
	}
	for i := range oracleNodes {
		r.start(i)
	}
	time.Sleep(time.Second)
	return r
}

// start runs a new incarnation of a node and checks every document that comes into force on it.
func (r *oracleRun) start(i int) {
	n := r.f.start(i, r.st, r.objects, pollInterval)
	var last uint64
	n.docs.Subscribe(func(d gossip.Document) {
		if d.Version <= last {
			r.recordError("node %d went from revision %d to %d", i, last, d.Version)
		}
		last = d.Version
		r.compareWithOracle(i, d)
	})
}

func (r *oracleRun) recordError(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, fmt.Errorf(format, args...))
}

// compareWithOracle checks a document against the oracle's table at its revision, if that is known.
func (r *oracleRun) compareWithOracle(i int, d gossip.Document) {
	got, err := table.Decode(d.Data)
	if err != nil {
		r.recordError("node %d: %v", i, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version == 0 || d.Version > uint64(len(r.revisions)) {
		return
	}
	if want := r.revisions[d.Version-1]; string(table.Encode(got)) != string(table.Encode(want)) {
		r.errs = append(r.errs, fmt.Errorf("node %d at revision %d holds %s, want %s", i, d.Version, d.Data, table.Encode(want)))
	}
}

func (r *oracleRun) execute(steps []step) error {
	defer r.f.stop()
	for _, s := range steps {
		r.apply(s)
	}
	r.finish()
	return errors.Join(r.errs...)
}

func (r *oracleRun) apply(s step) {
	switch s.kind {
	case "edit":
		r.submit(s.a, r.newRequest(s.b, r.rowRevision(s.b)))
	case "stale":
		r.submit(s.a, r.newRequest(s.b, uint64(s.a+1)))
	case "race":
		r.race(s.a, s.b)
	case "undo":
		r.undo(s.a)
	case "lose":
		r.faults.LoseReplies(1 + s.a%2)
	case "away":
		r.faults.SetUnavailable(true)
	case "back":
		r.faults.SetUnavailable(false)
		r.faults.SetDelay(0)
	case "slow":
		r.faults.SetDelay(time.Second)
	case "split":
		r.withLock(func() {
			for i := range r.partition {
				r.partition[i] = s.b>>i&1 == 1
			}
		})
	case "heal":
		r.withLock(func() { r.partition = [oracleNodes]bool{} })
	case "pause", "resume":
		r.withLock(func() { r.paused[s.a] = s.kind == "pause" })
	case "restart":
		r.restart(s.a)
	case "sleep":
		time.Sleep(time.Duration(s.b) * 100 * time.Millisecond)
	}
}

func (r *oracleRun) withLock(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// restart replaces a node and checks that it is bootstrapped in time and holds at least
// the newest revision of the peers that it can reach.
func (r *oracleRun) restart(i int) {
	old := r.f.node(i)
	old.stop()
	old.wg.Wait()
	r.withLock(func() { r.paused[i] = false })
	var newestHeld uint64
	for j := range oracleNodes {
		if j != i && r.f.reachable(i, j) {
			newestHeld = max(newestHeld, r.f.node(j).docs.Get(gossip.KindTable).Version)
		}
	}
	r.start(i)
	n := r.f.node(i)
	time.Sleep(convergenceTimeout)
	if !n.gossip.Bootstrapped() && newestHeld > 0 {
		r.recordError("node %d is not bootstrapped %v after a restart", i, convergenceTimeout)
	}
	if v := n.docs.Get(gossip.KindTable).Version; v < newestHeld {
		r.recordError("node %d restarted at revision %d while a peer held %d", i, v, newestHeld)
	}
}

func (r *oracleRun) rowRevision(row int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, _ := r.revisions[len(r.revisions)-1].Group(fmt.Sprint("g", row%oracleGroups))
	return g.Revision
}

func (r *oracleRun) newRequest(row int, expect uint64) edit.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	g := table.Group{Name: fmt.Sprint("g", row%oracleGroups), Weight: float64(r.ids + 1)}
	return edit.Request{ID: fmt.Sprint("edit-", r.ids), Who: "operator", Ops: []edit.Op{{Sheet: table.SheetGroups, Name: g.Name, Row: g, Expect: expect}}}
}

// submit makes an edit through a node and checks its outcome against the oracle.
func (r *oracleRun) submit(node int, req edit.Request) {
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	res, err := edit.New(r.st, time.Now).Apply(ctx, req)
	var stale *edit.StaleError
	switch {
	case err == nil:
		r.recordAccepted(req, res.Entry.Revision)
		r.publish(ctx, node, res)
	case errors.As(err, &stale):
		r.checkStale(req)
	case fault.CodeOf(err) == edit.CodeUnsettled || ctx.Err() != nil:
		r.withLock(func() { r.unsettled = append(r.unsettled, req) })
	case fault.CodeOf(err) != fault.CodeOutage:
		r.recordError("edit %s: %v", req.ID, err)
	}
}

func (r *oracleRun) publish(ctx context.Context, node int, res edit.Result) {
	docs := r.f.node(node).docs
	if res.Table.Revision == 0 {
		return
	}
	docs.PutIfNewer(edit.TableDocument(res.Table))
	_ = edit.SaveBackup(ctx, r.objects, edit.TableDocument(res.Table)) // without a backup a restarted node relies on its peers
}

// recordAccepted applies an accepted edit to the oracle's table. Revisions are
// consecutive, so a gap means that unsettled edits were accepted before this one.
func (r *oracleRun) recordAccepted(req edit.Request, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for uint64(len(r.revisions))+1 < rev && len(r.unsettled) > 0 {
		r.appendRevision(r.unsettled[0])
		r.unsettled = r.unsettled[1:]
	}
	if rev != uint64(len(r.revisions))+1 {
		r.errs = append(r.errs, fmt.Errorf("edit %s was accepted as revision %d after revision %d", req.ID, rev, len(r.revisions)))
		return
	}
	r.appendRevision(req)
}

func (r *oracleRun) appendRevision(req edit.Request) {
	last := r.revisions[len(r.revisions)-1]
	next := last.WithRevision(last.Revision + 1)
	for _, op := range req.Ops {
		next = next.WithRow(op.Row.WithRevision(next.Revision))
	}
	r.revisions = append(r.revisions, next)
}

// checkStale checks that an edit refused as stale was based on another revision than the oracle's.
func (r *oracleRun) checkStale(req edit.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, _ := r.revisions[len(r.revisions)-1].Group(req.Ops[0].Name)
	if g.Revision == req.Ops[0].Expect && len(r.unsettled) == 0 {
		r.errs = append(r.errs, fmt.Errorf("edit %s of revision %d was refused as stale", req.ID, g.Revision))
	}
}

// race submits two concurrent edits of the same row revision; at most one may be accepted.
func (r *oracleRun) race(a, b int) {
	r.repeatUnsettled()
	expect := r.rowRevision(b)
	first, second := r.newRequest(b, expect), r.newRequest(b, expect)
	var firstErr, secondErr error
	var firstResult, secondResult edit.Result
	var wg sync.WaitGroup
	wg.Go(func() { firstResult, firstErr = edit.New(r.st, time.Now).Apply(r.ctx, first) })
	wg.Go(func() { secondResult, secondErr = edit.New(r.st, time.Now).Apply(r.ctx, second) })
	wg.Wait()
	if firstErr == nil && secondErr == nil {
		r.recordError("both edits of revision %d were accepted", expect)
	}
	for _, outcome := range []struct {
		req edit.Request
		res edit.Result
		err error
	}{{first, firstResult, firstErr}, {second, secondResult, secondErr}} {
		if outcome.err == nil {
			r.recordAccepted(outcome.req, outcome.res.Entry.Revision)
			r.publish(r.ctx, a, outcome.res)
		} else if fault.CodeOf(outcome.err) == edit.CodeUnsettled {
			r.withLock(func() { r.unsettled = append(r.unsettled, outcome.req) })
		}
	}
	r.repeatUnsettled()
}

// undo reverts the last accepted edit.
func (r *oracleRun) undo(node int) {
	r.repeatUnsettled()
	r.mu.Lock()
	rev := uint64(len(r.revisions))
	r.ids++
	id := fmt.Sprint("edit-", r.ids)
	r.mu.Unlock()
	if rev == 1 {
		return
	}
	req, err := edit.UndoRequest(r.ctx, r.st, rev, id, "operator")
	if err != nil {
		if fault.CodeOf(err) != fault.CodeOutage {
			r.recordError("undo of revision %d: %v", rev, err)
		}
		return
	}
	r.submit(node, req)
	r.repeatUnsettled()
}

// repeatUnsettled ends the faults of the table service and submits every unsettled edit
// again to learn its outcome. It runs before a step whose check needs the order of all
// accepted edits.
func (r *oracleRun) repeatUnsettled() {
	r.mu.Lock()
	unsettled := r.unsettled
	r.unsettled = nil
	r.mu.Unlock()
	if len(unsettled) == 0 {
		return
	}
	r.faults.SetUnavailable(false)
	r.faults.SetDelay(0)
	r.faults.LoseReplies(0)
	for _, req := range unsettled {
		r.submit(0, req)
	}
}

// finish ends all faults, waits until the nodes converge and compares each with the oracle.
func (r *oracleRun) finish() {
	r.repeatUnsettled()
	r.faults.SetUnavailable(false)
	r.faults.SetDelay(0)
	r.faults.LoseReplies(0)
	r.withLock(func() { r.partition, r.paused = [oracleNodes]bool{}, [oracleNodes]bool{} })
	// A node that gossip has not reached finds the last edit with its next poll.
	time.Sleep(pollInterval*3/2 + convergenceTimeout)
	r.mu.Lock()
	want := uint64(len(r.revisions))
	r.mu.Unlock()
	for i := range oracleNodes {
		d := r.f.node(i).docs.Get(gossip.KindTable)
		if d.Version != want {
			r.recordError("node %d ends at revision %d, want %d", i, d.Version, want)
		}
		r.compareWithOracle(i, d)
	}
	entries, err := edit.History(r.ctx, r.st, 0, 1000)
	if err != nil || uint64(len(entries)) != want-1 {
		r.recordError("the history has %d edits, want %d, error %v", len(entries), want-1, err)
	}
}
