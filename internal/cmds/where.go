package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/internal/transport/proxy"
)

// whereTimeout bounds the question to a gateway, which answers within milliseconds.
const whereTimeout = 3 * time.Second

func newWhere() *cobra.Command {
	var gateway string
	var asJSON bool
	fields := map[string]*string{}
	cmd := &cobra.Command{
		Use: "where --gateway ADDRESS --host HOST --path PATH", Short: "Show where a gateway would send a request now, and why", Args: cobra.NoArgs,
		Long: "where describes a request to a gateway's ready address and prints the endpoint that it would choose now, the reason against each other one, " +
			"and the age of the information used. The request isn't sent.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := url.Values{}
			for name, value := range fields {
				if *value != "" {
					q.Set(name, *value)
				}
			}
			where, err := askWhere(cmd.Context(), gateway, q)
			if err != nil {
				return err
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(where)
			}
			return printWhere(cmd.OutOrStdout(), where)
		},
	}
	f := cmd.Flags()
	f.StringVar(&gateway, "gateway", "", "the gateway's ready address, HOST:PORT")
	for _, x := range []struct{ name, usage string }{
		{proxy.WhereHost, "host that the request names"},
		{proxy.WherePath, "path of the request"},
		{proxy.WhereModel, "model, MODEL or MODEL/ADAPTER"},
		{proxy.WhereTokens, "number of prompt tokens and limit of the output tokens, PROMPT,OUTPUT"},
		{proxy.WherePrompt, "parts of the prompt, ID:TOKENS,..."},
		{proxy.WhereGroup, "group of the caller"},
	} {
		fields[x.name] = f.String(x.name, "", x.usage)
	}
	f.BoolVar(&asJSON, "json", false, "print the answer as JSON")
	for _, name := range []string{"gateway", proxy.WhereHost, proxy.WherePath} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return cmd
}

// maxWhereBytes bounds the answer, which has some hundred bytes for each of some hundred candidates.
const maxWhereBytes = 4 << 20

// askWhere asks a gateway where a request would go.
func askWhere(ctx context.Context, gateway string, q url.Values) (proxy.Where, error) {
	var out proxy.Where
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: gateway, Path: "/where", RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return out, &ExitError{exitSettings, fmt.Errorf("%w; write the gateway's ready address as HOST:PORT", err)}
	}
	resp, err := newHTTPClient(whereTimeout).Do(req)
	if err != nil {
		return out, fmt.Errorf("ask the gateway: %w; is it the ready address?", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("the gateway answered %s; is it the ready address?", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxWhereBytes)).Decode(&out); err != nil {
		return out, fmt.Errorf("read the gateway's answer: %w", err)
	}
	return out, nil
}

// printWhere prints an answer, with the candidates from the least cost on and those excluded last.
func printWhere(w io.Writer, where proxy.Where) error {
	fmt.Fprintf(w, "gateway %s: %s\n", where.Gateway, where.Verdict)
	fmt.Fprintf(w, "endpoint %s, estimate %d ms after a wait of %d ms\n", cmp.Or(where.Endpoint, "none"), where.EstimateMS, where.StartWaitMS)
	fmt.Fprintf(w, "route %s, kind %s, service %s, group %s\n", cmp.Or(where.Route, "none"), cmp.Or(where.Kind, "none"), cmp.Or(where.Service, "none"), cmp.Or(where.Group, "none"))
	if where.Quota != nil {
		fmt.Fprintf(w, "quota %g a second, burst %g\n", where.Quota.PerSecond, where.Quota.Burst)
	}
	fmt.Fprintf(w, "configuration %d confirmed %s ago, registrations %s ago, %d gateways\n", where.ConfigVersion, ageText(where.ConfigAgeMS), ageText(where.RegistrationsAgeMS), where.Gateways)
	if !where.RegistrationsCertain {
		fmt.Fprintln(w, "some registrations may have ended")
	}
	list := slices.Clone(where.Candidates)
	slices.SortStableFunc(list, func(a, b proxy.WhereCandidate) int {
		return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.CostMS, b.CostMS), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "endpoint\twhy not\tcost ms\testimate ms\twait ms\tin flight\tslots\tprefill\tbacklog\tfailures\tlatency ratio\treport age")
	for _, c := range list {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%s\n", c.Endpoint, cmp.Or(c.Why, "chosen"), c.CostMS, c.EstimateMS, c.StartWaitMS, c.InFlight, c.Slots, c.PrefillTokens, c.BacklogTokens, c.FailureRate, c.LatencyRatio, ageText(c.ReportAgeMS))
	}
	return tw.Flush()
}

// rankOf orders the chosen candidate before those that could take the request, and these before
// the excluded ones.
func rankOf(c proxy.WhereCandidate) int {
	switch c.Why {
	case "":
		return 0
	case "window_full", "costs_more":
		return 1
	default:
		return 2
	}
}

// ageText returns an age in milliseconds as text; below 0 there is none.
func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms", ms)
}
