package table

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"chervilhead/internal/state/fault"
)

// Check validates the whole table and returns an error that names the row, column, value and remedy.
func Check(t Table) error {
	if err := checkNames(t); err != nil {
		return err
	}
	for _, g := range t.Groups {
		if err := checkGroup(g); err != nil {
			return err
		}
	}
	for _, m := range t.Models {
		if err := checkModel(t, m); err != nil {
			return err
		}
	}
	for _, s := range t.Services {
		if err := checkService(t, s); err != nil {
			return err
		}
	}
	return checkKeys(t)
}

// rowNamePattern excludes list separators, spaces and control characters, which would
// break cells and URL paths.
var rowNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$`)

func checkNames(t Table) error {
	for _, sheet := range Sheets {
		last := ""
		for _, r := range t.Rows(sheet) {
			name := r.RowName()
			switch {
			case !rowNamePattern.MatchString(name) || sheet == SheetServices && strings.Contains(name, "/"):
				return invalidRowError(sheet, name, "name", fmt.Sprintf("%q", name), "use 1 to 128 letters, digits and . _ : / @ + -, without / in a service's name")
			case name == last:
				return invalidRowError(sheet, name, "name", fmt.Sprintf("%q", name), "give each row of the sheet its own name")
			}
			last = name
		}
	}
	return nil
}

// checkGroupRefs validates a column that lists groups.
func checkGroupRefs(t Table, sheet Sheet, row string, groups []string) error {
	for i, name := range groups {
		if _, ok := t.Group(name); !ok {
			return invalidRowError(sheet, row, "groups", name, "create the group first")
		}
		if slices.Contains(groups[:i], name) {
			return invalidRowError(sheet, row, "groups", name, "name each group once")
		}
	}
	return nil
}

func checkService(t Table, s Service) error {
	for _, r := range s.NonIdempotent {
		if r.Method == "" || r.Method != strings.ToUpper(r.Method) || !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, listSeparator) {
			return invalidRowError(SheetServices, s.Name, "non_idempotent", fmt.Sprintf("%q", r.Method+" "+r.Path), "write each route as METHOD /path")
		}
	}
	return checkGroupRefs(t, SheetServices, s.Name, s.Groups)
}

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func checkKeys(t Table) error {
	rowByHash := make(map[string]string, len(t.Keys))
	for _, k := range t.Keys {
		_, ok := t.Group(k.Group)
		switch {
		case !keyHashPattern.MatchString(k.Hash):
			return invalidRowError(SheetKeys, k.Name, "hash", fmt.Sprintf("%q", k.Hash), "use the key's SHA-256 sum in lower-case hexadecimal")
		case rowByHash[k.Hash] != "":
			return invalidRowError(SheetKeys, k.Name, "hash", k.Hash, fmt.Sprintf("row %q holds the same key; use another", rowByHash[k.Hash]))
		case !ok && (k.Group != "" || !k.Operator):
			return invalidRowError(SheetKeys, k.Name, "group", fmt.Sprintf("%q", k.Group), "create the group first or mark the key as an operator's")
		}
		rowByHash[k.Hash] = k.Name
	}
	return nil
}

// CheckDelete returns an error if rows of t still refer to a row that is to be deleted.
func CheckDelete(t Table, sheet Sheet, name string) error {
	var referrers []string
	for _, m := range t.Models {
		if sheet == SheetGroups && slices.Contains(m.Groups, name) || sheet == SheetModels && m.Base == name {
			referrers = append(referrers, "models/"+m.Name)
		}
	}
	for _, s := range t.Services {
		if sheet == SheetGroups && slices.Contains(s.Groups, name) {
			referrers = append(referrers, "services/"+s.Name)
		}
	}
	for _, k := range t.Keys {
		if sheet == SheetGroups && k.Group == name {
			referrers = append(referrers, "keys/"+k.Name)
		}
	}
	if len(referrers) == 0 {
		return nil
	}
	const maxListed = 5
	list := strings.Join(referrers[:min(maxListed, len(referrers))], ", ")
	if len(referrers) > maxListed {
		list += fmt.Sprintf(" and %d more", len(referrers)-maxListed)
	}
	return fault.New(fault.Invalid, "row_in_use", fmt.Sprintf("%s row %q is still referred to by %s", sheet, name, list),
		"change or delete those rows first or in the same edit").WithParam("name")
}

func checkGroup(g Group) error {
	switch {
	case !(g.Weight > 0) || math.IsInf(g.Weight, 1):
		return invalidRowError(SheetGroups, g.Name, "weight", g.Weight, "use a weight above 0")
	case g.MaxConcurrent < 0:
		return invalidRowError(SheetGroups, g.Name, "max_concurrent", g.MaxConcurrent, "use 0 for no limit or a positive number")
	case g.MaxRequestsPerSecond < 0:
		return invalidRowError(SheetGroups, g.Name, "max_requests_per_second", g.MaxRequestsPerSecond, "use 0 for no limit or a positive number")
	case g.MaxTokensPerSecond < 0:
		return invalidRowError(SheetGroups, g.Name, "max_tokens_per_second", g.MaxTokensPerSecond, "use 0 for no limit or a positive number")
	case g.MaxMemoryBytes < 0:
		return invalidRowError(SheetGroups, g.Name, "max_memory_bytes", g.MaxMemoryBytes, "use 0 for no limit or a positive number")
	case g.QueueBound < 0:
		return invalidRowError(SheetGroups, g.Name, "queue_bound", g.QueueBound, "use 0 for the default or a positive number")
	case g.PriorityCeiling < 0:
		return invalidRowError(SheetGroups, g.Name, "priority_ceiling", g.PriorityCeiling, "use 0 or a positive number")
	}
	return nil
}

func checkModel(t Table, m Model) error {
	switch {
	case m.MemoryBytes <= 0:
		return invalidRowError(SheetModels, m.Name, "memory_bytes", m.MemoryBytes, "use the model's size in bytes")
	case len(m.Groups) == 0:
		return invalidRowError(SheetModels, m.Name, "groups", `""`, "attach the model to at least one group")
	case m.LeastCopies < 0:
		return invalidRowError(SheetModels, m.Name, "least_copies", m.LeastCopies, "use 0 or a positive number")
	}
	if err := checkGroupRefs(t, SheetModels, m.Name, m.Groups); err != nil {
		return err
	}
	if m.Base == "" {
		return nil
	}
	if base, ok := t.Model(m.Base); !ok || base.Base != "" {
		return invalidRowError(SheetModels, m.Name, "base", m.Base, "name a registered model that is not an adapter")
	}
	return nil
}

func invalidRowError(sheet Sheet, row, column string, value any, remedy string) error {
	return fault.New(fault.Invalid, "invalid_row",
		fmt.Sprintf("%s row %q, column %q: value %v is not allowed", sheet, row, column, value), remedy).WithParam(column)
}
