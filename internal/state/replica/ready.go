package replica

import (
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
)

// orderTime is the time until a load begins for which a request waits: gateways tell their
// demand every 0.4 s, and the planner decides every 0.15 s.
const orderTime = 300 * time.Millisecond

// TimeToReady returns the time until a first copy of a model can serve, loaded from where its
// weights are nearest. It answers for requests that find no copy, most of them after
// engines were lost: their hosts still keep the weights on disk.
func TimeToReady(m fleet.Model, service string, states []fleet.State) time.Duration {
	load := m.StoreLoadTime
	for _, s := range states {
		if s.Service != service || s.Leaving || !s.Reported || !s.Status.Alive {
			continue
		}
		if m.DiskLoadTime > 0 && slices.Contains(s.Status.OnDisk, m.Name) {
			load = min(load, m.DiskLoadTime)
		}
		if m.MemoryLoadTime > 0 && slices.Contains(s.Status.InMemory, m.Name) {
			load = min(load, m.MemoryLoadTime)
		}
	}
	return orderTime + load
}
