package control

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/fleet"
)

// specHash identifies the engine's part of the configuration, which keepers read again
// only when it changes; most changes concern routes.
type specHash struct {
	mu      sync.Mutex
	version uint64
	byName  map[string]uint64
}

func (d *Plane) specHash(version uint64, service string, e *fleet.EngineSpec) uint64 {
	h := &d.hash
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version != version || h.byName == nil {
		h.version, h.byName = version, map[string]uint64{}
	}
	sum, ok := h.byName[service]
	if !ok {
		x := xxhash.New()
		fmt.Fprint(x, e.WeightsMB, e.AdapterSlots, e.Slots)
		names := make([]string, 0, len(e.Models))
		for n := range e.Models {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			fmt.Fprint(x, e.Models[n])
		}
		sum = max(1, x.Sum64())
		h.byName[service] = sum
	}
	return sum
}
