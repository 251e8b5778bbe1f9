package table

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"

	"chervilhead/internal/state/ident"
)

// Table is one revision of the operators' table.
type Table struct {
	Revision uint64    `json:"revision"`
	Groups   []Group   `json:"groups"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Keys     []Key     `json:"keys"`

	groups   map[string]Group
	models   map[string]Model
	services map[string]Service
}

// New returns a table with its rows sorted and indexed by name.
func New(rev uint64, groups []Group, models []Model, services []Service, keys []Key) Table {
	t := Table{
		Revision: rev,
		Groups:   sortedByName(groups, func(g Group) string { return g.Name }),
		Models:   sortedByName(models, func(m Model) string { return m.Name }),
		Services: sortedByName(services, func(s Service) string { return s.Name }),
		Keys:     sortedByName(keys, func(k Key) string { return k.Name }),
	}
	t.groups = indexByName(t.Groups, func(g Group) string { return g.Name })
	t.models = indexByName(t.Models, func(m Model) string { return m.Name })
	t.services = indexByName(t.Services, func(s Service) string { return s.Name })
	return t
}

func sortedByName[T any](rows []T, name func(T) string) []T {
	out := slices.Clone(rows)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

func indexByName[T any](rows []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(rows))
	for _, r := range rows {
		m[name(r)] = r
	}
	return m
}

// Group returns the row of a group.
func (t Table) Group(name string) (Group, bool) {
	g, ok := t.groups[name]
	return g, ok
}

// Model returns the row of a model or adapter.
func (t Table) Model(name string) (Model, bool) {
	m, ok := t.models[name]
	return m, ok
}

// Service returns the row of a plain service.
func (t Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// GroupNames returns the names of all groups in ascending order.
func (t Table) GroupNames() []string { return slices.Sorted(maps.Keys(t.groups)) }

// Authenticate returns the key row whose hash matches a bearer key. It compares every row
// in constant time, so that its duration tells nothing about the stored hashes.
func (t Table) Authenticate(bearer string) (Key, bool) {
	h := []byte(ident.HashKey(bearer))
	var found Key
	ok := false
	for _, k := range t.Keys {
		if subtle.ConstantTimeCompare(h, []byte(k.Hash)) == 1 {
			found, ok = k, true
		}
	}
	return found, ok
}

// WithRevision returns the table with another revision.
func (t Table) WithRevision(rev uint64) Table {
	t.Revision = rev
	return t
}

// WithGroup returns the table with g in place of the group's row, if any.
func (t Table) WithGroup(g Group) Table {
	return New(t.Revision, replaceRow(t.Groups, g, func(r Group) string { return r.Name }), t.Models, t.Services, t.Keys)
}

// WithoutGroup returns the table without the group.
func (t Table) WithoutGroup(name string) Table {
	rows := slices.DeleteFunc(slices.Clone(t.Groups), func(g Group) bool { return g.Name == name })
	return New(t.Revision, rows, t.Models, t.Services, t.Keys)
}

// WithModel returns the table with m in place of the model's row, if any.
func (t Table) WithModel(m Model) Table {
	return New(t.Revision, t.Groups, replaceRow(t.Models, m, func(r Model) string { return r.Name }), t.Services, t.Keys)
}

// WithoutModel returns the table without the model.
func (t Table) WithoutModel(name string) Table {
	rows := slices.DeleteFunc(slices.Clone(t.Models), func(m Model) bool { return m.Name == name })
	return New(t.Revision, t.Groups, rows, t.Services, t.Keys)
}

func replaceRow[T any](rows []T, row T, name func(T) string) []T {
	out := slices.DeleteFunc(slices.Clone(rows), func(r T) bool { return name(r) == name(row) })
	return append(out, row)
}

// Allows reports whether a group may use the model.
func (m Model) Allows(group string) bool { return slices.Contains(m.Groups, group) }

// Allows reports whether a group may call the service.
func (s Service) Allows(group string) bool { return slices.Contains(s.Groups, group) }

// Idempotent reports whether a request to the service may be repeated.
func (s Service) Idempotent(method, path string) bool {
	return !slices.Contains(s.NonIdempotent, Route{Method: method, Path: path})
}

// Indexed returns the table with its rows sorted and indexed; a table decoded by encoding/json alone is neither.
func (t Table) Indexed() Table { return New(t.Revision, t.Groups, t.Models, t.Services, t.Keys) }
