package sender

import (
	"testing"
	"time"
)

// TestSenderRestartsWithEarlierClock guards against a process that is ignored after a restart because the time of day on its machine jumped back.
func TestSenderRestartsWithEarlierClock(t *testing.T) {
	start := time.Unix(1000, 0)
	type message struct {
		at          time.Duration
		incarnation int64
		sequence    uint64
		want        bool
	}
	for name, messages := range map[string][]message{
		"in order":                      {{0, 10, 1, true}, {100, 10, 2, true}, {200, 20, 1, true}},
		"out of order":                  {{0, 10, 2, true}, {100, 10, 1, false}, {150, 10, 2, false}},
		"late one of an earlier life":   {{0, 10, 5, true}, {100, 20, 1, true}, {200, 10, 6, false}, {300, 20, 2, true}},
		"clock jumped back":             {{0, 20, 5, true}, {600, 10, 1, true}, {700, 10, 2, true}},
		"late one after the clock jump": {{0, 20, 5, true}, {600, 10, 1, true}, {700, 20, 6, true}, {800, 10, 2, false}, {1300, 10, 4, true}},
		"several jumps":                 {{0, 20, 5, true}, {600, 10, 1, true}, {1200, 5, 1, true}, {1800, 30, 1, true}, {2400, 7, 1, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var o Order
			for i, m := range messages {
				next, ok := o.With(m.incarnation, m.sequence, start.Add(m.at*time.Millisecond))
				if ok != m.want {
					t.Fatalf("message %d: accepted %v, want %v", i, ok, m.want)
				}
				if ok {
					o = next
				}
			}
		})
	}
}
