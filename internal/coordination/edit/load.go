package edit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

// Keys of the table service's rows. All rows of the operators' table share one prefix, so that one read sees one revision.
const (
	prefix  = "table/cur/"
	headKey = prefix + "head"
)

func rowKey(sheet table.Sheet, name string) string { return prefix + string(sheet) + "/" + name }

// Head is the row with the table's revision. Every edit writes it conditionally, which orders all edits.
type Head struct {
	Revision uint64 `json:"revision"`
}

// versionedTable is the whole table with the table service's version of each row, by key.
type versionedTable struct {
	table    table.Table
	versions map[string]uint64
}

// LoadTable reads the whole table at one revision; the revision is 0 if there is no table.
func LoadTable(ctx context.Context, st store.TableService) (table.Table, error) {
	l, err := loadVersioned(ctx, st)
	return l.table, err
}

func loadVersioned(ctx context.Context, st store.TableService) (versionedTable, error) {
	snap, err := st.Read(ctx, prefix)
	if err != nil {
		return versionedTable{}, err
	}
	var (
		head     Head
		groups   []table.Group
		models   []table.Model
		services []table.Service
		keys     []table.Key
	)
	versions := make(map[string]uint64, len(snap.Rows))
	for _, r := range snap.Rows {
		versions[r.Key] = r.Version
		sheet, _, _ := strings.Cut(strings.TrimPrefix(r.Key, prefix), "/")
		switch sheet {
		case "head":
			err = json.Unmarshal(r.Value, &head)
		case string(table.SheetGroups):
			groups, err = appendRow(groups, r.Value)
		case string(table.SheetModels):
			models, err = appendRow(models, r.Value)
		case string(table.SheetServices):
			services, err = appendRow(services, r.Value)
		case string(table.SheetKeys):
			keys, err = appendRow(keys, r.Value)
		}
		if err != nil {
			return versionedTable{}, fault.New(fault.Internal, "malformed_row", fmt.Sprintf("table row %q does not decode", r.Key), "restore it from the history").WithCause(err)
		}
	}
	return versionedTable{table: table.New(head.Revision, groups, models, services, keys), versions: versions}, nil
}

func appendRow[T any](rows []T, value []byte) ([]T, error) {
	var row T
	err := json.Unmarshal(value, &row)
	return append(rows, row), err
}

func readHead(ctx context.Context, st store.TableService) (Head, error) {
	var head Head
	row, err := st.Get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return head, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("decode table head: %w", err)
	}
	return head, nil
}

// TableDocument returns a table as a gossip document.
func TableDocument(t table.Table) gossip.Document {
	return gossip.Document{Kind: gossip.KindTable, Version: t.Revision, Data: table.Encode(t)}
}

// TableSource returns a gossip source that reads the newest table. While the node holds that
// table, it reads only the head row.
func TableSource(st store.TableService) gossip.Source {
	return func(ctx context.Context, have uint64) (gossip.Document, error) {
		head, err := readHead(ctx, st)
		if err != nil || head.Revision <= have {
			return gossip.Document{}, err
		}
		t, err := LoadTable(ctx, st)
		if err != nil {
			return gossip.Document{}, err
		}
		return TableDocument(t), nil
	}
}

// SeedTable writes a whole table as revision 1 if the table service has none, and reports whether it did.
func SeedTable(ctx context.Context, st store.TableService, t table.Table) (bool, error) {
	if err := table.Check(t); err != nil {
		return false, err
	}
	head, _ := json.Marshal(Head{Revision: 1}) // encoding a head cannot fail
	txn := store.Txn{Conds: []store.Cond{{Key: headKey}}, Writes: []store.Write{{Key: headKey, Value: head}}}
	for _, sheet := range table.Sheets {
		for _, row := range t.Rows(sheet) {
			txn.Writes = append(txn.Writes, store.Write{Key: rowKey(sheet, row.RowName()), Value: table.EncodeRow(row.WithRevision(1))})
		}
	}
	_, err := st.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
