// Command chervilhead runs the process roles of the serving system, its stand-ins and its tools.
package main

import (
	"context"
	"fmt"
	"os"

	"chervilhead/internal/cmds"
)

func main() {
	if err := cmds.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "chervilhead:", err)
		os.Exit(cmds.ExitCode(err))
	}
}
