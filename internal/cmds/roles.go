package cmds

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"chervilhead/internal/config"
	"chervilhead/internal/node"
	"chervilhead/internal/telemetry"
)

func newEntry() *cobra.Command {
	return newRoleCommand("entry", "Run an entry, which takes callers' requests", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Entry](file)
		if err != nil {
			return process{}, err
		}
		log, err := newLogger(cmd, cfg.LogLevel, "entry")
		if err != nil {
			return process{}, err
		}
		n, err := node.StartEntry(*cfg, log)
		if err != nil {
			return process{}, err
		}
		return process{stop: n.Stop, leaveRequested: n.LeaveRequested()}, nil
	})
}

func newAgent() *cobra.Command {
	return newRoleCommand("agent", "Run the agent beside an endpoint", func(cmd *cobra.Command, file string) (process, error) {
		cfg, err := config.LoadRole[*config.Agent](file)
		if err != nil {
			return process{}, err
		}
		log, err := newLogger(cmd, cfg.LogLevel, "agent")
		if err != nil {
			return process{}, err
		}
		n, err := node.StartAgent(*cfg, log)
		if err != nil {
			return process{}, err
		}
		return process{stop: n.Stop, leaveRequested: n.LeaveRequested()}, nil
	})
}

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system"}
	cmd.AddCommand(
		newRoleCommand("engine", "Run a stand-in model engine", func(_ *cobra.Command, file string) (process, error) {
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
		newRoleCommand("service", "Run a stand-in plain service", func(_ *cobra.Command, file string) (process, error) {
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
		newRoleCommand("platform", "Run the stand-in platform", func(_ *cobra.Command, file string) (process, error) {
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

// process is a started process; leaveRequested, which may be nil, closes when it is told to leave.
type process struct {
	stop           func()
	leaveRequested <-chan struct{}
}

// newRoleCommand returns a command that starts a process from a settings file and stops
// it on a signal or when it is told to leave.
func newRoleCommand(use, short string, start func(cmd *cobra.Command, file string) (process, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signalContext(cmd.Context())
			defer cancel()
			p, err := start(cmd, file)
			if err != nil {
				return err
			}
			select {
			case <-ctx.Done():
			case <-p.leaveRequested:
			}
			// A second signal ends the process at once.
			cancel()
			p.stop()
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "path of the YAML settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func newLogger(cmd *cobra.Command, level, service string) (*logrus.Entry, error) {
	log, err := telemetry.NewLogger(cmd.ErrOrStderr(), level)
	if err != nil {
		return nil, err
	}
	return log.WithField("service", service), nil
}
