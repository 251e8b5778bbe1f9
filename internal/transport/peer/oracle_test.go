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

// TestMain fixes the seed of the stateful tests; -rapid.seed and -rapid.checks choose others for long runs.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("690")
	}
	os.Exit(m.Run())
}

const (
	oracleNodes = 6
	oracleRows  = 3
	// settleTime is the time in which a change reaches every node that can be reached.
	settleTime = 6 * time.Second
)

// action is one step of a run.
type action struct {
	kind string
	a, b int
}

func actions() *rapid.Generator[[]action] {
	kinds := []string{"edit", "edit", "edit", "stale", "race", "lose", "away", "back", "slow", "split", "heal", "restart", "pause", "resume", "sleep", "undo"}
	one := rapid.Custom(func(t *rapid.T) action {
		return action{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, oracleNodes-1).Draw(t, "a"), rapid.IntRange(0, 63).Draw(t, "b")}
	})
	return rapid.SliceOfN(one, 5, 40)
}

// TestOracle guards against an accepted edit that is lost or reverted on any node and
// against versions that go back, under outages, lost replies, racing writers,
// partitions, restarts and pauses.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := actions().Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = newRun(t).play(steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// run is the system under test and the oracle: one sequential table.
type run struct {
	ctx     context.Context
	f       *fleet
	faults  *pltsim.Faults
	st      *pltsim.Table
	objects *pltsim.Objects

	mu sync.Mutex
	// truth is the table of the oracle at each accepted revision, in order from 1.
	truth []table.Table
	// open is the edits whose outcome is not known yet.
	open   []edit.Request
	ids    int
	paused [oracleNodes]bool
	side   [oracleNodes]bool
	errs   []error
}

func newRun(t *testing.T) *run {
	r := &run{ctx: t.Context(), faults: &pltsim.Faults{}}
	r.st, r.objects = pltsim.NewTable(r.faults), pltsim.NewObjects(r.faults)
	var groups []table.Group
	for i := range oracleRows {
		groups = append(groups, table.Group{Name: fmt.Sprint("g", i), Weight: 1, Revision: 1})
	}
	r.truth = []table.Table{table.New(1, groups, nil, nil, nil)}
	if _, err := edit.SeedTable(r.ctx, r.st, r.truth[0]); err != nil {
		t.Fatal(err)
	}
	r.f = newFleet(oracleNodes, 690)
	r.f.reach = func(a, b int) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !r.paused[a] && !r.paused[b] && r.side[a] == r.side[b]
	}
	for i := range oracleNodes {
		r.start(i)
	}
	time.Sleep(time.Second)
	return r
}

// start runs a new incarnation of a node and watches every document that comes into force on it.
func (r *run) start(i int) {
	n := r.f.start(i, r.st, r.objects, pollInterval)
	var last uint64
	n.docs.Subscribe(func(d gossip.Document) {
		if d.Version <= last {
			r.fail("node %d went from revision %d to %d", i, last, d.Version)
		}
		last = d.Version
		r.compare(i, d)
	})
}

func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, fmt.Errorf(format, args...))
}

