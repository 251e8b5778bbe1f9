package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/internal/protocol/http1"
	"chervilhead/pkg/admin"
)

// Exit codes of the table commands.
const (
	// ExitInvalid means that the edit or the command line is not valid; nothing was written.
	ExitInvalid = 2
	// ExitStale means that a row has changed since it was read; nothing was written.
	ExitStale = 3
	// ExitUnsettled means that the edit may have taken effect.
	ExitUnsettled = 4
	// ExitUnreachable means that the operators' API or the platform's table service is unavailable; nothing was written.
	ExitUnreachable = 5
	// ExitDiffers is the code of "table diff --exit-code" when there is a difference.
	ExitDiffers = 6
)

const tableHelp = `Show and edit the operators' table: groups, models, services and keys.

Every edit names the row revision that it is based on. An edit of a row that has
changed since then is rejected, and both versions are shown.

Exit codes:
  0  done
  1  unexpected error
  2  the edit or the command line is invalid; nothing was written
  3  stale: a row has changed since it was read; nothing was written
  4  unsettled: the edit may have taken effect; repeat it with the same --edit-id
  5  the operators' API or the platform's table service is unavailable
  6  table diff --exit-code found a difference`

// ExitError is an error that sets the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// tableFlags are the flags that the table commands share.
type tableFlags struct {
	admin  string
	key    string
	output string
	dryRun bool
	editID string
	note   string
}

// requestTimeout bounds one call to the operators' API.
const requestTimeout = 10 * time.Second

func (f *tableFlags) client() *admin.Client {
	return admin.New(f.admin, f.key, newHTTPClient(requestTimeout))
}

// newHTTPClient returns a client with a connection for each call, which takes at most timeout.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: http1.NewTransport(http1.TransportSettings{DialTimeout: timeout})}
}

func newTable() *cobra.Command {
	f := &tableFlags{}
	cmd := &cobra.Command{Use: "table", Short: "Show and edit the operators' table", Long: tableHelp}
	p := cmd.PersistentFlags()
	p.StringVar(&f.admin, "admin", envOr("CHERVILHEAD_ADMIN", "127.0.0.1:8090"), "address of an entry's operators' API (or CHERVILHEAD_ADMIN)")
	p.StringVar(&f.key, "key", "", "an operator's bearer key (or CHERVILHEAD_KEY)")
	p.StringVarP(&f.output, "output", "o", "text", "output format: text, csv or json")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		if f.key == "" {
			f.key = os.Getenv("CHERVILHEAD_KEY")
		}
		if f.output != "text" && f.output != "csv" && f.output != "json" {
			return &ExitError{ExitInvalid, fmt.Errorf("--output %q is not known; use text, csv or json", f.output)}
		}
		return nil
	}
	cmd.AddCommand(f.show(), f.setRow(), f.deleteRow(), f.importRows(), f.export(), f.diff(), f.history(), f.undo(), f.status(), f.watch())
	return cmd
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// withExitCode adapts fn to cobra and gives its errors their exit codes.
func (f *tableFlags) withExitCode(fn func(ctx context.Context, out io.Writer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		return exitCode(fn(cmd.Context(), cmd.OutOrStdout(), args))
	}
}

func exitCode(err error) error {
	var (
		exit      *ExitError
		stale     *admin.StaleError
		unsettled *admin.UnsettledError
		refused   *admin.Error
	)
	switch {
	case err == nil || errors.As(err, &exit):
		return err
	case errors.As(err, &stale):
		return &ExitError{ExitStale, staleRowsError(stale)}
	case errors.As(err, &unsettled):
		return &ExitError{ExitUnsettled, err}
	case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError:
		return &ExitError{ExitInvalid, err}
	default:
		return &ExitError{ExitUnreachable, err}
	}
}

// staleRowsError returns an error that shows both versions of each stale row.
func staleRowsError(e *admin.StaleError) error {
	text := e.Message
	for _, r := range e.Rows {
		text += fmt.Sprintf("\n%s/%s\n  now:   %s\n  yours: %s", r.Sheet, r.Name, r.Current, r.Proposed)
	}
	return errors.New(text)
}

// invalidError returns an error with exit code ExitInvalid.
func invalidError(format string, args ...any) error {
	return &ExitError{ExitInvalid, fmt.Errorf(format, args...)}
}

func parseRevision(text string) (uint64, error) {
	rev, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidError("%q is not a revision; use a number from table history", text)
	}
	return rev, nil
}

// addEditFlags adds the flags that the editing commands share.
func (f *tableFlags) addEditFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "print the changes and write nothing")
	cmd.Flags().StringVar(&f.editID, "edit-id", "", "ID of the edit, to repeat one that is unsettled; a random ID by default")
	cmd.Flags().StringVar(&f.note, "note", "", "note that the history keeps with the edit")
	return cmd
}
