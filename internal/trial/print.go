package trial

import (
	"fmt"
	"io"
)

// PrintResults writes the results of a workload as rows of a Markdown table; the first result
// is the bound.
func PrintResults(w io.Writer, load string, results []Result) error {
	for _, r := range results {
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %.0f | %.1f%% | %.0f | %.0f | %.0f | %.0f |\n",
			load, r.Policy, r.Offered, r.MetObjective, r.GoodputPerAccelerator(), 100*float64(r.MetObjective)/float64(results[0].MetObjective), r.MovesPerHour(),
			float64(r.Loads)/r.hours, float64(r.Evictions)/r.hours, float64(r.PlanRemovals)/r.hours)
		if err != nil {
			return err
		}
	}
	return nil
}

// ResultsHeader is the header of the table whose rows PrintResults writes.
const ResultsHeader = "| load | policy | offered | kept | kept per accelerator and hour | of bound | moves/h | loads/h | evictions/h | shifts/h |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
