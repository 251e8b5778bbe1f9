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

// loadOptions are the flags of load that shape its output.
type loadOptions struct {
	settings string
	asJSON   bool
	plot     string
}

func newLoad() *cobra.Command {
	cfg := load.DefaultSettings()
	var opt loadOptions
	cmd := &cobra.Command{
		Use: "load", Short: "Drive a caller address with an open-loop load and check every answer", Args: cobra.NoArgs,
		// The file is read before the flags, so that a flag overrides the file.
		PreRunE: func(cmd *cobra.Command, _ []string) error { return loadSettings(cmd, opt.settings, &cfg) },
		RunE:    func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, cfg, opt) },
	}
	loadFlags(cmd, &cfg)
	cmd.Flags().StringVar(&opt.settings, "settings", "", "a YAML file with these settings; flags go before it")
	cmd.Flags().BoolVar(&opt.asJSON, "json", false, "print the results as JSON")
	cmd.Flags().StringVar(&opt.plot, "plot", "", "write the latency distributions to this SVG file")
	cmd.AddCommand(newCompare(), newSlope())
	return cmd
}

func loadFlags(cmd *cobra.Command, cfg *load.Settings) {
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Targets, "targets", cfg.Targets, "base URLs of callers' addresses")
	f.StringSliceVar(&cfg.Keys, "keys", cfg.Keys, "bearer keys, one for each group")
	f.StringSliceVar(&cfg.Models, "models", cfg.Models, "models to ask")
	f.StringVar(&cfg.Arrival, "arrival", cfg.Arrival, "poisson or constant")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests per second")
	f.DurationVar(&cfg.Duration, "duration", cfg.Duration, "time over which requests are sent")
	f.IntVar(&cfg.Count, "count", cfg.Count, "most requests to send")
	f.IntVar(&cfg.MinPromptWords, "min-prompt-words", cfg.MinPromptWords, "shortest prompt")
	f.IntVar(&cfg.MaxPromptWords, "max-prompt-words", cfg.MaxPromptWords, "longest prompt")
	f.IntVar(&cfg.Tokens, "tokens", cfg.Tokens, "tokens of an answer")
	f.Float64Var(&cfg.StreamShare, "stream-share", cfg.StreamShare, "share of streams")
	f.Float64Var(&cfg.ChatShare, "chat-share", cfg.ChatShare, "share of chat requests; the rest are completions")
	f.Float64Var(&cfg.ResendShare, "resend-share", cfg.ResendShare, "share of requests that repeat an earlier one")
	f.Float64Var(&cfg.CancelShare, "cancel-share", cfg.CancelShare, "share of requests cut by the caller")
	f.DurationVar(&cfg.CancelAfter, "cancel-after", cfg.CancelAfter, "time after which a request that is not a stream is cut")
	f.IntVar(&cfg.MaxInFlight, "max-in-flight", cfg.MaxInFlight, "most requests in flight; later arrivals are dropped and counted")
	f.DurationVar(&cfg.Timeout, "timeout", cfg.Timeout, "bound on one request")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the load")
	f.BoolVar(&cfg.AllowRemote, "allow-remote", cfg.AllowRemote, "allow targets that are not loopback addresses")
	f.BoolVar(&cfg.Direct, "direct", cfg.Direct, "the targets are stand-in engines, which send no outcome")
}

// loadSettings reads a settings file and applies the flags that were set over it.
func loadSettings(cmd *cobra.Command, file string, cfg *load.Settings) error {
	if file == "" {
		return nil
	}
	merged := load.DefaultSettings()
	if err := config.Decode(file, &merged); err != nil {
		return err
	}
	over := &cobra.Command{}
	loadFlags(over, &merged)
	var errs []error
	for _, name := range changedFlags(cmd) {
		if target := over.Flags().Lookup(name); target != nil {
			errs = append(errs, target.Value.Set(flagText(cmd, name)))
		}
	}
	*cfg = merged
	return errors.Join(errs...)
}

func runLoad(cmd *cobra.Command, cfg load.Settings, opt loadOptions) error {
	ctx, stop := untilSignal(cmd.Context())
	defer stop()
	progress := cmd.ErrOrStderr()
	before, after := "", "\n"
	if isTerminal(progress) {
		before, after = "\r\x1b[K", ""
	}
	res, err := load.Run(ctx, cfg, func(s load.Summary) { _, _ = fmt.Fprint(progress, before+s.Line()+after) })
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(progress, before)
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
		err = fmt.Errorf("%d answers were not whole or not the caller's own", sum.ViolationCount())
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
		Use: "compare", Short: "Measure the cost of the path beside the same load sent straight to the stand-in engines", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := untilSignal(cmd.Context())
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
	f.IntVar(&cfg.Engines, "engines", cfg.Engines, "stand-in engines, each with its agent")
	f.IntVar(&cfg.Slots, "slots", cfg.Slots, "requests that an engine runs at once")
	f.IntVar(&cfg.Tokens, "tokens", cfg.Tokens, "tokens of an answer")
	f.DurationVar(&cfg.TokenInterval, "token-interval", cfg.TokenInterval, "an engine's time per token")
	f.Float64Var(&cfg.Utilization, "part", cfg.Utilization, "part of the engines' capacity that is used")
	f.DurationVar(&cfg.RoundDuration, "round", cfg.RoundDuration, "time of one round")
	f.IntVar(&cfg.Rounds, "rounds", cfg.Rounds, "rounds of each side, in turn")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the load")
	f.StringVar(&cfg.CPUProfilePath, "cpu-profile", "", "write a CPU profile of the rounds over the path to this file")
	f.BoolVar(&asJSON, "json", false, "print the results as JSON")
	return cmd
}

// changedFlags returns the names of the flags that were set on the command line.
func changedFlags(cmd *cobra.Command) []string {
	var out []string
	cmd.Flags().Visit(func(f *pflag.Flag) { out = append(out, f.Name) })
	return out
}

func flagText(cmd *cobra.Command, name string) string {
	// A list prints in brackets, which Set does not take back.
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
