package contrl

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// currentView returns a view with all commands that were committed before the request.
func (s *Server) currentView(ctx context.Context) (*store.View, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, err := s.cfg.Log.Barrier(ctx); err != nil {
		return nil, newHTTPError(fasthttp.StatusServiceUnavailable, "notCurrent", "this member cannot reach a majority: "+err.Error())
	}
	return s.cfg.Store.View(), nil
}

// commandResult is the response to a command.
type commandResult struct {
	Command string      `json:"command"`
	Version uint64      `json:"version"`
	Move    *store.Move `json:"move,omitempty"`
}

func (s *Server) runCommand(ctx context.Context, o store.Origin, cmd store.Command) (any, error) {
	r, err := s.proposer.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return commandResult{o.ID, r.Version, r.Move}, nil
}

type revision struct {
	Version uint64    `json:"version"`
	By      string    `json:"by,omitempty"`
	At      time.Time `json:"at,omitzero"`
}

type serviceStatus struct {
	Name    string             `json:"name"`
	Serving string             `json:"serving"`
	Shares  map[string]float64 `json:"shares"`
	Move    *store.Move        `json:"move,omitempty"`
	// Instances counts the instances by phase.
	Instances map[string]int `json:"instances"`
}

type status struct {
	Node        string          `json:"node"`
	Leader      string          `json:"leader"`
	Term        uint64          `json:"term"`
	Version     uint64          `json:"version"`
	Declaration revision        `json:"declaration"`
	Preset      string          `json:"preset"`
	PresetSet   revision        `json:"presetSet"`
	Services    []serviceStatus `json:"services"`
}

func (s *Server) status(ctx context.Context, _ *request) (any, error) {
	v, err := s.currentView(ctx)
	if err != nil {
		return nil, err
	}
	g := s.cfg.Log.Status()
	out := status{
		Node: s.cfg.Instance, Leader: g.Leader, Term: g.Term, Version: v.Version,
		Declaration: revision(v.DeclarationChange), Preset: v.Preset, PresetSet: revision(v.PresetChange), Services: []serviceStatus{},
	}
	counts := map[string]map[string]int{}
	for _, i := range v.Instances {
		if counts[i.Service] == nil {
			counts[i.Service] = map[string]int{}
		}
		counts[i.Service][i.Phase]++
	}
	for _, svc := range v.Declaration.Services {
		svcStatus := serviceStatus{Name: svc.Name, Serving: v.Serving[svc.Name], Shares: v.Shares[svc.Name], Instances: counts[svc.Name]}
		if m, ok := v.RunningMove(svc.Name); ok {
			svcStatus.Move = &m
		}
		if svcStatus.Instances == nil {
			svcStatus.Instances = map[string]int{}
		}
		out.Services = append(out.Services, svcStatus)
	}
	return out, nil
}

func (s *Server) declaration(ctx context.Context, _ *request) (any, error) {
	v, err := s.currentView(ctx)
	if err != nil {
		return nil, err
	}
	return struct {
		revision
		Declaration decl.Declaration `json:"declaration"`
	}{revision(v.DeclarationChange), v.Declaration}, nil
}

// parseDeclaration parses the declaration in the body. The file name in the query
// is used in error messages only.
func parseDeclaration(r *request) (decl.Declaration, error) {
	file := string(r.QueryArgs().Peek("file"))
	if file == "" {
		file = "declaration"
	}
	d, err := decl.Parse(file, r.body)
	if err != nil {
		return d, newHTTPError(fasthttp.StatusUnprocessableEntity, store.Invalid, err.Error())
	}
	return d, nil
}

func (s *Server) apply(ctx context.Context, r *request) (any, error) {
	o, err := s.commandOrigin(r)
	if err != nil {
		return nil, err
	}
	expect, err := uintQueryParam(r, "expect")
	if err != nil {
		return nil, err
	}
	d, err := parseDeclaration(r)
	if err != nil {
		return nil, err
	}
	return s.runCommand(ctx, o, store.ApplyDeclaration(o, expect, d))
}

