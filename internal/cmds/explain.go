package cmds

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// aroundRequest is the time before and after a request in which the log lines on its
// endpoints are shown; beliefs are at most some seconds old.
const aroundRequest = 5 * time.Second

// maxLogLine bounds a log line in bytes.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID [FILE...]", Short: "Show one request's life from the logs of all processes",
		Long: "explain reads the logs of gateways and keepers, from files or from standard input, and prints the lines " +
			"on a request and those on its endpoints around it, in order of time. Whatever stands before the JSON of a line is kept as its source.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []logLine
			if len(args) == 1 {
				list, err := readLog(cmd.InOrStdin())
				if err != nil {
					return err
				}
				lines = list
			}
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				list, err := readLog(f)
				_ = f.Close()
				if err != nil {
					return fmt.Errorf("read %s: %w", name, err)
				}
				lines = append(lines, list...)
			}
			return explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

// logLine is one line of a structured log.
type logLine struct {
	source string
	at     time.Time
	fields map[string]any
}

func (l logLine) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// readLog returns the lines of a log that hold JSON, in their order.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		i := strings.IndexByte(sc.Text(), '{')
		if i < 0 {
			continue
		}
		l := logLine{source: strings.TrimSpace(sc.Text()[:i])}
		if err := json.Unmarshal([]byte(sc.Text()[i:]), &l.fields); err != nil {
			// Other programs may write to the same file.
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, sc.Err()
}

// explain prints the lines on a request and on its endpoints around it.
func explain(w io.Writer, id string, lines []logLine) error {
	endpoints := map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.text("request") != id {
			continue
		}
		if e := l.text("endpoint"); e != "" {
			endpoints[e] = true
		}
		began := l.at
		if ms, ok := l.fields["took_ms"].(float64); ok {
			began = began.Add(-time.Duration(ms) * time.Millisecond)
		}
		if from.IsZero() || began.Before(from) {
			from = began
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	if from.IsZero() {
		return &ExitError{exitFailure, fmt.Errorf("no line names request %q; give the logs of all gateways of that time", id)}
	}
	from, to = from.Add(-aroundRequest), to.Add(aroundRequest)
	var shown []logLine
	for _, l := range lines {
		own := l.text("request") == id
		around := l.text("request") == "" && endpoints[l.text("endpoint")] && !l.at.Before(from) && !l.at.After(to)
		if own || around {
			shown = append(shown, l)
		}
	}
	slices.SortStableFunc(shown, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, l := range shown {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

// String returns the line with its message first and its fields in order.
func (l logLine) String() string {
	var b strings.Builder
	b.WriteString(l.at.Format("15:04:05.000"))
	if l.source != "" {
		b.WriteString(" " + l.source)
	}
	b.WriteString("  " + l.text("message"))
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		switch k {
		case "message", "time", "level", "service":
			continue
		}
		v, err := json.Marshal(l.fields[k])
		if err != nil || string(v) == "null" || string(v) == `""` {
			continue
		}
		fmt.Fprintf(&b, " %s=%s", k, v)
	}
	return b.String()
}
