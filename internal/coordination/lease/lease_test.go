package lease

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/coordination/store"
)

// table is a fake table service. It holds one row and can lose replies or delay commits.
type table struct {
	row store.Row
	// loseReply applies the next commit and fails its call. delayCommit fails the next commit and
	// adds it to delayed, so that a test can apply it later.
	loseReply, delayCommit bool
	delayed                []store.Txn
	reads, commits         int
}

var errNoReply = errors.New("no reply")

func (t *table) Read(context.Context, string) (store.Snapshot, error) { return store.Snapshot{}, nil }

func (t *table) Get(context.Context, string) (store.Row, error) {
	t.reads++
	return t.row, nil
}

func (t *table) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	t.commits++
	if t.delayCommit {
		t.delayCommit, t.delayed = false, append(t.delayed, txn)
		return 0, errNoReply
	}
	v, err := t.apply(txn)
	if t.loseReply && err == nil {
		t.loseReply = false
		return 0, errNoReply
	}
	return v, err
}

func (t *table) apply(txn store.Txn) (uint64, error) {
	if slices.ContainsFunc(txn.Conds, func(c store.Cond) bool { return c.Version != t.row.Version }) {
		return 0, store.ErrConflict
	}
	t.row = store.Row{Key: t.row.Key, Value: txn.Writes[0].Value, Version: t.row.Version + 1}
	return t.row.Version, nil
}

const (
	term   = 4 * time.Second
	margin = 500 * time.Millisecond
)

func newManagers(t *table) (a, b *Manager) {
	return New(t, Settings{Key: "k", Holder: "a", Term: term, Margin: margin}), New(t, Settings{Key: "k", Holder: "b", Term: term, Margin: margin})
}

// checkExclusive fails the test if the lease is in force for both holders.
func checkExclusive(t *testing.T, a, b *Manager) {
	t.Helper()
	_, x := a.Valid(time.Now())
	_, y := b.Valid(time.Now())
	if x && y {
		t.Fatal("the lease is in force for two holders")
	}
}

func TestRenewWithoutReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		a, b := newManagers(tab)
		for i := range 10 {
			if err := a.Refresh(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			if err := b.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Fatalf("round %d: the second holder got %v", i, err)
			}
			checkExclusive(t, a, b)
			time.Sleep(1600 * time.Millisecond)
		}
		if token, _ := a.Valid(time.Now()); token != 1 {
			t.Errorf("fencing token %d after renewals only, want 1", token)
		}
		// The first holder reads the row once, the second one ten times.
		if tab.reads != 11 || tab.commits != 10 {
			t.Errorf("%d reads and %d writes, want 11 and 10", tab.reads, tab.commits)
		}
	})
}

func TestLostAndLateRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		a, b := newManagers(tab)
		if err := a.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		tab.loseReply = true
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, errNoReply) {
			t.Fatalf("got %v for a lost reply", err)
		}
		// The condition fails, the row is read and the holder keeps its token.
		if err := a.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if token, ok := a.Valid(time.Now()); !ok || token != 1 {
			t.Errorf("token %d, in force %v, after a lost reply", token, ok)
		}
		// The last renewal takes effect late, after another holder took over.
		tab.delayCommit = true
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, errNoReply) {
			t.Fatalf("got %v for a call without an answer", err)
		}
		for range 12 {
			_ = b.Refresh(t.Context(), nil)
			checkExclusive(t, a, b)
			time.Sleep(400 * time.Millisecond)
		}
		if token, ok := b.Valid(time.Now()); !ok || token != 2 {
			t.Fatalf("the second holder has token %d, in force %v", token, ok)
		}
		if _, err := tab.apply(tab.delayed[0]); !errors.Is(err, store.ErrConflict) {
			t.Errorf("the late renewal got %v, want a conflict", err)
		}
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
			t.Errorf("the first holder got %v", err)
		}
		checkExclusive(t, a, b)
	})
}

