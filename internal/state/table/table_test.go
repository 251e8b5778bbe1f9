package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/state/ident"
)

func sampleTable() Table {
	return New(7, []Group{{Name: "registry", Weight: 3, Revision: 1}, {Name: "recall", Weight: 1, Revision: 2}},
		[]Model{
			{Name: "corral", Groups: []string{"registry"}, Version: "v1", MemoryBytes: 1 << 30, LeastCopies: 2, Revision: 3},
			{Name: "corral-mn", Groups: []string{"registry"}, Base: "corral", Version: "v1", MemoryBytes: 1 << 20, Revision: 4},
		},
		[]Service{{Name: "confirm", Groups: []string{"recall"}, NonIdempotent: []Route{{"POST", "/run"}}, Revision: 5}},
		[]Key{{Name: "desk", Hash: ident.HashKey("desk"), Group: "registry", Revision: 6}})
}

// TestValidation guards against accepting invalid edits and against errors that do not
// name the row, column, value and remedy.
func TestValidation(t *testing.T) {
	datadriven.RunTest(t, "testdata/validation", func(t *testing.T, d *datadriven.TestData) string {
		next := sampleTable()
		for line := range strings.Lines(d.Input) {
			sheet, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, cells, _ := strings.Cut(rest, " ")
			if d.Cmd == "delete" {
				if err := CheckDelete(next, Sheet(sheet), name); err != nil {
					return err.Error() + "\n"
				}
				next = next.WithoutRow(Sheet(sheet), name)
				continue
			}
			row := map[string]string{"name": name}
			for _, c := range strings.Split(cells, ",") {
				col, value, _ := strings.Cut(c, "=")
				row[col] = value
			}
			base, _ := next.Row(Sheet(sheet), name)
			r, err := ParseCells(Sheet(sheet), row, base)
			if err != nil {
				return err.Error() + "\n"
			}
			next = next.WithRow(r)
		}
		if err := Check(next); err != nil {
			return err.Error() + "\n"
		}
		var out strings.Builder
		for _, c := range Diff(sampleTable(), next) {
			_, _ = fmt.Fprintf(&out, "%s/%s\n  before %s\n  after %s\n", c.Sheet, c.Name, noneIfEmpty(c.Before), noneIfEmpty(c.After))
		}
		return out.String()
	})
}

func noneIfEmpty(row []byte) string {
	if len(row) == 0 {
		return "none"
	}
	return string(row)
}

// FuzzDecode guards against a table document that crashes its reader or changes when it is
// decoded and encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(sampleTable()))
	f.Add([]byte(`{"revision":1,"groups":[{"weight":1e999}]}`))
	f.Add([]byte(`{"models":[null,{}],"keys":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Decode(data)
		if err != nil {
			return
		}
		_ = Check(first)
		second, err := Decode(Encode(first))
		if err != nil || !bytes.Equal(Encode(first), Encode(second)) {
			t.Fatalf("decode error %v; encoded again: got %s, want %s", err, Encode(second), Encode(first))
		}
	})
}

// FuzzDecodeCSV guards against a CSV file that crashes the decoder and against valid rows
// that change when they are exported and imported.
func FuzzDecodeCSV(f *testing.F) {
	for _, sheet := range Sheets {
		var b bytes.Buffer
		_ = EncodeCSV(&b, sheet, sampleTable().Rows(sheet))
		f.Add(string(sheet), b.Bytes())
	}
	f.Add("groups", []byte("\ufeffname,weight\na,1e3\n"))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		sheet := Sheet(name)
		rows, err := DecodeCSV(data, sheet)
		if err != nil {
			return
		}
		next := sampleTable()
		for _, r := range rows {
			next = next.WithRow(r)
		}
		if Check(next) != nil {
			return
		}
		var b bytes.Buffer
		if err := EncodeCSV(&b, sheet, rows); err != nil {
			t.Fatal(err)
		}
		again, err := DecodeCSV(b.Bytes(), sheet)
		if err != nil || len(again) != len(rows) {
			t.Fatalf("decoded %d of %d exported rows, error %v", len(again), len(rows), err)
		}
		for i := range rows {
			if !bytes.Equal(EncodeRow(rows[i]), EncodeRow(again[i])) {
				t.Fatalf("row %s became %s", EncodeRow(rows[i]), EncodeRow(again[i]))
			}
		}
	})
}
