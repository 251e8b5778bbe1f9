package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/state/ident"
)

func sample() Table {
	return New(7, []Group{{Name: "registry", Weight: 3, Revision: 1}, {Name: "recall", Weight: 1, Revision: 2}},
		[]Model{
			{Name: "corral", Groups: []string{"registry"}, Version: "v1", MemoryBytes: 1 << 30, LeastCopies: 2, Revision: 3},
			{Name: "corral-mn", Groups: []string{"registry"}, Base: "corral", Version: "v1", MemoryBytes: 1 << 20, Revision: 4},
		},
		[]Service{{Name: "confirm", Groups: []string{"recall"}, NonIdempotent: []Route{{"POST", "/run"}}, Revision: 5}},
		[]Key{{Name: "desk", Hash: ident.HashKey("desk"), Group: "registry", Revision: 6}})
}

// TestValidation guards against an edit that is accepted although it is not valid
// and against errors that do not name row, column, value and remedy.
func TestValidation(t *testing.T) {
	datadriven.RunTest(t, "testdata/validation", func(t *testing.T, d *datadriven.TestData) string {
		next := sample()
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
		for _, c := range Diff(sample(), next) {
			_, _ = fmt.Fprintf(&out, "%s/%s\n  before %s\n  after %s\n", c.Sheet, c.Name, orNone(c.Before), orNone(c.After))
		}
		return out.String()
	})
}

func orNone(row []byte) string {
	if len(row) == 0 {
		return "none"
	}
	return string(row)
}

// FuzzDecode guards against a table document that crashes a node or changes when it is passed on.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample()))
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
			t.Fatalf("error %v, got %s, want %s", err, Encode(second), Encode(first))
		}
	})
}

// FuzzDecodeCSV guards against a spreadsheet that crashes the decoder or whose valid rows change in an export and import.
func FuzzDecodeCSV(f *testing.F) {
	for _, sheet := range Sheets {
		var b bytes.Buffer
		_ = EncodeCSV(&b, sheet, sample().Rows(sheet))
		f.Add(string(sheet), b.Bytes())
	}
	f.Add("groups", []byte("\ufeffname,weight\na,1e3\n"))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		sheet := Sheet(name)
		rows, err := DecodeCSV(data, sheet)
		if err != nil {
			return
		}
		next := sample()
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
			t.Fatalf("%d of %d rows, error %v", len(again), len(rows), err)
		}
		for i := range rows {
			if !bytes.Equal(EncodeRow(rows[i]), EncodeRow(again[i])) {
				t.Fatalf("row %s became %s", EncodeRow(rows[i]), EncodeRow(again[i]))
			}
		}
	})
}
