package replica

import (
	"testing"
	"time"
)

// TestEnoughReports guards against a planner that decides too early or too late after a loss
// of all hosts, when 17 hosts report within 0.3 s and four lost ones stay registered for
// some seconds.
func TestEnoughReports(t *testing.T) {
	const gone, alive = 4, 17
	for at := time.Duration(0); at <= time.Second; at += 10 * time.Millisecond {
		reported := min(alive, int(at/(300*time.Millisecond/alive)))
		if got, want := EnoughReports(at, reported, alive+gone), at >= 300*time.Millisecond; got != want {
			t.Errorf("after %v, %d of %d hosts reported: got %v, want %v", at, reported, alive+gone, got, want)
		}
	}
	for _, tc := range []struct {
		name            string
		age             time.Duration
		reported, hosts int
		want            bool
	}{
		{"nearly all hosts at once", 0, 18, 21, true},
		{"a third of the hosts", 600 * time.Millisecond, 7, 21, false},
		{"no host reports", maxReportWait, 0, 21, true},
		{"no host is registered", 500 * time.Millisecond, 0, 0, false},
	} {
		if got := EnoughReports(tc.age, tc.reported, tc.hosts); got != tc.want {
			t.Errorf("%s: got %v", tc.name, got)
		}
	}
}
