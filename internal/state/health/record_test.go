package health

import (
	"testing"
	"time"
)

func TestRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Record
	if !r.Reachable(now) || r.FailureRate(now) != 0 || r.LatencyRatio(now) != 1 {
		t.Fatalf("record of a new endpoint: %+v", r)
	}
	failing := r
	for range 10 {
		failing = failing.WithResult(false, now)
	}
	if failing.FailureRate(now) < 0.9 {
		t.Errorf("failure rate after ten failures: %.2f", failing.FailureRate(now))
	}
	if later := failing.FailureRate(now.Add(5 * halfLife)); later > 0.05 {
		t.Errorf("failure rate after five half-lives: %.2f; the endpoint is never tried again", later)
	}
	unreachable := r
	backoff := time.Duration(0)
	for range 12 {
		unreachable = unreachable.WithConnectFailure(now)
		if unreachable.Reachable(now) {
			t.Fatal("endpoint is reachable immediately after a connection failure")
		}
		backoff = unreachable.backoffUntil.Sub(now)
	}
	if backoff != maxBackoff {
		t.Errorf("backoff grew to %s, want %s", backoff, maxBackoff)
	}
	if answered := unreachable.WithResult(true, now); !answered.Reachable(now) {
		t.Error("endpoint that answered isn't reachable")
	}
	slow := r
	for range 30 {
		slow = slow.WithLatency(400*time.Millisecond, 100*time.Millisecond, now)
	}
	if ratio := slow.LatencyRatio(now); ratio < 3.5 || ratio > 4.1 {
		t.Errorf("latency ratio of an endpoint that takes four times as long: %.2f", ratio)
	}
}
