package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version, goVersion := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "chervilhead %s %s\n", version, goVersion)
			return err
		},
	}
}
