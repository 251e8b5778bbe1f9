package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"chervilhead/internal/trial"
)

func newMeasure() *cobra.Command {
	var target, shares, routing, recovery, unfit bool
	var load, svg string
	cmd := &cobra.Command{
		Use: "measure", Short: "Measure the decisions of placement, routing, shares and limits in virtual time", Args: cobra.NoArgs,
		Long: "Measure attainment per accelerator and moves of the product, two baselines and a bound under five loads,\n" +
			"then what each rule of the planner is worth and what move_cost trades; with --routing, what each rule\n" +
			"of routing is worth under chats.\n" +
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
			if unfit {
				size, loads := trial.ExcessModels()
				return compare(w, size, loads, load)
			}
			if target {
				return compare(w, trial.TargetFleet(), trial.Workloads(), load)
			}
			if err := compare(w, trial.FirstUserFleet(), trial.Workloads(), load); err != nil {
				return err
			}
			if err := trial.PrintPlannerAblation(w, trial.FirstUserFleet()); err != nil {
				return err
			}
			return drawCurve(w, svg)
		},
	}
	cmd.Flags().BoolVar(&target, "target", false, "compare at the target size instead of the first user's")
	cmd.Flags().BoolVar(&shares, "shares", false, "measure shares of groups, floods and limits instead of placement")
	cmd.Flags().BoolVar(&recovery, "recovery", false, "measure the order of loads after the loss of failure domains")
	cmd.Flags().BoolVar(&unfit, "unfit", false, "compare where a third more models are registered than fit")
	cmd.Flags().BoolVar(&routing, "routing", false, "measure the rules of routing under chats instead")
	cmd.Flags().StringVar(&load, "load", "", "compare under one load only")
	cmd.Flags().StringVar(&svg, "svg", "docs/move_cost.svg", "file for the plot of move_cost")
	return cmd
}

// compare prints the table of all policies.
func compare(w io.Writer, size trial.FleetSpec, loads []trial.Workload, load string) error {
	if _, err := fmt.Fprint(w, trial.ResultsHeader); err != nil {
		return err
	}
	for _, l := range loads {
		if load != "" && l.Name != load {
			continue
		}
		if err := trial.PrintResults(w, l.Name, trial.ComparePolicies(size, l)); err != nil {
			return err
		}
	}
	return nil
}

func drawCurve(w io.Writer, path string) error {
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
