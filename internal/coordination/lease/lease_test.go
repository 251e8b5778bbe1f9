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

// table holds one row and fails as it is told.
type table struct {
	row store.Row
	// lose applies the next commit and loses its reply; hold keeps it to be done late.
	lose, hold bool
	late       []store.Txn
	gets, puts int
}

var errLost = errors.New("no reply")

func (t *table) Read(context.Context, string) (store.Snapshot, error) { return store.Snapshot{}, nil }

func (t *table) Get(context.Context, string) (store.Row, error) {
	t.gets++
	return t.row, nil
}

func (t *table) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	t.puts++
	if t.hold {
		t.hold, t.late = false, append(t.late, txn)
		return 0, errLost
	}
	v, err := t.apply(txn)
	if t.lose && err == nil {
		t.lose = false
		return 0, errLost
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

func newPair(t *table) (a, b *Manager) {
	return New(t, Settings{Key: "k", Holder: "a", Term: term, Margin: margin}), New(t, Settings{Key: "k", Holder: "b", Term: term, Margin: margin})
}

// both fails the test if two holders think that the lease is in force.
func both(t *testing.T, a, b *Manager) {
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
		a, b := newPair(tab)
		for i := range 10 {
			if err := a.Refresh(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			if err := b.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Fatalf("round %d: the second holder got %v", i, err)
			}
			both(t, a, b)
			time.Sleep(1600 * time.Millisecond)
		}
		if fence, _ := a.Valid(time.Now()); fence != 1 {
			t.Errorf("fencing token %d after renewals only, want 1", fence)
		}
		// The first holder read the row once, the second one ten times.
		if tab.gets != 11 || tab.puts != 10 {
			t.Errorf("%d reads and %d writes, want 11 and 10", tab.gets, tab.puts)
		}
	})
}

func TestLostAndLateRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		a, b := newPair(tab)
		if err := a.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		tab.lose = true
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, errLost) {
			t.Fatalf("got %v for a lost reply", err)
		}
		// The condition fails, the row is read and the holder goes on with its token.
		if err := a.Refresh(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if fence, ok := a.Valid(time.Now()); !ok || fence != 1 {
			t.Errorf("token %d, in force %v, after a lost reply", fence, ok)
		}
		// The last renewal is done late, after another holder took over.
		tab.hold = true
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, errLost) {
			t.Fatalf("got %v for a call without an answer", err)
		}
		for range 12 {
			_ = b.Refresh(t.Context(), nil)
			both(t, a, b)
			time.Sleep(400 * time.Millisecond)
		}
		if fence, ok := b.Valid(time.Now()); !ok || fence != 2 {
			t.Fatalf("the second holder has token %d, in force %v", fence, ok)
		}
		if _, err := tab.apply(tab.late[0]); !errors.Is(err, store.ErrConflict) {
			t.Errorf("the late renewal got %v, want a conflict", err)
		}
		if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
			t.Errorf("the first holder got %v", err)
		}
		both(t, a, b)
	})
}

// TestYield plays a holder that can't reach the table service and says so to the other
// one, which takes the lease after the margin rather than after the term. The last renewal
// of the first is done late, before or after that.
func TestYield(t *testing.T) {
	for _, lateBefore := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tab := &table{}
			a, b := newPair(tab)
			if err := a.Refresh(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			tab.hold = true
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, errLost) {
				t.Fatalf("got %v for a call without an answer", err)
			}
			fence, held := a.Yield()
			if _, ok := a.Valid(time.Now()); !held || ok {
				t.Fatalf("held %v before, in force %v after it was yielded", held, ok)
			}
			b.ObserveYield(fence, time.Now())
			if lateBefore {
				if _, err := tab.apply(tab.late[0]); err != nil {
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
				if _, err := tab.apply(tab.late[0]); !errors.Is(err, store.ErrConflict) {
					t.Errorf("the late renewal got %v, want a conflict", err)
				}
			}
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Errorf("the first holder got %v", err)
			}
			both(t, a, b)
			if next, _ := b.Valid(time.Now()); next <= fence {
				t.Errorf("fencing token %d after %d", next, fence)
			}
			// What was yielded says nothing of the lease that followed.
			a.ObserveYield(fence, time.Now())
			time.Sleep(margin)
			if err := a.Refresh(t.Context(), nil); !errors.Is(err, ErrHeld) {
				t.Errorf("the first holder got %v for a lease that wasn't yielded", err)
			}
		})
	}
}
