// Package cmds implements the chervilhead command line: one command for each process role,
// each tool and each operation on the operators' table. [ExitCode] gives every error the
// exit code that scripts rely on.
package cmds
