package health

import (
	"testing"
	"time"
)

func TestRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Record
	if !r.Reachable(now) || r.FailureRate(now) != 0 || r.LatencyRatio(now) != 1 {
		t.Fatalf("a new endpoint: %+v", r)
	}
	bad := r
	for range 10 {
		bad = bad.WithResult(false, now)
	}
	if bad.FailureRate(now) < 0.9 {
		t.Errorf("after ten failures the share is %.2f", bad.FailureRate(now))
	}
	if later := bad.FailureRate(now.Add(5 * halfLife)); later > 0.05 {
		t.Errorf("after five half-lives the share is %.2f; the endpoint is never tried again", later)
	}
	down := r
	pause := time.Duration(0)
	for range 12 {
		down = down.WithConnectFailure(now)
		if down.Reachable(now) {
			t.Fatal("an endpoint that can't be reached is tried at once")
		}
		pause = down.downUntil.Sub(now)
	}
	if pause != maxDown {
		t.Errorf("the pause grew to %s, want %s", pause, maxDown)
	}
	if up := down.WithResult(true, now); !up.Reachable(now) {
		t.Error("an endpoint that answered isn't reachable")
	}
	slow := r
	for range 30 {
		slow = slow.WithLatency(400*time.Millisecond, 100*time.Millisecond, now)
	}
	if p := slow.LatencyRatio(now); p < 3.5 || p > 4.1 {
		t.Errorf("the pace of an endpoint that takes four times as long is %.2f", p)
	}
}
