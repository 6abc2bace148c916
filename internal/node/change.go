package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
)

const (
	memberChangeCall = "node.member"
	// codeNotLeader is the error code of a member that does not lead the group. The
	// error message is the leader's peer address, or empty if unknown.
	codeNotLeader = "notLeader"
	// codeVoterSilent is the error code of a *contrl.VoterSilentError. The error message holds
	// the voters, separated by spaces.
	codeVoterSilent = "voterSilent"
	// changeRetryDelay is the delay between attempts while a group has no leader or
	// another change is not committed yet.
	changeRetryDelay = 100 * time.Millisecond
)

// Add implements contrl.Membership.
func (c *control) Add(ctx context.Context, member string) error {
	return c.changeMembership(ctx, member, true)
}

// Remove implements contrl.Membership.
func (c *control) Remove(ctx context.Context, member string) error {
	return c.changeMembership(ctx, member, false)
}

// changeMembership changes the members of each group through its leader. All groups
// must have the same members, so failed attempts are repeated until ctx is done.
func (c *control) changeMembership(ctx context.Context, member string, add bool) error {
	// A dead member may be gone from the settings already.
	if add && c.node.controlAddress(member) == "" {
		return Error.New("node %q has no address in \"control\" of the settings of %s", member, c.node.cfg.Settings.Node)
	}
	eventKind := "member.removed"
	if add {
		eventKind = "member.added"
	}
	for group := range c.groups {
		if err := c.changeGroupMembers(ctx, group, member, add); err != nil {
			return fmt.Errorf("group %d: %w", group, err)
		}
	}
	c.node.event(event.Of(eventKind).WithInstance(member))
	return nil
}

func (c *control) changeGroupMembers(ctx context.Context, group int, member string, add bool) error {
	for {
		err := c.applyMemberChange(ctx, group, member, add)
		var nl *raft.NotLeaderError
		if errors.As(err, &nl) {
			err = c.forwardMemberChange(ctx, c.node.controlAddress(nl.Leader), group, member, add)
		}
		var silent *contrl.VoterSilentError
		if err == nil || errors.As(err, &silent) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(changeRetryDelay):
		}
	}
}

// applyMemberChange changes the members of a group that this member leads.
func (c *control) applyMemberChange(ctx context.Context, group int, member string, add bool) error {
	g := c.groups[group]
	if err := c.awaitVoters(ctx, g, member, add); err != nil {
		return err
	}
	if add {
		return g.Add(ctx, member)
	}
	return g.Remove(ctx, member)
}

func (c *control) forwardMemberChange(ctx context.Context, addr string, group int, member string, add bool) error {
	if addr == "" {
		return Error.New("the group has no leader")
	}
	req, err := structpb.NewStruct(map[string]any{"group": group, "node": member, "add": add})
	if err != nil {
		return Error.Wrap(err)
	}
	err = c.node.net.Call(ctx, addr, memberChangeCall, req, &structpb.Struct{})
	var remoteErr *link.RemoteError
	if errors.As(err, &remoteErr) && remoteErr.Code == codeVoterSilent {
		return &contrl.VoterSilentError{Voters: strings.Fields(remoteErr.Message)}
	}
	return Error.Wrap(err)
}

// handleMemberChange applies a change forwarded by another member to a group that
// this member leads.
func (c *control) handleMemberChange(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req structpb.Struct
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	group := int(req.Fields["group"].GetNumberValue())
	if group < 0 || group >= len(c.groups) {
		return nil, Error.New("there is no group %d", group)
	}
	err := c.applyMemberChange(ctx, group, req.Fields["node"].GetStringValue(), req.Fields["add"].GetBoolValue())
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) {
		return nil, &link.RemoteError{Code: codeNotLeader, Message: c.node.controlAddress(nl.Leader)}
	}
	var silent *contrl.VoterSilentError
	if errors.As(err, &silent) {
		return nil, &link.RemoteError{Code: codeVoterSilent, Message: strings.Join(silent.Voters, " ")}
	}
	return &structpb.Struct{}, err
}
