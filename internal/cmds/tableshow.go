package cmds

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/internal/state/table"
	"chervilhead/pkg/admin"
)

func (f *tableFlags) show() *cobra.Command {
	cmd := &cobra.Command{Use: "show [SHEET [NAME]]", Short: "Print the table, a sheet or a row", Args: cobra.MaximumNArgs(2)}
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		t, err := f.client().Table(ctx)
		if err != nil {
			return err
		}
		if len(args) == 0 && f.output == "json" {
			return printJSON(out, t)
		}
		sheets := table.Sheets
		if len(args) > 0 {
			sheets = []admin.Sheet{admin.Sheet(args[0])}
			if len(table.Columns(sheets[0])) == 0 {
				return invalidError("%w", table.UnknownSheetError(args[0]))
			}
		}
		if f.output == "csv" && len(sheets) > 1 {
			return invalidError("--output csv prints one sheet; name it, or use table export")
		}
		for i, sheet := range sheets {
			rows := t.Rows(sheet)
			if len(args) == 2 {
				row, ok := t.Row(sheet, args[1])
				if !ok {
					return invalidError("%s row %q does not exist; list the sheet for the rows that exist", sheet, args[1])
				}
				rows = []admin.Row{row}
			}
			if f.output == "text" && len(sheets) > 1 {
				_, _ = fmt.Fprintf(out, "%s%s (revision %d)\n", strings.Repeat("\n", min(i, 1)), sheet, t.Revision)
			}
			if err := f.printRows(out, sheet, rows); err != nil {
				return err
			}
		}
		return nil
	})
	return cmd
}

func (f *tableFlags) printRows(out io.Writer, sheet admin.Sheet, rows []admin.Row) error {
	switch f.output {
	case "json":
		return printJSON(out, rows)
	case "csv":
		return table.EncodeCSV(out, sheet, rows)
	}
	lines := make([][]string, len(rows))
	for i, r := range rows {
		lines[i] = table.Cells(r)
	}
	return printColumns(out, table.Columns(sheet), lines)
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printColumns prints aligned columns; an empty cell is a dash.
func printColumns(out io.Writer, header []string, lines [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, l := range lines {
		cells := make([]string, len(l))
		for i, c := range l {
			if cells[i] = c; c == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// printLines prints a list in the chosen output format; v is its JSON value.
func (f *tableFlags) printLines(out io.Writer, v any, header []string, lines [][]string) error {
	switch f.output {
	case "json":
		return printJSON(out, v)
	case "csv":
		w := csv.NewWriter(out)
		_ = w.Write(header) // the writer keeps the error, which WriteAll returns
		return w.WriteAll(lines)
	}
	return printColumns(out, header, lines)
}

// printChanges prints one line per changed cell.
func (f *tableFlags) printChanges(out io.Writer, v any, changes []admin.Change) error {
	lines := [][]string{}
	for _, c := range changes {
		cols, err := c.ColumnChanges()
		if err != nil {
			return err
		}
		kind := "change"
		if len(c.Before) == 0 {
			kind = "add"
		} else if len(c.After) == 0 {
			kind = "delete"
		}
		for _, col := range cols {
			if col.Column != "name" || kind == "change" {
				lines = append(lines, []string{kind, string(c.Sheet) + "/" + c.Name, col.Column, col.Before, col.After})
			}
		}
	}
	return f.printLines(out, v, []string{"edit", "row", "column", "before", "after"}, lines)
}

func (f *tableFlags) export() *cobra.Command {
	var dir string
	cmd := &cobra.Command{Use: "export", Short: "Write one CSV file per sheet, or one JSON file of the whole table", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&dir, "dir", ".", "directory to write the files to")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, _ []string) error {
		t, err := f.client().Table(ctx)
		if err != nil {
			return err
		}
		if f.output == "json" {
			return writeFile(out, filepath.Join(dir, "table.json"), func(w io.Writer) error { return printJSON(w, t) })
		}
		for _, sheet := range table.Sheets {
			err := writeFile(out, filepath.Join(dir, string(sheet)+".csv"), func(w io.Writer) error { return table.EncodeCSV(w, sheet, t.Rows(sheet)) })
			if err != nil {
				return err
			}
		}
		return nil
	})
	return cmd
}

func writeFile(out io.Writer, name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return invalidError("export: %w", err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	_, _ = fmt.Fprintln(out, filepath.Base(name))
	return file.Close()
}

func (f *tableFlags) diff() *cobra.Command {
	var exitOnDiff bool
	cmd := &cobra.Command{Use: "diff FROM [TO]", Short: "Print the changes from one revision to another, by default the newest", Args: cobra.RangeArgs(1, 2)}
	cmd.Flags().BoolVar(&exitOnDiff, "exit-code", false, "exit with code 6 when there is a difference")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, args []string) error {
		revs := [2]uint64{}
		for i, arg := range args {
			rev, err := parseRevision(arg)
			if err != nil {
				return err
			}
			revs[i] = rev
		}
		d, err := f.client().Diff(ctx, revs[0], revs[1])
		if err != nil {
			return err
		}
		if err := f.printChanges(out, d, d.Changes); err != nil {
			return err
		}
		if exitOnDiff && len(d.Changes) > 0 {
			return &ExitError{ExitDiffers, fmt.Errorf("%d rows differ", len(d.Changes))}
		}
		return nil
	})
	return cmd
}

func (f *tableFlags) history() *cobra.Command {
	var before uint64
	var limit int
	cmd := &cobra.Command{Use: "history", Short: "List accepted edits, newest first", Args: cobra.NoArgs}
	cmd.Flags().Uint64Var(&before, "before", 0, "list only edits below this revision; 0 starts at the newest")
	cmd.Flags().IntVar(&limit, "limit", 20, "maximum number of edits to list")
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, _ []string) error {
		entries, err := f.client().History(ctx, before, limit)
		if err != nil {
			return err
		}
		lines := make([][]string, len(entries))
		for i, e := range entries {
			rows := make([]string, len(e.Changes))
			for j, c := range e.Changes {
				rows[j] = string(c.Sheet) + "/" + c.Name
			}
			lines[i] = []string{strconv.FormatUint(e.Revision, 10), e.When.Format(time.RFC3339), e.Who, strings.Join(rows, " "), e.Note, e.ID}
		}
		return f.printLines(out, entries, []string{"revision", "when", "who", "rows", "note", "edit_id"}, lines)
	})
	return cmd
}
