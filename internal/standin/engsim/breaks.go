package engsim

import (
	"math/rand/v2"
	"sync"
)

// StreamFaults says how connections with answers break. A broken connection loses the
// event at which it breaks, part of it, or nothing.
type StreamFaults struct {
	Seed uint64 `yaml:"seed"`
	// BreakProbability is the probability, drawn for each event, that the connection breaks at it.
	BreakProbability float64 `yaml:"break"`
}

type breaks struct {
	mu   sync.Mutex
	cfg  StreamFaults
	rand *rand.Rand
}

func newBreaks(cfg StreamFaults) *breaks {
	return &breaks{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// draw reports whether the connection breaks at an event, and how many of its bytes arrive.
func (b *breaks) draw(size int) (arrived int, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rand.Float64() >= b.cfg.BreakProbability {
		return size, false
	}
	const shapes = 2 // nothing, half or all of the event arrives
	return size * b.rand.IntN(shapes+1) / shapes, true
}

// SetStreamFaults changes how connections break from now on.
func (e *Engine) SetStreamFaults(cfg StreamFaults) {
	e.breaks.mu.Lock()
	defer e.breaks.mu.Unlock()
	e.breaks.cfg = cfg
}
