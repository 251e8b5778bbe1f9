package engsim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/standin/pltsim"
)

// TestReportLag guards against reports that do not show the state exactly one lag ago.
func TestReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = time.Second
		e := New(Settings{MemoryTotalBytes: 100, Slots: 1, LoadBytesPerSecond: 1000, RestartDelay: lag, ReportLag: lag}, pltsim.NewWeights(&pltsim.Faults{}, 1000, 1))
		defer e.Close()
		time.Sleep(2 * lag)
		for i, tc := range []struct {
			order engine.OrderKind
			crash bool
			after time.Duration
			want  string
		}{
			{engine.OrderLoad, false, lag - time.Millisecond, "restarts 0, residents 0"},
			{"", false, time.Millisecond, "restarts 0, residents 1"},
			{engine.OrderUnload, false, lag / 2, "restarts 0, residents 1"},
			{"", false, lag / 2, "restarts 0, residents 0"},
			{engine.OrderLoad, false, lag, "restarts 0, residents 1"},
			{"", true, lag / 2, errDown.Error()},
			{"", false, lag, "restarts 0, residents 1"}, // the new incarnation still shows what the old one held
			{"", false, lag / 2, "restarts 1, residents 0"},
		} {
			if tc.order != "" {
				_ = e.ApplyOrder(engine.Order{ID: fmt.Sprint(i), Kind: tc.order, Model: "m", MemoryBytes: 10})
			}
			if tc.crash {
				e.Crash()
			}
			time.Sleep(tc.after)
			s, err := e.State()
			got := fmt.Sprintf("restarts %d, residents %d", s.Restarts, len(s.Residents))
			if err != nil {
				got = err.Error()
			}
			if got != tc.want {
				t.Errorf("step %d: the report shows %q, want %q", i, got, tc.want)
			}
		}
	})
}

// TestCacheEvents guards against cache events that can be read too early or out of order, and
// against losses that are not visible as gaps in the sequence numbers.
func TestCacheEvents(t *testing.T) {
	const blocks = 400
	for _, cfg := range []CacheEventFaults{{}, {Lag: time.Second}, {Seed: 20261203, Lag: time.Second, GapProbability: 0.05, MaxGap: 10}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPrefixCache(blocks, cfg)
			p.use("m", strings.Repeat("w ", blocks*blockTokens))
			early := len(p.since(0))
			time.Sleep(cfg.Lag)
			evs, jumps, last := p.since(0), 0, uint64(0)
			for _, ev := range evs {
				if ev.Seq <= last || int(ev.Seq-last) > 1+2*cfg.MaxGap { // two ranges may follow each other
					t.Errorf("%+v: event %d follows %d", cfg, ev.Seq, last)
				}
				if ev.Seq > last+1 {
					jumps++
				}
				last = ev.Seq
			}
			if (early > 0) != (cfg.Lag == 0) || (jumps > 0) != (cfg.GapProbability > 0) || (len(evs) < blocks) != (cfg.GapProbability > 0) || len(p.since(last-1)) != 1 {
				t.Errorf("%+v: %d events early, %d events with %d jumps", cfg, early, len(evs), jumps)
			}
		})
	}
}
