package engsim

import (
	"math/rand/v2"
	"sync"
)

// StreamFaults configures how connections break while an answer is sent. A connection that
// breaks at an event loses all, half or nothing of it.
type StreamFaults struct {
	Seed uint64 `yaml:"seed"`
	// BreakProbability is the probability that the connection breaks at an event.
	BreakProbability float64 `yaml:"break"`
}

type streamFaults struct {
	mu   sync.Mutex
	cfg  StreamFaults
	rand *rand.Rand
}

func newStreamFaults(cfg StreamFaults) *streamFaults {
	return &streamFaults{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// draw reports whether the connection breaks at an event, and how many of its bytes arrive.
func (f *streamFaults) draw(size int) (arrived int, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand.Float64() >= f.cfg.BreakProbability {
		return size, false
	}
	const parts = 2 // nothing, half or all of the event arrives
	return size * f.rand.IntN(parts+1) / parts, true
}

// SetStreamFaults replaces the stream faults from now on; the seed is not applied again.
func (e *Engine) SetStreamFaults(cfg StreamFaults) {
	e.streamFaults.mu.Lock()
	defer e.streamFaults.mu.Unlock()
	e.streamFaults.cfg = cfg
}
