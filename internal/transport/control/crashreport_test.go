package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
)

// crashFleet is a gateway without keepers, with the sockets of two others.
type crashFleet struct {
	*Plane
	others [2]net.PacketConn

	mu       sync.Mutex
	suspects *poison.Suspects
}

func newCrashFleet(t *testing.T) *crashFleet {
	t.Helper()
	p, _ := planeWith(t, 1)
	f := &crashFleet{Plane: p, suspects: poison.NewSuspects()}
	p.hooks.MergeCrashReport = func(r poison.CrashReport) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.suspects.Add(r, time.Now())
	}
	for i := range f.others {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		f.others[i] = c
		p.planner.handleDemand(&dgram.Demand{Gateway: c.LocalAddr().String(), MessageSequence: 1}, c.LocalAddr().String())
	}
	return f
}

// plan makes the gateway the planner, or another one.
func (f *crashFleet) plan(own bool) {
	f.planner.mu.Lock()
	defer f.planner.mu.Unlock()
	f.planner.leaseUntil, f.planner.holder = time.Time{}, f.others[0].LocalAddr().String()
	if own {
		f.planner.leaseUntil = time.Now().Add(time.Minute)
	}
}

// received returns the number of crashes under a key in the datagrams to another gateway within a time.
func (f *crashFleet) received(t *testing.T, other int, key uint64, within time.Duration) int {
	t.Helper()
	s, buf := poison.NewSuspects(), make([]byte, dgram.MaxBytes)
	_ = f.others[other].SetReadDeadline(time.Now().Add(within))
	for {
		n, _, err := f.others[other].ReadFrom(buf)
		if err != nil {
			return len(s.Report(key))
		}
		m, err := dgram.Decode(buf[:n])
		if err != nil {
			t.Fatal(err)
		}
		if m, ok := m.(*dgram.CrashReports); ok {
			for _, r := range m.Decoded() {
				s.Add(r, time.Now())
			}
		}
	}
}

const soon = 100 * time.Millisecond

// TestCrashReportsWithoutKeepers guards against a request that crashes further endpoints at each gateway, because only keepers, all of which are gone, tell one gateway of the crashes that another has seen.
func TestCrashReportsWithoutKeepers(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t)
	report := []poison.CrashReport{{Crash: 1, Keys: []uint64{7}}}
	f.plan(false)
	f.BroadcastCrashReports(report)
	if n := f.received(t, 0, 7, soon); n != 1 {
		t.Errorf("the planner is told of %d crashes, want 1", n)
	}
	f.plan(true)
	for _, m := range dgram.NewCrashReports([]poison.CrashReport{{Crash: 2, Keys: []uint64{9}}}) {
		data, err := dgram.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		f.handleDatagram(data, f.others[0].LocalAddr().String())
	}
	if n := f.received(t, 1, 9, soon); n != 1 {
		t.Errorf("the planner tells another gateway of %d crashes, want 1", n)
	}
	f.BroadcastCrashReports([]poison.CrashReport{{Crash: 3, Keys: []uint64{8}}})
	if n := f.received(t, 1, 8, soon); n != 1 {
		t.Errorf("the planner tells another gateway of %d crashes of its own, want 1", n)
	}
}

// TestCrashesBeforePlanner guards against crashes that other gateways never hear of, because there was neither a planner nor a keeper when they happened.
func TestCrashesBeforePlanner(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t)
	before := keep.NewCrashes(f.planner.table, "gone", f.log)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go before.Run(ctx, func(time.Time) []poison.CrashReport {
		return []poison.CrashReport{{Crash: 1, Keys: []uint64{7}, Remaining: time.Minute}}
	}, func() time.Duration { return time.Second })
	before.Changed()
	until(t, "the crash is in the store", func() bool {
		recs, err := before.Load(ctx)
		return err == nil && len(recs) == 1
	})
	f.plan(true)
	f.durable.takeOverCrashes(ctx)
	for i := range f.others {
		if n := f.received(t, i, 7, takeoverSends[0]+soon); n != 1 {
			t.Errorf("a new planner tells gateway %d of %d crashes, want 1", i, n)
		}
	}
}

// TestCrashesReadAlone guards against a gateway that learns of no crash while neither a planner nor a keeper relays them, and against reads of the store while one does.
func TestCrashesReadAlone(t *testing.T) {
	t.Parallel()
	for _, planner := range []bool{true, false} {
		f := newCrashFleet(t)
		reads := make(chan struct{}, 10)
		f.hooks.RestoreCrashes = func([]poison.CrashReport) { reads <- struct{}{} }
		f.plan(planner)
		ctx, cancel := context.WithTimeout(t.Context(), crashReadInterval+time.Second)
		defer cancel()
		f.durable.readCrashesAlone(ctx)
		if n := len(reads); (n > 0) == planner {
			t.Errorf("%d reads, the gateway is the planner: %v", n, planner)
		}
	}
}
