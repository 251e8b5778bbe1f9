package store

import (
	"slices"
	"testing"
)

func TestVersion(t *testing.T) {
	ordered := []Version{0, NewVersion(0, 1), NewVersion(0, 1<<39), NewVersion(1, 0), NewVersion(1, 7), NewVersion(2, 3), NewVersion(1<<13-1, 1<<40-1)}
	if !slices.IsSorted(ordered) {
		t.Errorf("versions %v are not in the order of era and counter", ordered)
	}
	v := NewVersion(2, 1234)
	if v.Era() != 2 || v.Counter() != 1234 || v.String() != "2.1234" {
		t.Errorf("era %d, counter %d, text %s of version 2.1234", v.Era(), v.Counter(), v)
	}
	for _, v := range ordered {
		if f := float64(v); Version(f) != v {
			t.Errorf("version %s is not exact in a JSON number", v)
		}
	}
}
