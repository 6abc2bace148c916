package comand

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/certs"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	// operatorsVariable and tokenVariable name the environment variables that set the
	// defaults of -operators and -token. They keep the token off the command line,
	// where other users could read it.
	operatorsVariable = "CRANBERRYPATH_OPERATORS"
	tokenVariable     = "CRANBERRYPATH_TOKEN"
	defaultOperators  = "127.0.0.1:8301"
	// watchInterval is the polling interval of "move watch".
	watchInterval = time.Second
)

// clientOptions holds the options of all operators' commands for the connection to
// the deployment.
type clientOptions struct {
	addresses, token string
	json             bool
	timeout          time.Duration
	tls              certs.Files
}

func (o *clientOptions) addFlags(fs *flag.FlagSet) {
	addrs := os.Getenv(operatorsVariable)
	if addrs == "" {
		addrs = defaultOperators
	}
	fs.StringVar(&o.addresses, "operators", addrs, "comma-separated addresses of operators' listeners; default from "+operatorsVariable)
	fs.StringVar(&o.token, "token", "", "operator's token; default from "+tokenVariable)
	fs.BoolVar(&o.json, "json", false, "print JSON")
	fs.StringVar(&o.tls.Authority, "ca", "", "PEM file of the deployment's certificate authority; enables TLS")
	fs.StringVar(&o.tls.Certificate, "cert", "", "PEM file of the operator's certificate")
	fs.StringVar(&o.tls.Key, "key", "", "PEM file of the certificate's private key")
	fs.DurationVar(&o.timeout, "timeout", 30*time.Second, "timeout of the command")
}

func (o *clientOptions) newClient(ctx context.Context) (*oprcli.Client, context.Context, context.CancelFunc, error) {
	token := o.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	c := oprcli.New(strings.Split(o.addresses, ","), token)
	if o.tls.Authority != "" {
		cfg, err := certs.Client(o.tls)
		if err != nil {
			return nil, nil, nil, &exitError{exitUsage, err}
		}
		c = c.WithTLS(cfg)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	return c, ctx, cancel, nil
}

// withClient runs f with a client and a context with a timeout.
func (o *clientOptions) withClient(ctx context.Context, f func(ctx context.Context, c *oprcli.Client) error) error {
	c, ctx, cancel, err := o.newClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	defer c.Close()
	return f(ctx, c)
}

// commandOptions holds the options of a subcommand that changes the deployment.
type commandOptions struct {
	clientOptions
	id string
}

func (o *commandOptions) addFlags(fs *flag.FlagSet) {
	o.clientOptions.addFlags(fs)
	fs.StringVar(&o.id, "id", "", "command id, to repeat a command whose answer was lost")
}

// run calls f with a command id and prints the result.
func (o *commandOptions) run(ctx context.Context, t terminal, f func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error), text func(oprcli.Result) string) error {
	if o.id == "" {
		o.id = oprcli.NewCommandID()
	}
	return o.withClient(ctx, func(ctx context.Context, c *oprcli.Client) error {
		r, err := f(ctx, c, o.id)
		if err != nil {
			return addRetryHint(err, o.id)
		}
		return o.printResult(t, r, text(r))
	})
}

// printResult prints v as JSON if -json is set, otherwise text.
func (o *clientOptions) printResult(t terminal, v any, text string) error {
	if !o.json {
		fmt.Fprint(t.out, text)
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(v))
}

// readDeclaration reads and validates a declaration, so that mistakes are reported
// without contacting the deployment.
func readDeclaration(t terminal, file string) ([]byte, error) {
	if file == "" {
		return nil, usageError("-f is missing")
	}
	b, err := readFile(t, file)
	if err != nil {
		return nil, err
	}
	if _, err := decl.Parse(file, b); err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return b, nil
}

// apply activates a declaration. Repeating the command is safe: applying the active
// declaration changes nothing.
func apply(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "apply")
	var o clientOptions
	o.addFlags(fs)
	file := fs.String("f", "", "declaration, JSON with comments; - reads standard input")
	expect := fs.Int64("expect", -1, "version of the active declaration that this one is based on; -1 uses the current version")
	id := fs.String("id", "", "command id, to repeat a command whose answer was lost")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	text, err := readDeclaration(t, *file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := o.newClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	defer c.Close()
	if *id == "" {
		d, err := c.Diff(ctx, *file, text)
		if err != nil {
			return err
		}
		if len(d.Changes) == 0 && d.Version > 0 {
			return o.printResult(t, d, fmt.Sprintf("unchanged: version %d is active\n", d.Version))
		}
		if *expect < 0 {
			*expect = int64(d.Version)
		}
		*id = oprcli.NewCommandID()
	}
	r, err := c.Apply(ctx, *id, uint64(max(*expect, 0)), *file, text)
	if err != nil {
		return addRetryHint(err, *id)
	}
	return o.printResult(t, r, fmt.Sprintf("accepted as version %d\n", r.Version))
}

