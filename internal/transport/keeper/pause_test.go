package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// pausingEngine counts the calls to it and rejects them with a pause, if it has one.
type pausingEngine struct {
	calls int
	pause time.Duration
	born  int64
}

func (e *pausingEngine) reject() error {
	e.calls++
	if e.pause == 0 {
		return nil
	}
	return fmt.Errorf("a call: %w", &PauseError{Status: 503, Pause: e.pause})
}

func (e *pausingEngine) Report(context.Context) (Report, error) {
	return Report{Status: fleet.Status{Alive: true, Incarnation: e.born}}, e.reject()
}

func (e *pausingEngine) Order(context.Context, Order) (OrderResult, error) {
	if err := e.reject(); err != nil {
		return Rejected, err
	}
	return Accepted, nil
}

func (e *pausingEngine) Identify(context.Context, string) (string, error) {
	return "", e.reject()
}

// TestEngineInPauseGetsNoCalls guards against reports, health checks and orders to an engine that asked its keeper for a pause.
func TestEngineInPauseGetsNoCalls(t *testing.T) {
	k, _ := newTestKeeper(t)
	e := &pausingEngine{born: 1}
	k.engine = e
	k.poll(t.Context())
	k.spec = &fleet.EngineSpec{WeightsMB: 100, Models: map[string]fleet.Model{"m": {Name: "m", WeightsMB: 1}}}
	k.move, k.moveReceivedAt = &dgram.Move{Load: "m"}, time.Now()
	e.pause, e.calls = 300*time.Millisecond, 0
	for range 5 {
		k.poll(t.Context())
		k.runStep(t.Context())
	}
	if e.calls != 1 {
		t.Errorf("%d calls in the pause, want the one that it was the answer to", e.calls)
	}
	if !k.report.Alive {
		t.Error("an engine that asks for a pause is taken for dead")
	}
	time.Sleep(310 * time.Millisecond)
	e.pause = 0
	k.poll(t.Context())
	k.runStep(t.Context())
	if e.calls < 3 {
		t.Errorf("%d calls after the pause, want a report and an order", e.calls-1)
	}
}

// TestPauseEndsWithEngine guards against an engine that gets no calls because its former incarnation asked for a pause.
func TestPauseEndsWithEngine(t *testing.T) {
	for name, next := range map[string]int64{"clock in order": 9, "clock jumped back": 2} {
		t.Run(name, func(t *testing.T) {
			k, _ := newTestKeeper(t)
			e := &pausingEngine{born: 3}
			k.engine = e
			k.poll(t.Context())
			e.born = 5
			k.poll(t.Context())
			e.pause = time.Hour
			k.poll(t.Context())
			e.pause, e.born, e.calls = 0, next, 0
			for _, earlier := range []int64{3, 5} {
				k.applyRequest(&dgram.KeeperRequest{Endpoint: "e", Incarnation: earlier}, "gateway", time.Now())
				k.poll(t.Context())
			}
			if e.calls != 0 {
				t.Errorf("%d calls in the pause", e.calls)
			}
			k.applyRequest(&dgram.KeeperRequest{Endpoint: "e", Incarnation: next}, "gateway", time.Now())
			k.poll(t.Context())
			if k.report.Incarnation != next {
				t.Error("the engine's new incarnation gets no calls")
			}
		})
	}
}
