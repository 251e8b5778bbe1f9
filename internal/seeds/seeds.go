// Package seeds sets the defaults of rapid's flags to a fixed seed and enough steps, so
// that property tests give the same verdict in each run. Test packages import it for its
// side effect; the flags -rapid.seed, -rapid.checks and -rapid.steps override it for long runs.
package seeds

import (
	"flag"
	"fmt"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

const (
	seed = "20261203"
	// 100 steps reach states that rapid's default of 30 does not.
	steps = "100"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": steps, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("set flag %s: %v", name, err))
		}
	}
}
