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

// maxQueuedReports bounds the reports queued for the moves loop: 10 s of reports
// from 350 entry instances.
const maxQueuedReports = 3500

// reportQueue holds reports that the moves loop has not processed yet.
type reportQueue struct {
	mu      sync.Mutex
	reports []judge.Report
}

func (q *reportQueue) add(r judge.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.reports) < maxQueuedReports {
		q.reports = append(q.reports, r)
	}
}

func (q *reportQueue) take() []judge.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.reports
	q.reports = nil
	return out
}

// HandleResults handles the results section of a report.
func (m *Manager) HandleResults(_ context.Context, _ link.Peer, body []byte, _ time.Time) ([]byte, error) {
	r, err := judge.Decode(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m.resultReports.add(r)
	return nil, nil
}

// moveNotes is the state that the moves loop records in addition to the moves.
type moveNotes struct {
	// Judges counts the judges started for each running move; each judge uses its
	// own part of the false alarm probability.
	Judges map[string]int `json:"judges"`
	// LastReportedEnd is the raft index of the last end of a move that was reported
	// as an event.
	LastReportedEnd uint64 `json:"stated,omitempty"`
}

const moveNotesName = "moves"

// moveController is the state of the moves loop during one leadership.
type moveController struct {
	*Manager
	leadership    contrl.Leadership
	startedAt     time.Time
	judges        map[string]*judge.Judge
	verdicts      map[string]judge.Verdict
	reportedWaits map[string]string // by move id: last reported reason for waiting
}

func newMoveController(m *Manager, l contrl.Leadership) *moveController {
	return &moveController{
		Manager: m, leadership: l, startedAt: m.cfg.Clock(), judges: map[string]*judge.Judge{}, verdicts: map[string]judge.Verdict{},
		reportedWaits: map[string]string{},
	}
}

func (m *Manager) runMoves(ctx context.Context, l contrl.Leadership) error {
	m.resultReports.take() // discards reports of an earlier leadership
	return m.runLoop(ctx, "moves", newMoveController(m, l).step)
}

func (mc *moveController) step(ctx context.Context, now time.Time) error {
	if err := mc.reportEnded(ctx, now); err != nil {
		return err
	}
	v := mc.cfg.Store.View()
	if err := mc.ensureJudges(ctx, v, now); err != nil {
		return err
	}
	mc.updateVerdicts(ctx, v, now)
	if now.Sub(mc.startedAt) < mc.cfg.Timing.Window {
		return nil // servers that have not been reported yet would count as lost
	}
	for _, st := range mc.cfg.Planner(v.Declaration.Moves).Next(now, mc.view(v, now)) {
		if err := mc.proposeStep(ctx, st, now); err != nil {
			return err
		}
	}
	return mc.reportEnded(ctx, now)
}

// ensureJudges starts a judge for each running move without one. The start is
// recorded first, so that no two judges use the same part of the false alarm
// probability.
func (mc *moveController) ensureJudges(ctx context.Context, v *store.View, now time.Time) error {
	var old moveNotes
	if err := readNotes(v, moveNotesName, &old); err != nil {
		return err
	}
	next, start := moveNotes{Judges: map[string]int{}, LastReportedEnd: old.LastReportedEnd}, []store.Move{}
	for _, m := range v.Moves {
		if m.Outcome != "" {
			delete(mc.judges, m.ID)
			continue
		}
		next.Judges[m.ID] = old.Judges[m.ID]
		if mc.judges[m.ID] == nil {
			next.Judges[m.ID]++
			start = append(start, m)
		}
	}
	if len(start) == 0 {
		return nil
	}
	if err := mc.writeNotes(ctx, mc.leadership, moveNotesName, next, now); err != nil {
		return err
	}
	for _, m := range start {
		mc.judges[m.ID] = judge.New(m.Move, v.Declaration.Moves.FalseAlarm, old.Judges[m.ID], now)
	}
	return nil
}

// updateVerdicts passes the new reports to the judges and reports changed verdicts.
func (mc *moveController) updateVerdicts(ctx context.Context, v *store.View, now time.Time) {
	reports := mc.resultReports.take()
	for _, m := range v.Moves {
		j := mc.judges[m.ID]
		if j == nil || m.Outcome != "" {
			continue
		}
		j.UpdateMove(m.Move, now)
		for _, r := range reports {
			j.Add(r, now)
		}
		verdict := j.Verdict(now)
		if old, ok := mc.verdicts[m.ID]; !ok || old.State != verdict.State {
			countOne(ctx, mc.metrics.verdicts, "state", verdict.State.String())
			mc.cfg.Event(event.Of("move.verdict").WithMove(m.ID).With("state", verdict.State.String()).With("reason", verdict.Reason))
		}
		mc.verdicts[m.ID] = verdict
	}
}

func (mc *moveController) view(v *store.View, now time.Time) moves.View {
	inUse, _ := mc.demand.serviceLoad(now)
	servers := mc.demand.servers("", now)
	out := moves.View{Verdicts: mc.verdicts, New: map[string]moves.Capacity{}, Old: map[string]moves.Capacity{}, Demand: inUse}
	for _, m := range v.Moves {
		out.Moves = append(out.Moves, m.Move)
		if m.Outcome != "" {
			continue
		}
		out.New[m.ID] = versionCapacity(servers, m.Service, m.To)
		out.Old[m.ID] = versionCapacity(servers, m.Service, m.From)
	}
	var fleetNotes fleetNotes
	if readNotes(v, fleetNotesName, &fleetNotes) != nil {
		return out // the fleet loop reports unreadable notes
	}
	for id, c := range out.New {
		m, _ := v.Move(id)
		svc, _ := v.Declaration.Service(m.Service)
		c.RefusalReason = fleetNotes.refusalText(svc.Class)
		out.New[id] = c
	}
	return out
}

// versionCapacity returns the number and the slots of a version's ready servers.
func versionCapacity(all []server, service, version string) moves.Capacity {
	var c moves.Capacity
	for _, s := range all {
		if s.Service == service && s.isReady() && s.Runs(version) {
			c.ReadyServers++
			c.Slots += s.Slots
		}
	}
	return c
}

// proposeStep proposes the command for a step. The command id is derived from the
// state on which the step was decided, so that a repeat by any leader is the same
// command and a move is ended by a single command.
func (mc *moveController) proposeStep(ctx context.Context, st moves.Step, now time.Time) error {
	var err error
	switch st.Kind {
	case moves.Report:
		mc.reportWait(st)
		return nil
	case moves.SetShare:
		id := fmt.Sprintf("share/%s/%d/%g/%g", st.Move, st.ShareSince.UnixNano(), st.FromShare, st.Share)
		_, err = mc.leadership.Propose(ctx, store.Share(commandOrigin(mc.leadership, id, now), st.Move, st.Share))
	case moves.End:
		_, err = mc.leadership.Propose(ctx, store.EndMove(commandOrigin(mc.leadership, "end/"+st.Move, now), st.Move, st.Outcome, st.Reason))
	}
	if isStateRefusal(err) {
		return nil // an operator or the previous leader acted first
	}
	if err != nil {
		return Error.Wrap(err)
	}
	delete(mc.reportedWaits, st.Move)
	if st.Kind == moves.SetShare {
		countOne(ctx, mc.metrics.steps)
		mc.cfg.Event(event.Of("move.share").WithMove(st.Move).With("from", formatPercent(st.FromShare)).With("share", formatPercent(st.Share)).With("reason", st.Reason))
	}
	return nil
}

func formatPercent(share float64) string { return fmt.Sprintf("%g%%", share*100) }

func (mc *moveController) reportWait(st moves.Step) {
	if mc.reportedWaits[st.Move] == st.Reason {
		return
	}
	mc.reportedWaits[st.Move] = st.Reason
	mc.cfg.Event(event.Of("move.waits").WithMove(st.Move).With("reason", st.Reason))
}

// reportEnded reports the ends of moves as events, including moves ended by an
// operator or under an earlier leader. It records the last reported end afterwards:
// a leader crash in between duplicates an event instead of losing it.
func (mc *moveController) reportEnded(ctx context.Context, now time.Time) error {
	v := mc.cfg.Store.View()
	var n moveNotes
	if err := readNotes(v, moveNotesName, &n); err != nil {
		return err
	}
	last := n.LastReportedEnd
	for _, m := range v.Moves {
		if m.Outcome == "" || m.Version <= n.LastReportedEnd {
			continue
		}
		last = max(last, m.Version)
		delete(mc.verdicts, m.ID)
		delete(mc.reportedWaits, m.ID)
		countOne(ctx, mc.metrics.ended, "outcome", string(m.Outcome))
		mc.cfg.Event(event.Of("move.ended").WithMove(m.ID).With("outcome", string(m.Outcome)).With("reason", m.Reason).With("by", m.EndedBy))
	}
	if last == n.LastReportedEnd {
		return nil
	}
	n.LastReportedEnd = last
	return mc.writeNotes(ctx, mc.leadership, moveNotesName, n, now)
}

// refusalText lists the data centres that refuse to start a machine class.
func (n fleetNotes) refusalText(class string) string {
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

// runningMoves returns the moves that have not ended.
func runningMoves(v *store.View) []world.Move {
	var out []world.Move
	for _, m := range v.Moves {
		if m.Outcome == "" {
			out = append(out, m.Move)
		}
	}
	return out
}
