package cmds

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"chervilhead/internal/config"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use: "chervilhead", Short: "Serve many models on few accelerators, fairly between groups",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return &ExitError{exitSettings, fmt.Errorf("%w; see %s --help", err, cmd.CommandPath())}
	})
	root.AddCommand(newDemo(), newVersion(), newEntry(), newAgent(), newGateway(), newKeeper(), newStandin(), newTable(), newCheck(), newLoad(), newMeasure(), newExplain(), newWhere(), newAccount(), newSoak())
	return root
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// Exit codes of commands that document no others.
const (
	exitFailure  = 1
	exitSettings = 2
)

// ExitCode returns the process exit code for err: the code of an *ExitError, 2 for invalid settings, else 1.
func ExitCode(err error) int {
	var ee *ExitError
	var ce *config.Error
	switch {
	case errors.As(err, &ee):
		return ee.Code
	case errors.As(err, &ce):
		return exitSettings
	default:
		return exitFailure
	}
}
