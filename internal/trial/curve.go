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

// moveCosts are the settings that the curve compares.
var moveCosts = []float64{0, 0.25, 0.5, 1, 2, 4}

// Point is the outcome of one move cost over all loads.
type Point struct {
	MoveCost float64
	// Kept is the share of offered requests that kept their promise.
	Kept float64
	// Moves is the mean over the loads, per hour.
	Moves float64
}

// Curve measures what each move cost gives up and saves.
func Curve(s Size) []Point {
	out := make([]Point, 0, len(moveCosts))
	for _, c := range moveCosts {
		p := Point{MoveCost: c}
		kept, offered := 0, 0
		for _, l := range Loads() {
			r := Product(s, l, plan.Settings{MoveCost: c})
			kept, offered = kept+r.Kept, offered+r.Offered
			p.Moves += r.Moves() / float64(len(Loads()))
		}
		p.Kept = float64(kept) / float64(offered)
		out = append(out, p)
	}
	return out
}

// PrintCurve writes a curve as a Markdown table.
func PrintCurve(w io.Writer, points []Point) error {
	if _, err := fmt.Fprint(w, "\n| move_cost | kept of offered | moves/h |\n| --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, p := range points {
		if _, err := fmt.Fprintf(w, "| %g | %.2f%% | %.0f |\n", p.MoveCost, 100*p.Kept, p.Moves); err != nil {
			return err
		}
	}
	return nil
}

// Plot writes a curve as SVG.
func Plot(w io.Writer, points []Point) error {
	p := plot.New()
	p.Title.Text = "Attainment and moves by move_cost, first user, mean of five loads"
	p.X.Label.Text = "moves per hour"
	p.Y.Label.Text = "requests that kept their promise (%)"
	xy := make(plotter.XYs, len(points))
	labels := make([]string, len(points))
	for i, c := range points {
		xy[i] = plotter.XY{X: c.Moves, Y: 100 * c.Kept}
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

// Worth writes what each rule of the planner is worth: its figures without the rule.
func Worth(w io.Writer, s Size) error {
	if _, err := fmt.Fprint(w, "\n| load | without | kept | moves/h |\n| --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, l := range Loads() {
		for _, rule := range []struct {
			name string
			off  plan.Rule
		}{{"(all rules)", 0}, {"follow demand", plan.FollowDemand}, {"keep surplus", plan.KeepSurplus}} {
			set := plan.DefaultSettings()
			set.DisabledRules = rule.off
			r := Product(s, l, set)
			if _, err := fmt.Fprintf(w, "| %s | %s | %d | %.0f |\n", l.Name, rule.name, r.Kept, r.Moves()); err != nil {
				return err
			}
		}
	}
	return nil
}