// compare checks a document against the oracle's table at its revision, once that is known.
func (r *run) compare(i int, d gossip.Document) {
	got, err := table.Decode(d.Data)
	if err != nil {
		r.fail("node %d: %v", i, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version == 0 || d.Version > uint64(len(r.truth)) {
		return
	}
	if want := r.truth[d.Version-1]; string(table.Encode(got)) != string(table.Encode(want)) {
		r.errs = append(r.errs, fmt.Errorf("node %d at revision %d holds %s, want %s", i, d.Version, d.Data, table.Encode(want)))
	}
}

func (r *run) play(steps []action) error {
	defer r.f.halt()
	for _, s := range steps {
		r.step(s)
	}
	r.finish()
	return errors.Join(r.errs...)
}

func (r *run) step(s action) {
	switch s.kind {
	case "edit":
		r.submit(s.a, r.request(s.b, r.revision(s.b)))
	case "stale":
		r.submit(s.a, r.request(s.b, uint64(s.a+1)))
	case "race":
		r.race(s.a, s.b)
	case "undo":
		r.undo(s.a)
	case "lose":
		r.faults.LoseReplies(1 + s.a%2)
	case "away":
		r.faults.SetAway(true)
	case "back":
		r.faults.SetAway(false)
		r.faults.SetDelay(0)
	case "slow":
		r.faults.SetDelay(time.Second)
	case "split":
		r.set(func() {
			for i := range r.side {
				r.side[i] = s.b>>i&1 == 1
			}
		})
	case "heal":
		r.set(func() { r.side = [oracleNodes]bool{} })
	case "pause", "resume":
		r.set(func() { r.paused[s.a] = s.kind == "pause" })
	case "restart":
		r.restart(s.a)
	case "sleep":
		time.Sleep(time.Duration(s.b) * 100 * time.Millisecond)
	}
}

func (r *run) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// restart replaces a node; when it is ready, it holds the newest revision among the peers that it can reach.
func (r *run) restart(i int) {
	old := r.f.node(i)
	old.stop()
	old.wg.Wait()
	r.set(func() { r.paused[i] = false })
	var newest uint64
	for j := range oracleNodes {
		if j != i && r.f.reach(i, j) {
			newest = max(newest, r.f.node(j).docs.Get(gossip.KindTable).Version)
		}
	}
	r.start(i)
	n := r.f.node(i)
	time.Sleep(settleTime)
	if !n.gossip.Bootstrapped() && newest > 0 {
		r.fail("node %d is not ready %v after a restart", i, settleTime)
	}
	if v := n.docs.Get(gossip.KindTable).Version; v < newest {
		r.fail("node %d restarted at revision %d while a peer held %d", i, v, newest)
	}
}

func (r *run) revision(row int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, _ := r.truth[len(r.truth)-1].Group(fmt.Sprint("g", row%oracleRows))
	return g.Revision
}

func (r *run) request(row int, expect uint64) edit.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	g := table.Group{Name: fmt.Sprint("g", row%oracleRows), Weight: float64(r.ids + 1)}
	return edit.Request{ID: fmt.Sprint("edit-", r.ids), Who: "operator", Ops: []edit.Op{{Sheet: table.SheetGroups, Name: g.Name, Row: g, Expect: expect}}}
}

// submit makes an edit through a node and holds its outcome against the oracle.
func (r *run) submit(node int, req edit.Request) {
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	res, err := edit.New(r.st, time.Now).Apply(ctx, req)
	var stale *edit.StaleError
	switch {
	case err == nil:
		r.accept(req, res.Entry.Revision)
		r.inForce(ctx, node, res)
	case errors.As(err, &stale):
		r.refuse(req)
	case fault.CodeOf(err) == edit.CodeUnsettled || ctx.Err() != nil:
		r.set(func() { r.open = append(r.open, req) })
	case fault.CodeOf(err) != fault.CodeOutage:
		r.fail("edit %s: %v", req.ID, err)
	}
}

func (r *run) inForce(ctx context.Context, node int, res edit.Result) {
	docs := r.f.node(node).docs
	if res.Table.Revision == 0 {
		return
	}
	docs.PutIfNewer(edit.TableDocument(res.Table))
	_ = edit.SaveBackup(ctx, r.objects, edit.TableDocument(res.Table)) // a start without it relies on peers
}

// accept applies an edit to the oracle's table. Revisions come without gaps, so a
// gap stands for an edit whose outcome is still open.
func (r *run) accept(req edit.Request, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for uint64(len(r.truth))+1 < rev && len(r.open) > 0 {
		r.take(r.open[0])
		r.open = r.open[1:]
	}
	if rev != uint64(len(r.truth))+1 {
		r.errs = append(r.errs, fmt.Errorf("edit %s was accepted as revision %d after revision %d", req.ID, rev, len(r.truth)))
		return
	}
	r.take(req)
}

func (r *run) take(req edit.Request) {
	last := r.truth[len(r.truth)-1]
	next := last.WithRevision(last.Revision + 1)
	for _, op := range req.Ops {
		next = next.WithRow(op.Row.WithRevision(next.Revision))
	}
	r.truth = append(r.truth, next)
}

// refuse checks that a refused edit was based on another revision than the oracle's.
func (r *run) refuse(req edit.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, _ := r.truth[len(r.truth)-1].Group(req.Ops[0].Name)
	if g.Revision == req.Ops[0].Expect && len(r.open) == 0 {
		r.errs = append(r.errs, fmt.Errorf("edit %s of revision %d was refused as stale", req.ID, g.Revision))
	}
}

// race makes two writers edit at once: one of them wins when both edit the same row.
func (r *run) race(a, b int) {
	r.settle()
	before := r.revision(b)
	x, y := r.request(b, before), r.request(b, before)
	var ex, ey error
	var rx, ry edit.Result
	var wg sync.WaitGroup
	wg.Go(func() { rx, ex = edit.New(r.st, time.Now).Apply(r.ctx, x) })
	wg.Go(func() { ry, ey = edit.New(r.st, time.Now).Apply(r.ctx, y) })
	wg.Wait()
	if ex == nil && ey == nil {
		r.fail("both edits of revision %d were accepted", before)
	}
	for _, o := range []struct {
		req edit.Request
		res edit.Result
		err error
	}{{x, rx, ex}, {y, ry, ey}} {
		if o.err == nil {
			r.accept(o.req, o.res.Entry.Revision)
			r.inForce(r.ctx, a, o.res)
		} else if fault.CodeOf(o.err) == edit.CodeUnsettled {
			r.set(func() { r.open = append(r.open, o.req) })
		}
	}
	r.settle()
}

// undo takes the last accepted edit back.
func (r *run) undo(node int) {
	r.settle()
	r.mu.Lock()
	rev := uint64(len(r.truth))
	r.ids++
	id := fmt.Sprint("edit-", r.ids)
	r.mu.Unlock()
	if rev == 1 {
		return
	}
	req, err := edit.UndoRequest(r.ctx, r.st, rev, id, "operator")
	if err != nil {
		if fault.CodeOf(err) != fault.CodeOutage {
			r.fail("undo of revision %d: %v", rev, err)
		}
		return
	}
	r.submit(node, req)
	r.settle()
}

// settle asks again for every edit whose outcome is open, as soon as the service answers.
// Open edits block each other's oracle order, so it runs before each further edit that depends on it.
func (r *run) settle() {
	r.mu.Lock()
	open := r.open
	r.open = nil
	r.mu.Unlock()
	if len(open) == 0 {
		return
	}
	r.faults.SetAway(false)
	r.faults.SetDelay(0)
	r.faults.LoseReplies(0)
	for _, req := range open {
		r.submit(0, req)
	}
}

// finish ends every fault and compares every node with the oracle.
func (r *run) finish() {
	r.settle()
	r.faults.SetAway(false)
	r.faults.SetDelay(0)
	r.faults.LoseReplies(0)
	r.set(func() { r.side, r.paused = [oracleNodes]bool{}, [oracleNodes]bool{} })
	// A node that no other one tells of the last edit finds it with its next poll.
	time.Sleep(pollInterval*3/2 + settleTime)
	r.mu.Lock()
	want := uint64(len(r.truth))
	r.mu.Unlock()
	for i := range oracleNodes {
		d := r.f.node(i).docs.Get(gossip.KindTable)
		if d.Version != want {
			r.fail("node %d ends at revision %d, want %d", i, d.Version, want)
		}
		r.compare(i, d)
	}
	entries, err := edit.History(r.ctx, r.st, 0, 1000)
	if err != nil || uint64(len(entries)) != want-1 {
		r.fail("the history has %d edits, want %d, error %v", len(entries), want-1, err)
	}
}
