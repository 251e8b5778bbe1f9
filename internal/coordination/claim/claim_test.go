package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/fault"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203") // a flag on the command line takes precedence
	flag.Parse()
	os.Exit(m.Run())
}

// lateTable is a table service whose next commits can be made to lose their reply and to take
// effect five seconds later.
type lateTable struct {
	*pltsim.Table
	mu   sync.Mutex
	late int
}

func (l *lateTable) delay(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = n
}

func (l *lateTable) delayed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late == 0 {
		return false
	}
	l.late--
	return true
}

func (l *lateTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if !l.delayed() {
		return l.Table.Commit(ctx, txn)
	}
	time.AfterFunc(5*time.Second, func() { _, _ = l.Table.Commit(context.Background(), txn) })
	return 0, fault.Outage("table", errors.New("reply lost, write delayed"))
}

// noDeadlineT hides the test's deadline, which must not be read inside a synctest bubble.
type noDeadlineT struct{ *testing.T }

// heldClaim is a claim whose request has not ended.
type heldClaim struct {
	entry      int
	key, body  string
	handle     *Handle
	dispatched bool
}

// oracleEntry is the expected state of one key, as a single sequential server would have it.
type oracleEntry struct {
	body    string
	claimed bool
	runs    int
	rec     *Record
	// ownerDead is set when the owner died before it recorded an outcome.
	ownerDead bool
}

// fleet runs two managers on one table service and compares them with the oracle.
type fleet struct {
	faults       *pltsim.Faults
	table        *lateTable
	objects      *pltsim.Objects
	managers     [2]*Manager
	incarnations [2]int
	held         []*heldClaim
	oracle       map[string]*oracleEntry
	settlements  []<-chan struct{}
	// claimUncertain is set while a failed claim may still hold a key.
	claimUncertain bool
}

