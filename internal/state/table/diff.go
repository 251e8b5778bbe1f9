package table

import (
	"bytes"
	"encoding/json"
)

// Change is one row that differs between two tables; Before or After is empty when
// that table doesn't have the row.
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
	b, _ := json.Marshal(row) // fails only for an infinite or NaN limit
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

// diffRows compares two lists of rows that are sorted by name.
func diffRows(sheet Sheet, beforeRows, afterRows []Row) []Change {
	var out []Change
	for len(beforeRows) > 0 || len(afterRows) > 0 {
		var beforeRow, afterRow Row
		if len(afterRows) == 0 || len(beforeRows) > 0 && beforeRows[0].RowName() <= afterRows[0].RowName() {
			beforeRow = beforeRows[0]
		}
		if len(beforeRows) == 0 || len(afterRows) > 0 && afterRows[0].RowName() <= beforeRows[0].RowName() {
			afterRow = afterRows[0]
		}
		c := Change{Sheet: sheet, Before: EncodeRow(beforeRow), After: EncodeRow(afterRow)}
		if beforeRow != nil {
			c.Name, beforeRows = beforeRow.RowName(), beforeRows[1:]
		}
		if afterRow != nil {
			c.Name, afterRows = afterRow.RowName(), afterRows[1:]
		}
		if beforeRow == nil || afterRow == nil || !bytes.Equal(EncodeRow(beforeRow.WithRevision(0)), EncodeRow(afterRow.WithRevision(0))) {
			out = append(out, c)
		}
	}
	return out
}

// ColumnChange is one cell that differs, with its values as text.
type ColumnChange struct {
	Column string
	Before string
	After  string
}

// ColumnChanges returns the cells that differ, without the revision; cells of an absent row are empty.
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
