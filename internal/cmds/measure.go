package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"chervilhead/internal/trial"
)

func newMeasure() *cobra.Command {
	var targetFleet, shares, routing, recovery, excessModels bool
	var workload, plotPath string
	cmd := &cobra.Command{
		Use: "measure", Short: "Measure placement, routing, fair shares and limits in virtual time", Args: cobra.NoArgs,
		Long: "Measure latency-objective attainment per accelerator and moves for the product, two baselines and a bound\n" +
			"under five workloads, then the effect of each planner rule and the trade-off that move_cost sets; with\n" +
			"--routing, the effect of each routing rule under chat sessions.\n" +
			"The output holds the tables of docs/measures.md; the seeds are fixed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := cmd.OutOrStdout()
			if shares {
				return trial.PrintFairness(w)
			}
			if routing {
				return trial.PrintChats(w, trial.ChatScenarios())
			}
			if recovery {
				return trial.PrintRecovery(w, trial.DomainLosses()...)
			}
			if excessModels {
				size, loads := trial.ExcessModels()
				return printComparison(w, size, loads, workload)
			}
			if targetFleet {
				return printComparison(w, trial.TargetFleet(), trial.Workloads(), workload)
			}
			if err := printComparison(w, trial.FirstUserFleet(), trial.Workloads(), workload); err != nil {
				return err
			}
			if err := trial.PrintPlannerAblation(w, trial.FirstUserFleet()); err != nil {
				return err
			}
			return writeMoveCostCurve(w, plotPath)
		},
	}
	cmd.Flags().BoolVar(&targetFleet, "target", false, "compare at the target fleet size instead of the first user's")
	cmd.Flags().BoolVar(&shares, "shares", false, "measure fair shares, floods and limits of groups instead of placement")
	cmd.Flags().BoolVar(&recovery, "recovery", false, "measure the order of loads after the loss of a failure domain or region instead of placement")
	cmd.Flags().BoolVar(&excessModels, "unfit", false, "compare with 1.3 times as many models as fit in memory")
	cmd.Flags().BoolVar(&routing, "routing", false, "measure the routing rules under chat sessions instead of placement")
	cmd.Flags().StringVar(&workload, "load", "", "name of the only workload to compare; all by default")
	cmd.Flags().StringVar(&plotPath, "svg", "docs/move_cost.svg", "SVG file for the plot of move_cost")
	return cmd
}

// printComparison prints the results of all policies under the named workload; an empty name
// stands for all.
func printComparison(w io.Writer, fleet trial.FleetSpec, loads []trial.Workload, workload string) error {
	if _, err := fmt.Fprint(w, trial.ResultsHeader); err != nil {
		return err
	}
	for _, l := range loads {
		if workload != "" && l.Name != workload {
			continue
		}
		if err := trial.PrintResults(w, l.Name, trial.ComparePolicies(fleet, l)); err != nil {
			return err
		}
	}
	return nil
}

func writeMoveCostCurve(w io.Writer, path string) error {
	points := trial.MoveCostCurve(trial.FirstUserFleet())
	if err := trial.PrintMoveCostCurve(w, points); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	if err := trial.PlotMoveCostCurve(f, points); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
