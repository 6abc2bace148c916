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
	// operatorsVariable and tokenVariable are the environment's defaults for
	// -operators and -token, so that a token need not stand in a command line.
	operatorsVariable = "CRANBERRYPATH_OPERATORS"
	tokenVariable     = "CRANBERRYPATH_TOKEN"
	defaultOperators  = "127.0.0.1:8301"
	// watchEvery is how often "move watch" asks.
	watchEvery = time.Second
)

// target is what every operators' command needs to reach the deployment.
type target struct {
	addresses, token string
	json             bool
	timeout          time.Duration
	tls              certs.Files
}

func (o *target) flags(fs *flag.FlagSet) {
	addrs := os.Getenv(operatorsVariable)
	if addrs == "" {
		addrs = defaultOperators
	}
	fs.StringVar(&o.addresses, "operators", addrs, "addresses of operators' listeners, separated by commas; default from "+operatorsVariable)
	fs.StringVar(&o.token, "token", "", "operator's token; default from "+tokenVariable)
	fs.BoolVar(&o.json, "json", false, "print JSON")
	fs.StringVar(&o.tls.Authority, "ca", "", "PEM file of the deployment's authority; turns TLS on")
	fs.StringVar(&o.tls.Certificate, "cert", "", "PEM file of the operator's certificate")
	fs.StringVar(&o.tls.Key, "key", "", "PEM file of the certificate's key")
	fs.DurationVar(&o.timeout, "timeout", 30*time.Second, "longest time for the command")
}

func (o *target) client(ctx context.Context) (*oprcli.Client, context.Context, context.CancelFunc, error) {
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

// call runs f with a client and a bounded context.
func (o *target) call(ctx context.Context, f func(ctx context.Context, c *oprcli.Client) error) error {
	c, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	defer c.Close()
	return f(ctx, c)
}

// changing is the flags of a subcommand that changes something.
type changing struct {
	target
	id string
}

func (o *changing) flags(fs *flag.FlagSet) {
	o.target.flags(fs)
	fs.StringVar(&o.id, "id", "", "command id, to repeat a command whose answer was lost")
}

// change runs f with a command id and prints its result.
func (o *changing) change(ctx context.Context, t terminal, f func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error), text func(oprcli.Result) string) error {
	if o.id == "" {
		o.id = oprcli.NewCommandID()
	}
	return o.call(ctx, func(ctx context.Context, c *oprcli.Client) error {
		r, err := f(ctx, c, o.id)
		if err != nil {
			return repeatHint(err, o.id)
		}
		return o.show(t, r, text(r))
	})
}

// show prints v as JSON, or text.
func (o *target) show(t terminal, v any, text string) error {
	if !o.json {
		fmt.Fprint(t.out, text)
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(v))
}

// readDeclaration reads and checks a declaration, so that mistakes are reported
// without a deployment.
func readDeclaration(t terminal, file string) ([]byte, error) {
	if file == "" {
		return nil, usageError("-f is missing")
	}
	b, err := openFile(t, file)
	if err != nil {
		return nil, err
	}
	if _, err := decl.Parse(file, b); err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return b, nil
}

// apply puts a declaration in force. It is safe to repeat: a declaration that is
// in force already changes nothing.
func apply(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "apply")
	var o target
	o.flags(fs)
	file := fs.String("f", "", "declaration, JSON with comments; - reads standard input")
	expect := fs.Int64("expect", -1, "version of the declaration that this one was made from; -1 takes the one in force")
	id := fs.String("id", "", "command id, to repeat a command whose answer was lost")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	text, err := readDeclaration(t, *file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := o.client(ctx)
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
			return o.show(t, d, fmt.Sprintf("unchanged: version %d is in force\n", d.Version))
		}
		if *expect < 0 {
			*expect = int64(d.Version)
		}
		*id = oprcli.NewCommandID()
	}
	r, err := c.Apply(ctx, *id, uint64(max(*expect, 0)), *file, text)
	if err != nil {
		return repeatHint(err, *id)
	}
	return o.show(t, r, fmt.Sprintf("accepted as version %d\n", r.Version))
}

// repeatHint tells how to repeat a command whose outcome is not known.
func repeatHint(err error, id string) error {
	var r *oprcli.Refused
	if errors.As(err, &r) && r.Code != "outcomeUnknown" {
		return err
	}
	return Error.New("%v\nthe command may have run; repeat it with -id %s", err, id)
}

// diff prints what apply would change and exits with 3 if there is anything.
func diff(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "diff")
	var o target
	o.flags(fs)
	file := fs.String("f", "", "declaration, JSON with comments; - reads standard input")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	text, err := readDeclaration(t, *file)
	if err != nil {
		return err
	}
	var d oprcli.Diff
	err = o.call(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
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
	if err := o.show(t, d, s.String()); err != nil {
		return err
	}
	if len(d.Changes) > 0 {
		return &exitError{exitChanges, nil}
	}
	return nil
}

