package manage

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/judge"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/moves"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

// keptReports bounds the reports that wait for the moves loop: ten seconds of
// 350 entry instances.
const keptReports = 3500

// inbox holds results that the moves loop has not read.
type inbox struct {
	mu      sync.Mutex
	reports []judge.Report
}

func (i *inbox) add(r judge.Report) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.reports) < keptReports {
		i.reports = append(i.reports, r)
	}
}

func (i *inbox) take() []judge.Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := i.reports
	i.reports = nil
	return out
}

// Results takes the results section of a report.
func (m *Manager) Results(_ context.Context, _ link.Peer, body []byte, _ time.Time) ([]byte, error) {
	r, err := judge.Decode(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m.results.add(r)
	return nil, nil
}

// moveNotes is what the moves loop records beside the moves themselves.
type moveNotes struct {
	// Judges counts the judges that each running move has had; each of them
	// uses its own part of the probability of a false alarm.
	Judges map[string]int `json:"judges"`
	// Stated is the raft index of the last end of a move that is on the time line.
	Stated uint64 `json:"stated,omitempty"`
}

const moveNotesName = "moves"

// mover is the state of the moves loop under one leadership.
type mover struct {
	*Manager
	l        contrl.Leadership
	began    time.Time
	judges   map[string]*judge.Judge
	verdicts map[string]judge.Verdict
	told     map[string]string // by move id: what it waits for
}

func newMover(m *Manager, l contrl.Leadership) *mover {
	return &mover{
		Manager: m, l: l, began: m.cfg.Clock(), judges: map[string]*judge.Judge{}, verdicts: map[string]judge.Verdict{},
		told: map[string]string{},
	}
}

func (m *Manager) runMoves(ctx context.Context, l contrl.Leadership) error {
	m.results.take() // of a leadership before
	return m.each(ctx, "moves", newMover(m, l).step)
}

func (s *mover) step(ctx context.Context, now time.Time) error {
	if err := s.observe(ctx, now); err != nil {
		return err
	}
	v := s.cfg.Store.View()
	if err := s.appoint(ctx, v, now); err != nil {
		return err
	}
	s.weigh(ctx, v, now)
	if now.Sub(s.began) < s.cfg.Timing.Window {
		return nil // servers that have not been reported yet would look lost
	}
	for _, st := range s.cfg.Planner(v.Declaration.Moves).Next(now, s.view(v, now)) {
		if err := s.record(ctx, st, now); err != nil {
			return err
		}
	}
	return s.observe(ctx, now)
}

// appoint makes sure that each running move has a judge. That a judge starts is
// recorded first, so that no two of them use the same part of the probability.
func (s *mover) appoint(ctx context.Context, v *store.View, now time.Time) error {
	var old moveNotes
	if err := notes(v, moveNotesName, &old); err != nil {
		return err
	}
	next, start := moveNotes{Judges: map[string]int{}, Stated: old.Stated}, []store.Move{}
	for _, m := range v.Moves {
		if m.Outcome != "" {
			delete(s.judges, m.ID)
			continue
		}
		next.Judges[m.ID] = old.Judges[m.ID]
		if s.judges[m.ID] == nil {
			next.Judges[m.ID]++
			start = append(start, m)
		}
	}
	if len(start) == 0 {
		return nil
	}
	if err := s.setNotes(ctx, s.l, moveNotesName, next, now); err != nil {
		return err
	}
	for _, m := range start {
		s.judges[m.ID] = judge.New(m.Move, v.Declaration.Moves.FalseAlarm, old.Judges[m.ID], now)
	}
	return nil
}

// weigh hands the new results to the judges.
func (s *mover) weigh(ctx context.Context, v *store.View, now time.Time) {
	reports := s.results.take()
	for _, m := range v.Moves {
		j := s.judges[m.ID]
		if j == nil || m.Outcome != "" {
			continue
		}
		j.Follow(m.Move, now)
		for _, r := range reports {
			j.Add(r, now)
		}
		verdict := j.Verdict(now)
		if old, ok := s.verdicts[m.ID]; !ok || old.State != verdict.State {
			count(ctx, s.meters.verdicts, "state", verdict.State.String())
			s.cfg.Event(event.Of("move.verdict").WithMove(m.ID).With("state", verdict.State.String()).With("reason", verdict.Reason))
		}
		s.verdicts[m.ID] = verdict
	}
}

func (s *mover) view(v *store.View, now time.Time) moves.View {
	inUse, _ := s.demand.load(now)
	servers := s.demand.servers("", now)
	out := moves.View{Verdicts: s.verdicts, New: map[string]moves.Capacity{}, Old: map[string]moves.Capacity{}, Demand: inUse}
	for _, m := range v.Moves {
		out.Moves = append(out.Moves, m.Move)
		if m.Outcome != "" {
			continue
		}
		out.New[m.ID] = capacity(servers, m.Service, m.To)
		out.Old[m.ID] = capacity(servers, m.Service, m.From)
	}
	var fleetNotes fleetNotes
	if notes(v, fleetNotesName, &fleetNotes) != nil {
		return out // the fleet loop reports notes that it cannot read
	}
	for id, c := range out.New {
		m, _ := v.Move(id)
		svc, _ := v.Declaration.Service(m.Service)
		c.Refused = fleetNotes.refusedText(svc.Class)
		out.New[id] = c
	}
	return out
}

// capacity returns what the ready servers of a version can run.
func capacity(all []server, service, version string) moves.Capacity {
	var c moves.Capacity
	for _, s := range all {
		if s.Service == service && s.isReady() && s.Runs(version) {
			c.Ready++
			c.Slots += s.Slots
		}
	}
	return c
}

// record gives the command for a step. Its id depends on the state that the step
// was decided on, so a repeat by any leader is the same command, and a move has
// only one command that ends it.
func (s *mover) record(ctx context.Context, st moves.Step, now time.Time) error {
	var err error
	switch st.Kind {
	case moves.Tell:
		s.tell(st)
		return nil
	case moves.SetShare:
		id := fmt.Sprintf("share/%s/%d/%g/%g", st.Move, st.At.UnixNano(), st.From, st.Share)
		_, err = s.l.Propose(ctx, store.Share(origin(s.l, id, now), st.Move, st.Share))
	case moves.End:
		_, err = s.l.Propose(ctx, store.EndMove(origin(s.l, "end/"+st.Move, now), st.Move, st.Outcome, st.Reason))
	}
	if refused(err) {
		return nil // an operator or the leader before was first
	}
	if err != nil {
		return Error.Wrap(err)
	}
	delete(s.told, st.Move)
	if st.Kind == moves.SetShare {
		count(ctx, s.meters.steps)
		s.cfg.Event(event.Of("move.share").WithMove(st.Move).With("from", percent(st.From)).With("share", percent(st.Share)).With("reason", st.Reason))
	}
	return nil
}

func percent(share float64) string { return fmt.Sprintf("%g%%", share*100) }

func (s *mover) tell(st moves.Step) {
	if s.told[st.Move] == st.Reason {
		return
	}
	s.told[st.Move] = st.Reason
	s.cfg.Event(event.Of("move.waits").WithMove(st.Move).With("reason", st.Reason))
}

// observe puts the ends of moves on the time line, whoever ended them and under
// whichever leader. What was stated is recorded afterwards: a leader that dies in
// between lets an end be stated twice, which is better than never.
func (s *mover) observe(ctx context.Context, now time.Time) error {
	v := s.cfg.Store.View()
	var n moveNotes
	if err := notes(v, moveNotesName, &n); err != nil {
		return err
	}
	last := n.Stated
	for _, m := range v.Moves {
		if m.Outcome == "" || m.Version <= n.Stated {
			continue
		}
		last = max(last, m.Version)
		delete(s.verdicts, m.ID)
		delete(s.told, m.ID)
		count(ctx, s.meters.ended, "outcome", string(m.Outcome))
		s.cfg.Event(event.Of("move.ended").WithMove(m.ID).With("outcome", string(m.Outcome)).With("reason", m.Reason).With("by", m.EndedBy))
	}
	if last == n.Stated {
		return nil
	}
	n.Stated = last
	return s.setNotes(ctx, s.l, moveNotesName, n, now)
}

// refusedText names the places of a machine class that refuse starts.
func (n fleetNotes) refusedText(class string) string {
	var out []string
	for _, r := range n.Refusals {
		if r.Class != class {
			continue
		}
		kind := "on demand"
		if r.Reclaimable {
			kind = "reclaimable"
		}
		out = append(out, fmt.Sprintf("%s %s in %s", class, kind, r.DataCentre))
	}
	return strings.Join(out, ", ")
}

// running returns the moves that have not ended.
func running(v *store.View) []world.Move {
	var out []world.Move
	for _, m := range v.Moves {
		if m.Outcome == "" {
			out = append(out, m.Move)
		}
	}
	return out
}
