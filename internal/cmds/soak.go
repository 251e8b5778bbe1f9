package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/internal/soak"
)

// newSoak returns the command that runs the soak test with consecutive seeds.
func newSoak() *cobra.Command {
	cfg := soak.Settings{}
	var seedCount int
	var dir string
	cmd := &cobra.Command{
		Use: "soak", Short: "Run gateways and keepers as processes under seeded faults and check the rules of the users' platform", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signalContext(cmd.Context())
			defer cancel()
			bin, err := os.Executable()
			if err != nil {
				return fmt.Errorf("locate the running executable: %w", err)
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "chervilhead-soak-"); err != nil {
					return fmt.Errorf("create the log directory: %w; pass a writable one with --dir", err)
				}
			}
			cfg.Binary = bin
			failed := 0
			first := cfg.Seed
			for i := range seedCount {
				cfg.Seed = first + uint64(i)
				cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
				rep, err := soak.Run(ctx, cfg)
				if err != nil {
					return fmt.Errorf("seed %d: %w", cfg.Seed, err)
				}
				counts, err := json.Marshal(rep.OutcomeCounts)
				if err != nil {
					return fmt.Errorf("encode outcome counts: %w", err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d faults, %d broken rules, %s\n", rep.Seed, len(rep.Faults), len(rep.Violations), counts)
				if len(rep.Violations) == 0 {
					if err := os.RemoveAll(cfg.Dir); err != nil {
						return fmt.Errorf("remove the logs of a seed that passed: %w", err)
					}
					continue
				}
				failed++
				for _, e := range rep.Faults {
					fmt.Fprintln(cmd.OutOrStdout(), "  fault", e)
				}
				for _, v := range rep.Violations {
					fmt.Fprintln(cmd.OutOrStdout(), "  broken", v)
				}
				fmt.Fprintln(cmd.OutOrStdout(), "  logs in", cfg.Dir)
			}
			if failed > 0 {
				return &ExitError{exitFailure, fmt.Errorf("%d of %d seeds broke a rule; see the logs in the directories above", failed, seedCount)}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	f.IntVar(&seedCount, "seeds", 1, "the number of consecutive seeds to run, one after another")
	f.DurationVar(&cfg.InjectionDuration, "length", 20*time.Second, "the duration per seed in which faults are injected")
	f.IntVar(&cfg.Gateways, "gateways", 3, "the number of gateways")
	f.IntVar(&cfg.PlainEndpoints, "plain", 4, "the number of plain service endpoints")
	f.IntVar(&cfg.Engines, "engines", 3, "the number of model engines, each with a keeper")
	f.IntVar(&cfg.Clients, "clients", 24, "the number of clients, each with one request at a time")
	f.BoolVar(&cfg.Restores, "restores", true, "restore the store from a copy now and then")
	f.BoolVar(&cfg.RateLimits, "rate-limits", true, "let endpoints name rate limits now and then")
	f.BoolVar(&cfg.Leaves, "leaves", true, "let endpoints leave that only say so in their answers now and then")
	f.BoolVar(&cfg.Pauses, "pauses", true, "let endpoints ask for a pause now and then")
	f.BoolVar(&cfg.Refusals, "refusals", false, "let the store refuse a gateway for nine seconds or more beside a change")
	f.BoolVar(&cfg.LargeConfigs, "large-configs", false, "write large configurations, up to four in a row, which reach every other gateway over 10 Mbit/s")
	f.BoolVar(&cfg.HerdKills, "herd-kills", false, "kill all processes, all of one role or some of each at once, some of them twice in a row")
	f.BoolVar(&cfg.Crashing, "crashing", false, "let a caller send a request that crashes each endpoint that runs it")
	f.BoolVar(&cfg.ClockSteps, "clock-steps", false, "let the time of day on an endpoint's machine jump when the endpoint starts again, mostly under its id")
	f.BoolVar(&cfg.Versions, "versions", false, "let engines of several software versions serve side by side, roll versions out, harm all gateways at once, and let callers resume broken streams; uses at least 4 engines")
	f.BoolVar(&cfg.Keys, "keys", false, "let callers need keys, which are added and removed now and then")
	f.BoolVar(&cfg.StrictRevocation, "strict-revocation", false, "let gateways prove that a key is valid, also while they are cut off; includes --keys")
	f.BoolVar(&cfg.Quotas, "quotas", false, "give the groups of callers quotas; includes --keys")
	f.IntVar(&cfg.Strangers, "strangers", 0, "the number of clients at each gateway that send large or unfinished requests, stay silent or read no answers; gateways then have 110 MB")
	f.BoolVar(&cfg.DisableFaults, "calm", false, "inject no faults")
	f.StringVar(&dir, "dir", "", "the directory for settings and logs, a temporary one by default; those of seeds that pass are removed")
	return cmd
}