// addRetryHint adds to the error of a command with an unknown outcome how to repeat it.
func addRetryHint(err error, id string) error {
	var r *oprcli.Refused
	if errors.As(err, &r) && r.Code != "outcomeUnknown" {
		return err
	}
	return Error.New("%v\nthe command may have run; repeat it with -id %s", err, id)
}

// diff prints the changes that apply would make and exits with exitDiffers if there
// are any.
func diff(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "diff")
	var o clientOptions
	o.addFlags(fs)
	file := fs.String("f", "", "declaration, JSON with comments; - reads standard input")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	text, err := readDeclaration(t, *file)
	if err != nil {
		return err
	}
	var d oprcli.Diff
	err = o.withClient(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
		d, err = c.Diff(ctx, *file, text)
		return err
	})
	if err != nil {
		return err
	}
	var s strings.Builder
	for _, ch := range d.Changes {
		switch {
		case ch.Old == nil:
			fmt.Fprintf(&s, "+ %s: %s\n", ch.Path, ch.New)
		case ch.New == nil:
			fmt.Fprintf(&s, "- %s: %s\n", ch.Path, ch.Old)
		default:
			fmt.Fprintf(&s, "~ %s: %s -> %s\n", ch.Path, ch.Old, ch.New)
		}
	}
	if err := o.printResult(t, d, s.String()); err != nil {
		return err
	}
	if len(d.Changes) > 0 {
		return &exitError{exitDiffers, nil}
	}
	return nil
}

// status prints the active configuration and the state of the services.
func status(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "status")
	var o clientOptions
	o.addFlags(fs)
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	var st oprcli.Status
	err := o.withClient(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
		st, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	var s strings.Builder
	fmt.Fprintf(&s, "version %d, leader %s, term %d, answered by %s\n", st.Version, st.Leader, st.Term, st.Node)
	fmt.Fprintf(&s, "declaration %d by %s, preset %q\n", st.Declaration.Version, orNone(st.Declaration.By), st.Preset)
	for _, v := range st.Services {
		fmt.Fprintf(&s, "service %s: serving %s, shares %v, instances %v\n", v.Name, v.Serving, v.Shares, v.Instances)
		if v.Move != nil {
			fmt.Fprintf(&s, "  move %s to %s: share %g, deadline %s\n", v.Move.ID, v.Move.To, v.Move.Share, v.Move.Deadline.Format(time.RFC3339))
		}
	}
	return o.printResult(t, st, s.String())
}

// preset activates a preset.
func preset(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "preset")
	var o commandOptions
	o.addFlags(fs)
	expect := fs.Uint64("expect", 0, "version of the preset to replace; 0 replaces any")
	if err := parseFlags(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return usageError("preset: the name of the preset is missing")
	}
	return o.run(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
		return c.SetPreset(ctx, id, fs.Arg(0), *expect)
	}, func(r oprcli.Result) string {
		return fmt.Sprintf("preset %q is active as version %d\n", fs.Arg(0), r.Version)
	})
}

// move starts, watches, lists or takes back version moves.
func move(ctx context.Context, t terminal, args []string) error {
	if len(args) == 0 {
		return usageError("move: want start, watch, list or back")
	}
	switch args[0] {
	case "start":
		return startMove(ctx, t, args[1:])
	case "watch":
		return watchMove(ctx, t, args[1:])
	case "list":
		return listMoves(ctx, t, args[1:])
	case "back":
		return takeMoveBack(ctx, t, args[1:])
	case "-h", "-help", "--help":
		fmt.Fprintln(t.out, "usage: cranberrypath move start|watch|list|back [flags]; -h after each lists its flags")
		return nil
	}
	return usageError("move: unknown action %q; want start, watch, list or back", args[0])
}

