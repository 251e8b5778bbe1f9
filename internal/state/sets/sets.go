package sets

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s[v] = struct{}{}
	}
	return s
}

// Add inserts v.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }

// Option is a value that may be absent.
type Option[T any] struct {
	v  T
	ok bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{v: v, ok: true} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.v, o.ok }
