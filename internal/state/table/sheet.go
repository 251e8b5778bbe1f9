package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"chervilhead/internal/state/fault"
)

// Sheet is the name of one sheet of the table.
type Sheet string

// The sheets of the table.
const (
	SheetGroups   Sheet = "groups"
	SheetModels   Sheet = "models"
	SheetServices Sheet = "services"
	SheetKeys     Sheet = "keys"
)

// Sheets lists all sheets; rows refer only to rows of earlier sheets and of their own.
var Sheets = []Sheet{SheetGroups, SheetModels, SheetServices, SheetKeys}

// Row is a row of any sheet: Group, Model, Service or Key.
type Row interface {
	// Sheet returns the sheet that the row belongs to.
	Sheet() Sheet
	// RowName returns the row's name, which is unique in its sheet.
	RowName() string
	// RowRevision returns the table revision that last changed the row.
	RowRevision() uint64
	// WithRevision returns the row with another revision.
	WithRevision(revision uint64) Row
}

// Sheet implements Row.
func (g Group) Sheet() Sheet { return SheetGroups }

// Sheet implements Row.
func (m Model) Sheet() Sheet { return SheetModels }

// Sheet implements Row.
func (s Service) Sheet() Sheet { return SheetServices }

// Sheet implements Row.
func (k Key) Sheet() Sheet { return SheetKeys }

// RowName implements Row.
func (g Group) RowName() string { return g.Name }

// RowName implements Row.
func (m Model) RowName() string { return m.Name }

// RowName implements Row.
func (s Service) RowName() string { return s.Name }

// RowName implements Row.
func (k Key) RowName() string { return k.Name }

// RowRevision implements Row.
func (g Group) RowRevision() uint64 { return g.Revision }

// RowRevision implements Row.
func (m Model) RowRevision() uint64 { return m.Revision }

// RowRevision implements Row.
func (s Service) RowRevision() uint64 { return s.Revision }

// RowRevision implements Row.
func (k Key) RowRevision() uint64 { return k.Revision }

// WithRevision implements Row.
func (g Group) WithRevision(rev uint64) Row { g.Revision = rev; return g }

// WithRevision implements Row.
func (m Model) WithRevision(rev uint64) Row { m.Revision = rev; return m }

// WithRevision implements Row.
func (s Service) WithRevision(rev uint64) Row { s.Revision = rev; return s }

// WithRevision implements Row.
func (k Key) WithRevision(rev uint64) Row { k.Revision = rev; return k }

// DecodeRow parses the JSON form of a row; an unknown column is an error.
func DecodeRow(sheet Sheet, data []byte) (Row, error) {
	switch sheet {
	case SheetGroups:
		return decodeRow[Group](sheet, data)
	case SheetModels:
		return decodeRow[Model](sheet, data)
	case SheetServices:
		return decodeRow[Service](sheet, data)
	case SheetKeys:
		return decodeRow[Key](sheet, data)
	}
	return nil, UnknownSheetError(string(sheet))
}

func decodeRow[T Row](sheet Sheet, data []byte) (Row, error) {
	var row T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(&row)
	if err == nil && dec.More() {
		err = fmt.Errorf("data follows the row")
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "malformed_row", fmt.Sprintf("the body is not a row of sheet %q: %v", sheet, err), "send the row's columns as JSON")
	}
	return row, nil
}

// UnknownSheetError returns the error for an unknown sheet.
func UnknownSheetError(name string) error {
	return fault.New(fault.NotFound, "unknown_sheet", fmt.Sprintf("sheet %q does not exist", name), "use groups, models, services or keys")
}

// Rows returns the rows of a sheet in ascending order of name.
func (t Table) Rows(sheet Sheet) []Row {
	switch sheet {
	case SheetGroups:
		return asRows(t.Groups)
	case SheetModels:
		return asRows(t.Models)
	case SheetServices:
		return asRows(t.Services)
	case SheetKeys:
		return asRows(t.Keys)
	}
	return nil
}

func asRows[T Row](rows []T) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = r
	}
	return out
}

// Row returns the row of a sheet with a name.
func (t Table) Row(sheet Sheet, name string) (Row, bool) {
	rows := t.Rows(sheet)
	i := slices.IndexFunc(rows, func(r Row) bool { return r.RowName() == name })
	if i < 0 {
		return nil, false
	}
	return rows[i], true
}

// WithRow returns the table with row in place of the row of its sheet and name, if any.
func (t Table) WithRow(row Row) Table {
	switch r := row.(type) {
	case Group:
		return t.WithGroup(r)
	case Model:
		return t.WithModel(r)
	case Service:
		return New(t.Revision, t.Groups, t.Models, replaceRow(t.Services, r, Service.RowName), t.Keys)
	case Key:
		return New(t.Revision, t.Groups, t.Models, t.Services, replaceRow(t.Keys, r, Key.RowName))
	}
	return t
}

// WithoutRow returns the table without a row.
func (t Table) WithoutRow(sheet Sheet, name string) Table {
	switch sheet {
	case SheetGroups:
		return t.WithoutGroup(name)
	case SheetModels:
		return t.WithoutModel(name)
	case SheetServices:
		rows := slices.DeleteFunc(slices.Clone(t.Services), func(s Service) bool { return s.Name == name })
		return New(t.Revision, t.Groups, t.Models, rows, t.Keys)
	case SheetKeys:
		rows := slices.DeleteFunc(slices.Clone(t.Keys), func(k Key) bool { return k.Name == name })
		return New(t.Revision, t.Groups, t.Models, t.Services, rows)
	}
	return t
}
