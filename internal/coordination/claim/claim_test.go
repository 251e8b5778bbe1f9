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

// lateTable makes the next commits take effect five seconds after their reply was lost.
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

// bubble hides the test's deadline, which must not be read inside a synctest bubble.
type bubble struct{ *testing.T }

// held is a claim whose request has not ended.
type held struct {
	entry      int
	key, body  string
	ticket     *Handle
	dispatched bool
}

// truth is the oracle's row for one key: what a single sequential server would know.
type truth struct {
	body    string
	claimed bool
	runs    int
	rec     *Record
	// dead is set when the holder died before it recorded an outcome.
	dead bool
}

// fleet runs two keepers over one table against the oracle.
type fleet struct {
	faults  *pltsim.Faults
	table   *lateTable
	objects *pltsim.Objects
	keepers [2]*Manager
	gen     [2]int
	held    []*held
	truth   map[string]*truth
	settles []<-chan struct{}
	// doubt is set while a failed claim may still hold a key.
	doubt bool
}

func newFleet() *fleet {
	f := &fleet{faults: &pltsim.Faults{}, truth: map[string]*truth{}}
	f.table, f.objects = &lateTable{Table: pltsim.NewTable(f.faults)}, pltsim.NewObjects(f.faults)
	for i := range f.keepers {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.gen[i]++
	f.keepers[i] = New(Settings{
		Owner: f.owner(i), Retention: 24 * time.Hour,
		OwnerAlive: func(_ context.Context, o Owner) bool { return o == f.owner(0) || o == f.owner(1) },
	}, f.table, f.objects, log.WithField("entry", i))
}

func (f *fleet) owner(i int) Owner {
	return Owner{Node: fmt.Sprint(i), Incarnation: fmt.Sprint(f.gen[i])}
}

func (f *fleet) send(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	key := rapid.SampledFrom([]string{"a", "b/c", "d"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body")
	o := f.truth[key]
	if o == nil {
		o = &truth{}
		f.truth[key] = o
	}
	ticket, rec, err := f.keepers[i].Acquire(t.Context(), Request{Group: "g", Key: key, Fingerprint: body})
	switch {
	case err != nil && err.Code == fault.CodeOutage:
		f.doubt = true
		if err.RetryAfter == 0 || (o.claimed && err.Outcome != fault.OutcomeUnknown && err.Outcome != fault.OutcomeNotRun) {
			t.Fatalf("outage told as %+v", err)
		}
	case err != nil && f.doubt && !o.claimed:
		// A failed claim may still hold the key.
	case !o.claimed:
		if ticket == nil {
			t.Fatalf("key %q is free, got record %v, error %v", key, rec != nil, err)
		}
		o.claimed, o.body, o.dead = true, body, false
		f.held = append(f.held, &held{entry: i, key: key, body: body, ticket: ticket})
	case ticket != nil:
		t.Fatalf("key %q is claimed, got a second claim", key)
	case body != o.body:
		if rec != nil || err.Code != fault.CodeKeyReused {
			t.Fatalf("other body under key %q: record %v, error %v", key, rec != nil, err)
		}
	case rec != nil:
		// A large answer may be dropped while the object store is away; its outcome may not.
		omitted := rec.BodyOmitted && o.rec != nil && len(o.rec.Body) > MaxInlineBytes
		if o.rec == nil || rec.Outcome != o.rec.Outcome || (!omitted && string(rec.Body) != string(o.rec.Body)) {
			t.Fatalf("key %q: record of %d bytes differs from the outcome", key, len(rec.Body))
		}
	case o.dead && err.Code != "claim_holder_gone", !o.dead && err.Code != "request_in_progress":
		t.Fatalf("key %q, dead %v: error %v", key, o.dead, err)
	}
}

func (f *fleet) pick(t *rapid.T) (*held, int) {
	if len(f.held) == 0 {
		t.Skip("nothing held")
	}
	i := rapid.IntRange(0, len(f.held)-1).Draw(t, "held")
	return f.held[i], i
}

// dispatch lets a held request run; until it is drawn, its entry counts as paused.
func (f *fleet) dispatch(t *rapid.T) {
	h, _ := f.pick(t)
	if h.dispatched {
		t.Skip("already dispatched")
	}
	h.dispatched = true
	o := f.truth[h.key]
	if o.runs++; o.runs > 1 {
		t.Fatalf("key %q ran %d times", h.key, o.runs)
	}
}

func (f *fleet) end(t *rapid.T) {
	h, i := f.pick(t)
	f.held = append(f.held[:i:i], f.held[i+1:]...)
	rec := Record{Outcome: fault.OutcomeNotRun}
	o := f.truth[h.key]
	if h.dispatched {
		size := rapid.SampledFrom([]int{3, MaxInlineBytes + 1}).Draw(t, "size")
		rec = Record{Outcome: fault.OutcomeComplete, Status: 200, Body: fmt.Appendf(make([]byte, size), "%s-%d", h.key, o.runs)}
		o.rec = &rec
	} else {
		o.claimed, f.doubt = false, true
	}
	f.settles = append(f.settles, f.keepers[h.entry].Settle(h.ticket, rec))
	synctest.Wait()
}

// kill replaces an entry; what it had not settled is never settled.
func (f *fleet) kill(t *rapid.T) {
	f.heal(t)
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	keep := f.held[:0:0]
	for _, h := range f.held {
		if h.entry != i {
			keep = append(keep, h)
			continue
		}
		f.truth[h.key].dead = true
	}
	f.held = keep
	f.keepers[i].stop()
	f.start(i)
}

// heal ends all faults and lets settlements finish; after it, no key may be in doubt.
func (f *fleet) heal(*rapid.T) {
	f.faults.SetAway(false)
	f.faults.LoseReplies(0)
	f.table.delay(0)
	for _, c := range f.settles {
		<-c
	}
	f.settles = nil
	time.Sleep(lateWrite + maxWait) // virtual
	f.doubt = false
}

// TestAtMostOnce guards against a second run of a key, a wrong or lost recorded outcome,
// and a key that stays blocked, under lost and late replies, outages, pauses and deaths.
func TestAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			f := newFleet()
			defer func() {
				f.keepers[0].stop()
				f.keepers[1].stop()
				synctest.Wait()
			}()
			rt.Repeat(map[string]func(*rapid.T){
				"send": f.send, "resend": f.send, "dispatch": f.dispatch, "end": f.end, "kill": f.kill, "heal": f.heal,
				"lose":  func(t *rapid.T) { f.faults.LoseReplies(rapid.IntRange(1, 3).Draw(t, "n")) },
				"delay": func(t *rapid.T) { f.table.delay(rapid.IntRange(1, 2).Draw(t, "n")) },
				"away":  func(*rapid.T) { f.faults.SetAway(true) },
				"back":  func(*rapid.T) { f.faults.SetAway(false) },
			})
			f.heal(rt)
		})
	})
}

// TestSweep guards against claims that outlive their retention and against the loss of younger ones.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		k := f.keepers[0]
		take := func(key string) {
			if ticket, _, err := k.Acquire(t.Context(), Request{Group: "g", Key: key, Fingerprint: "x"}); ticket == nil {
				t.Fatalf("no claim of %q: %v", key, err)
			}
		}
		if err := k.Sweep(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		for i := range 300 {
			take(fmt.Sprint("old", i))
		}
		time.Sleep(12 * time.Hour)
		take("young")
		for range 12*360/sweepSteps + 40 {
			if err := k.Sweep(t.Context(), time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		if snap, _ := f.table.Read(t.Context(), claimPrefix); len(snap.Rows) != 301 {
			t.Fatalf("%d claims within the retention, want 301", len(snap.Rows))
		}
		time.Sleep(12*time.Hour + time.Minute)
		for range 12*360/sweepSteps + 40 {
			if err := k.Sweep(t.Context(), time.Now()); err != nil {
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