func startMove(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "move start")
	var o commandOptions
	o.addFlags(fs)
	service := fs.String("service", "", "service to move")
	to := fs.String("to", "", "version to move to")
	deadline := fs.String("deadline", "", "deadline of the move: RFC 3339, or a duration from now such as 2h")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	if *service == "" || *to == "" || *deadline == "" {
		return usageError("move start: -service, -to and -deadline are needed")
	}
	moveDeadline, err := parseDeadline(*deadline, time.Now())
	if err != nil {
		return err
	}
	return o.run(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
		return c.StartMove(ctx, id, *service, *to, moveDeadline)
	}, func(r oprcli.Result) string { return fmt.Sprintf("move %s started\n", r.Move.ID) })
}

func parseDeadline(s string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(s); err == nil {
		return now.Add(d), nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return time.Time{}, usageError("-deadline is %q; want RFC 3339 or a duration such as 2h", s)
	}
	return at, nil
}

// watchMove prints the state of a move until it ends. It exits with exitFailed if the
// move was taken back.
func watchMove(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "move watch")
	var o clientOptions
	o.addFlags(fs)
	if err := parseFlags(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return usageError("move watch: the id of the move is missing")
	}
	last := oprcli.Move{Share: -1}
	for {
		c, callCtx, cancel, err := o.newClient(ctx)
		if err != nil {
			return err
		}
		m, err := c.Move(callCtx, fs.Arg(0))
		cancel()
		c.Close()
		if err != nil {
			return err
		}
		if m.Share != last.Share || m.Outcome != last.Outcome {
			if err := o.printResult(t, m, formatMove(m)); err != nil {
				return err
			}
		}
		last = m
		switch {
		case m.Outcome == "takenBack":
			return &exitError{exitFailed, nil}
		case m.Outcome != "":
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(watchInterval):
		}
	}
}

func formatMove(m oprcli.Move) string {
	if m.Outcome != "" {
		return fmt.Sprintf("%s %s %s -> %s: %s at %s: %s\n", m.ID, m.Service, m.From, m.To, m.Outcome, m.Ended.Format(time.RFC3339), m.Reason)
	}
	return fmt.Sprintf("%s %s %s -> %s: share %g, deadline %s\n", m.ID, m.Service, m.From, m.To, m.Share, m.Deadline.Format(time.RFC3339))
}

func listMoves(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "move list")
	var o clientOptions
	o.addFlags(fs)
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	return o.withClient(ctx, func(ctx context.Context, c *oprcli.Client) error {
		all, err := c.Moves(ctx)
		if err != nil {
			return err
		}
		var s strings.Builder
		for _, m := range all {
			s.WriteString(formatMove(m))
		}
		return o.printResult(t, all, s.String())
	})
}

func takeMoveBack(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "move back")
	var o commandOptions
	o.addFlags(fs)
	reason := fs.String("reason", "", "reason, recorded with the end of the move")
	if err := parseFlags(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 || *reason == "" {
		return usageError("move back: the id of the move and -reason are needed")
	}
	return o.run(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
		return c.TakeBack(ctx, id, fs.Arg(0), *reason)
	}, func(r oprcli.Result) string {
		return fmt.Sprintf("move %s is taken back as version %d\n", fs.Arg(0), r.Version)
	})
}

// memberCommand shows or changes the members of the replicated log.
func memberCommand(ctx context.Context, t terminal, args []string) error {
	if len(args) == 0 {
		return usageError("member: want list, add or remove")
	}
	fs := newFlagSet(t, "member "+args[0])
	var o clientOptions
	o.addFlags(fs)
	var operation func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error)
	wantArgs := 1
	switch args[0] {
	case "list":
		wantArgs = 0
		operation = (*oprcli.Client).Members
	case "add":
		operation = func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error) {
			return c.AddMember(ctx, fs.Arg(0))
		}
	case "remove":
		operation = func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error) {
			return c.RemoveMember(ctx, fs.Arg(0))
		}
	default:
		return usageError("member: unknown action %q; want list, add or remove", args[0])
	}
	if err := parseFlags(fs, args[1:], wantArgs); err != nil {
		return err
	}
	if fs.NArg() != wantArgs {
		return usageError("member %s: the name of the node is missing", args[0])
	}
	var m oprcli.Members
	err := o.withClient(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
		m, err = operation(c, ctx)
		return err
	})
	if err != nil {
		return err
	}
	var s strings.Builder
	for _, v := range m.Members {
		kind := "voter"
		if !v.Voter {
			kind = "learner"
		}
		fmt.Fprintf(&s, "%s %s %s %s holds %d\n", v.Node, v.Address, v.DataCentre, kind, v.Match)
	}
	return o.printResult(t, m, s.String())
}
