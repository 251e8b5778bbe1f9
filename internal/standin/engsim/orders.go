package engsim

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chervilhead/internal/protocol/engine"
)

// OrderFaults says how orders misbehave on their way to the engine. The
// probabilities are each drawn per order; delays differ, so that orders overtake
// each other.
type OrderFaults struct {
	Seed uint64 `yaml:"seed"`
	// LossProbability is the probability that an order never arrives.
	LossProbability float64 `yaml:"lose"`
	// LateProbability is the probability that an order arrives after its sender gave up.
	LateProbability float64 `yaml:"late"`
	// DuplicateProbability is the probability that an order arrives a second time later.
	DuplicateProbability float64 `yaml:"repeat"`
	// MaxDelay bounds the time that a late or repeated order is under way.
	MaxDelay time.Duration `yaml:"max_delay"`
}

var errNoReply = errors.New("no reply to the order")

type orderFaults struct {
	mu   sync.Mutex
	cfg  OrderFaults
	rand *rand.Rand
}

func newOrderFaults(cfg OrderFaults) *orderFaults {
	return &orderFaults{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// fate is what happens to one order; a delay of 0 stands for no such arrival.
type fate struct {
	lost         bool
	late, repeat time.Duration
}

func (f *orderFaults) draw() fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := fate{lost: f.rand.Float64() < f.cfg.LossProbability}
	if f.cfg.MaxDelay <= 0 {
		return out
	}
	if f.rand.Float64() < f.cfg.LateProbability {
		out.late = 1 + time.Duration(f.rand.Int64N(int64(f.cfg.MaxDelay)))
	}
	if f.rand.Float64() < f.cfg.DuplicateProbability {
		out.repeat = 1 + time.Duration(f.rand.Int64N(int64(f.cfg.MaxDelay)))
	}
	return out
}

// SetOrderFaults changes how orders that are sent from now on misbehave.
func (e *Engine) SetOrderFaults(cfg OrderFaults) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.cfg = cfg
}

// DeliverOrder brings an order to the engine over the faulty way that the settings describe.
func (e *Engine) DeliverOrder(o engine.Order) error {
	f := e.faults.draw()
	if f.repeat > 0 {
		time.AfterFunc(f.repeat, func() { _ = e.ApplyOrder(o) })
	}
	switch {
	case f.lost:
		return errNoReply
	case f.late > 0:
		time.AfterFunc(f.late, func() { _ = e.ApplyOrder(o) })
		return errNoReply
	default:
		return e.ApplyOrder(o)
	}
}
