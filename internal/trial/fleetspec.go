package trial

import (
	"fmt"
	"time"

	"chervilhead/internal/state/table"
)

// FleetSpec is the size of a fleet and the concurrency of its weight store.
type FleetSpec struct {
	Name                                      string
	Engines, Models, Adapters, FailureDomains int
	LoadsAtOnce                               int
	Horizon                                   time.Duration
}

// FirstUserFleet returns the present fleet of the first user.
func FirstUserFleet() FleetSpec {
	return FleetSpec{Name: "first user", Engines: 18, Models: 34, Adapters: 100, FailureDomains: 4, LoadsAtOnce: 3, Horizon: 30 * time.Minute}
}

// TargetFleet returns the fleet that the design targets; its horizon is shorter to bound the run time.
func TargetFleet() FleetSpec {
	return FleetSpec{Name: "target", Engines: 600, Models: 530, FailureDomains: 12, LoadsAtOnce: 11, Horizon: 10 * time.Minute}
}

// Parameters of the simulated engine. A full batch still meets the objective for the time
// between tokens, so a request meets its objective if its first token is in time and it completes.
const (
	gib                 = int64(1) << 30
	capacityBytes       = 64 * gib
	adapterBytes        = gib / 4
	slots               = 32
	prefillTime         = 120 * time.Millisecond
	answerTokens        = 294 // 470,000 tokens/s over 1,600 requests/s at the target size
	tokenInterval       = 28 * time.Millisecond
	serviceTime         = prefillTime + answerTokens*tokenInterval
	firstTokenObjective = 710 * time.Millisecond
	maxStartDelay       = firstTokenObjective - prefillTime
	callerDeadline      = 5 * time.Second

	storeBytesPerSecond = 4 * gib
	storeInterval       = 500 * time.Millisecond
)

// name returns the name of a model.
func (s FleetSpec) modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// table returns the models and adapters of a fleet in two groups that share no model.
func (s FleetSpec) table(copies int) table.Table {
	var models []table.Model
	sizes := []int64{6, 8, 10, 14, 18}
	for i := range s.Models {
		models = append(models, table.Model{
			Name: s.modelName(i), Groups: []string{groupOf(i)}, Version: "v1",
			MemoryBytes: sizes[i%len(sizes)] * gib, LeastCopies: copies,
		})
	}
	for i := range s.Adapters {
		base := models[i%s.Models]
		models = append(models, table.Model{
			Name: fmt.Sprintf("adapter-%03d", i), Groups: base.Groups, Base: base.Name, Version: "v1", MemoryBytes: adapterBytes,
		})
	}
	groups := []table.Group{{Name: "registry", Weight: 3}, {Name: "recall", Weight: 1}}
	return table.New(1, groups, models, nil, nil)
}

// groupOf assigns every third model to the second group.
func groupOf(i int) string {
	if i%3 == 2 {
		return "recall"
	}
	return "registry"
}
