// Package claim gives non-idempotent calls at-most-once execution. Before an
// entry instance sends the first byte of a call, it takes a claim on the call's key
// from a raft group. A later call with the same key finds the claim and receives
// the stored answer, or is told that the call is in flight or that its outcome is
// unknown.
package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
	"cranberrypath.example/cranberrypath/internal/link"
)

// Error is the class of this package's errors.
var Error = errs.Class("claim")

// Errors that callers distinguish with errors.Is.
var (
	// ErrStale means that the attempt is not the claim's current one, or has ended.
	ErrStale = errs.New("claim: the attempt is not the current one or has ended")
	// ErrExpired means that the command's timestamp is older than the retention,
	// or differs too much from the clock of the claim group's leader.
	ErrExpired = errs.New("claim: timestamp of the command is out of range")
	// ErrUnavailable means that no leader confirmed the command in time. The
	// command may still have taken effect.
	ErrUnavailable = errs.New("claim: no leader of the claim group confirmed the command in time")
	// ErrTooLarge means that an answer or a name exceeds its limit.
	ErrTooLarge = errs.New("claim: answer or name is too large")
)

// Full is returned if a claim is refused because its group has reached its limit
// on the bytes of claims. The command had no effect.
type Full struct {
	RetryAfter time.Duration // until the oldest claim expires
}

func (e *Full) Error() string {
	return "claim: the group has reached its size limit; the oldest claim expires in " + e.RetryAfter.String()
}

const (
	// MaxBodyBytes is the largest body that is stored. If the body is larger, the
	// owner calls Finish with an empty body and Truncated set.
	MaxBodyBytes = 64 << 10
	// maxHeaderBytes limits the total size of the header names and values of an answer.
	maxHeaderBytes = 16 << 10
	// maxSkew is the largest allowed difference between the timestamp of a command
	// and the leader's clock. Without it, one client with a wrong clock could
	// expire the claims of all clients.
	maxSkew = time.Minute
	// retryDelay is the delay before a command is sent again.
	retryDelay = 20 * time.Millisecond
	// tryTimeout limits a single try. It is short so that an unresponsive member
	// uses little of the caller's deadline; this is safe because commands are
	// idempotent.
	tryTimeout = 500 * time.Millisecond
	// firstGroupNumber is the raft group number of the first claim group. Group 0
	// is the configuration group.
	firstGroupNumber = 1
	rpcName          = "claim"
)

// Key identifies a call.
type Key struct {
	Org string
	Key string // chosen by the caller, unique within the organisation
}

// Group returns the number, 1 to groups, of the raft group that holds the claim of k.
func (k Key) Group(groups int) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(k.Org)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(k.Key)
	return firstGroupNumber + uint32(h.Sum64()%uint64(groups))
}

// Header is a header field of an answer.
type Header struct{ Name, Value string }

// Answer is the stored response of a call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Truncated is set if the body was too large to be stored.
	Truncated bool
}

// Status is the status of a claim.
type Status uint8

// The results of Take.
const (
	Granted   Status = iota + 1 // the caller owns the new attempt and may send the call
	Done                        // the call has completed; State.Answer is its response
	Pending                     // the call is in flight at State.Owner
	Unknown                     // the call may have been executed and must not be sent again
	OtherBody                   // the key was used for a call with a different body
)

// String returns the name used in the timeline of events.
func (s Status) String() string {
	return [...]string{"none", "granted", "done", "pending", "unknown", "otherBody"}[s]
}

// State is the result of Take.
type State struct {
	Status  Status
	Attempt uint64
	Owner   string // of the attempt, if Pending or Unknown
	Answer  Answer // if Done
}

// Member is a process that runs members of the claim groups.
type Member struct {
	ID      string // node name
	Address string // of its peer listener
}

// Client takes claims and ends their attempts.
type Client struct {
	net     *link.Net
	groups  int
	members func() []Member

	mu      sync.Mutex
	leaders map[uint32]string // last known leader of each group
}

// NewClient returns a client for the given number of claim groups, which must
// be the same in all processes. The members function returns the processes that
// may lead the groups.
func NewClient(net *link.Net, groups int, members func() []Member) *Client {
	return &Client{net: net, groups: groups, members: members, leaders: map[uint32]string{}}
}

// Take requests the exclusive right to send the call. The error *Full means that
// no claim was granted. After any other error the claim may have been granted to
// owner: the next Take then returns Pending, and owner can Release the claim because
// it has sent nothing. The same applies if Take returns Pending with the caller as
// the owner although the caller has no such call in flight: a try that was delayed in
// the network may have been granted after a later try was answered.
func (c *Client) Take(ctx context.Context, k Key, bodyHash uint64, owner string, now time.Time) (State, error) {
	res, err := c.do(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_TAKE, BodyHash: bodyHash, Owner: owner}, now)
	if err != nil {
		return State{}, err
	}
	s := State{Attempt: res.Attempt, Owner: res.Owner}
	switch res.Outcome {
	case clmpb.Outcome_OUTCOME_GRANTED:
		s.Status = Granted
	case clmpb.Outcome_OUTCOME_DONE:
		s.Status, s.Answer = Done, answerFromProto(res.Answer)
	case clmpb.Outcome_OUTCOME_PENDING:
		s.Status = Pending
	case clmpb.Outcome_OUTCOME_UNKNOWN:
		s.Status = Unknown
	case clmpb.Outcome_OUTCOME_OTHER_BODY:
		s.Status = OtherBody
	case clmpb.Outcome_OUTCOME_FULL:
		return State{}, &Full{time.Duration(res.RetryMs) * time.Millisecond}
	default:
		return State{}, outcomeError(res.Outcome)
	}
	return s, nil
}

