package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CompareSettings configures a comparison of requests through the system with requests
// sent directly to engines.
type CompareSettings struct {
	Engines       int
	Slots         int
	Tokens        int
	TokenInterval time.Duration
	// Utilization is the fraction of the engines' slots that the load occupies on average.
	Utilization float64
	// RoundDuration is the length of one round; the two sides alternate for Rounds rounds each.
	RoundDuration time.Duration
	Rounds        int
	Seed          uint64
	// CPUProfilePath is the file for a CPU profile of the first round through the system;
	// empty means none.
	CPUProfilePath string
}

// DefaultCompareSettings returns the settings of a comparison at a utilization of one half.
func DefaultCompareSettings() CompareSettings {
	return CompareSettings{Engines: 4, Slots: 16, Tokens: 50, TokenInterval: 20 * time.Millisecond, Utilization: 0.5, RoundDuration: 5 * time.Second, Rounds: 3, Seed: 1}
}

// Comparison holds the latencies of both sides and what the system adds to them.
type Comparison struct {
	Direct                 SideSummary `json:"direct"`
	ThroughSystem          SideSummary `json:"path"`
	AddedFirstTokenP50Ms   float64     `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99Ms   float64     `json:"added_first_token_p99_ms"`
	FirstTokenP50Ratio     float64     `json:"first_token_p50_ratio"`
	FirstTokenP99Ratio     float64     `json:"first_token_p99_ratio"`
	InterTokenP50Ratio     float64     `json:"between_tokens_p50_ratio"`
	CompleteAnswerP50Ratio float64     `json:"complete_answer_p50_ratio"`
}

// SideSummary summarizes all rounds of one side of a comparison, latencies in milliseconds.
type SideSummary struct {
	FirstToken     Quantiles `json:"first_token"`
	InterToken     Quantiles `json:"between_tokens"`
	CompleteAnswer Quantiles `json:"complete_answer"`
	Violations     int       `json:"faults"`
	Incomplete     int       `json:"incomplete"`
}

// side accumulates the rounds of one side of a comparison.
type side struct {
	firstToken, interToken, completeAnswer *hdrhistogram.Histogram
	violations, incomplete                 int
}

func newSide() *side {
	r := newResult(Settings{})
	return &side{firstToken: r.firstToken, interToken: r.interToken, completeAnswer: r.completeAnswer}
}

func (s *side) add(r *Result) {
	s.firstToken.Merge(r.firstToken)
	s.interToken.Merge(r.interToken)
	s.completeAnswer.Merge(r.completeAnswer)
	sum := r.FinalSummary()
	s.violations += sum.ViolationCount()
	s.incomplete += sum.Requests - sum.Outcomes["complete"]
}

func (s *side) summary() SideSummary {
	return SideSummary{
		FirstToken: quantiles(s.firstToken), InterToken: quantiles(s.interToken), CompleteAnswer: quantiles(s.completeAnswer),
		Violations: s.violations, Incomplete: s.incomplete,
	}
}

// Compare starts a fleet in this process and sends the same load, in alternating rounds,
// directly to engines and through the system, so that background load on the host
// affects both sides.
func Compare(ctx context.Context, cfg CompareSettings) (*Comparison, error) {
	f, err := startFleet(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	base := DefaultSettings()
	base.Models, base.Keys = []string{fleetModel}, []string{fleetKey}
	base.Tokens, base.StreamShare, base.Duration = cfg.Tokens, 1, cfg.RoundDuration
	base.Rate = cfg.Utilization * float64(cfg.Engines*cfg.Slots) / (float64(cfg.Tokens+1) * cfg.TokenInterval.Seconds())
	direct, path := newSide(), newSide()
	for n := range cfg.Rounds {
		base.Seed = cfg.Seed + uint64(n)
		if err := runRound(ctx, base, f.directTargets, true, direct); err != nil {
			return nil, err
		}
		stop, err := startProfile(cfg.CPUProfilePath, n)
		if err != nil {
			return nil, err
		}
		err = runRound(ctx, base, f.targets(), false, path)
		stop()
		if err != nil {
			return nil, err
		}
	}
	return newComparison(direct.summary(), path.summary()), nil
}

func runRound(ctx context.Context, cfg Settings, targets []string, direct bool, total *side) error {
	cfg.Targets, cfg.Direct = targets, direct
	res, err := Run(ctx, cfg, nil)
	if err == nil {
		total.add(res)
	}
	return err
}

// startProfile starts a CPU profile in the first round and returns the function that ends it.
func startProfile(path string, n int) (stop func(), err error) {
	if path == "" || n > 0 {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create CPU profile: %w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

func newComparison(d, p SideSummary) *Comparison {
	ratio := func(a, b float64) float64 { return a / max(b, 0.001) }
	return &Comparison{
		Direct: d, ThroughSystem: p,
		AddedFirstTokenP50Ms: p.FirstToken.P50 - d.FirstToken.P50, AddedFirstTokenP99Ms: p.FirstToken.P99 - d.FirstToken.P99,
		FirstTokenP50Ratio: ratio(p.FirstToken.P50, d.FirstToken.P50), FirstTokenP99Ratio: ratio(p.FirstToken.P99, d.FirstToken.P99),
		InterTokenP50Ratio: ratio(p.InterToken.P50, d.InterToken.P50), CompleteAnswerP50Ratio: ratio(p.CompleteAnswer.P50, d.CompleteAnswer.P50),
	}
}

// WriteTable writes a comparison as a text table.
func (c *Comparison) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "latency (ms)\tdirect p50\tpath p50\tratio\tdirect p99\tpath p99\tratio")
	for _, row := range []struct {
		name string
		d, p Quantiles
	}{
		{"first token", c.Direct.FirstToken, c.ThroughSystem.FirstToken},
		{"between tokens", c.Direct.InterToken, c.ThroughSystem.InterToken},
		{"complete answer", c.Direct.CompleteAnswer, c.ThroughSystem.CompleteAnswer},
	} {
		_, _ = fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", row.name,
			row.d.P50, row.p.P50, row.p.P50/max(row.d.P50, 0.001), row.d.P99, row.p.P99, row.p.P99/max(row.d.P99, 0.001))
	}
	_, _ = fmt.Fprintf(tw, "added to the first token\t%.3f ms at the median\t%.3f ms at the 99th percentile\n", c.AddedFirstTokenP50Ms, c.AddedFirstTokenP99Ms)
	_, _ = fmt.Fprintf(tw, "answers\tdirect %d, path %d; faults %d and %d; not complete %d and %d\n", c.Direct.CompleteAnswer.Count,
		c.ThroughSystem.CompleteAnswer.Count, c.Direct.Violations, c.ThroughSystem.Violations, c.Direct.Incomplete, c.ThroughSystem.Incomplete)
	return tw.Flush()
}

// WriteJSON writes a comparison as indented JSON.
func (c *Comparison) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(c)
}
