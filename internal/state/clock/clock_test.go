package clock

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tolerance is the part of the lease's margin of 100 ms that is left for drift and rounding.
const tolerance = 20 * time.Millisecond

// clocks are two clocks with an offset that drifts by a relative rate.
type clocks struct {
	offset time.Duration
	drift  float64
}

// other returns the other clock, rounded as on the wire, at a local time.
func (c clocks) other(local time.Duration) time.Duration {
	return (local + c.offset + time.Duration(c.drift*float64(local))).Truncate(time.Millisecond)
}

// TestLocalIsNeverLate guards against a reading that counts as later than it was taken, by slow
// calls, drift, or answers and datagrams that lay in a buffer while the process was frozen.
func TestLocalIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		c := clocks{offset: time.Hour + span("offset", time.Hour), drift: rapid.Float64Range(-maxDrift/2, maxDrift/2).Draw(t, "drift")}
		var b Bound
		now := span("start", time.Minute)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			began := now + span("pause", time.Minute)
			stamped := began + span("wait", 3*time.Second)
			now = stamped + span("in buffer", 20*time.Second)
			b = b.With(Sample{Reading{1, c.other(stamped)}, began})
			told := now - min(now, span("age of what is told", 10*time.Second))
			for _, at := range []time.Duration{stamped, told} {
				if now-at > 5*time.Second {
					// No lease lasts as long, so a small error doesn't matter.
					continue
				}
				got, ok := b.Local(Reading{1, c.other(at)}, now)
				if !ok || got > at+tolerance {
					t.Fatalf("a reading taken at %v counts as %v at %v, known %v", at, got, now, ok)
				}
			}
		}
	})
}

// TestLocalIsClose guards against a bound so loose that requests are refused, also minutes after
// the last call that was answered quickly.
func TestLocalIsClose(t *testing.T) {
	c := clocks{offset: time.Hour}
	b := Bound{}.With(Sample{Reading{1, c.other(10 * time.Second)}, 10*time.Second - 5*time.Millisecond})
	b = b.With(Sample{Reading{1, c.other(14 * time.Second)}, 11 * time.Second})
	for _, at := range []time.Duration{15 * time.Second, 130 * time.Second} {
		got, ok := b.Local(Reading{1, c.other(at)}, at)
		if early := at - got; !ok || early > 10*time.Millisecond+time.Duration(maxDrift*float64(at)) {
			t.Errorf("a reading at %v counts as %v earlier, known %v", at, early, ok)
		}
	}
}

// TestUnusableReadings guards against a time of another era, of no call or from the future that
// counts as a local time.
func TestUnusableReadings(t *testing.T) {
	b := Bound{}.With(Sample{Reading{1, time.Hour}, time.Minute})
	for _, r := range []Reading{{}, {1, -time.Hour}, {2, time.Hour}, {1, 2 * time.Hour}, {1, math.MaxInt64}, {1, math.MinInt64}} {
		if got, ok := b.Local(r, time.Minute); ok {
			t.Errorf("%+v counts as %v", r, got)
		}
	}
	if _, ok := (Bound{}).Local(Reading{1, time.Hour}, time.Minute); ok {
		t.Error("a reading counts without a sample")
	}
	if b2 := b.With(Sample{Reading{2, time.Second}, time.Minute}); b2.offset != time.Second-time.Minute {
		t.Errorf("a restored store's clock has the bound %+v", b2)
	}
}

// TestLatestIsNeverEarly guards against a latest time of the other clock that it has already passed.
func TestLatestIsNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		c := clocks{offset: time.Hour + span("offset", time.Hour), drift: rapid.Float64Range(-maxDrift/2, maxDrift/2).Draw(t, "drift")}
		var b Bound
		if !b.Latest(time.Second).IsZero() {
			t.Fatal("a latest time without a sample")
		}
		now := span("start", time.Minute)
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			began := now + span("pause", time.Minute)
			stamped := began + span("wait", 3*time.Second)
			now = stamped + span("in buffer", 20*time.Second)
			b = b.With(Sample{Reading{1, c.other(stamped)}, began})
			if got := b.Latest(now); got.Era != 1 || got.Time < c.other(now) {
				t.Fatalf("the latest time at %v is %+v, and the clock shows %v", now, got, c.other(now))
			}
		}
	})
}
