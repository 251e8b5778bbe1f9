package engsim

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chervilhead/internal/protocol/engine"
)

// OrderFaults configures the faults of orders on their way to the engine. Each probability
// is drawn per order; delays vary, so that orders can overtake each other.
type OrderFaults struct {
	Seed uint64 `yaml:"seed"`
	// LossProbability is the probability that an order never arrives.
	LossProbability float64 `yaml:"lose"`
	// LateProbability is the probability that an order arrives after its sender got an error.
	LateProbability float64 `yaml:"late"`
	// DuplicateProbability is the probability that an order arrives a second time later.
	DuplicateProbability float64 `yaml:"repeat"`
	// MaxDelay bounds the delay of a late or duplicate order; 0 disables both.
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

// orderFate is what happens to one order; late and duplicate are delays, 0 where there is none.
type orderFate struct {
	lost            bool
	late, duplicate time.Duration
}

func (f *orderFaults) draw() orderFate {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := orderFate{lost: f.rand.Float64() < f.cfg.LossProbability}
	if f.cfg.MaxDelay <= 0 {
		return out
	}
	if f.rand.Float64() < f.cfg.LateProbability {
		out.late = 1 + time.Duration(f.rand.Int64N(int64(f.cfg.MaxDelay)))
	}
	if f.rand.Float64() < f.cfg.DuplicateProbability {
		out.duplicate = 1 + time.Duration(f.rand.Int64N(int64(f.cfg.MaxDelay)))
	}
	return out
}

// SetOrderFaults replaces the faults of later orders; the seed is not applied again.
func (e *Engine) SetOrderFaults(cfg OrderFaults) {
	e.orderFaults.mu.Lock()
	defer e.orderFaults.mu.Unlock()
	e.orderFaults.cfg = cfg
}

// DeliverOrder applies an order subject to the order faults; a lost or late one returns an error.
func (e *Engine) DeliverOrder(o engine.Order) error {
	f := e.orderFaults.draw()
	if f.duplicate > 0 {
		time.AfterFunc(f.duplicate, func() { _ = e.ApplyOrder(o) })
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
