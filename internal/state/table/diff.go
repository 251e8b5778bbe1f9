package table

import (
	"bytes"
	"encoding/json"
)

// Change is the difference of one row between two tables; Before or After is
// empty when the row is absent on that side.
type Change struct {
	Sheet  Sheet           `json:"sheet"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// EncodeRow returns the JSON form of a row, or nil for no row.
func EncodeRow(row Row) json.RawMessage {
	if row == nil {
		return nil
	}
	b, _ := json.Marshal(row) // table rows always encode
	return b
}

// Diff returns the rows that differ between two tables; row revisions are not compared.
func Diff(before, after Table) []Change {
	out := []Change{}
	for _, sheet := range Sheets {
		out = append(out, diffRows(sheet, before.Rows(sheet), after.Rows(sheet))...)
	}
	return out
}

// diffRows merges two lists that are sorted by name.
func diffRows(sheet Sheet, a, b []Row) []Change {
	var out []Change
	for len(a) > 0 || len(b) > 0 {
		var x, y Row
		if len(b) == 0 || len(a) > 0 && a[0].RowName() <= b[0].RowName() {
			x = a[0]
		}
		if len(a) == 0 || len(b) > 0 && b[0].RowName() <= a[0].RowName() {
			y = b[0]
		}
		c := Change{Sheet: sheet, Before: EncodeRow(x), After: EncodeRow(y)}
		if x != nil {
			c.Name, a = x.RowName(), a[1:]
		}
		if y != nil {
			c.Name, b = y.RowName(), b[1:]
		}
		if x == nil || y == nil || !bytes.Equal(EncodeRow(x.WithRevision(0)), EncodeRow(y.WithRevision(0))) {
			out = append(out, c)
		}
	}
	return out
}

// ColumnChange is the difference of one cell.
type ColumnChange struct {
	Column string
	Before string
	After  string
}

// ColumnChanges returns the cells that differ; cells of an absent row are empty.
func (c Change) ColumnChanges() ([]ColumnChange, error) {
	cells := func(data []byte) ([]string, error) {
		if len(data) == 0 {
			return make([]string, len(Columns(c.Sheet))), nil
		}
		row, err := DecodeRow(c.Sheet, data)
		if err != nil {
			return nil, err
		}
		return Cells(row), nil
	}
	before, err := cells(c.Before)
	if err != nil {
		return nil, err
	}
	after, err := cells(c.After)
	if err != nil {
		return nil, err
	}
	var out []ColumnChange
	for i, col := range Columns(c.Sheet) {
		if col != "revision" && before[i] != after[i] {
			out = append(out, ColumnChange{Column: col, Before: before[i], After: after[i]})
		}
	}
	return out, nil
}
