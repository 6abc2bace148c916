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

// fullReportInterval is the minimum time between two reports that a group is full.
const fullReportInterval = time.Minute

// fieldLimitBytes is the field number of clmpb.Command.limit_bytes.
const fieldLimitBytes = protowire.Number(10)

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	Net   *link.Net
	Clock func() time.Time
	// LimitBytes limits the size of each group, see Machine.Usage; 0 means no
	// limit. The leader's value applies.
	LimitBytes int
	// Full is called if a claim is refused because its group is full, at most once
	// a minute per group. It may be nil.
	Full func(group uint32, u Usage)
}

// Server handles claim requests for the groups that have a member in this process.
type Server struct {
	cfg ServerConfig

	mu     sync.Mutex
	groups map[uint32]*servedGroup
}

// servedGroup is a claim group with a member in this process.
type servedGroup struct {
	group      *raft.Group
	machine    *Machine
	refusals   int64
	lastReport time.Time
}

// NewServer returns a server without groups and registers its request handler.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, groups: map[uint32]*servedGroup{}}
	cfg.Net.Handle(rpcName, s.handle)
	return s
}

// Serve adds the raft group with number n, whose local member is g with the state
// machine m.
func (s *Server) Serve(n uint32, g *raft.Group, m *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[n] = &servedGroup{group: g, machine: m}
}

// RegisterMetrics registers the metrics of the served groups.
func (s *Server) RegisterMetrics(m metric.Meter) error {
	claims, err1 := m.Int64ObservableGauge("claims_held", metric.WithDescription("claims held, by claim group"))
	heldBytes, err2 := m.Int64ObservableGauge("claims_bytes", metric.WithDescription("bytes that count against claimBytes, by claim group"))
	refused, err3 := m.Int64ObservableCounter("claims_refused_total", metric.WithDescription("claims refused here because the group was full"))
	if err := errors.Join(err1, err2, err3); err != nil {
		return Error.Wrap(err)
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		for n, g := range s.groups {
			u, attrs := g.machine.Usage(), metric.WithAttributes(attribute.String("group", strconv.Itoa(int(n))))
			o.ObserveInt64(claims, int64(u.Claims), attrs)
			o.ObserveInt64(heldBytes, int64(u.Bytes), attrs)
			o.ObserveInt64(refused, g.refusals, attrs)
		}
		return nil
	}, claims, heldBytes, refused)
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
	b, err := g.group.Propose(ctx, s.withLimit(req.Command))
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
		s.reportFull(req.Group, g)
	}
	return &clmpb.Response{Result: res}, nil
}

// withLimit appends this process's size limit to an encoded command. It overrides a
// limit set by the client, because protobuf decoders use a field's last value.
func (s *Server) withLimit(cmd []byte) []byte {
	b := protowire.AppendTag(cmd, fieldLimitBytes, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(s.cfg.LimitBytes))
}

// reportFull counts a refusal and calls the Full callback unless it was called within
// fullReportInterval.
func (s *Server) reportFull(n uint32, g *servedGroup) {
	now := s.cfg.Clock()
	s.mu.Lock()
	g.refusals++
	report := s.cfg.Full != nil && (g.lastReport.IsZero() || now.Sub(g.lastReport) >= fullReportInterval)
	if report {
		g.lastReport = now
	}
	s.mu.Unlock()
	if report {
		s.cfg.Full(n, g.machine.Usage())
	}
}
