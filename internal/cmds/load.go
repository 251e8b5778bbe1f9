package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"chervilhead/internal/config"
	"chervilhead/internal/load"
	"chervilhead/internal/load/slope"
)

// loadOutput holds the flags of the load command that are not in load.Settings.
type loadOutput struct {
	settings string
	asJSON   bool
	plot     string
}

func newLoad() *cobra.Command {
	cfg := load.DefaultSettings()
	var opt loadOutput
	cmd := &cobra.Command{
		Use: "load", Short: "Send an open-loop load to callers' addresses and check every answer", Args: cobra.NoArgs,
		// The flags that were set are applied again after the file, so that they override it.
		PreRunE: func(cmd *cobra.Command, _ []string) error { return loadSettings(cmd, opt.settings, &cfg) },
		RunE:    func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, cfg, opt) },
	}
	addLoadFlags(cmd, &cfg)
	cmd.Flags().StringVar(&opt.settings, "settings", "", "YAML settings file; flags override its values")
	cmd.Flags().BoolVar(&opt.asJSON, "json", false, "print the results as JSON")
	cmd.Flags().StringVar(&opt.plot, "plot", "", "write the latency distributions to this SVG file")
	cmd.AddCommand(newCompare(), newSlope())
	return cmd
}

func addLoadFlags(cmd *cobra.Command, cfg *load.Settings) {
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Targets, "targets", cfg.Targets, "base URLs of callers' addresses, used in turn")
	f.StringSliceVar(&cfg.Keys, "keys", cfg.Keys, "bearer keys, one per group, chosen at random")
	f.StringSliceVar(&cfg.Models, "models", cfg.Models, "models to send requests to, chosen at random")
	f.StringVar(&cfg.Arrival, "arrival", cfg.Arrival, "arrival process: poisson or constant")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "arrival rate in requests per second")
	f.DurationVar(&cfg.Duration, "duration", cfg.Duration, "time over which requests are sent")
	f.IntVar(&cfg.Count, "count", cfg.Count, "maximum number of requests to send")
	f.IntVar(&cfg.MinPromptWords, "min-prompt-words", cfg.MinPromptWords, "length of the shortest prompt in words")
	f.IntVar(&cfg.MaxPromptWords, "max-prompt-words", cfg.MaxPromptWords, "length of the longest prompt in words")
	f.IntVar(&cfg.Tokens, "tokens", cfg.Tokens, "length of each answer in tokens")
	f.Float64Var(&cfg.StreamShare, "stream-share", cfg.StreamShare, "fraction of requests that are streams, 0 to 1")
	f.Float64Var(&cfg.ChatShare, "chat-share", cfg.ChatShare, "fraction of chat requests, 0 to 1; the rest are completions")
	f.Float64Var(&cfg.ResendShare, "resend-share", cfg.ResendShare, "fraction of requests that repeat the body and idempotency key of an earlier one, 0 to 1")
	f.Float64Var(&cfg.CancelShare, "cancel-share", cfg.CancelShare, "fraction of requests that the caller cancels, 0 to 1; a stream is cancelled at its first token")
	f.DurationVar(&cfg.CancelAfter, "cancel-after", cfg.CancelAfter, "time after which a request that is not a stream is cancelled")
	f.IntVar(&cfg.MaxInFlight, "max-in-flight", cfg.MaxInFlight, "maximum number of requests in flight; arrivals beyond it are dropped and counted")
	f.DurationVar(&cfg.Timeout, "timeout", cfg.Timeout, "time limit of one request")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "random seed of the load")
	f.BoolVar(&cfg.AllowRemote, "allow-remote", cfg.AllowRemote, "allow targets that are not loopback addresses")
	f.BoolVar(&cfg.Direct, "direct", cfg.Direct, "the targets are stand-in engines, which send no outcome")
}

