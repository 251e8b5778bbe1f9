package demo

import (
	"fmt"
	"time"

	"chervilhead/internal/config"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

const (
	// RegistryGroupKey is the bearer key of group registry.
	RegistryGroupKey = "demo-registry"
	// RecallGroupKey is the bearer key of group recall.
	RecallGroupKey = "demo-recall"
	// OperatorKey is the bearer key of the operator.
	OperatorKey = "demo-operator"
)

// The demo has the size of the first user's present fleet.
const (
	engineCount  = 18
	serviceCount = 4
	modelCount   = 34
	adapterCount = 100

	gib                = int64(1) << 30
	engineMemoryBytes  = 80 * gib
	engineKVBytes      = 16 * gib // key-value cache
	adapterMemoryBytes = gib / 4
	engineSlots        = 16
	extraSlots         = 4 // requests that an engine batches beyond engineSlots
	loadBytesPerSecond = 200 * gib
	prefixBlocks       = 4096 // blocks of the prefix cache
	restartDelay       = time.Second
	resumeGrace        = 5 * time.Second
)

var failureDomains = []string{"sukhbaatar", "bayanzurkh", "khan-uul", "chingeltei"}

// demoTable returns the demo's operators' table.
func demoTable() config.Table {
	both := []string{"registry", "recall"}
	t := config.Table{
		Groups: []table.Group{
			{Name: "registry", Weight: 3, QueueBound: 256, PriorityCeiling: 9},
			{Name: "recall", Weight: 1, QueueBound: 256, PriorityCeiling: 9},
		},
		Services: []table.Service{
			{Name: "confirm", Groups: both, NonIdempotent: []table.Route{{Method: "POST", Path: "/run"}}},
		},
		Keys: []table.Key{
			{Name: "registry", Hash: ident.HashKey(RegistryGroupKey), Group: "registry"},
			{Name: "recall", Hash: ident.HashKey(RecallGroupKey), Group: "recall"},
			{Name: "operator", Hash: ident.HashKey(OperatorKey), Operator: true},
		},
	}
	sizes := []int64{6, 8, 10, 14, 18}
	for i := range modelCount {
		t.Models = append(t.Models, table.Model{
			Name: modelName(i), Groups: both, Version: "v1", MemoryBytes: sizes[i%len(sizes)] * gib, LeastCopies: 2,
		})
	}
	for i := range adapterCount {
		t.Models = append(t.Models, table.Model{
			Name: fmt.Sprintf("adapter-%03d", i), Groups: both, Base: modelName(i % modelCount), Version: "v1", MemoryBytes: adapterMemoryBytes,
		})
	}
	return t
}

func modelName(i int) string { return fmt.Sprintf("corral-%02d", i) }
