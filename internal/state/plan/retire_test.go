package plan

import (
	"fmt"
	"testing"

	"chervilhead/internal/state/table"
)

// TestWeightStoreOutage guards against idle models being removed one after the other for
// awaited models while the weight store loads none.
func TestWeightStoreOutage(t *testing.T) {
	const resident, awaited = 40, 30
	var models []table.Model
	var rows []Endpoint
	var prev Plan
	for i := range resident {
		m := table.Model{Name: fmt.Sprintf("m%02d", i), MemoryBytes: 60}
		models = append(models, m)
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), FailureDomain: "d", CapacityBytes: 100, Models: []string{m.Name}}
		prev.Endpoints = append(prev.Endpoints, e)
		e.Idle = []IdleModel{{Model: m.Name}}
		rows = append(rows, e)
	}
	for i := range awaited {
		name := fmt.Sprintf("w%02d", i)
		models = append(models, table.Model{Name: name, MemoryBytes: 60})
		rows[0].AwaitedModels = append(rows[0].AwaitedModels, name)
	}
	tab := table.New(1, nil, models, nil, nil)
	retired := map[string]bool{}
	for range 20 {
		next := Compute(tab, rows, prev)
		for i, e := range next.Endpoints {
			for _, name := range e.Retire {
				retired[name] = true
			}
			// The agents unload at once and load nothing.
			rows[i].ModelsVersion, rows[i].Missing, rows[i].Idle = e.ModelsVersion, nil, nil
			for _, name := range e.Models {
				if name[0] == 'w' {
					rows[i].Missing = append(rows[i].Missing, name)
				} else {
					rows[i].Idle = append(rows[i].Idle, IdleModel{Model: name})
				}
			}
		}
		prev = next
	}
	if len(retired) != maxPendingLoads {
		t.Fatalf("%d replicas were retired, want %d", len(retired), maxPendingLoads)
	}
}
