// Package comand holds the subcommands of the program: the process that serves,
// the tools of operators, the demonstration and the experiments.
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
	exitChanges = 3 // diff only: the declaration differs from the one in force
)

// command is one subcommand.
type command struct {
	name    string
	args    string // of the usage line
	summary string
	run     func(ctx context.Context, t terminal, args []string) error
}

// terminal is what a subcommand reads and writes.
type terminal struct {
	in       io.Reader
	out, err io.Writer
}

// exitError ends the program with a code of its own.
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

func commands() []command {
	return []command{
		{"serve", "-config FILE", "run one process of the system", serve},
		{"apply", "-f FILE", "put a declaration in force", apply},
		{"diff", "-f FILE", "show what apply would change", diff},
		{"status", "", "show the configuration in force and the health of the deployment", status},
		{"preset", "NAME", "put a preset in force", preset},
		{"move", "start|watch|list|back", "start, watch, list or take back version moves", move},
		{"member", "list|add|remove", "show or change the members of the replicated log", memberCommand},
		{"demo", "", "run a whole deployment in one process and check its promises", runDemo},
		{"stand", "", "run simulated backend servers, for a first try", runStand},
		{"timeline", "[FILE...]", "merge the events of all processes into one list", timeline},
		{"explain", "-request ID LOG...", "tell from the logs of all processes why a request failed", explain},
		{"bench", "-scenario NAME", "run load and experiments against simulated backend servers", experiment},
	}
}

// Extra is a subcommand that is defined outside this package.
type Extra struct {
	Name, Summary string
	Run           func(out io.Writer) error
}

// command turns an extra subcommand, which takes no arguments, into one of this package.
func (x Extra) command() command {
	return command{x.Name, "", x.Summary, func(_ context.Context, t terminal, args []string) error {
		if err := parse(flags(t, x.Name), args, 0); err != nil {
			return err
		}
		return x.Run(t.out)
	}}
}

// Main runs the program and returns its exit code.
func Main(args []string, in io.Reader, out, err io.Writer, extra ...Extra) int {
	all := commands()
	for _, x := range extra {
		all = append(all, x.command())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t := terminal{in, out, err}
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(out, all)
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
	usage(err, all)
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

func usage(w io.Writer, all []command) {
	fmt.Fprintln(w, "usage: cranberrypath SUBCOMMAND [flags]; -h after a subcommand lists its flags")
	for _, c := range all {
		fmt.Fprintf(w, "  %-9s %-18s %s\n", c.name, c.args, c.summary)
	}
}

// flags returns the flag set of a subcommand. Parse errors end with exitUsage.
func flags(t terminal, name string) *flag.FlagSet {
	fs := flag.NewFlagSet("cranberrypath "+name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	return fs
}

// parse parses args and allows up to most arguments after the flags.
func parse(fs *flag.FlagSet, args []string, most int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &exitError{exitUsage, nil} // the flag package has printed the reason
	}
	if fs.NArg() > most {
		return usageError("%s: unexpected argument %q", fs.Name(), fs.Arg(most))
	}
	return nil
}