func (s *Server) diff(ctx context.Context, r *request) (any, error) {
	d, err := parseDeclaration(r)
	if err != nil {
		return nil, err
	}
	v, err := s.currentView(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := diffDeclarations(v.Declaration, d)
	if err != nil {
		return nil, err
	}
	return struct {
		revision
		Changes []change `json:"changes"`
	}{revision(v.DeclarationChange), changes}, nil
}

func (s *Server) setPreset(ctx context.Context, r *request) (any, error) {
	o, err := s.commandOrigin(r)
	if err != nil {
		return nil, err
	}
	var in struct {
		Preset string `json:"preset"`
		Expect uint64 `json:"expect"`
	}
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	return s.runCommand(ctx, o, store.SetPreset(o, in.Expect, in.Preset))
}

func (s *Server) moves(ctx context.Context, _ *request) (any, error) {
	v, err := s.currentView(ctx)
	if err != nil {
		return nil, err
	}
	return struct {
		Moves []store.Move `json:"moves"`
	}{append([]store.Move{}, v.Moves...)}, nil
}

func (s *Server) startMove(ctx context.Context, r *request) (any, error) {
	o, err := s.commandOrigin(r)
	if err != nil {
		return nil, err
	}
	var in struct {
		Service  string    `json:"service"`
		To       string    `json:"to"`
		Deadline time.Time `json:"deadline"`
	}
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	return s.runCommand(ctx, o, store.StartMove(o, in.Service, in.To, in.Deadline))
}

func (s *Server) move(ctx context.Context, r *request) (any, error) {
	v, err := s.currentView(ctx)
	if err != nil {
		return nil, err
	}
	m, ok := v.Move(r.param)
	if !ok {
		return nil, newHTTPError(fasthttp.StatusNotFound, store.Unknown, "there is no move "+r.param)
	}
	return m, nil
}

func (s *Server) rollBack(ctx context.Context, r *request) (any, error) {
	o, err := s.commandOrigin(r)
	if err != nil {
		return nil, err
	}
	var in struct {
		Reason string `json:"reason"`
	}
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	return s.runCommand(ctx, o, store.RollBack(o, r.param, in.Reason))
}

func (s *Server) events(ctx context.Context, r *request) (any, error) {
	arg := func(name string) string { return string(r.QueryArgs().Peek(name)) }
	f := event.Filter{Request: arg("request"), Move: arg("move"), Instance: arg("instance"), Kind: arg("kind")}
	times := []struct {
		name string
		to   *time.Time
	}{{"from", &f.From}, {"until", &f.Until}}
	for _, param := range times {
		if arg(param.name) == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, arg(param.name))
		if err != nil {
			return nil, newHTTPError(fasthttp.StatusBadRequest, param.name, "want a time such as 2026-01-02T15:04:05Z in the query parameter "+param.name)
		}
		*param.to = t
	}
	out := []event.Event{}
	if s.cfg.Events != nil {
		found, err := s.cfg.Events(ctx, f)
		if err != nil {
			return nil, err
		}
		out = append(out, found...)
	}
	return struct {
		Events []event.Event `json:"events"`
	}{out}, nil
}

func (s *Server) members(_ context.Context, _ *request) (any, error) {
	g := s.cfg.Log.Status()
	return struct {
		Node    string         `json:"node"`
		Leader  string         `json:"leader"`
		Leads   bool           `json:"leads"`
		Term    uint64         `json:"term"`
		Members []MemberStatus `json:"members"`
	}{s.cfg.Instance, g.Leader, g.IsLeader, g.Term, append([]MemberStatus{}, g.Members...)}, nil
}

// VoterSilentError means that a change of members was refused, because these voters do not
// answer and must be removed, or added again if they have lost their disks, before it.
type VoterSilentError struct{ Voters []string }

func (e *VoterSilentError) Error() string {
	v := strings.Join(e.Voters, ", ")
	return "no answer from " + v + "; first remove " + v + ", or add it again if it runs with an empty disk"
}

// Membership changes the members of every replicated group of the deployment.
// Both operations are idempotent, may be called on any member and return a
// *VoterSilentError if a dead voter must be dealt with first.
type Membership interface {
	// Add adds an instance as a member. It counts for quorums once it has caught up.
	Add(ctx context.Context, node string) error
	Remove(ctx context.Context, node string) error
}

func (s *Server) addMember(ctx context.Context, r *request) (any, error) {
	return s.changeMember(ctx, r, "member.added", Membership.Add)
}

func (s *Server) removeMember(ctx context.Context, r *request) (any, error) {
	return s.changeMember(ctx, r, "member.removed", Membership.Remove)
}

func (s *Server) changeMember(ctx context.Context, r *request, kind string, change func(Membership, context.Context, string) error) (any, error) {
	if s.cfg.Membership == nil {
		return nil, newHTTPError(fasthttp.StatusNotFound, "path", "this process cannot change the members")
	}
	err := change(s.cfg.Membership, ctx, r.param)
	var silent *VoterSilentError
	if errors.As(err, &silent) {
		return nil, newHTTPError(fasthttp.StatusConflict, "voterSilent", err.Error())
	}
	if err != nil {
		return nil, newHTTPError(fasthttp.StatusServiceUnavailable, "outcomeUnknown", "not all groups have changed; repeat the request: "+err.Error())
	}
	log.WithField("node", r.param).WithField("operator", r.operator).Info(kind)
	return s.members(ctx, r)
}
