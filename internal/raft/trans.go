package raft

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// callName is the name of the members' calls on a link.
const callName = "raft"

// Links is the Transport over the links between processes. It serves all groups
// of one process; a member's id is the node name of its process.
type Links struct {
	net     *link.Net
	address func(id string) string

	mu      sync.Mutex
	groups  map[uint32]*Group
	joining map[string]*joined // heartbeats about to be sent, by receiver
}

// NewLinks serves the groups of this process on net. The function address
// returns the peer address of a node, or "" if it is not known.
func NewLinks(net *link.Net, address func(id string) string) *Links {
	l := &Links{net: net, address: address, groups: map[uint32]*Group{}, joining: map[string]*joined{}}
	net.Handle(callName, l.handle)
	net.Handle(beatsName, l.handleBeats)
	return l
}

// Serve passes requests for the group to g.
func (l *Links) Serve(g *Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[g.cfg.Group] = g
}

func (l *Links) handle(ctx context.Context, from link.Peer, body []byte) (proto.Message, error) {
	var req raftpb.Message
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if req.From != from.Node {
		return nil, Error.New("message of %q came from %q", req.From, from.Node)
	}
	l.mu.Lock()
	g := l.groups[req.Group]
	l.mu.Unlock()
	if g == nil {
		return nil, Error.New("group %d is not served here", req.Group)
	}
	resp := g.Handle(ctx, &req)
	if resp == nil {
		return nil, ErrStopped
	}
	return resp, nil
}

// Call implements Transport. The heartbeats of all groups to one process share
// a message.
func (l *Links) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	if req.Kind == raftpb.Kind_KIND_HEARTBEAT {
		return l.beat(ctx, to, req)
	}
	return l.call(ctx, to, req)
}

func (l *Links) call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	resp := &raftpb.Message{}
	if err := l.do(ctx, to, callName, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

func (l *Links) do(ctx context.Context, to, name string, req, resp proto.Message) error {
	addr := l.address(to)
	if addr == "" {
		return Error.New("the address of %q is not known", to)
	}
	return Error.Wrap(l.net.Call(ctx, addr, name, req, resp))
}
