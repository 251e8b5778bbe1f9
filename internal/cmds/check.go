package cmds

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"chervilhead/internal/config"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Validate settings files and print the effective settings", Args: cobra.MinimumNArgs(1),
		Long: "Validate settings files and print the effective settings, defaults included.\n" +
			"Files given together are also checked for addresses that more than one process listens on.\n" +
			"Exit codes: 0 all files are valid, 2 a file is invalid.",
		RunE: func(cmd *cobra.Command, paths []string) error {
			all := make([]config.Settings, 0, len(paths))
			for _, p := range paths {
				s, err := config.Load(p)
				if err != nil {
					return err
				}
				all = append(all, s)
			}
			if err := config.CheckAddressOverlap(paths, all); err != nil {
				return err
			}
			for i, s := range all {
				out, err := yaml.Marshal(s)
				if err != nil {
					return fmt.Errorf("encode effective settings: %w", err)
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "# %s\n%s", paths[i], out); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
