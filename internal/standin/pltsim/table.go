package pltsim

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilhead/internal/coordination/store"
)

// Table is an in-memory transactional table; it implements store.Table.
type Table struct {
	faults *Faults

	mu      sync.Mutex
	version uint64
	rows    map[string]store.Row
	reads   int64
	writes  int64
	// deletions are the latest deletions, oldest first; older ones, up to version oldestKnown,
	// are no longer known.
	deletions   []deletion
	oldestKnown uint64
	// undo holds what the latest commits replaced, oldest first, for lagging reads.
	undo []undoEntry
}

// undoEntry holds the rows that a commit replaced.
type undoEntry struct {
	at      time.Time
	version uint64 // the table's version before the commit
	rows    []store.Row
}

// maxUndo bounds the commits that a lagging read can go back; a read that lags
// further returns the oldest known state.
const maxUndo = 1024

// maxDeletions bounds the deletions kept for ReadSince.
const maxDeletions = 1024

type deletion struct {
	key     string
	version uint64
}

// NewTable returns an empty table with the faults of ServiceTable.
func NewTable(faults *Faults) *Table {
	return &Table{faults: faults.ForService(ServiceTable), rows: map[string]store.Row{}}
}

// Read implements store.Table.
func (t *Table) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	c, err := t.ReadSince(ctx, prefix, 0)
	return c.Snapshot, err
}

// ReadSince implements store.TableFeed.
func (t *Table) ReadSince(ctx context.Context, prefix string, version uint64) (store.TableChanges, error) {
	if err := t.faults.beforeCall(ctx, "table"); err != nil {
		return store.TableChanges{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows, newest := t.stateAt(t.faults.readTime())
	out := store.TableChanges{Snapshot: store.Snapshot{Version: newest}}
	if version > 0 && version >= t.oldestKnown && version <= newest {
		out.Partial = true
	}
	for k, r := range rows {
		if strings.HasPrefix(k, prefix) && (!out.Partial || r.Version > version) {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	for _, d := range t.deletions {
		_, recreated := rows[d.key]
		if out.Partial && d.version > version && d.version <= newest && strings.HasPrefix(d.key, prefix) && !recreated {
			out.Gone = append(out.Gone, d.key)
		}
	}
	return out, nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.faults.beforeCall(ctx, "table"); err != nil {
		return store.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows, _ := t.stateAt(t.faults.readTime())
	r, ok := rows[key]
	if !ok {
		return store.Row{Key: key}, nil
	}
	return r, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := t.faults.beforeCall(ctx, "table"); err != nil {
		return 0, err
	}
	v, err := t.commit(txn)
	if err != nil {
		return 0, err
	}
	return v, t.faults.afterWrite("table")
}

func (t *Table) commit(txn store.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range txn.Conds {
		if t.rows[c.Key].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	old := undoEntry{at: time.Now(), version: t.version}
	t.version++
	for _, w := range txn.Writes {
		row := t.rows[w.Key]
		row.Key = w.Key
		old.rows = append(old.rows, row)
		if w.Delete {
			delete(t.rows, w.Key)
			t.recordDeletion(w.Key)
			continue
		}
		t.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
	}
	if t.faults.historyNeeded() {
		t.undo = append(t.undo, old)
		t.undo = t.undo[max(len(t.undo)-maxUndo, 0):]
	}
	return t.version, nil
}

// stateAt returns the rows and the version as of a time; mu is held.
func (t *Table) stateAt(then time.Time) (map[string]store.Row, uint64) {
	if n := len(t.undo); n == 0 || !t.undo[n-1].at.After(then) {
		return t.rows, t.version
	}
	rows, version := maps.Clone(t.rows), t.version
	for _, u := range slices.Backward(t.undo) {
		if !u.at.After(then) {
			break
		}
		version = u.version
		for _, r := range slices.Backward(u.rows) {
			if r.Version == 0 {
				delete(rows, r.Key)
				continue
			}
			rows[r.Key] = r
		}
	}
	return rows, version
}

// recordDeletion keeps a deletion and drops the oldest one beyond maxDeletions; mu is held.
func (t *Table) recordDeletion(key string) {
	t.deletions = append(t.deletions, deletion{key, t.version})
	if len(t.deletions) > maxDeletions {
		t.oldestKnown, t.deletions = t.deletions[0].version, t.deletions[1:]
	}
}

// CallCounts returns the numbers of reads and commits served so far, failed conditions included.
func (t *Table) CallCounts() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
