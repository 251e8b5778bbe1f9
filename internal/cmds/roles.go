package cmds

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"chervilhead/internal/config"
	"chervilhead/internal/node"
	"chervilhead/internal/telemetry"
)

func newEntry() *cobra.Command {
	return role("entry", "Run an entry", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Entry](file)
		if err != nil {
			return process{}, err
		}
		log, err := logger(cmd, cfg.LogLevel, "entry")
		if err != nil {
			return process{}, err
		}
		n, err := node.StartEntry(*cfg, log)
		if err != nil {
			return process{}, err
		}
		return process{stop: n.Stop, left: n.LeaveRequested()}, nil
	})
}

func newAgent() *cobra.Command {
	return role("agent", "Run the agent beside an endpoint", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Agent](file)
		if err != nil {
			return process{}, err
		}
		log, err := logger(cmd, cfg.LogLevel, "agent")
		if err != nil {
			return process{}, err
		}
		n, err := node.StartAgent(*cfg, log)
		if err != nil {
			return process{}, err
		}
		return process{stop: n.Stop, left: n.LeaveRequested()}, nil
	})
}

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in of an outside system"}
	cmd.AddCommand(
		role("engine", "Run a stand-in model engine", func(_ *cobra.Command, file string) (process, error) {
			cfg, err := config.LoadRole[*config.Engine](file)
			if err != nil {
				return process{}, err
			}
			e, srv, err := node.StartSimulatedEngine(*cfg)
			if err != nil {
				return process{}, err
			}
			return process{stop: func() { e.Close(); srv.Close() }}, nil
		}),
		role("service", "Run a stand-in plain service", func(_ *cobra.Command, file string) (process, error) {
			cfg, err := config.LoadRole[*config.Service](file)
			if err != nil {
				return process{}, err
			}
			srv, err := node.StartSimulatedService(*cfg, nil)
			if err != nil {
				return process{}, err
			}
			return process{stop: srv.Close}, nil
		}),
		role("platform", "Run the stand-in platform", func(_ *cobra.Command, file string) (process, error) {
			cfg, err := config.LoadRole[*config.Platform](file)
			if err != nil {
				return process{}, err
			}
			_, srv, err := node.StartSimulatedPlatform(*cfg)
			if err != nil {
				return process{}, err
			}
			return process{stop: srv.Close}, nil
		}),
	)
	return cmd
}

// process is a started process. Its left channel, which may be nil, closes when it has to leave.
type process struct {
	stop func()
	left <-chan struct{}
}

// role returns a command that starts a process from a settings file and stops it at
// a signal or when it has to leave.
func role(use, short string, start func(cmd *cobra.Command, file string) (process, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := untilSignal(cmd.Context())
			defer cancel()
			p, err := start(cmd, file)
			if err != nil {
				return err
			}
			select {
			case <-ctx.Done():
			case <-p.left:
			}
			// A second signal ends the process at once.
			cancel()
			p.stop()
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "the YAML settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func logger(cmd *cobra.Command, level, service string) (*logrus.Entry, error) {
	log, err := telemetry.NewLogger(cmd.ErrOrStderr(), level)
	if err != nil {
		return nil, err
	}
	return log.WithField("service", service), nil
}