// loadSettings reads a settings file into cfg and overrides it with the flags that were set.
func loadSettings(cmd *cobra.Command, file string, cfg *load.Settings) error {
	if file == "" {
		return nil
	}
	merged := load.DefaultSettings()
	if err := config.Decode(file, &merged); err != nil {
		return err
	}
	overrides := &cobra.Command{}
	addLoadFlags(overrides, &merged)
	var errs []error
	for _, name := range changedFlags(cmd) {
		if target := overrides.Flags().Lookup(name); target != nil {
			errs = append(errs, target.Value.Set(flagValue(cmd, name)))
		}
	}
	*cfg = merged
	return errors.Join(errs...)
}

func runLoad(cmd *cobra.Command, cfg load.Settings, opt loadOutput) error {
	ctx, stop := signalContext(cmd.Context())
	defer stop()
	progress := cmd.ErrOrStderr()
	prefix, suffix := "", "\n"
	if isTerminal(progress) {
		prefix, suffix = "\r\x1b[K", ""
	}
	res, err := load.Run(ctx, cfg, func(s load.Summary) { _, _ = fmt.Fprint(progress, prefix+s.Line()+suffix) })
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(progress, prefix)
	sum := res.FinalSummary()
	if opt.asJSON {
		err = sum.WriteJSON(cmd.OutOrStdout())
	} else {
		err = sum.WriteTable(cmd.OutOrStdout())
	}
	if err == nil && opt.plot != "" {
		err = writePlot(opt.plot, res)
	}
	if err == nil && sum.ViolationCount() > 0 {
		err = fmt.Errorf("%d answers broke what callers are promised; see the faults in the results", sum.ViolationCount())
	}
	return err
}

func writePlot(path string, res *load.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	return errors.Join(res.WritePlot(f), f.Close())
}

// isTerminal reports whether w is a character device.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func newCompare() *cobra.Command {
	cfg := load.DefaultCompareSettings()
	var asJSON bool
	cmd := &cobra.Command{
		Use: "compare", Short: "Measure the overhead of the serving path against the same load sent straight to stand-in engines", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			c, err := load.Compare(ctx, cfg)
			if err != nil {
				return err
			}
			if asJSON {
				return c.WriteJSON(cmd.OutOrStdout())
			}
			return c.WriteTable(cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Engines, "engines", cfg.Engines, "number of stand-in engines, each with an agent")
	f.IntVar(&cfg.Slots, "slots", cfg.Slots, "number of requests that an engine runs concurrently")
	f.IntVar(&cfg.Tokens, "tokens", cfg.Tokens, "length of each answer in tokens")
	f.DurationVar(&cfg.TokenInterval, "token-interval", cfg.TokenInterval, "time that an engine takes per token")
	f.Float64Var(&cfg.Utilization, "part", cfg.Utilization, "fraction of the engines' capacity that the load uses, 0 to 1")
	f.DurationVar(&cfg.RoundDuration, "round", cfg.RoundDuration, "duration of one round")
	f.IntVar(&cfg.Rounds, "rounds", cfg.Rounds, "number of rounds per side; the sides alternate")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "random seed of the load")
	f.StringVar(&cfg.CPUProfilePath, "cpu-profile", "", "write a CPU profile of the rounds over the serving path to this file")
	f.BoolVar(&asJSON, "json", false, "print the results as JSON")
	return cmd
}

// changedFlags returns the names of the flags that were set on the command line.
func changedFlags(cmd *cobra.Command) []string {
	var out []string
	cmd.Flags().Visit(func(f *pflag.Flag) { out = append(out, f.Name) })
	return out
}

func flagValue(cmd *cobra.Command, name string) string {
	// The String form of a list flag is in brackets, which its Set method does not accept.
	return strings.Trim(cmd.Flags().Lookup(name).Value.String(), "[]")
}

func newSlope() *cobra.Command {
	return &cobra.Command{
		Use: "slope", Short: "Fit growth exponents to the output of go test -bench on standard input", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := slope.ReadBenchmarks(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return slope.WriteFits(cmd.OutOrStdout(), all)
		},
	}
}
