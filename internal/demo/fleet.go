package demo

import (
	"fmt"
	"time"

	"chervilhead/internal/config"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// The bearer keys of the demo.
const (
	RegistryGroupKey = "demo-registry"
	RecallGroupKey   = "demo-recall"
	OperatorKey      = "demo-operator"
)

// The size of the demo, which is the first user's size of today.
const (
	engines  = 18
	services = 4
	models   = 34
	adapters = 100

	gib             = int64(1) << 30
	engineMemory    = 80 * gib
	engineKV        = 16 * gib
	adapterMemory   = gib / 4
	engineSlots     = 16
	extraSlots      = 4
	loadBytesPerSec = 200 * gib
	prefixBlocks    = 4096
	restartDelay    = time.Second
	resumeGrace     = 5 * time.Second
)

var domains = []string{"sukhbaatar", "bayanzurkh", "khan-uul", "chingeltei"}

// demoTable returns the rows of the demo.
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
	for i := range models {
		t.Models = append(t.Models, table.Model{
			Name: modelName(i), Groups: both, Version: "v1", MemoryBytes: sizes[i%len(sizes)] * gib, LeastCopies: 2,
		})
	}
	for i := range adapters {
		t.Models = append(t.Models, table.Model{
			Name: fmt.Sprintf("adapter-%03d", i), Groups: both, Base: modelName(i % models), Version: "v1", MemoryBytes: adapterMemory,
		})
	}
	return t
}

func modelName(i int) string { return fmt.Sprintf("corral-%02d", i) }
