// Package contrl implements a control instance: the HTTP API for operators, and
// the controllers that run on the leader of the configuration group. Every control
// member accepts all requests. A follower forwards commands to the leader instead
// of redirecting the operator, because the operator's token is meant for the
// process that received it, and the operator's network may not reach the leader.
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
	"cranberrypath.example/cranberrypath/internal/guard"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
)

// Error is the error class of this package.
var Error = errs.Class("control")

const (
	// requestTimeout limits an operator request; it leaves time for an election.
	requestTimeout = 8 * time.Second
	// forwardTimeout limits one attempt to reach the leader.
	forwardTimeout = 2 * time.Second
	// leaderRetryDelay is the delay before a command that found no leader is
	// retried; an election takes about a second.
	leaderRetryDelay = 100 * time.Millisecond
	proposeCall      = "contrl.propose"
)

// NotLeaderError is returned by a Log that is not the leader; the command did not run.
type NotLeaderError struct {
	Address string // peer address of the leader; empty if unknown
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is at %q", e.Address)
}

// MemberStatus describes one member of the replicated log.
type MemberStatus struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	Voter      bool   `json:"voter"`
	// Match is the highest log index known to be replicated on the member; only
	// the leader knows it.
	Match uint64 `json:"match,omitempty"`
}

// Status is this member's view of the replicated log.
type Status struct {
	Term   uint64
	Leader string // peer address; empty if unknown
	// IsLeader is true while this member is the leader and holds the lease.
	IsLeader bool
	Members  []MemberStatus
}

// Log is the subset of the replicated log that this package uses.
type Log interface {
	// Propose returns the result from the store, a *NotLeaderError error if the command
	// did not run, or another error if the outcome is unknown.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// Barrier returns when the local store has applied every command that was
	// committed before the call.
	Barrier(ctx context.Context) (uint64, error)
	Status() Status
}

// Net is the subset of link.Transport that this package uses.
type Net interface {
	Call(ctx context.Context, addr, name string, req, resp proto.Message) error
	Handle(name string, h link.Handler)
}

// Config configures a Server.
type Config struct {
	Instance string
	Listen   string // IP address and port of the operator listener
	// Operators maps operator names to bearer tokens. If it is empty, only
	// operators on the loopback interface are accepted.
	Operators map[string]string
	// TLS configures the listener; nil means plain HTTP. A verified client
	// certificate authenticates the operator named by its common name.
	TLS   *tls.Config
	Net   Net
	Log   Log
	Store *store.Store
	Clock func() time.Time
	// Guard bounds what operators' connections occupy; nil means a default size.
	Guard *guard.Guard
	// Events returns the recorded events. It may be nil.
	Events func(ctx context.Context, f event.Filter) ([]event.Event, error)
	// Membership changes the members of the replicated log. It may be nil.
	Membership Membership
}

// proposer sends commands to the leader.
type proposer struct {
	net Net
	log Log
}

func newProposer(net Net, log Log) *proposer {
	p := &proposer{net, log}
	net.Handle(proposeCall, p.handleForwarded)
	return p
}

// handleForwarded runs a command that a follower forwarded. It does not forward
// the command again, so that members that disagree about the leader cannot form a
// loop.
func (p *proposer) handleForwarded(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var cmd wrapperspb.BytesValue
	if err := proto.Unmarshal(body, &cmd); err != nil {
		return nil, Error.Wrap(err)
	}
	b, err := p.log.Propose(ctx, cmd.Value)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return nil, &link.RemoteError{Code: "notLeader", Message: notLeader.Address}
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return wrapperspb.Bytes(b), nil
}

// propose runs a command on the leader. It retries after any failure until ctx
// ends, because a repeated command returns its first result.
func (p *proposer) propose(ctx context.Context, cmd store.Command) (store.Result, error) {
	b := cmd.Encode()
	maybeRun := false
	for {
		out, err := p.proposeOnce(ctx, b)
		if err == nil {
			return store.DecodeResult(out)
		}
		var notLeader *NotLeaderError
		maybeRun = maybeRun || !errors.As(err, &notLeader)
		if sleep(ctx, leaderRetryDelay) {
			continue
		}
		if maybeRun {
			return store.Result{}, &outcomeUnknownError{err}
		}
		return store.Result{}, &noLeaderError{err}
	}
}

// proposeOnce tries this member and, if it names another leader, that one.
func (p *proposer) proposeOnce(ctx context.Context, cmd []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	out, err := p.log.Propose(ctx, cmd)
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Address == "" {
		return out, err
	}
	var resp wrapperspb.BytesValue
	err = p.net.Call(ctx, notLeader.Address, proposeCall, wrapperspb.Bytes(cmd), &resp)
	var remoteErr *link.RemoteError
	switch {
	case err == nil:
		return resp.Value, nil
	case link.NotSent(err):
		return nil, &NotLeaderError{}
	case errors.As(err, &remoteErr) && (remoteErr.Code == "notLeader" || remoteErr.Code == "unknownCall"):
		return nil, &NotLeaderError{remoteErr.Message}
	}
	return nil, Error.Wrap(err)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// outcomeUnknownError means that a command may have run or may still run.
type outcomeUnknownError struct{ err error }

func (e *outcomeUnknownError) Error() string {
	return "the outcome is unknown; repeat the command under the same id: " + e.err.Error()
}

// noLeaderError means that a command did not run because no leader was found.
type noLeaderError struct{ err error }

func (e *noLeaderError) Error() string { return "not run, no leader: " + e.err.Error() }
