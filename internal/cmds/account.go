package cmds

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

func newAccount() *cobra.Command {
	return &cobra.Command{
		Use: "account [FILE...]", Short: "Count the requests of each route by how they were served",
		Long: "account reads the logs of gateways from files or standard input. For each route it counts the requests that were answered within the route's " +
			"latency objectives, those that were late and why, and those without an answer by outcome. A request that a client sends again counts again.",
		RunE: func(cmd *cobra.Command, args []string) error {
			a := newServiceAccount()
			if len(args) == 0 {
				if err := a.read(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				err = a.read(f)
				_ = f.Close()
				if err != nil {
					return fmt.Errorf("read %s: %w", name, err)
				}
			}
			return a.print(cmd.OutOrStdout())
		},
	}
}

// serviceAccount counts requests by route, and by what became of them.
type serviceAccount struct {
	routes map[string]map[string]int
}

func newServiceAccount() *serviceAccount {
	return &serviceAccount{routes: map[string]map[string]int{}}
}

// inTime is the result of a request that was answered within its route's objectives.
const inTime = "in time"

func (a *serviceAccount) read(r io.Reader) error {
	lines, err := readLog(r)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if l.stringField("message") != "request ended" {
			continue
		}
		route := cmp.Or(l.stringField("route"), "(no route)")
		if a.routes[route] == nil {
			a.routes[route] = map[string]int{}
		}
		a.routes[route][requestResult(l)]++
	}
	return nil
}

// requestResult returns what became of a request: in time, late with the reason, or its outcome.
func requestResult(l logLine) string {
	outcome, _, _ := strings.Cut(l.stringField("outcome"), ":")
	switch late := l.stringField("late"); {
	case outcome != "answered":
		return outcome
	case late != "":
		return "late: " + late
	default:
		return inTime
	}
}

// print writes one line a route and result, the largest first within a route.
func (a *serviceAccount) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "route\tresult\trequests\tshare\t")
	names := make([]string, 0, len(a.routes))
	for n := range a.routes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		total := 0
		results := make([]string, 0, len(a.routes[n]))
		for res, count := range a.routes[n] {
			total += count
			results = append(results, res)
		}
		slices.SortFunc(results, func(x, y string) int {
			return cmp.Or(cmp.Compare(a.routes[n][y], a.routes[n][x]), cmp.Compare(x, y))
		})
		for _, res := range results {
			count := a.routes[n][res]
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\t\n", n, res, count, float64(count)/float64(total))
		}
	}
	return tw.Flush()
}
