package raft

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

// raftCallName is the name of the calls between members on a link.
const raftCallName = "raft"

// Links is the Transport over the links between processes, shared by all groups of
// one process. A member's ID is the node name of its process.
type Links struct {
	net     *link.Net
	address func(id string) string

	mu             sync.Mutex
	groups         map[uint32]*Group
	pendingBatches map[string]*heartbeatBatch // heartbeats waiting for batchWindow to end, by receiver
}

// NewLinks returns a transport that receives and sends requests on net. The function
// address returns the peer address of a node, or "" if it is not known.
func NewLinks(net *link.Net, address func(id string) string) *Links {
	l := &Links{net: net, address: address, groups: map[uint32]*Group{}, pendingBatches: map[string]*heartbeatBatch{}}
	net.Handle(raftCallName, l.handle)
	net.Handle(heartbeatsCallName, l.handleHeartbeats)
	return l
}

// Serve passes incoming requests for g's group to g.
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

// Call implements Transport. Heartbeats of several groups to one process are sent in
// one message.
func (l *Links) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	if req.Kind == raftpb.Kind_KIND_HEARTBEAT {
		return l.sendHeartbeat(ctx, to, req)
	}
	return l.call(ctx, to, req)
}

func (l *Links) call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	resp := &raftpb.Message{}
	if err := l.callMethod(ctx, to, raftCallName, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

func (l *Links) callMethod(ctx context.Context, to, name string, req, resp proto.Message) error {
	addr := l.address(to)
	if addr == "" {
		return Error.New("the address of %q is not known", to)
	}
	return Error.Wrap(l.net.Call(ctx, addr, name, req, resp))
}
