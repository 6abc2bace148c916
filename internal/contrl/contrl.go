// Package contrl is the control node: the operators' HTTP interface and the
// place where the leader of the configuration group runs its controllers. Any
// control member takes any request. A follower forwards commands to the leader
// itself, instead of redirecting, because the operator's token is for the
// process that was asked and the leader's address may not be reachable from the
// operator's network.
package contrl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

const (
	// commandTimeout bounds one operator request, with an election in between.
	commandTimeout = 8 * time.Second
	// forwardTimeout bounds one attempt to reach the leader.
	forwardTimeout = 2 * time.Second
	// leaderPause is the pause before a command is tried again after it met no
	// leader; an election takes about a second.
	leaderPause = 100 * time.Millisecond
	callPropose = "contrl.propose"
)

// NotLeader is the error of a Log that is not the leader; the command did not run.
type NotLeader struct {
	Address string // peer address of the leader; empty if unknown
}

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not the leader; the leader is at %q", e.Address)
}

// MemberStatus describes one member of the replicated log.
type MemberStatus struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	Voter      bool   `json:"voter"`
	// Match is the last log index that the member is known to hold; only the
	// leader knows it.
	Match uint64 `json:"match,omitempty"`
}

// Status describes the replicated log as this member sees it.
type Status struct {
	Term   uint64
	Leader string // peer address; empty if unknown
	// Leads is true while this member is the leader and holds its lease.
	Leads   bool
	Members []MemberStatus
}

// Log is the part of the replicated log that this package uses.
type Log interface {
	// Propose returns the result of the store, a *NotLeader error if the command
	// did not run, or another error if that is unknown.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// Barrier returns when the local store holds every command that was
	// committed before the call.
	Barrier(ctx context.Context) (uint64, error)
	Status() Status
}

// Net is the part of link.Net that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// Config sets up a Server.
type Config struct {
	Node   string
	Listen string // IP address and port of the operators' listener
	// Operators maps names to bearer tokens. Without it only loopback operators
	// are accepted.
	Operators map[string]string
	// TLS encrypts the listener. A verified client certificate authenticates the
	// operator that its common name gives. Nil means plain HTTP.
	TLS   *tls.Config
	Net   Net
	Log   Log
	Store *store.Store
	Clock func() time.Time
	// Events returns the time line. It may be nil.
	Events func(ctx context.Context, f event.Filter) ([]event.Event, error)
	// Membership changes the members of the replicated log. It may be nil.
	Membership Membership
}

// proposer carries commands to the leader.
type proposer struct {
	net Net
	log Log
}

func newProposer(net Net, log Log) *proposer {
	p := &proposer{net, log}
	net.Handle(callPropose, p.handle)
	return p
}

// handle runs a command that a follower forwarded. It does not forward again,
// so that two members with different opinions of the leader form no loop.
func (p *proposer) handle(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var cmd wrapperspb.BytesValue
	if err := proto.Unmarshal(body, &cmd); err != nil {
		return nil, Error.Wrap(err)
	}
	b, err := p.log.Propose(ctx, cmd.Value)
	var other *NotLeader
	if errors.As(err, &other) {
		return nil, &link.RemoteError{Code: "notLeader", Message: other.Address}
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return wrapperspb.Bytes(b), nil
}

// propose runs a command at the leader. Because a repeated command gets its first
// answer, it is sent again after any failure until ctx ends.
func (p *proposer) propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	b := cmd.Encode()
	maybeRun := false
	for {
		out, err := p.once(ctx, b)
		if err == nil {
			return store.DecodeResult(out)
		}
		var other *NotLeader
		maybeRun = maybeRun || !errors.As(err, &other)
		if wait(ctx, leaderPause) {
			continue
		}
		if maybeRun {
			return store.Result{}, &outcomeUnknown{err}
		}
		return store.Result{}, &noLeader{err}
	}
}

// once tries this member and the leader that it names.
func (p *proposer) once(ctx context.Context, cmd []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	out, err := p.log.Propose(ctx, cmd)
	var other *NotLeader
	if !errors.As(err, &other) || other.Address == "" {
		return out, err
	}
	var resp wrapperspb.BytesValue
	err = p.net.Call(ctx, other.Address, callPropose, wrapperspb.Bytes(cmd), &resp)
	var re *link.RemoteError
	switch {
	case err == nil:
		return resp.Value, nil
	case link.NotSent(err):
		return nil, &NotLeader{}
	case errors.As(err, &re) && (re.Code == "notLeader" || re.Code == "unknownCall"):
		return nil, &NotLeader{re.Message}
	}
	return nil, Error.Wrap(err)
}

// wait pauses and reports whether there is time left.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// outcomeUnknown means that a command may have run or may still run.
type outcomeUnknown struct{ err error }

func (e *outcomeUnknown) Error() string {
	return "the outcome is unknown; repeat the command under the same id: " + e.err.Error()
}

// noLeader means that a command did not run because no leader was found.
type noLeader struct{ err error }

func (e *noLeader) Error() string { return "not run, no leader: " + e.err.Error() }