// status prints the configuration in force.
func status(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "status")
	var o target
	o.flags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	var st oprcli.Status
	err := o.call(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
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
	return o.show(t, st, s.String())
}

// preset puts a preset in force.
func preset(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "preset")
	var o changing
	o.flags(fs)
	expect := fs.Uint64("expect", 0, "version of the preset to replace; 0 replaces any")
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return usageError("preset: the name of the preset is missing")
	}
	return o.change(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
		return c.SetPreset(ctx, id, fs.Arg(0), *expect)
	}, func(r oprcli.Result) string {
		return fmt.Sprintf("preset %q is in force as version %d\n", fs.Arg(0), r.Version)
	})
}

// move starts, watches or takes back a version move.
func move(ctx context.Context, t terminal, args []string) error {
	if len(args) == 0 {
		return usageError("move: want start, watch, list or back")
	}
	switch args[0] {
	case "start":
		return moveStart(ctx, t, args[1:])
	case "watch":
		return moveWatch(ctx, t, args[1:])
	case "list":
		return moveList(ctx, t, args[1:])
	case "back":
		return moveBack(ctx, t, args[1:])
	case "-h", "-help", "--help":
		fmt.Fprintln(t.out, "usage: cranberrypath move start|watch|list|back [flags]; -h after each lists its flags")
		return nil
	}
	return usageError("move: unknown action %q; want start, watch, list or back", args[0])
}

func moveStart(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "move start")
	var o changing
	o.flags(fs)
	service := fs.String("service", "", "service to move")
	to := fs.String("to", "", "version to move to")
	deadline := fs.String("deadline", "", "time by which the move must end: RFC 3339, or a duration from now such as 2h")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	if *service == "" || *to == "" || *deadline == "" {
		return usageError("move start: -service, -to and -deadline are needed")
	}
	by, err := parseDeadline(*deadline, time.Now())
	if err != nil {
		return err
	}
	return o.change(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
		return c.StartMove(ctx, id, *service, *to, by)
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

// moveWatch prints a move until it ends. It exits with 1 if it was taken back.
func moveWatch(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "move watch")
	var o target
	o.flags(fs)
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return usageError("move watch: the id of the move is missing")
	}
	last := oprcli.Move{Share: -1}
	for {
		c, asked, cancel, err := o.client(ctx)
		if err != nil {
			return err
		}
		m, err := c.Move(asked, fs.Arg(0))
		cancel()
		c.Close()
		if err != nil {
			return err
		}
		if m.Share != last.Share || m.Outcome != last.Outcome {
			if err := o.show(t, m, moveLine(m)); err != nil {
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
		case <-time.After(watchEvery):
		}
	}
}

func moveLine(m oprcli.Move) string {
	if m.Outcome != "" {
		return fmt.Sprintf("%s %s %s -> %s: %s at %s: %s\n", m.ID, m.Service, m.From, m.To, m.Outcome, m.Ended.Format(time.RFC3339), m.Reason)
	}
	return fmt.Sprintf("%s %s %s -> %s: share %g, deadline %s\n", m.ID, m.Service, m.From, m.To, m.Share, m.Deadline.Format(time.RFC3339))
}

func moveList(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "move list")
	var o target
	o.flags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	return o.call(ctx, func(ctx context.Context, c *oprcli.Client) error {
		all, err := c.Moves(ctx)
		if err != nil {
			return err
		}
		var s strings.Builder
		for _, m := range all {
			s.WriteString(moveLine(m))
		}
		return o.show(t, all, s.String())
	})
}

func moveBack(ctx context.Context, t terminal, args []string) error {
	fs := flags(t, "move back")
	var o changing
	o.flags(fs)
	reason := fs.String("reason", "", "why, for the move's statement")
	if err := parse(fs, args, 1); err != nil {
		return err
	}
	if fs.NArg() != 1 || *reason == "" {
		return usageError("move back: the id of the move and -reason are needed")
	}
	return o.change(ctx, t, func(ctx context.Context, c *oprcli.Client, id string) (oprcli.Result, error) {
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
	fs := flags(t, "member "+args[0])
	var o target
	o.flags(fs)
	var act func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error)
	most := 1
	switch args[0] {
	case "list":
		most = 0
		act = (*oprcli.Client).Members
	case "add":
		act = func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error) {
			return c.AddMember(ctx, fs.Arg(0))
		}
	case "remove":
		act = func(c *oprcli.Client, ctx context.Context) (oprcli.Members, error) {
			return c.RemoveMember(ctx, fs.Arg(0))
		}
	default:
		return usageError("member: unknown action %q; want list, add or remove", args[0])
	}
	if err := parse(fs, args[1:], most); err != nil {
		return err
	}
	if fs.NArg() != most {
		return usageError("member %s: the name of the node is missing", args[0])
	}
	var m oprcli.Members
	err := o.call(ctx, func(ctx context.Context, c *oprcli.Client) (err error) {
		m, err = act(c, ctx)
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
	return o.show(t, m, s.String())
}
