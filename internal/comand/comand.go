// Package comand implements the subcommands of the program: the server process, the
// operators' tools, the demonstration and the benchmarks.
package comand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("cranberrypath")

// Exit codes of every subcommand.
const (
	exitOK      = 0
	exitFailed  = 1 // the command ran and failed
	exitUsage   = 2 // wrong arguments or settings
	exitDiffers = 3 // diff only: the declaration differs from the active one
)

// subcommand is one subcommand of the program.
type subcommand struct {
	name    string
	args    string // arguments shown in the usage text
	summary string
	run     func(ctx context.Context, t terminal, args []string) error
}

// terminal holds the standard streams of a subcommand.
type terminal struct {
	in       io.Reader
	out, err io.Writer
}

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{exitUsage, Error.New(format, args...)}
}

func commands() []subcommand {
	return []subcommand{
		{"serve", "-config FILE", "run one process of the system", serve},
		{"apply", "-f FILE", "activate a declaration", apply},
		{"diff", "-f FILE", "show what apply would change", diff},
		{"status", "", "show the active configuration and the state of the deployment", status},
		{"preset", "NAME", "activate a preset", preset},
		{"move", "start|watch|list|back", "start, watch, list or take back version moves", move},
		{"member", "list|add|remove", "show or change the members of the replicated log", memberCommand},
		{"demo", "", "run a complete deployment in one process and check its promises", runDemo},
		{"stand", "", "run simulated backend servers to try a deployment", runStand},
		{"timeline", "[FILE...]", "merge the events of all processes in chronological order", timeline},
		{"explain", "-request ID LOG...", "explain a failed request from the logs of all processes", explain},
		{"bench", "-scenario NAME", "run benchmarks with simulated backend servers", runBench},
	}
}

// Extra is a subcommand defined outside this package.
type Extra struct {
	Name, Summary string
	Run           func(out io.Writer) error
}

// subcommand converts an extra subcommand, which takes no arguments.
func (x Extra) subcommand() subcommand {
	return subcommand{x.Name, "", x.Summary, func(_ context.Context, t terminal, args []string) error {
		if err := parseFlags(newFlagSet(t, x.Name), args, 0); err != nil {
			return err
		}
		return x.Run(t.out)
	}}
}

// Main runs the program and returns its exit code.
func Main(args []string, in io.Reader, out, err io.Writer, extra ...Extra) int {
	all := commands()
	for _, x := range extra {
		all = append(all, x.subcommand())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t := terminal{in, out, err}
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printUsage(out, all)
		if len(args) == 0 {
			return exitUsage
		}
		return exitOK
	}
	for _, c := range all {
		if c.name == args[0] {
			return exitCode(t, c.run(ctx, t, args[1:]))
		}
	}
	fmt.Fprintf(err, "cranberrypath: unknown subcommand %q\n", args[0])
	printUsage(err, all)
	return exitUsage
}

func exitCode(t terminal, err error) int {
	var exit *exitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &exit):
		if text := exit.Error(); text != "" {
			fmt.Fprintln(t.err, text)
		}
		return exit.code
	}
	fmt.Fprintln(t.err, err)
	return exitFailed
}

func printUsage(w io.Writer, all []subcommand) {
	fmt.Fprintln(w, "usage: cranberrypath SUBCOMMAND [flags]; -h after a subcommand lists its flags")
	for _, c := range all {
		fmt.Fprintf(w, "  %-9s %-18s %s\n", c.name, c.args, c.summary)
	}
}

// newFlagSet returns the flag set of a subcommand, for use with parseFlags.
func newFlagSet(t terminal, name string) *flag.FlagSet {
	fs := flag.NewFlagSet("cranberrypath "+name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	return fs
}

// parseFlags parses args and allows up to maxArgs arguments after the flags. Parse
// errors lead to exitUsage.
func parseFlags(fs *flag.FlagSet, args []string, maxArgs int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &exitError{exitUsage, nil} // the flag package has printed the error
	}
	if fs.NArg() > maxArgs {
		return usageError("%s: unexpected argument %q", fs.Name(), fs.Arg(maxArgs))
	}
	return nil
}
