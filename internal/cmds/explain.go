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

// explainMargin is the time before and after a request for which log lines of its endpoints
// are shown. A gateway's view of an endpoint is at most a few seconds old.
const explainMargin = 5 * time.Second

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID [FILE...]", Short: "Show the log lines of one request from all processes",
		Long: "explain reads the logs of gateways and keepers from files or standard input. It prints, in order of time, " +
			"the lines of a request, of resumptions of its stream that were rejected or redirected, and those of its endpoints from 5 s before it to 5 s after it. Text before the JSON of a line is printed as its source.",
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
			return printRequestLog(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

// logLine is one line of a structured log.
type logLine struct {
	source string
	at     time.Time
	fields map[string]any
}

func (l logLine) stringField(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// host returns the last word of the text before the line's JSON, which names the process.
func (l logLine) host() string {
	f := strings.Fields(l.source)
	if len(f) == 0 {
		return ""
	}
	return f[len(f)-1]
}

// readLog returns the JSON lines of a log that have a valid time, in file order.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		i := strings.IndexByte(sc.Text(), '{')
		if i < 0 {
			continue
		}
		l := logLine{source: strings.TrimSpace(sc.Text()[:i])}
		if err := json.Unmarshal([]byte(sc.Text()[i:]), &l.fields); err != nil {
			// Other programs may write to the same file; skip their lines.
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, sc.Err()
}

// printRequestLog prints the lines of a request and those of its endpoints within explainMargin
// of it.
func printRequestLog(w io.Writer, id string, lines []logLine) error {
	endpoints := map[string]bool{}
	var from, to time.Time
	var outcome, host string
	for _, l := range lines {
		if l.stringField("request") != id {
			continue
		}
		if e := l.stringField("endpoint"); e != "" {
			endpoints[e] = true
		}
		if o := l.stringField("outcome"); o != "" {
			outcome, host = o, l.host()
		}
		start := l.at
		if ms, ok := l.fields["took_ms"].(float64); ok {
			start = start.Add(-time.Duration(ms) * time.Millisecond)
		}
		if from.IsZero() || start.Before(from) {
			from = start
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	if from.IsZero() {
		return &ExitError{exitFailure, fmt.Errorf("no log line names request %q; pass the logs of all gateways that ran at that time", id)}
	}
	from, to = from.Add(-explainMargin), to.Add(explainMargin)
	var shown []logLine
	for _, l := range lines {
		// A later attempt of the caller resumes the stream that the request began.
		ofRequest := l.stringField("request") == id || l.stringField("resumes") == id
		near := l.stringField("request") == "" && !l.at.Before(from) && !l.at.After(to)
		ofEndpoint := near && endpoints[l.stringField("endpoint")]
		// The gateway's lines on other clients that it refused or shed have the listener's name.
		ofListener := near && forMemory[outcome] && l.stringField("listener") != "" && l.host() == host
		if ofRequest || ofEndpoint || ofListener {
			shown = append(shown, l)
		}
	}
	slices.SortStableFunc(shown, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, l := range shown {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	if text, ok := refusals[outcome]; ok {
		if _, err := fmt.Fprintf(w, "%s: %s\n", outcome, text); err != nil {
			return err
		}
	}
	return nil
}

// forMemory holds the outcomes of requests that were refused because clients held the memory.
var forMemory = map[string]bool{"memory": true, "body_stalled": true}

// refusals explains the outcomes of requests that were refused for what their client sent or held.
var refusals = map[string]string{
	"memory":         "no memory was left for the request (client_bytes of all clients, client_large_bytes of them in large bodies); it has not run. The limits are clients and resources in the gateway's settings",
	"body_stalled":   "the client sent its body more slowly than clients.min_rate, or stopped, while others needed the memory; it has not run",
	"body_timeout":   "the body did not end within the request's deadline or its route's timeout; it has not run",
	"body_too_large": "the body is longer than the operators' limit; it has not run",
	"body_broken":    "the client left, or its body was malformed; it has not run",
}

// String returns the time, source and message, then the remaining fields in order of name.
func (l logLine) String() string {
	var b strings.Builder
	b.WriteString(l.at.Format("15:04:05.000"))
	if l.source != "" {
		b.WriteString(" " + l.source)
	}
	b.WriteString("  " + l.stringField("message"))
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
