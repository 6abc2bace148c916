// Package claim lets a non-idempotent call run at most once. Before the first
// byte of a call is sent, the entry instance takes the call's claim from a raft
// group; whoever sends the call again finds the claim and gets the stored answer,
// or learns that the call runs elsewhere or that its outcome is unknown.
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
	// ErrStale means that the attempt is not the claim's open one.
	ErrStale = errs.New("claim: not the open attempt")
	// ErrExpired means that the command's time is older than the retention, or
	// too far from the time of the claim group's leader.
	ErrExpired = errs.New("claim: time of the command is out of range")
	// ErrUnavailable means that no leader confirmed the command in time. It may
	// still have taken effect.
	ErrUnavailable = errs.New("claim: no confirmation by the claim group")
	// ErrTooLarge means that an answer or a name exceeds its limit.
	ErrTooLarge = errs.New("claim: too large")
)

// Full is the error of a claim that was refused because its group holds as many
// bytes of claims as it may. Nothing took effect.
type Full struct {
	RetryAfter time.Duration // until the oldest claim is forgotten
}

func (e *Full) Error() string {
	return "claim: the group holds as many claims as it may; the oldest is forgotten in " + e.RetryAfter.String()
}

const (
	// MaxBodyBytes of an answer are stored. An owner whose answer is longer
	// finishes with an empty body and Truncated.
	MaxBodyBytes = 64 << 10
	// maxHeaderBytes bounds names and values of an answer's headers together.
	maxHeaderBytes = 16 << 10
	// maxSkew is the largest difference between the time in a command and the
	// leader's clock. A wrong clock would otherwise expire the claims of everyone.
	maxSkew = time.Minute
	// retryPause is the pause before a command is sent to another member.
	retryPause = 20 * time.Millisecond
	// tryTimeout bounds one try. It may be short, because a repeated command has
	// no second effect, and must be, so that a silent member costs little of the
	// caller's time.
	tryTimeout = 500 * time.Millisecond
	// firstGroup is the raft group number of the first claim group; 0 is the
	// configuration group.
	firstGroup = 1
	callName   = "claim"
)

// Key identifies a call.
type Key struct {
	Org string
	Key string // chosen by the caller, unique within the organisation
}

// Group returns the raft group, 1 to groups, that holds the claim of k.
func (k Key) Group(groups int) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(k.Org)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(k.Key)
	return firstGroup + uint32(h.Sum64()%uint64(groups))
}

// Header of an answer.
type Header struct{ Name, Value string }

// Answer of a call, as stored.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Truncated means that the body was too long to be stored.
	Truncated bool
}

// Status of a claim.
type Status uint8

// What Take found.
const (
	Granted   Status = iota + 1 // the caller owns the attempt and may send the call
	Done                        // the call has run; State.Answer is its answer
	Pending                     // State.Owner is running the call
	Unknown                     // the call may have run; it must not run again
	OtherBody                   // the key was used for a call with another body
)

// String returns the name used in the time line.
func (s Status) String() string {
	return [...]string{"none", "granted", "done", "pending", "unknown", "otherBody"}[s]
}

// State is the answer to Take.
type State struct {
	Status  Status
	Attempt uint64
	Owner   string // of a pending or unknown attempt
	Answer  Answer // if Done
}

// Member is a process that holds claim groups.
type Member struct {
	ID      string // node name
	Address string // of its peer listener
}

// Client takes and settles claims.
type Client struct {
	net     *link.Net
	groups  int
	members func() []Member

	mu      sync.Mutex
	leaders map[uint32]string // last known leader of each group
}

// NewClient returns a client for the given number of claim groups, which must
// be the same everywhere. The function members returns the processes that may
// lead them.
func NewClient(net *link.Net, groups int, members func() []Member) *Client {
	return &Client{net: net, groups: groups, members: members, leaders: map[uint32]string{}}
}

// Take asks for the right to run the call once. After *Full no claim was granted.
// After another error the claim may be held under owner's name; owner then finds
// it Pending and can Release it, as it has sent nothing. The same holds for a
// claim that is Pending under the caller's own name without running there: a try
// that was delayed in the network may have been granted after a later one was
// answered.
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
		s.Status, s.Answer = Done, answerFrom(res.Answer)
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

// Finish stores the answer of the attempt.
func (c *Client) Finish(ctx context.Context, k Key, attempt uint64, a Answer, now time.Time) error {
	return c.settle(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_FINISH, Attempt: attempt, Answer: a.proto()}, now)
}

// Release gives the claim back. It is only allowed if no byte of the call was sent.
func (c *Client) Release(ctx context.Context, k Key, attempt uint64, now time.Time) error {
	return c.settle(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_RELEASE, Attempt: attempt}, now)
}

// MarkLost records that the outcome of the attempt is unknown, because its owner or
// the connection to the server was lost.
func (c *Client) MarkLost(ctx context.Context, k Key, attempt uint64, now time.Time) error {
	return c.settle(ctx, k, &clmpb.Command{Op: clmpb.Op_OP_LOST, Attempt: attempt}, now)
}

func (c *Client) settle(ctx context.Context, k Key, cmd *clmpb.Command, now time.Time) error {
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

// do sends the command, with one id in all tries, until a leader has answered
// or ctx ends.
func (c *Client) do(ctx context.Context, k Key, cmd *clmpb.Command, now time.Time) (*clmpb.Result, error) {
	cmd.Id = make([]byte, idBytes)
	_, _ = rand.Read(cmd.Id)
	cmd.Org, cmd.Key, cmd.NowMs = k.Org, k.Key, now.UnixMilli()
	if !valid(cmd) {
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
			return nil, Error.New("no members are known")
		}
		resp := &clmpb.Response{}
		err = c.call(ctx, to, req, resp)
		switch {
		case err == nil && resp.Result != nil:
			c.remember(req.Group, to.ID)
			return resp.Result, nil
		case err == nil && resp.Leader != "" && resp.Leader != to.ID:
			c.remember(req.Group, resp.Leader)
		default:
			c.remember(req.Group, "")
		}
		if try == 0 && err == nil && resp.Leader != "" {
			continue // the hint is usually right
		}
		pause(ctx)
	}
	return nil, errors.Join(ErrUnavailable, err, ctx.Err())
}

func (c *Client) call(ctx context.Context, to Member, req *clmpb.Request, resp *clmpb.Response) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return Error.Wrap(c.net.Call(ctx, to.Address, callName, req, resp))
}

// target returns the last known leader, or a member in turn.
func (c *Client) target(group uint32, try int) (Member, bool) {
	all := c.members()
	if len(all) == 0 {
		return Member{}, false
	}
	c.mu.Lock()
	lead := c.leaders[group]
	c.mu.Unlock()
	if i := slices.IndexFunc(all, func(m Member) bool { return m.ID == lead }); i >= 0 {
		return all[i], true
	}
	return all[(int(group)+try)%len(all)], true
}

func (c *Client) remember(group uint32, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = leader
}

func pause(ctx context.Context) {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (a Answer) proto() *clmpb.Answer {
	p := &clmpb.Answer{Status: uint32(a.Status), Body: a.Body, Truncated: a.Truncated}
	for _, h := range a.Headers {
		p.Headers = append(p.Headers, &clmpb.Header{Name: h.Name, Value: h.Value})
	}
	return p
}

func answerFrom(p *clmpb.Answer) Answer {
	a := Answer{Status: int(p.GetStatus()), Body: p.GetBody(), Truncated: p.GetTruncated()}
	for _, h := range p.GetHeaders() {
		a.Headers = append(a.Headers, Header{h.Name, h.Value})
	}
	return a
}
