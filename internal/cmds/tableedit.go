package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
	"chervilhead/pkg/admin"
)

func (f *tableFlags) setRow() *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use: "set SHEET NAME COLUMN=VALUE...", Short: "Add a row or change some of its columns",
		Long: "Add a row or change some of its columns. Lists are written as a;b. The column\n" +
			"\"key\" of sheet keys takes a bearer key and stores its hash.",
		Args: cobra.MinimumNArgs(2),
	}
	cmd.Flags().Int64Var(&revision, "revision", -1, "row revision that the edit is based on: -1 for the newest, 0 for a new row")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		cells := map[string]string{"name": args[1]}
		for _, arg := range args[2:] {
			col, value, ok := strings.Cut(arg, "=")
			if !ok {
				return invalidError("%q is not an assignment; write COLUMN=VALUE", arg)
			}
			if col == "key" && args[0] == string(table.SheetKeys) {
				col, value = "hash", ident.HashKey(value)
			}
			cells[col] = value
		}
		op, err := f.rowOp(ctx, admin.Sheet(args[0]), args[1], revision, cells)
		if err != nil {
			return err
		}
		return f.apply(ctx, out, []admin.Op{op})
	})
	return f.addEditFlags(cmd)
}

// rowOp returns the edit of one row from the cells that change; nil cells delete the row.
func (f *tableFlags) rowOp(ctx context.Context, sheet admin.Sheet, name string, revision int64, cells map[string]string) (admin.Op, error) {
	t, err := f.client().Table(ctx)
	if err != nil {
		return admin.Op{}, err
	}
	op := admin.Op{Sheet: sheet, Name: name}
	base, ok := t.Row(sheet, name)
	if ok {
		op.Expect = base.RowRevision()
	}
	if revision >= 0 {
		op.Expect = uint64(revision)
	}
	if cells == nil {
		return op, nil
	}
	op.Row, err = table.ParseCells(sheet, cells, base)
	if err != nil {
		return op, invalidError("%w", err)
	}
	return op, nil
}

func (f *tableFlags) deleteRow() *cobra.Command {
	var revision int64
	cmd := &cobra.Command{Use: "delete SHEET NAME", Short: "Delete a row", Args: cobra.ExactArgs(2)}
	cmd.Flags().Int64Var(&revision, "revision", -1, "row revision that the edit is based on: -1 for the newest")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		op, err := f.rowOp(ctx, admin.Sheet(args[0]), args[1], revision, nil)
		if err != nil {
			return err
		}
		return f.apply(ctx, out, []admin.Op{op})
	})
	return f.addEditFlags(cmd)
}

// apply sends an edit and prints what it changes.
func (f *tableFlags) apply(ctx context.Context, out io.Writer, ops []admin.Op) error {
	res, err := f.client().Apply(ctx, admin.Edit{ID: f.editID, Note: f.note, Ops: ops, DryRun: f.dryRun})
	if err != nil {
		return err
	}
	return f.printResult(out, res)
}

func (f *tableFlags) printResult(out io.Writer, res admin.Edited) error {
	if f.output != "text" {
		return f.printChanges(out, res, res.Changes)
	}
	if err := f.printChanges(out, res, res.Changes); err != nil {
		return err
	}
	switch {
	case res.DryRun:
		_, _ = fmt.Fprintf(out, "dry run: nothing was written\n")
	case res.Replayed:
		_, _ = fmt.Fprintf(out, "already committed as revision %d\n", res.Revision)
	default:
		_, _ = fmt.Fprintf(out, "committed as revision %d\n", res.Revision)
	}
	return nil
}

func (f *tableFlags) undo() *cobra.Command {
	cmd := &cobra.Command{Use: "undo REVISION", Short: "Restore the rows that an accepted edit changed, in a new edit", Args: cobra.ExactArgs(1)}
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		rev, err := parseRevision(args[0])
		if err != nil {
			return err
		}
		res, err := f.client().Undo(ctx, rev, f.editID, f.dryRun)
		if err != nil {
			return err
		}
		return f.printResult(out, res)
	})
	return f.addEditFlags(cmd)
}

func (f *tableFlags) importRows() *cobra.Command {
	var sheet string
	var prune bool
	cmd := &cobra.Command{
		Use: "import FILE", Short: "Apply the rows of a CSV or JSON file in one edit",
		Long: "Apply the rows of a CSV file of one sheet, or of a JSON file of the whole table, in\n" +
			"one edit. Each row is based on the revision in its column, so that an edit of a row that has\n" +
			"changed since the export is rejected; revision 0 adds a row.",
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&sheet, "sheet", "", "sheet of a CSV file; the file name without its extension by default")
	cmd.Flags().BoolVar(&prune, "prune", false, "delete rows that the file does not list")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		rows, sheets, err := readRows(args[0], sheet)
		if err != nil {
			return invalidError("%w", err)
		}
		t, err := f.client().Table(ctx)
		if err != nil {
			return err
		}
		ops := importOps(t, rows, sheets, prune)
		if len(ops) == 0 {
			_, _ = fmt.Fprintln(out, "no row differs")
			return nil
		}
		return f.apply(ctx, out, ops)
	})
	return f.addEditFlags(cmd)
}

// readRows returns the rows of a file and the sheets that it covers.
func readRows(file, sheet string) ([]admin.Row, []admin.Sheet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read rows: %w", err)
	}
	if strings.HasSuffix(file, ".json") {
		var t admin.Table
		if err := json.Unmarshal(data, &t); err != nil {
			return nil, nil, fmt.Errorf("%s: %w; export the table again and edit that", file, err)
		}
		var rows []admin.Row
		for _, s := range table.Sheets {
			rows = append(rows, t.Rows(s)...)
		}
		return rows, table.Sheets, nil
	}
	if sheet == "" {
		sheet = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	}
	rows, err := table.DecodeCSV(data, admin.Sheet(sheet))
	return rows, []admin.Sheet{admin.Sheet(sheet)}, err
}

// importOps returns the operations that make the table match the file's rows; with prune,
// they delete the other rows of sheets.
func importOps(t admin.Table, rows []admin.Row, sheets []admin.Sheet, prune bool) []admin.Op {
	var ops []admin.Op
	listed := map[string]bool{}
	for _, row := range rows {
		listed[string(row.Sheet())+"/"+row.RowName()] = true
		cur, ok := t.Row(row.Sheet(), row.RowName())
		if ok && string(table.EncodeRow(cur)) == string(table.EncodeRow(row)) {
			continue
		}
		ops = append(ops, admin.Op{Sheet: row.Sheet(), Name: row.RowName(), Row: row, Expect: row.RowRevision()})
	}
	if !prune {
		return ops
	}
	for _, sheet := range sheets {
		for _, row := range t.Rows(sheet) {
			if !listed[string(sheet)+"/"+row.RowName()] {
				ops = append(ops, admin.Op{Sheet: sheet, Name: row.RowName(), Expect: row.RowRevision()})
			}
		}
	}
	return ops
}
