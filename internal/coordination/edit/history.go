package edit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

const (
	historyPrefix = "table/history/"
	editPrefix    = "table/edits/"
	// historyPage is the number of entries under one key prefix; it bounds the size of a read.
	historyPage = 50
	// maxHistory bounds the entries that History returns.
	maxHistory = 1000
)

func historyKey(rev uint64) string {
	return fmt.Sprintf("%s%012d/%012d", historyPrefix, rev/historyPage, rev)
}

// FindRevision returns the accepted edit that created a revision.
func FindRevision(ctx context.Context, st store.TableService, rev uint64) (HistoryEntry, error) {
	row, err := st.Get(ctx, historyKey(rev))
	if err != nil {
		return HistoryEntry{}, err
	}
	if row.Version == 0 {
		return HistoryEntry{}, fault.New(fault.NotFound, "unknown_revision", fmt.Sprintf("no edit made revision %d", rev), "list the history for the revisions that exist")
	}
	return decodeEntry(row)
}

func decodeEntry(row store.Row) (HistoryEntry, error) {
	var entry HistoryEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return HistoryEntry{}, fmt.Errorf("decode history row %q: %w", row.Key, err)
	}
	return entry, nil
}

// History returns at most limit accepted edits with revisions below before, newest first;
// before = 0 starts at the newest revision.
func History(ctx context.Context, st store.TableService, before uint64, limit int) ([]HistoryEntry, error) {
	head, err := readHead(ctx, st)
	if err != nil {
		return nil, err
	}
	if before == 0 || before > head.Revision {
		before = head.Revision + 1
	}
	limit = min(limit, maxHistory)
	out := []HistoryEntry{}
	for page := int64(before-1) / historyPage; page >= 0 && len(out) < limit; page-- {
		snap, err := st.Read(ctx, fmt.Sprintf("%s%012d/", historyPrefix, page))
		if err != nil {
			return nil, err
		}
		for _, row := range slices.Backward(snap.Rows) {
			entry, err := decodeEntry(row)
			if err != nil {
				return nil, err
			}
			if entry.Revision < before && len(out) < limit {
				out = append(out, entry)
			}
		}
	}
	return out, nil
}

// UndoRequest returns an edit that restores the rows of an accepted edit to their state before
// it. Applying it fails as stale if a row has changed since.
func UndoRequest(ctx context.Context, st store.TableService, rev uint64, id, who string) (Request, error) {
	entry, err := FindRevision(ctx, st, rev)
	if err != nil {
		return Request{}, err
	}
	req := Request{ID: id, Who: who, Note: fmt.Sprintf("undo of revision %d", rev)}
	for _, c := range entry.Changes {
		op := Op{Sheet: c.Sheet, Name: c.Name}
		if len(c.After) > 0 {
			op.Expect = rev
		}
		if len(c.Before) > 0 {
			if op.Row, err = table.DecodeRow(c.Sheet, c.Before); err != nil {
				return Request{}, err
			}
		}
		req.Ops = append(req.Ops, op)
	}
	return req, nil
}

// NetChanges returns the combined changes of the accepted edits after revision from; entries
// are newest first. Rows that end as they began are left out.
func NetChanges(entries []HistoryEntry, from uint64) []table.Change {
	type key struct {
		sheet table.Sheet
		name  string
	}
	at := map[key]int{}
	var all []table.Change
	for _, e := range slices.Backward(entries) {
		if e.Revision <= from {
			continue
		}
		for _, c := range e.Changes {
			k := key{c.Sheet, c.Name}
			if i, ok := at[k]; ok {
				all[i].After = c.After
				continue
			}
			at[k] = len(all)
			all = append(all, c)
		}
	}
	out := []table.Change{}
	for _, c := range all {
		cols, err := c.ColumnChanges()
		if err != nil || len(cols) > 0 || (len(c.Before) == 0) != (len(c.After) == 0) {
			out = append(out, c)
		}
	}
	return out
}
