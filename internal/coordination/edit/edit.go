package edit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/table"
)

const (
	// maxTries bounds the tries of an edit whose transaction conflicts with a concurrent one.
	maxTries = 12
	// initialBackoff is the mean wait before the second try; it doubles up to maxBackoff.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxOps bounds one transaction; an import of the whole table at its target size fits.
	maxOps = 4000
)

// Op is the change of one row.
type Op struct {
	Sheet table.Sheet
	Name  string
	// Row is the new row; nil deletes the row.
	Row table.Row
	// Expect is the row's revision that the edit is based on; 0 means that the row must be absent.
	Expect uint64
}

// Request is one edit; its ops are applied atomically.
type Request struct {
	// ID identifies the edit; a repeated edit has the same id.
	ID   string
	Who  string
	Note string
	Ops  []Op
}

// HistoryEntry is the history's record of an accepted edit.
type HistoryEntry struct {
	Revision uint64         `json:"revision"`
	ID       string         `json:"id"`
	Who      string         `json:"who"`
	When     time.Time      `json:"when"`
	Note     string         `json:"note,omitempty"`
	Changes  []table.Change `json:"changes"`
	// Fingerprint identifies the content of the request and shows if an id is reused for another edit.
	Fingerprint string `json:"print"`
}

// Result is the result of an accepted edit.
type Result struct {
	Entry HistoryEntry
	// Table is the table after the edit; it is empty if Replayed is set.
	Table table.Table
	// Replayed means that an earlier request with the same id was accepted.
	Replayed bool
}

// Editor commits edits of the table.
type Editor struct {
	st     store.TableService
	now    func() time.Time
	random jitter.Random
}

// New returns an editor on the table service; now gives the times in the history.
func New(st store.TableService, now func() time.Time) *Editor { return &Editor{st: st, now: now} }

// WithRandom returns an editor with another random source for the waits between tries.
func (e *Editor) WithRandom(r jitter.Random) *Editor {
	return &Editor{st: e.st, now: e.now, random: r}
}

