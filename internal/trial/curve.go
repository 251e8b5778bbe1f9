package trial

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"chervilhead/internal/state/plan"
)

// moveCosts are the move_cost settings that the curve compares.
var moveCosts = []float64{0, 0.25, 0.5, 1, 2, 4}

// MoveCostPoint is the outcome of one move cost over all workloads.
type MoveCostPoint struct {
	MoveCost float64
	// Attainment is the share of offered requests that met the latency objective.
	Attainment float64
	// MovesPerHour is the mean over the workloads.
	MovesPerHour float64
}

// MoveCostCurve measures attainment and moves per hour for each move cost.
func MoveCostCurve(s FleetSpec) []MoveCostPoint {
	out := make([]MoveCostPoint, 0, len(moveCosts))
	for _, c := range moveCosts {
		p := MoveCostPoint{MoveCost: c}
		kept, offered := 0, 0
		for _, l := range Workloads() {
			r := RunProduct(s, l, plan.Settings{MoveCost: c})
			kept, offered = kept+r.MetObjective, offered+r.Offered
			p.MovesPerHour += r.MovesPerHour() / float64(len(Workloads()))
		}
		p.Attainment = float64(kept) / float64(offered)
		out = append(out, p)
	}
	return out
}

// PrintMoveCostCurve writes a curve as a Markdown table.
func PrintMoveCostCurve(w io.Writer, points []MoveCostPoint) error {
	if _, err := fmt.Fprint(w, "\n| move_cost | kept of offered | moves/h |\n| --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, p := range points {
		if _, err := fmt.Fprintf(w, "| %g | %.2f%% | %.0f |\n", p.MoveCost, 100*p.Attainment, p.MovesPerHour); err != nil {
			return err
		}
	}
	return nil
}

// PlotMoveCostCurve writes a curve as SVG.
func PlotMoveCostCurve(w io.Writer, points []MoveCostPoint) error {
	p := plot.New()
	p.Title.Text = "Attainment and moves by move_cost, first user, mean of five loads"
	p.X.Label.Text = "moves per hour"
	p.Y.Label.Text = "requests that kept their promise (%)"
	xy := make(plotter.XYs, len(points))
	labels := make([]string, len(points))
	for i, c := range points {
		xy[i] = plotter.XY{X: c.MovesPerHour, Y: 100 * c.Attainment}
		labels[i] = fmt.Sprint(c.MoveCost)
	}
	if err := plotutil.AddLinePoints(p, xy); err != nil {
		return fmt.Errorf("plot move costs: %w", err)
	}
	text, err := plotter.NewLabels(plotter.XYLabels{XYs: xy, Labels: labels})
	if err != nil {
		return fmt.Errorf("label move costs: %w", err)
	}
	p.Add(text)
	out, err := p.WriterTo(16*vg.Centimeter, 10*vg.Centimeter, "svg")
	if err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

// PrintPlannerAblation writes, as a Markdown table, the results of the planner with all rules and
// without each of them.
func PrintPlannerAblation(w io.Writer, s FleetSpec) error {
	if _, err := fmt.Fprint(w, "\n| load | without | kept | moves/h |\n| --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, l := range Workloads() {
		for _, rule := range []struct {
			name string
			off  plan.Rule
		}{{"(all rules)", 0}, {"follow demand", plan.FollowDemand}, {"keep surplus", plan.KeepSurplus}} {
			set := plan.DefaultSettings()
			set.DisabledRules = rule.off
			r := RunProduct(s, l, set)
			if _, err := fmt.Fprintf(w, "| %s | %s | %d | %.0f |\n", l.Name, rule.name, r.MetObjective, r.MovesPerHour()); err != nil {
				return err
			}
		}
	}
	return nil
}
