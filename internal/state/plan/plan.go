package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Endpoint is the part of a plan for one endpoint, and the row in which its agent reports
// to the planner. The agent sets ID to CapacityBytes, which the plan repeats; Models, Evict,
// LoadOrder, Retire and Role are set by the planner only. The other fields say who sets them.
type Endpoint struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Service names the plain service that the endpoint runs; empty for a model engine.
	Service string `json:"service,omitempty"`
	// CapacityBytes is the memory available to models.
	CapacityBytes int64 `json:"capacity_bytes,omitempty"`
	// Models lists the models and adapters that are to be resident, in name order.
	Models []string `json:"models,omitempty"`
	// ModelsVersion is the plan version at which Models last changed; in an agent's row it
	// is the one that the agent acts on.
	ModelsVersion uint64 `json:"since,omitempty"`
	// Evict lists resident models that the agent may unload: they have a confirmed replica
	// elsewhere or can no longer be used here.
	Evict []string `json:"evict,omitempty"`
	// LoadOrder gives each pending load its position, from 1, in the load order of all
	// endpoints; LoadTimes derives from it when the agent may start the load.
	LoadOrder map[string]int `json:"turns,omitempty"`
	// Retire lists resident models without demand that the agent may unload although no
	// other replica exists, unless they were requested there within MinResidency.
	Retire []string `json:"retire,omitempty"`
	// Leaving means that the endpoint drains: it gets no new replicas and gives up those
	// that it has. The agent sets it, and the planner if the host is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Missing lists models of Models that are not resident yet, and Extra resident
	// models that are not in Models. Both are set in an agent's row only.
	Missing []string `json:"missing,omitempty"`
	Extra   []string `json:"extra,omitempty"`
	// Demand is the recent demand at the endpoint, set in an agent's row only.
	Demand []Demand `json:"demand,omitempty"`
	// Idle lists resident models that were neither requested nor loaded within
	// MinResidency, and AwaitedModels those without a replica that requests wait for.
	// Both are set in an agent's row only.
	Idle          []IdleModel `json:"idle,omitempty"`
	AwaitedModels []string    `json:"waiting,omitempty"`
	// Role is the role that the engine is to have; empty leaves it as it is.
	Role string `json:"role,omitempty"`
}

// Plan is one version of the placement plan.
type Plan struct {
	Version   uint64     `json:"version"`
	Endpoints []Endpoint `json:"endpoints"`
	// Unplaced lists models without a replica, and UnplacedReasons says why they have none.
	Unplaced        []string          `json:"unplaced,omitempty"`
	UnplacedReasons map[string]Reason `json:"why,omitempty"`
	// LoadsPerSecond is the rate at which the weight store starts loads; 0 means 2.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
}

// Endpoint returns the part of the plan for an endpoint; p.Endpoints must be in id order.
func (p Plan) Endpoint(id string) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(p.Endpoints, id, func(e Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Endpoint{}, false
	}
	return p.Endpoints[i], true
}

// Encode returns the plan's JSON form.
func Encode(p Plan) []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encode plan: %v", err))
	}
	return b
}

// Decode parses the JSON form of a plan.
func Decode(b []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(b, &p); err != nil {
		return p, fmt.Errorf("decode plan: %w", err)
	}
	return p, nil
}

// SamePlacement reports whether two plans have the same endpoints, replicas, evictions and
// unplaced models. Versions, capacities, roles, load rates and load orders may differ.
func SamePlacement(a, b Plan) bool {
	return slices.Equal(a.Unplaced, b.Unplaced) && maps.Equal(a.UnplacedReasons, b.UnplacedReasons) && slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y Endpoint) bool {
		return x.ID == y.ID && x.Address == y.Address && x.Service == y.Service &&
			x.FailureDomain == y.FailureDomain && x.Leaving == y.Leaving && slices.Equal(x.Models, y.Models) &&
			slices.Equal(x.Evict, y.Evict) && slices.Equal(x.Retire, y.Retire)
	})
}
