package plan

import (
	"fmt"
	"testing"
	"time"
)

// TestLoadTimes guards against loads that are spaced for a slower weight store than the
// plan's LoadsPerSecond: at a fixed 2 loads a second, a fleet with a fast store was ready
// only after 91 s.
func TestLoadTimes(t *testing.T) {
	const loadCount = 300
	e := Endpoint{LoadOrder: map[string]int{}}
	for i := range loadCount {
		name := fmt.Sprint("m", i)
		e.Models, e.LoadOrder[name] = append(e.Models, name), i+1
	}
	for _, tc := range []struct{ perSecond, rate float64 }{{0, defaultLoadsPerSecond}, {2, 2}, {100, 100}} {
		due := e.LoadTimes(nil, tc.perSecond, time.Minute)
		want := time.Minute + time.Duration((loadCount-loadBurst)/tc.rate*float64(time.Second))
		if got := due[fmt.Sprint("m", loadCount-1)]; got != want {
			t.Errorf("%v loads a second: the last load is due after %s, want %s", tc.perSecond, got, want)
		}
		if due["m0"] != time.Minute {
			t.Errorf("%v loads a second: the first load is due after %s", tc.perSecond, due["m0"])
		}
		// A newer plan delays no load and may bring loads forward.
		next := Endpoint{Models: []string{"m0", "m50"}, LoadOrder: map[string]int{"m0": 40, "m50": 1}}
		if due = next.LoadTimes(due, tc.perSecond, 2*time.Minute); due["m0"] != time.Minute || due["m50"] > 2*time.Minute {
			t.Errorf("%v loads a second: a newer plan gives %v", tc.perSecond, due)
		}
	}
}
