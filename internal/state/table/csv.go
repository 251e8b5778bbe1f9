package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"

	"chervilhead/internal/state/fault"
)

// EncodeCSV writes the rows of a sheet under a header line.
func EncodeCSV(w io.Writer, sheet Sheet, rows []Row) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(Columns(sheet)); err != nil {
		return err
	}
	for _, r := range rows {
		if err := cw.Write(Cells(r)); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}

// DecodeCSV reads rows of a sheet; the first line names the columns, in any order.
func DecodeCSV(data []byte, sheet Sheet) ([]Row, error) {
	if len(Columns(sheet)) == 0 {
		return nil, UnknownSheetError(string(sheet))
	}
	// Spreadsheets put a byte order mark before UTF-8 text.
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	records, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	if err != nil {
		return nil, fault.New(fault.Invalid, "malformed_csv", fmt.Sprintf("sheet %q: %v", sheet, err), "export the sheet again and edit its lines")
	}
	if len(records) == 0 {
		return nil, fault.New(fault.Invalid, "malformed_csv", fmt.Sprintf("sheet %q has no header line", sheet), "name the columns in the first line")
	}
	out := make([]Row, 0, len(records)-1)
	for _, record := range records[1:] {
		cells := make(map[string]string, len(record))
		for i, col := range records[0] {
			cells[col] = record[i]
		}
		row, err := ParseCells(sheet, cells, nil)
		if err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, nil
}
