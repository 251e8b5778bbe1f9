package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a summary as a text table.
func (s Summary) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "requests\t%d in %.1f s (wanted %.1f/s, seed %d, resends %d)\n", s.Requests, s.ElapsedSeconds, s.TargetRate, s.Seed, s.Resends)
	_, _ = fmt.Fprintf(tw, "tokens\t%d (%.0f/s)\n", s.Tokens, s.TokensPerSecond)
	_, _ = fmt.Fprintf(tw, "outcomes\t%s\n", formatCounts(s.Outcomes))
	_, _ = fmt.Fprintf(tw, "faults\t%s\n", formatCounts(s.Violations))
	_, _ = fmt.Fprintln(tw, "latency (ms)\tcount\tp50\tp90\tp99\tp99.9\tmax")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", s.FirstToken}, {"between tokens", s.InterToken}, {"complete answer", s.CompleteAnswer}} {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", row.name, row.q.Count, row.q.P50, row.q.P90, row.q.P99, row.q.P999, row.q.Max)
	}
	return tw.Flush()
}

// Line returns a summary as one line, for progress reports.
func (s Summary) Line() string {
	return fmt.Sprintf("%5.0f s  %d requests  %.0f tokens/s  first token p50 %.1f ms p99 %.1f ms  %s  faults %d",
		s.ElapsedSeconds, s.Requests, s.TokensPerSecond, s.FirstToken.P50, s.FirstToken.P99, formatCounts(s.Outcomes), s.ViolationCount())
}

// WriteJSON writes a summary as indented JSON.
func (s Summary) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(s)
}

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}
