package plan

import (
	"fmt"
	"testing"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// TestStagingSpace guards against a plan whose models fit only if the largest is loaded
// first: an agent that loads them in another order would wait for memory without end.
func TestStagingSpace(t *testing.T) {
	var models []table.Model
	for i, size := range []int64{500, 300, 180, 90} {
		models = append(models, table.Model{Name: fmt.Sprint("m", i), Groups: []string{"g"}, MemoryBytes: size})
	}
	tab := table.New(1, []table.Group{{Name: "g", Weight: 1}}, models, nil, nil)
	p := Compute(tab, []Endpoint{{ID: "e", CapacityBytes: 1000}}, Plan{})
	var sum, staging int64
	for _, name := range p.Endpoints[0].Models {
		m, _ := tab.Model(name)
		sum += m.MemoryBytes
		staging = max(staging, memory.StagingBytes(m.MemoryBytes))
	}
	if sum+staging > 1000 {
		t.Fatalf("models %v take %d bytes and %d for staging, of 1000", p.Endpoints[0].Models, sum, staging)
	}
}
