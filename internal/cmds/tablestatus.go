package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"chervilhead/pkg/admin"
)

func (f *tableFlags) status() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Print each node's table revision and its lag behind the first node", Args: cobra.NoArgs}
	cmd.RunE = f.withExitCode(func(ctx context.Context, out io.Writer, _ []string) error {
		p, err := f.client().Propagation(ctx)
		if err != nil {
			return err
		}
		lines := make([][]string, len(p.Nodes))
		for i, n := range p.Nodes {
			lines[i] = []string{n.ID, n.Role, strconv.FormatUint(n.Revision, 10), nodeState(p, n)}
		}
		if err := f.printLines(out, p, []string{"node", "role", "revision", "after"}, lines); err != nil || f.output != "text" {
			return err
		}
		_, _ = fmt.Fprintln(out, propagationLine(p))
		return nil
	})
	return cmd
}

func nodeState(p admin.Propagation, n admin.NodeRevision) string {
	switch n.Revision {
	case p.Revision:
		return (time.Duration(n.LagMillis) * time.Millisecond).String()
	case 0:
		return "away"
	}
	return "pending"
}

func propagationLine(p admin.Propagation) string {
	if p.Complete {
		return fmt.Sprintf("revision %d is in force on all %d nodes after %v", p.Revision, len(p.Nodes), time.Duration(p.LastMillis)*time.Millisecond)
	}
	return fmt.Sprintf("revision %d is in force on %d of %d nodes", p.Revision, len(p.Nodes)-p.Pending, len(p.Nodes))
}

func (f *tableFlags) watch() *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{Use: "watch", Short: "Print the propagation of each new table revision until interrupted", Args: cobra.NoArgs}
	cmd.Flags().DurationVar(&interval, "every", time.Second, "time between two polls")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext(cmd.Context())
		defer stop()
		return exitCode(f.pollPropagation(ctx, cmd.OutOrStdout(), interval))
	}
	return cmd
}

func (f *tableFlags) pollPropagation(ctx context.Context, out io.Writer, interval time.Duration) error {
	last := ""
	for {
		p, err := f.client().Propagation(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if line := propagationLine(p); line != last {
			last = line
			if f.output == "json" {
				err = printJSON(out, p)
			} else {
				_, err = fmt.Fprintln(out, line)
			}
			if err != nil {
				return err
			}
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}