// Apply commits an edit. It returns a *StaleError if a row has changed since the edit's
// expected revision. After an error with code CodeUnsettled the edit may have taken effect;
// repeating it with the same id is safe and returns its result.
func (e *Editor) Apply(ctx context.Context, req Request) (Result, error) {
	if err := checkRequest(req); err != nil {
		return Result{}, err
	}
	backoff := initialBackoff
	for range maxTries {
		if res, ok, err := e.findByID(ctx, req); err != nil || ok {
			return res, err
		}
		res, err := e.tryCommit(ctx, req)
		if !errors.Is(err, store.ErrConflict) {
			return res, err
		}
		if err := sleep(ctx, e.random.Around(backoff)); err != nil {
			return Result{}, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return Result{}, fault.New(fault.Conflict, "busy_table", "concurrent edits of the table made every try of this one fail", "repeat the edit").WithOutcome(fault.OutcomeNotRun)
}

// DryRun validates an edit and returns the table before and after without committing.
func (e *Editor) DryRun(ctx context.Context, req Request) (before, after table.Table, err error) {
	if err := checkRequest(req); err != nil {
		return table.Table{}, table.Table{}, err
	}
	cur, err := loadVersioned(ctx, e.st)
	if err != nil {
		return table.Table{}, table.Table{}, err
	}
	after, err = applyOps(cur.table, req)
	return cur.table, after, err
}

func checkRequest(req Request) error {
	if len(req.Ops) == 0 || len(req.Ops) > maxOps {
		return fault.New(fault.Invalid, "invalid_edit", fmt.Sprintf("the edit changes %d rows", len(req.Ops)), fmt.Sprintf("change 1 to %d rows", maxOps))
	}
	if req.ID == "" || len(req.ID) > 128 || strings.ContainsAny(req.ID, "/ \n") {
		return fault.New(fault.Invalid, "invalid_edit_id", fmt.Sprintf("edit id %q is not allowed", req.ID), "use a random id of at most 128 characters without spaces or /")
	}
	seen := map[string]bool{}
	for _, op := range req.Ops {
		key := rowKey(op.Sheet, op.Name)
		if op.Row != nil && (op.Row.RowName() != op.Name || op.Row.Sheet() != op.Sheet) {
			return fault.New(fault.Invalid, "invalid_edit", fmt.Sprintf("the edit of %s row %q contains the row %q", op.Sheet, op.Name, op.Row.RowName()),
				"use the same name in both places; to rename a row, add the new one and delete the old one in one edit")
		}
		if seen[key] {
			return fault.New(fault.Invalid, "invalid_edit", fmt.Sprintf("the edit changes %s row %q twice", op.Sheet, op.Name), "change each row once")
		}
		seen[key] = true
	}
	return nil
}

// fingerprint identifies the content of a request. The expected revisions are left out, because
// a caller that repeats an edit may have read the rows again in between.
func fingerprint(req Request) string {
	h := sha256.New()
	for _, op := range req.Ops {
		row := op.Row
		if row != nil {
			row = row.WithRevision(0)
		}
		_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00", op.Sheet, op.Name, table.EncodeRow(row))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// findByID returns the result of an accepted edit with the request's id and reports whether
// there is one. It fails if the id belongs to an edit with other content.
func (e *Editor) findByID(ctx context.Context, req Request) (Result, bool, error) {
	row, err := e.st.Get(ctx, editPrefix+req.ID)
	if err != nil || row.Version == 0 {
		return Result{}, false, err
	}
	var rev uint64
	if err := json.Unmarshal(row.Value, &rev); err != nil {
		return Result{}, false, fmt.Errorf("decode edit id row: %w", err)
	}
	entry, err := FindRevision(ctx, e.st, rev)
	if err != nil {
		return Result{}, false, err
	}
	if entry.Fingerprint != fingerprint(req) {
		return Result{}, false, fault.New(fault.Conflict, "edit_id_used", fmt.Sprintf("edit id %q belongs to another edit, accepted as revision %d", req.ID, rev), "use a new edit id")
	}
	return Result{Entry: entry, Replayed: true}, true, nil
}

// applyOps returns a table with the ops of an edit applied and checked.
func applyOps(t table.Table, req Request) (table.Table, error) {
	var stale []StaleRow
	out := t.WithRevision(t.Revision + 1)
	for _, op := range req.Ops {
		cur, ok := t.Row(op.Sheet, op.Name)
		if ok != (op.Expect > 0) || ok && cur.RowRevision() != op.Expect || !ok && op.Row == nil {
			stale = append(stale, StaleRow{Sheet: op.Sheet, Name: op.Name, Expected: op.Expect, Current: cur, Proposed: op.Row})
			continue
		}
		if op.Row == nil {
			out = out.WithoutRow(op.Sheet, op.Name)
		} else {
			out = out.WithRow(op.Row.WithRevision(out.Revision))
		}
	}
	if len(stale) > 0 {
		return table.Table{}, &StaleError{Rows: stale}
	}
	for _, op := range req.Ops {
		if op.Row == nil {
			if err := table.CheckDelete(out, op.Sheet, op.Name); err != nil {
				return table.Table{}, err
			}
		}
	}
	return out, table.Check(out)
}

// tryCommit tries to commit an edit once; it returns store.ErrConflict if a concurrent edit came first.
func (e *Editor) tryCommit(ctx context.Context, req Request) (Result, error) {
	cur, err := loadVersioned(ctx, e.st)
	if err != nil {
		return Result{}, err
	}
	after, err := applyOps(cur.table, req)
	if err != nil {
		return Result{}, err
	}
	entry := HistoryEntry{
		Revision: after.Revision, ID: req.ID, Who: req.Who, When: e.now().UTC(), Note: req.Note,
		Changes: rowChanges(cur.table, after, req.Ops), Fingerprint: fingerprint(req),
	}
	_, err = e.st.Commit(ctx, transaction(cur, after, req, entry))
	if err == nil {
		return Result{Entry: entry, Table: after}, nil
	}
	if errors.Is(err, store.ErrConflict) {
		return Result{}, err
	}
	return e.resolveUnconfirmed(ctx, req, after, err)
}

// resolveUnconfirmed finds out whether a commit without a reply took effect.
func (e *Editor) resolveUnconfirmed(ctx context.Context, req Request, after table.Table, cause error) (Result, error) {
	if res, ok, err := e.findByID(ctx, req); err == nil && ok {
		res.Table = table.Table{}
		if res.Entry.Revision == after.Revision {
			res.Table, res.Replayed = after, false
		}
		return res, nil
	}
	return Result{}, fault.New(fault.Unavailable, CodeUnsettled, "the table service did not confirm the edit; it may have taken effect",
		"repeat the edit with the same edit id").WithCause(cause).WithRetryAfter(time.Second).WithOutcome(fault.OutcomeUnknown)
}

// rowChanges returns the changes that an edit's ops made between two tables.
func rowChanges(before, after table.Table, ops []Op) []table.Change {
	out := make([]table.Change, 0, len(ops))
	for _, op := range ops {
		rowBefore, _ := before.Row(op.Sheet, op.Name)
		rowAfter, _ := after.Row(op.Sheet, op.Name)
		out = append(out, table.Change{Sheet: op.Sheet, Name: op.Name, Before: table.EncodeRow(rowBefore), After: table.EncodeRow(rowAfter)})
	}
	return out
}

func transaction(cur versionedTable, after table.Table, req Request, entry HistoryEntry) store.Txn {
	encode := func(v any) []byte {
		b, _ := json.Marshal(v) // encoding a head, number or entry cannot fail
		return b
	}
	txn := store.Txn{
		Conds: []store.Cond{{Key: headKey, Version: cur.versions[headKey]}, {Key: editPrefix + req.ID}},
		Writes: []store.Write{
			{Key: headKey, Value: encode(Head{Revision: after.Revision})},
			{Key: editPrefix + req.ID, Value: encode(after.Revision)},
			{Key: historyKey(after.Revision), Value: encode(entry)},
		},
	}
	for _, op := range req.Ops {
		key := rowKey(op.Sheet, op.Name)
		txn.Conds = append(txn.Conds, store.Cond{Key: key, Version: cur.versions[key]})
		row, ok := after.Row(op.Sheet, op.Name)
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: table.EncodeRow(row), Delete: !ok})
	}
	return txn
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
