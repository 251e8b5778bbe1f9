package engsim

import (
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/standin/pltsim"
)

// TestVersionChange guards against a model that serves no version, or one that is not in
// memory, while another version loads.
func TestVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{MemoryTotalBytes: 1000, Slots: 1, LoadBytesPerSecond: 100}, pltsim.NewWeights(&pltsim.Faults{}, 1000, 8))
		defer e.Close()
		for _, tc := range []struct {
			load   string
			after  time.Duration
			usable bool
			serves string
		}{
			{"a", 0, false, ""},
			{"a", 2 * time.Second, true, ""},
			{"b", 500 * time.Millisecond, true, "a"},
			{"c", 300 * time.Millisecond, true, "a"},
			{"c", 300 * time.Millisecond, true, "b"}, // b is loaded, c is not
			{"c", 600 * time.Millisecond, true, ""},
		} {
			_ = e.ApplyOrder(engine.Order{ID: tc.load, Kind: engine.OrderLoad, Model: "m", Version: tc.load, MemoryBytes: 100})
			time.Sleep(tc.after)
			s, _ := e.State()
			if r := s.Residents[0]; r.Usable() != tc.usable || r.Version != tc.load || r.ServingVersion != tc.serves || r.Ready && s.MemoryUsedBytes != 100 {
				t.Errorf("after %q and %s: %+v", tc.load, tc.after, s)
			}
		}
	})
}
