package replica

import (
	"testing"
	"time"
)

// TestSettled plays the reports after a loss of all hosts: 17 hosts are heard of within
// 0.3 s, and four that are gone stay registered for some seconds.
func TestSettled(t *testing.T) {
	const gone, alive = 4, 17
	for at := time.Duration(0); at <= time.Second; at += 10 * time.Millisecond {
		heard := min(alive, int(at/(300*time.Millisecond/alive)))
		if got, want := EnoughReports(at, heard, alive+gone), at >= 300*time.Millisecond; got != want {
			t.Errorf("after %v, %d of %d hosts heard: %v, want %v", at, heard, alive+gone, got, want)
		}
	}
	for _, tc := range []struct {
		name        string
		age         time.Duration
		heard, host int
		want        bool
	}{
		{"nearly all at once", 0, 18, 21, true},
		{"a third", 600 * time.Millisecond, 7, 21, false},
		{"nobody answers", anyAfter, 0, 21, true},
		{"nothing registered", 500 * time.Millisecond, 0, 0, false},
	} {
		if got := EnoughReports(tc.age, tc.heard, tc.host); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}
