package plan

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Endpoint is an endpoint as the planner sees it.
type Endpoint struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Service is the plain service that the endpoint runs; empty for a model engine.
	Service string `json:"service,omitempty"`
	// CapacityBytes is the memory that models may take.
	CapacityBytes int64 `json:"capacity_bytes,omitempty"`
	// Models lists the models and adapters that are to be resident, in name order.
	Models []string `json:"models,omitempty"`
	// ModelsVersion is the plan version at which Models last changed; in an endpoint's own
	// row it is the one that the agent acts on.
	ModelsVersion uint64 `json:"since,omitempty"`
	// Evict lists resident models that the agent may unload; each has a confirmed copy elsewhere.
	Evict []string `json:"evict,omitempty"`
	// LoadOrder gives the loads that are to be done their place in the fleet's order; the
	// agent waits LoadSpacing for each place before it asks the weight store.
	LoadOrder map[string]int `json:"turns,omitempty"`
	// Retire lists resident models without demand that the agent may unload although no
	// other copy exists; a model that it was asked for within MinResidency stays.
	Retire []string `json:"retire,omitempty"`
	// Leaving means that the endpoint takes no new copies and gives up those it has.
	Leaving bool `json:"leaving,omitempty"`
	// Missing lists models of Models that are not resident yet, and Extra resident
	// models that are not in Models. Both appear in an endpoint's own row only.
	Missing []string `json:"missing,omitempty"`
	Extra   []string `json:"extra,omitempty"`
	// Demand is the recent demand, in an endpoint's own row only.
	Demand []Demand `json:"demand,omitempty"`
	// Idle lists resident models that were neither asked for nor loaded within
	// MinResidency, and Waiting models without a copy that entries have requests for.
	// Both appear in an endpoint's own row only.
	Idle          []IdleModel `json:"idle,omitempty"`
	AwaitedModels []string    `json:"waiting,omitempty"`
	// Role is the role that the engine is to have; empty leaves it as it is.
	Role string `json:"role,omitempty"`
}

// Plan is one version of the placement.
type Plan struct {
	Version   uint64     `json:"version"`
	Endpoints []Endpoint `json:"endpoints"`
	// Unplaced lists models without a copy, and Why says for each of them what is missing.
	Unplaced        []string          `json:"unplaced,omitempty"`
	UnplacedReasons map[string]Reason `json:"why,omitempty"`
	// LoadsPerSecond is the rate at which the weight store starts loads; 0 means the default.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
}

// Endpoint returns the part of the plan for an endpoint. Endpoints are in id order.
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
		panic(fmt.Sprintf("a plan always encodes: %v", err))
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

// SamePlacement reports whether two plans place the same models on the same endpoints.
func SamePlacement(a, b Plan) bool {
	return slices.Equal(a.Unplaced, b.Unplaced) && maps.Equal(a.UnplacedReasons, b.UnplacedReasons) && slices.EqualFunc(a.Endpoints, b.Endpoints, func(x, y Endpoint) bool {
		return x.ID == y.ID && x.Address == y.Address && x.Service == y.Service &&
			x.FailureDomain == y.FailureDomain && x.Leaving == y.Leaving && slices.Equal(x.Models, y.Models) &&
			slices.Equal(x.Evict, y.Evict) && slices.Equal(x.Retire, y.Retire)
	})
}
