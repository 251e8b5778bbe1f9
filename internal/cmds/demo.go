package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/internal/config"
	"chervilhead/internal/demo"
	"chervilhead/internal/telemetry"
)

// readyTimeout bounds the wait until every model of the demo answers.
const readyTimeout = time.Minute

func newDemo() *cobra.Command {
	cfg := *config.DefaultDemo()
	var settings, level string
	cmd := &cobra.Command{
		Use: "demo", Short: "Run the whole system with stand-ins on loopback addresses", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings != "" {
				file, err := config.LoadRole[*config.Demo](settings)
				if err != nil {
					return err
				}
				cfg = cfg.Override(*file, cmd.Flags().Changed)
			}
			if err := config.Check("flags", &cfg); err != nil {
				return err
			}
			return runDemo(cmd, cfg, level)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Listen, "listen", cfg.Listen, "the first entry's address for callers; the second entry listens on the next port")
	f.StringVar(&cfg.Admin, "admin", cfg.Admin, "address of the operators' API")
	f.DurationVar(&cfg.TokenInterval, "token-interval", cfg.TokenInterval, "time that a stand-in engine takes per token")
	f.StringVar(&cfg.CrashOn, "crash-on", "", "text in a prompt that makes a stand-in engine crash and restart; empty for no crashes")
	f.StringVar(&settings, "settings", "", "YAML settings file; flags override its values")
	f.StringVar(&level, "log-level", "warning", "least severe level to log: debug, info, warning or error")
	return cmd
}

func runDemo(cmd *cobra.Command, cfg config.Demo, level string) error {
	log, err := telemetry.NewLogger(cmd.ErrOrStderr(), level)
	if err != nil {
		return err
	}
	ctx, stop := signalContext(cmd.Context())
	defer stop()
	d, err := demo.Start(cfg, log.WithField("service", "demo"))
	if err != nil {
		return err
	}
	defer d.Stop()
	rctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(rctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "ready callers=%s,%s admin=%s keys=%s,%s,%s\n",
		d.CallerAddresses()[0], d.CallerAddresses()[1], d.AdminAddress(), demo.RegistryGroupKey, demo.RecallGroupKey, demo.OperatorKey)
	_, _ = fmt.Fprint(out, d.CurlExamples())
	<-ctx.Done()
	// A second signal ends the process at once.
	stop()
	return nil
}
