package control

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/fleet"
)

// engineConfigHashes caches the hash of each service's engine configuration. Keepers reread the
// configuration only when the hash changes; most changes concern routes.
type engineConfigHashes struct {
	mu        sync.Mutex
	version   uint64
	byService map[string]uint64
}

func (p *Plane) engineConfigHash(version uint64, service string, e *fleet.EngineSpec) uint64 {
	h := &p.configHashes
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version != version || h.byService == nil {
		h.version, h.byService = version, map[string]uint64{}
	}
	sum, ok := h.byService[service]
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
		h.byService[service] = sum
	}
	return sum
}
