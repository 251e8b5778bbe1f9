package plan

import (
	"fmt"
	"testing"
	"time"
)

// TestDue guards against loads that wait for a slower weight store than the settings
// name: at a fixed 2 loads a second a fleet with a fast store was ready after 91 s.
func TestDue(t *testing.T) {
	const loads = 300
	e := Endpoint{LoadOrder: map[string]int{}}
	for i := range loads {
		name := fmt.Sprint("m", i)
		e.Models, e.LoadOrder[name] = append(e.Models, name), i+1
	}
	for _, tc := range []struct{ perSecond, rate float64 }{{0, defaultLoadsPerSecond}, {2, 2}, {100, 100}} {
		due := e.LoadTimes(nil, tc.perSecond, time.Minute)
		want := time.Minute + time.Duration((loads-loadsAhead)/tc.rate*float64(time.Second))
		if got := due[fmt.Sprint("m", loads-1)]; got != want {
			t.Errorf("%v loads a second: the last load is due after %s, want %s", tc.perSecond, got, want)
		}
		if due["m0"] != time.Minute {
			t.Errorf("%v loads a second: the first load is due after %s", tc.perSecond, due["m0"])
		}
		// A newer plan puts no load off and brings forward those that are left.
		next := Endpoint{Models: []string{"m0", "m50"}, LoadOrder: map[string]int{"m0": 40, "m50": 1}}
		if due = next.LoadTimes(due, tc.perSecond, 2*time.Minute); due["m0"] != time.Minute || due["m50"] > 2*time.Minute {
			t.Errorf("%v loads a second: a newer plan gives %v", tc.perSecond, due)
		}
	}
}
