package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/standin/engsim"
)

const (
	// firstModel is the argument of fixture.place for the model of the first plan.
	firstModel = 1 << 3
	// secondModel is that of the second plan; the two models don't fit together.
	secondModel = 1 << 7
)

const (
	tick = reconcileInterval
	// lateDelivery is just within the longest time that an order can be in transit.
	lateDelivery = testOrderDelay - 50*time.Millisecond
)

// deliverLate delivers a load after its sender has given up.
func deliverLate(fx *fixture) func(context.Context, engine.Order) error {
	return func(_ context.Context, o engine.Order) error {
		if o.Kind != engine.OrderLoad {
			return fx.engine.ApplyOrder(o)
		}
		time.AfterFunc(lateDelivery, func() { _ = fx.engine.ApplyOrder(o) })
		return context.DeadlineExceeded
	}
}

// deliverTwice delivers an order at once and again later.
func deliverTwice(fx *fixture) func(context.Context, engine.Order) error {
	return func(_ context.Context, o engine.Order) error {
		time.AfterFunc(lateDelivery, func() { _ = fx.engine.ApplyOrder(o) })
		return fx.engine.ApplyOrder(o)
	}
}

// restartDuringLoad restarts the engine while the order to load the first model is in
// transit, and plans the second.
func restartDuringLoad(fx *fixture, deliver func(context.Context, engine.Order) error) {
	fx.start()
	fx.newest().conn.setDeliver(deliver)
	time.Sleep(tick)
	fx.place(firstModel)
	time.Sleep(2*tick + tick/2)
	fx.newest().conn.setDeliver(nil)
	fx.engine.Crash()
	fx.place(secondModel)
}

// releaseDuringLoad stops the first agent, which releases its lease, while its order to load
// is in transit.
func releaseDuringLoad(fx *fixture) {
	fx.start()
	fx.newest().conn.setDeliver(deliverLate(fx))
	fx.place(firstModel)
	time.Sleep(2*tick + tick/2)
	fx.newest().kill()
	fx.start()
	fx.place(secondModel)
}

// pauseBeforeSend pauses the first agent between its lease check and the send, until just
// before the lease's term ends; its order is then delivered late.
func pauseBeforeSend(fx *fixture) {
	fx.start()
	first := fx.newest()
	time.Sleep(tick + tick/2)
	fx.place(firstModel)
	first.conn.setDeliver(func(ctx context.Context, o engine.Order) error {
		time.Sleep(testLeaseTerm - 2*tick)
		if err := ctx.Err(); err != nil {
			return err
		}
		defer time.Sleep(testLeaseTerm) // the agent cannot renew its lease
		return deliverLate(fx)(ctx, o)
	})
	fx.start()
	fx.place(secondModel)
}

// pauseBeforeOrder pauses the first agent past its lease after it read the engine's state.
func pauseBeforeOrder(fx *fixture) {
	fx.start()
	first := fx.newest()
	time.Sleep(tick + tick/2)
	fx.place(firstModel)
	first.conn.pause(2 * testLeaseTerm)
	fx.start()
	fx.place(secondModel)
}

func overcommits(checks, takeover bool, margin time.Duration, scenario func(*fixture)) (n int, problem string) {
	fx := newFixture(checks, takeover, engsim.OrderFaults{})
	fx.margin = margin
	scenario(fx)
	time.Sleep(2*testLeaseTerm + 4*testOrderDelay)
	problem = fx.quiesce()
	n = fx.engine.Overcommits()
	fx.close()
	return n, problem
}

// TestStaleOrders guards against late and duplicate orders that reach a restarted engine or
// the engine of a new lease holder, for engines with and without checks of the fencing token.
func TestStaleOrders(t *testing.T) {
	scenarios := map[string]func(*fixture){
		"late load after a restart":     func(fx *fixture) { restartDuringLoad(fx, deliverLate(fx)) },
		"repeated load after a restart": func(fx *fixture) { restartDuringLoad(fx, deliverTwice(fx)) },
		"lease released":                releaseDuringLoad,
		"pause before the send":         pauseBeforeSend,
		"pause before the order":        pauseBeforeOrder,
	}
	for name, scenario := range scenarios {
		for _, checks := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					if n, problem := overcommits(checks, checks, testOrderDelay, scenario); n > 0 || problem != "" {
						t.Fatalf("checks fencing token %v: overcommitted %d times; %s", checks, n, problem)
					}
				})
			})
		}
	}
}

// TestPartialProtection shows that neither the fencing token nor the lease's term is enough
// for an engine that ignores the token: a new holder must also wait for as long as an order
// can be in transit.
func TestPartialProtection(t *testing.T) {
	for name, c := range map[string]struct {
		takeover bool
		margin   time.Duration
		scenario func(*fixture)
	}{
		"fencing token alone": {takeover: true, margin: testOrderDelay, scenario: releaseDuringLoad},
		"lease alone":         {takeover: false, margin: 0, scenario: releaseDuringLoad},
		"lease term alone":    {takeover: false, margin: 0, scenario: pauseBeforeSend},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if n, _ := overcommits(false, c.takeover, c.margin, c.scenario); n == 0 {
					t.Fatal("the scenario no longer overcommits memory, so it shows nothing")
				}
			})
		})
	}
}
