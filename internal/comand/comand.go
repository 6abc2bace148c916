// Package comand holds the subcommands of the program.
package comand

import (
	"fmt"
	"io"
)

// Main runs the program and returns its exit code: 0 success, 1 failure, 2 wrong usage.
func Main(args []string, _ io.Reader, _, stderr io.Writer) int {
	fmt.Fprintf(stderr, "unknown subcommand %q\n", args)
	return 2
}
