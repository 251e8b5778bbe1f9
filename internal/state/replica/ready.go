package replica

import (
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
)

// orderDelay is the time until a load begins that a request waits for: gateways report their
// demand every 0.4 s, and the planner decides every 0.15 s.
const orderDelay = 300 * time.Millisecond

// TimeToReady returns the time until a first replica of a model can serve, loaded from the
// fastest place that has its weights. It is meant for requests that find no replica, most of
// them after engines were lost, whose hosts still keep the weights on disk.
func TimeToReady(m fleet.Model, service string, states []fleet.State) time.Duration {
	load := m.StoreLoadTime
	for _, s := range states {
		if s.Service != service || s.Leaving || !s.StatusSupersedes || !s.Status.Alive {
			continue
		}
		if m.DiskLoadTime > 0 && slices.Contains(s.Status.OnDisk, m.Name) {
			load = min(load, m.DiskLoadTime)
		}
		if m.MemoryLoadTime > 0 && slices.Contains(s.Status.InMemory, m.Name) {
			load = min(load, m.MemoryLoadTime)
		}
	}
	return orderDelay + load
}
