package claim

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// fullEvery is the shortest time between two reports that a group is full.
const fullEvery = time.Minute

// fieldLimit is the number of clmpb.Command.limit_bytes.
const fieldLimit = protowire.Number(10)

// ServerConfig sets up a Server.
type ServerConfig struct {
	Net   *link.Net
	Clock func() time.Time
	// LimitBytes of claims are held by each group, see Machine.Usage; 0 means no
	// bound. The leader's value counts.
	LimitBytes int
	// Full is called when a claim was refused because its group is full, for each
	// group at most once a minute. It may be nil.
	Full func(group uint32, u Usage)
}

// Server serves the claim groups of this process.
type Server struct {
	cfg ServerConfig

	mu     sync.Mutex
	groups map[uint32]*served
}

// served is a group with its member here.
type served struct {
	group    *raft.Group
	machine  *Machine
	refused  int64
	reported time.Time
}

// NewServer answers claim calls.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, groups: map[uint32]*served{}}
	cfg.Net.Handle(callName, s.handle)
	return s
}

// Serve passes commands for the raft group number n to g, whose machine is m.
func (s *Server) Serve(n uint32, g *raft.Group, m *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[n] = &served{group: g, machine: m}
}

// RegisterMetrics registers the metrics of the claims held here.
func (s *Server) RegisterMetrics(m metric.Meter) error {
	claims, err1 := m.Int64ObservableGauge("claims_held", metric.WithDescription("claims held, by claim group"))
	held, err2 := m.Int64ObservableGauge("claims_bytes", metric.WithDescription("bytes that count against claimBytes, by claim group"))
	refused, err3 := m.Int64ObservableCounter("claims_refused_total", metric.WithDescription("claims refused here because the group was full"))
	if err := errors.Join(err1, err2, err3); err != nil {
		return Error.Wrap(err)
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		for n, g := range s.groups {
			u, at := g.machine.Usage(), metric.WithAttributes(attribute.String("group", strconv.Itoa(int(n))))
			o.ObserveInt64(claims, int64(u.Claims), at)
			o.ObserveInt64(held, int64(u.Bytes), at)
			o.ObserveInt64(refused, g.refused, at)
		}
		return nil
	}, claims, held, refused)
	return Error.Wrap(err)
}

func (s *Server) handle(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var req clmpb.Request
	var cmd clmpb.Command
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := proto.Unmarshal(req.Command, &cmd); err != nil {
		return nil, Error.Wrap(err)
	}
	s.mu.Lock()
	g := s.groups[req.Group]
	s.mu.Unlock()
	if g == nil {
		return &clmpb.Response{NotLeader: true}, nil
	}
	if s.cfg.Clock().Sub(time.UnixMilli(cmd.NowMs)).Abs() > maxSkew {
		return &clmpb.Response{Result: &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_EXPIRED}}, nil
	}
	b, err := g.group.Propose(ctx, s.bounded(req.Command))
	var nl *raft.NotLeader
	if errors.As(err, &nl) {
		return &clmpb.Response{NotLeader: true, Leader: nl.Leader}, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	res := &clmpb.Result{}
	if err := proto.Unmarshal(b, res); err != nil {
		return nil, Error.Wrap(err)
	}
	if res.Outcome == clmpb.Outcome_OUTCOME_FULL {
		s.full(req.Group, g)
	}
	return &clmpb.Response{Result: res}, nil
}

// bounded adds this process's bound to an encoded command. The last value of a
// field counts.
func (s *Server) bounded(cmd []byte) []byte {
	b := protowire.AppendTag(cmd, fieldLimit, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(s.cfg.LimitBytes))
}

// full counts a refusal and reports it.
func (s *Server) full(n uint32, g *served) {
	now := s.cfg.Clock()
	s.mu.Lock()
	g.refused++
	report := s.cfg.Full != nil && (g.reported.IsZero() || now.Sub(g.reported) >= fullEvery)
	if report {
		g.reported = now
	}
	s.mu.Unlock()
	if report {
		s.cfg.Full(n, g.machine.Usage())
	}
}