// TestYield guards against two holders after a yield: a holder that can't reach the table
// service yields, and the other one takes the lease after the margin instead of the term. The
// first one's last renewal takes effect late, before or after the takeover.
func TestYield(t *testing.T) {
	for _, lateBefore := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tab := &table{}
			a, b := newManagers(tab)
			if err := a.Refresh(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			tab.delayCommit = true
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, errNoReply) {
				t.Fatalf("got %v for a call without an answer", err)
			}
			token, held := a.Yield()
			if _, ok := a.Valid(time.Now()); !held || ok {
				t.Fatalf("held %v before the yield, in force %v after it", held, ok)
			}
			b.ObserveYield(token, time.Now())
			if lateBefore {
				if _, err := tab.apply(tab.delayed[0]); err != nil {
					t.Fatal(err)
				}
			}
			if err := b.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Errorf("got %v within the margin", err)
			}
			time.Sleep(margin)
			if err := b.Refresh(t.Context(), nil); err != nil {
				t.Errorf("got %v after the margin", err)
			}
			if !lateBefore {
				if _, err := tab.apply(tab.delayed[0]); !errors.Is(err, store.ErrConflict) {
					t.Errorf("the late renewal got %v, want a conflict", err)
				}
			}
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Errorf("the first holder got %v", err)
			}
			checkExclusive(t, a, b)
			if next, _ := b.Valid(time.Now()); next <= token {
				t.Errorf("fencing token %d after %d", next, token)
			}
			// A yield of an earlier lease does not allow a takeover of the next one.
			a.ObserveYield(token, time.Now())
			time.Sleep(margin)
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Errorf("the first holder got %v for a lease that wasn't yielded", err)
			}
		})
	}
}

// TestTokenAfterRestore guards against a fencing token that is given out again after the table service was restored from a copy.
func TestTokenAfterRestore(t *testing.T) {
	for _, holderOfCopy := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			tab := &table{}
			a, b := newManagers(tab)
			holders := map[string]*Manager{"a": a, "b": b}
			acquire := func(m *Manager) uint64 {
				t.Helper()
				for range 20 {
					if m.Refresh(t.Context(), nil) == nil {
						break
					}
					time.Sleep(400 * time.Millisecond)
				}
				token, ok := m.Valid(time.Now())
				if !ok {
					t.Fatal("the lease was not acquired")
				}
				return token
			}
			acquire(holders[holderOfCopy])
			saved := tab.row
			if err := holders[holderOfCopy].Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			lost := acquire(b)
			if err := b.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			lost = max(lost, acquire(a))
			tab.row = saved
			tab.row.Version = uint64(store.NewVersion(1, saved.Version))
			// Whoever holds the lease next has a token that no other grant had.
			for _, name := range []string{"a", "b"} {
				m := holders[name]
				if err := m.Refresh(t.Context(), nil); err == nil {
					if token, _ := m.Valid(time.Now()); token <= lost {
						t.Errorf("%s has token %d after the restore, %d was given out before it", name, token, lost)
					}
				}
				checkExclusive(t, a, b)
			}
			if token := acquire(holders[holderOfCopy]); token <= lost {
				t.Errorf("%s has token %d after the restore, %d was given out before it", holderOfCopy, token, lost)
			}
		})
	}
}

// TestSuspendedHolder guards against a holder that still counts on its lease after its machine
// was suspended: the monotonic clock stood still while the lease ran out.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		m := New(&table{}, Settings{Key: "l", Holder: "a", Term: term, Margin: margin, Suspended: func() time.Duration { return suspended }})
		if err := m.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		for _, tc := range []struct {
			suspended time.Duration
			valid     bool
		}{{0, true}, {time.Second, true}, {term, false}} {
			suspended = tc.suspended
			if _, ok := m.Valid(time.Now()); ok != tc.valid {
				t.Errorf("after a suspension of %v: in force %v", tc.suspended, ok)
			}
			if in := m.Until().After(time.Now()); in != tc.valid {
				t.Errorf("after a suspension of %v: until %v", tc.suspended, m.Until())
			}
		}
		if err := m.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if _, ok := m.Valid(time.Now()); !ok {
			t.Error("the lease that was refreshed after the suspension is not in force")
		}
	})
}
