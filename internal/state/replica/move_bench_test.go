package replica

import (
	"fmt"
	"testing"
)

// BenchmarkNextMove measures a decision as deployments grow: models in proportion to endpoints,
// with demand for a third of them.
func BenchmarkNextMove(b *testing.B) {
	for _, n := range []int{18, 60, 180} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			models := 2 * n
			spec, list, demand := engineSpec(models), endpoints(n), map[string]Demand{}
			for i := range models {
				name := fmt.Sprintf("m%02d", i)
				list[i%n].Models = append(list[i%n].Models, name)
				if i%3 == 0 {
					demand[name] = Demand{OfferedLoad: 0.4}
				}
			}
			for i := range n {
				list[i].Models = append(list[i].Models, fmt.Sprintf("m%02d", (i+1)%models))
			}
			for b.Loop() {
				NextMove(spec, list, demand, true)
			}
		})
	}
}