// Finish ends the attempt and stores the answer.
func (c *Client) Finish(ctx context.Context, k Key, attempt uint64, a Answer, now time.Time) error {
	return c.endAttempt(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_FINISH, Attempt: attempt, Answer: a.toProto()}, now)
}

// Release ends the attempt so that the call can be claimed again. It may only be used
// if no byte of the call was sent.
func (c *Client) Release(ctx context.Context, k Key, attempt uint64, now time.Time) error {
	return c.endAttempt(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_RELEASE, Attempt: attempt}, now)
}

// MarkLost records that the outcome of the attempt is unknown because its owner failed
// or the connection to the server was lost.
func (c *Client) MarkLost(ctx context.Context, k Key, attempt uint64, now time.Time) error {
	return c.endAttempt(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_LOST, Attempt: attempt}, now)
}

func (c *Client) endAttempt(ctx context.Context, k Key, cmd *clmpb.Command, now time.Time) error {
	res, err := c.do(ctx, k, cmd, now)
	if err != nil {
		return err
	}
	if res.Outcome != clmpb.Outcome_OUTCOME_OK {
		return outcomeError(res.Outcome)
	}
	return nil
}

func outcomeError(o clmpb.Outcome) error {
	switch o {
	case clmpb.Outcome_OUTCOME_STALE:
		return ErrStale
	case clmpb.Outcome_OUTCOME_EXPIRED:
		return ErrExpired
	}
	return Error.New("outcome %v", o)
}

// do sends the command until a leader answers or ctx ends. All tries use the same
// command ID.
func (c *Client) do(ctx context.Context, k Key, cmd *clmpb.Command, now time.Time) (*clmpb.Result, error) {
	cmd.Id = make([]byte, commandIDBytes)
	_, _ = rand.Read(cmd.Id)
	cmd.Org, cmd.Key, cmd.NowMs = k.Org, k.Key, now.UnixMilli()
	if !validCommand(cmd) {
		return nil, ErrTooLarge
	}
	b, err := proto.Marshal(cmd)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req := &clmpb.Request{Group: k.Group(c.groups), Command: b}
	for try := 0; ctx.Err() == nil; try++ {
		to, ok := c.target(req.Group, try)
		if !ok {
			return nil, Error.New("no members of the claim groups are known")
		}
		resp := &clmpb.Response{}
		err = c.call(ctx, to, req, resp)
		switch {
		case err == nil && resp.Result != nil:
			c.setLeader(req.Group, to.ID)
			return resp.Result, nil
		case err == nil && resp.Leader != "" && resp.Leader != to.ID:
			c.setLeader(req.Group, resp.Leader)
		default:
			c.setLeader(req.Group, "")
		}
		if try == 0 && err == nil && resp.Leader != "" {
			continue // try the leader named in the response without a delay
		}
		waitToRetry(ctx)
	}
	return nil, errors.Join(ErrUnavailable, err, ctx.Err())
}

func (c *Client) call(ctx context.Context, to Member, req *clmpb.Request, resp *clmpb.Response) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return Error.Wrap(c.net.Call(ctx, to.Address, rpcName, req, resp))
}

// target returns the last known leader of the group, or else picks a member by
// round-robin.
func (c *Client) target(group uint32, try int) (Member, bool) {
	members := c.members()
	if len(members) == 0 {
		return Member{}, false
	}
	c.mu.Lock()
	leader := c.leaders[group]
	c.mu.Unlock()
	if i := slices.IndexFunc(members, func(m Member) bool { return m.ID == leader }); i >= 0 {
		return members[i], true
	}
	return members[(int(group)+try)%len(members)], true
}

func (c *Client) setLeader(group uint32, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = leader
}

func waitToRetry(ctx context.Context) {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (a Answer) toProto() *clmpb.Answer {
	p := &clmpb.Answer{Status: uint32(a.Status), Body: a.Body, Truncated: a.Truncated}
	for _, h := range a.Headers {
		p.Headers = append(p.Headers, &clmpb.Header{Name: h.Name, Value: h.Value})
	}
	return p
}

func answerFromProto(p *clmpb.Answer) Answer {
	a := Answer{Status: int(p.GetStatus()), Body: p.GetBody(), Truncated: p.GetTruncated()}
	for _, h := range p.GetHeaders() {
		a.Headers = append(a.Headers, Header{h.Name, h.Value})
	}
	return a
}
