package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
)

const (
	changeCall = "node.member"
	// codeNotLeader is the code of a member that does not lead the group. Its
	// message is the peer address of the leader, if known.
	codeNotLeader = "notLeader"
	// changePause is the pause before a change is tried again, while a group has
	// no leader or another change is not committed yet.
	changePause = 100 * time.Millisecond
)

// Add implements contrl.Membership.
func (c *control) Add(ctx context.Context, node string) error { return c.change(ctx, node, true) }

// Remove implements contrl.Membership.
func (c *control) Remove(ctx context.Context, node string) error { return c.change(ctx, node, false) }

// change changes the members of each group through its leader. All groups must
// have the same members, so it does not stop at the first failure.
func (c *control) change(ctx context.Context, node string, add bool) error {
	if c.n.controlAddress(node) == "" {
		return Error.New("node %q has no address in \"control\" of the settings of %s", node, c.n.cfg.Settings.Node)
	}
	kind := "member.removed"
	if add {
		kind = "member.added"
	}
	for number := range c.groups {
		if err := c.changeGroup(ctx, number, node, add); err != nil {
			return Error.New("group %d: %v", number, err)
		}
	}
	c.n.event(event.Of(kind).WithInstance(node))
	return nil
}

func (c *control) changeGroup(ctx context.Context, number int, node string, add bool) error {
	for {
		err := c.changeHere(ctx, number, node, add)
		var nl *raft.NotLeader
		if errors.As(err, &nl) {
			err = c.changeAt(ctx, c.n.controlAddress(nl.Leader), number, node, add)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changePause):
		}
	}
}

func (c *control) changeHere(ctx context.Context, number int, node string, add bool) error {
	if add {
		return c.groups[number].Add(ctx, node)
	}
	return c.groups[number].Remove(ctx, node)
}

func (c *control) changeAt(ctx context.Context, addr string, number int, node string, add bool) error {
	if addr == "" {
		return Error.New("the group has no leader")
	}
	req, err := structpb.NewStruct(map[string]any{"group": number, "node": node, "add": add})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(c.n.net.Call(ctx, addr, changeCall, req, &structpb.Struct{}))
}

// handleChange changes a group that this member leads for another member.
func (c *control) handleChange(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req structpb.Struct
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	number := int(req.Fields["group"].GetNumberValue())
	if number < 0 || number >= len(c.groups) {
		return nil, Error.New("there is no group %d", number)
	}
	err := c.changeHere(ctx, number, req.Fields["node"].GetStringValue(), req.Fields["add"].GetBoolValue())
	var nl *raft.NotLeader
	if errors.As(err, &nl) {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: c.n.controlAddress(nl.Leader)}
	}
	return &structpb.Struct{}, err
}
