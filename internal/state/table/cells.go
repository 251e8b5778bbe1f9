package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// listSeparator separates the items of a list in one cell.
const listSeparator = ";"

type cellKind int

const (
	textCell cellKind = iota
	numberCell
	boolCell
	listCell
	routesCell
)

type column struct {
	name string
	kind cellKind
}

var columns = map[Sheet][]column{
	SheetGroups: {
		{"name", textCell},
		{"weight", numberCell},
		{"max_concurrent", numberCell},
		{"max_requests_per_second", numberCell},
		{"max_tokens_per_second", numberCell},
		{"max_memory_bytes", numberCell},
		{"queue_bound", numberCell},
		{"priority_ceiling", numberCell},
		{"revision", numberCell},
	},
	SheetModels: {
		{"name", textCell},
		{"groups", listCell},
		{"base", textCell},
		{"version", textCell},
		{"memory_bytes", numberCell},
		{"least_copies", numberCell},
		{"revision", numberCell},
	},
	SheetServices: {{"name", textCell}, {"groups", listCell}, {"non_idempotent", routesCell}, {"revision", numberCell}},
	SheetKeys:     {{"name", textCell}, {"hash", textCell}, {"group", textCell}, {"operator", boolCell}, {"revision", numberCell}},
}

// Columns returns the column names of a sheet in the order of its cells.
func Columns(sheet Sheet) []string {
	out := make([]string, 0, len(columns[sheet]))
	for _, c := range columns[sheet] {
		out = append(out, c.name)
	}
	return out
}

// Cells returns a row's cells as text, in the order of Columns.
func Cells(row Row) []string {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(EncodeRow(row), &fields) // a row encodes as a JSON object
	cols := columns[row.Sheet()]
	out := make([]string, len(cols))
	for i, c := range cols {
		out[i] = formatCell(c.kind, fields[c.name])
	}
	return out
}

func formatCell(kind cellKind, data json.RawMessage) string {
	switch kind {
	case textCell:
		var s string
		_ = json.Unmarshal(data, &s)
		return s
	case listCell:
		var list []string
		_ = json.Unmarshal(data, &list)
		return strings.Join(list, listSeparator)
	case routesCell:
		var routes []Route
		_ = json.Unmarshal(data, &routes)
		list := make([]string, len(routes))
		for i, r := range routes {
			list[i] = r.Method + " " + r.Path
		}
		return strings.Join(list, listSeparator)
	case boolCell:
		if len(data) == 0 {
			return "false"
		}
	}
	return string(data)
}

// ParseCells builds a row from text cells by column name. Columns that are absent keep
// their value in base, which is nil for a new row.
func ParseCells(sheet Sheet, cells map[string]string, base Row) (Row, error) {
	cols, ok := columns[sheet]
	if !ok {
		return nil, UnknownSheetError(string(sheet))
	}
	fields := map[string]json.RawMessage{}
	if base != nil {
		_ = json.Unmarshal(EncodeRow(base), &fields)
	}
	name := cells["name"]
	for col := range cells {
		if !slices.ContainsFunc(cols, func(c column) bool { return c.name == col }) {
			return nil, invalidRowError(sheet, name, col, cells[col], "use one of the columns "+strings.Join(Columns(sheet), ", "))
		}
	}
	for _, c := range cols {
		text, ok := cells[c.name]
		if !ok {
			continue
		}
		data, err := parseCell(c.kind, strings.TrimSpace(text))
		if err != nil {
			return nil, invalidRowError(sheet, name, c.name, fmt.Sprintf("%q", text), err.Error())
		}
		fields[c.name] = data
	}
	b, _ := json.Marshal(fields) // every field is valid JSON
	row, err := DecodeRow(sheet, b)
	if err != nil {
		return nil, numberRangeError(sheet, name, cells, err)
	}
	return row, nil
}

// numberRangeError replaces err by one that names the numeric column whose value does not
// fit its type, if there is one.
func numberRangeError(sheet Sheet, name string, cells map[string]string, err error) error {
	for _, c := range columns[sheet] {
		text, ok := cells[c.name]
		if !ok || c.kind != numberCell {
			continue
		}
		if _, e := DecodeRow(sheet, fmt.Appendf(nil, `{%q:%s}`, c.name, zeroIfEmpty(strings.TrimSpace(text)))); e != nil {
			return invalidRowError(sheet, name, c.name, fmt.Sprintf("%q", text), "use a whole number in range")
		}
	}
	return err
}

func zeroIfEmpty(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func parseCell(kind cellKind, text string) (json.RawMessage, error) {
	var v any
	switch kind {
	case textCell:
		v = text
	case numberCell:
		var n json.Number
		if err := json.Unmarshal([]byte(zeroIfEmpty(text)), &n); err != nil || text != "" && text[0] == '"' {
			return nil, fmt.Errorf("use a number")
		}
		return json.RawMessage(zeroIfEmpty(text)), nil
	case boolCell:
		if text != "" && text != "true" && text != "false" {
			return nil, fmt.Errorf("use true or false")
		}
		v = text == "true"
	case listCell:
		v = splitList(text)
	case routesCell:
		routes := []Route{}
		for _, item := range splitList(text) {
			method, path, ok := strings.Cut(item, " ")
			if !ok {
				return nil, fmt.Errorf("write each route as METHOD /path")
			}
			routes = append(routes, Route{Method: method, Path: strings.TrimSpace(path)})
		}
		v = routes
	}
	b, err := json.Marshal(v)
	return b, err
}

func splitList(text string) []string {
	out := []string{}
	for item := range strings.SplitSeq(text, listSeparator) {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