func newFleet() *fleet {
	f := &fleet{faults: &pltsim.Faults{}, oracle: map[string]*oracleEntry{}}
	f.table, f.objects = &lateTable{Table: pltsim.NewTable(f.faults)}, pltsim.NewObjects(f.faults)
	for i := range f.managers {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.incarnations[i]++
	f.managers[i] = New(Settings{
		Owner: f.owner(i), Retention: 24 * time.Hour,
		OwnerAlive: func(_ context.Context, o Owner) bool { return o == f.owner(0) || o == f.owner(1) },
	}, f.table, f.objects, log.WithField("entry", i))
}

func (f *fleet) owner(i int) Owner {
	return Owner{Node: fmt.Sprint(i), Incarnation: fmt.Sprint(f.incarnations[i])}
}

func (f *fleet) send(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	key := rapid.SampledFrom([]string{"a", "b/c", "d"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body")
	o := f.oracle[key]
	if o == nil {
		o = &oracleEntry{}
		f.oracle[key] = o
	}
	handle, rec, err := f.managers[i].Acquire(t.Context(), Request{Group: "g", Key: key, Fingerprint: body})
	switch {
	case err != nil && err.Code == fault.CodeOutage:
		f.claimUncertain = true
		if err.RetryAfter == 0 || (o.claimed && err.Outcome != fault.OutcomeUnknown && err.Outcome != fault.OutcomeNotRun) {
			t.Fatalf("outage reported as %+v", err)
		}
	case err != nil && f.claimUncertain && !o.claimed:
		// A failed claim may still hold the key.
	case !o.claimed:
		if handle == nil {
			t.Fatalf("key %q is free, got record %v, error %v", key, rec != nil, err)
		}
		o.claimed, o.body, o.ownerDead = true, body, false
		f.held = append(f.held, &heldClaim{entry: i, key: key, body: body, handle: handle})
	case handle != nil:
		t.Fatalf("key %q is claimed, got a second claim", key)
	case body != o.body:
		if rec != nil || err.Code != fault.CodeKeyReused {
			t.Fatalf("other body under key %q: record %v, error %v", key, rec != nil, err)
		}
	case rec != nil:
		// The body of a large answer may be lost in an outage of the object store; its outcome may not.
		omitted := rec.BodyOmitted && o.rec != nil && len(o.rec.Body) > MaxInlineBytes
		if o.rec == nil || rec.Outcome != o.rec.Outcome || (!omitted && string(rec.Body) != string(o.rec.Body)) {
			t.Fatalf("key %q: record of %d bytes differs from the outcome", key, len(rec.Body))
		}
	case o.ownerDead && err.Code != "claim_holder_gone", !o.ownerDead && err.Code != "request_in_progress":
		t.Fatalf("key %q, owner dead %v: error %v", key, o.ownerDead, err)
	}
}

func (f *fleet) pick(t *rapid.T) (*heldClaim, int) {
	if len(f.held) == 0 {
		t.Skip("nothing held")
	}
	i := rapid.IntRange(0, len(f.held)-1).Draw(t, "held")
	return f.held[i], i
}

// dispatch runs a held request. Until then its entry is taken to be paused.
func (f *fleet) dispatch(t *rapid.T) {
	h, _ := f.pick(t)
	if h.dispatched {
		t.Skip("already dispatched")
	}
	h.dispatched = true
	o := f.oracle[h.key]
	if o.runs++; o.runs > 1 {
		t.Fatalf("key %q ran %d times", h.key, o.runs)
	}
}

func (f *fleet) end(t *rapid.T) {
	h, i := f.pick(t)
	f.held = append(f.held[:i:i], f.held[i+1:]...)
	rec := Record{Outcome: fault.OutcomeNotRun}
	o := f.oracle[h.key]
	if h.dispatched {
		size := rapid.SampledFrom([]int{3, MaxInlineBytes + 1}).Draw(t, "size")
		rec = Record{Outcome: fault.OutcomeComplete, Status: 200, Body: fmt.Appendf(make([]byte, size), "%s-%d", h.key, o.runs)}
		o.rec = &rec
	} else {
		o.claimed, f.claimUncertain = false, true
	}
	f.settlements = append(f.settlements, f.managers[h.entry].Settle(h.handle, rec))
	synctest.Wait()
}

// kill replaces an entry; the claims that it had not settled are never settled.
func (f *fleet) kill(t *rapid.T) {
	f.heal(t)
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	keep := f.held[:0:0]
	for _, h := range f.held {
		if h.entry != i {
			keep = append(keep, h)
			continue
		}
		f.oracle[h.key].ownerDead = true
	}
	f.held = keep
	f.managers[i].stop()
	f.start(i)
}

// heal ends all faults and waits for the settlements; after it, no claim is uncertain.
func (f *fleet) heal(*rapid.T) {
	f.faults.SetUnavailable(false)
	f.faults.LoseReplies(0)
	f.table.delay(0)
	for _, c := range f.settlements {
		<-c
	}
	f.settlements = nil
	time.Sleep(lateWriteWindow + maxBackoff) // virtual
	f.claimUncertain = false
}

// TestAtMostOnce guards against a second run of a key, a wrong or lost recorded outcome,
// and a key that stays blocked, under lost and late replies, outages, pauses and deaths.
func TestAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(rt *rapid.T) {
			f := newFleet()
			defer func() {
				f.managers[0].stop()
				f.managers[1].stop()
				synctest.Wait()
			}()
			rt.Repeat(map[string]func(*rapid.T){
				"send": f.send, "resend": f.send, "dispatch": f.dispatch, "end": f.end, "kill": f.kill, "heal": f.heal,
				"lose":  func(t *rapid.T) { f.faults.LoseReplies(rapid.IntRange(1, 3).Draw(t, "n")) },
				"delay": func(t *rapid.T) { f.table.delay(rapid.IntRange(1, 2).Draw(t, "n")) },
				"away":  func(*rapid.T) { f.faults.SetUnavailable(true) },
				"back":  func(*rapid.T) { f.faults.SetUnavailable(false) },
			})
			f.heal(rt)
		})
	})
}

// TestSweep guards against claims that outlive their retention and against the deletion of younger ones.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		m := f.managers[0]
		take := func(key string) {
			if handle, _, err := m.Acquire(t.Context(), Request{Group: "g", Key: key, Fingerprint: "x"}); handle == nil {
				t.Fatalf("no claim of %q: %v", key, err)
			}
		}
		if err := m.Sweep(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		for i := range 300 {
			take(fmt.Sprint("old", i))
		}
		time.Sleep(12 * time.Hour)
		take("young")
		for range 12*360/maxSweepBuckets + 40 {
			if err := m.Sweep(t.Context(), time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		if snap, _ := f.table.Read(t.Context(), claimPrefix); len(snap.Rows) != 301 {
			t.Fatalf("%d claims within the retention, want 301", len(snap.Rows))
		}
		time.Sleep(12*time.Hour + time.Minute)
		for range 12*360/maxSweepBuckets + 40 {
			if err := m.Sweep(t.Context(), time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		claims, _ := f.table.Read(t.Context(), claimPrefix)
		ages, _ := f.table.Read(t.Context(), agePrefix)
		if len(claims.Rows) != 1 || len(ages.Rows) != 1 || claims.Rows[0].Key != rowKey("g", "young") {
			t.Fatalf("%d claims and %d age rows left, want the young one", len(claims.Rows), len(ages.Rows))
		}
	})
}
