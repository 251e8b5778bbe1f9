package load

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot writes the latency distributions of a run as SVG. It fails if no latency was recorded.
func (r *Result) WritePlot(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Latency at %.1f requests/s from the intended send time", r.cfg.Rate)
	p.X.Label.Text = "share of requests or tokens"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	var lines []any
	for _, c := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.firstToken}, {"between tokens", r.interToken}, {"complete answer", r.completeAnswer}} {
		if xy := curve(c.h); len(xy) > 0 {
			lines = append(lines, c.name, xy)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no latency was recorded: nothing to plot")
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot latencies: %w", err)
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("render latency plot: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

// curve returns the cumulative distribution of a histogram.
func curve(h *hdrhistogram.Histogram) plotter.XYs {
	var xy plotter.XYs
	if h.TotalCount() == 0 {
		return xy
	}
	for _, b := range h.CumulativeDistribution() {
		xy = append(xy, plotter.XY{X: b.Quantile / 100, Y: float64(max(b.ValueAt, 1)) / 1000})
	}
	return xy
}
