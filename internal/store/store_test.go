package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func declaration(services ...string) decl.Declaration {
	d := decl.Declaration{Presets: []decl.Preset{{Name: "calm"}, {Name: "peak"}}}
	for _, s := range services {
		d.Services = append(d.Services, decl.Service{Name: s, Kind: decl.Model, Version: "v1", Versions: []string{"v1", "v2", "v3"}})
	}
	return d
}

// referenceModel derives the result of each command from the full history.
type referenceModel struct {
	codes    map[string]string // result code by command ID
	hashes   map[string]uint64
	accepted []acceptedCommand // accepted commands
	term     uint64
}

type acceptedCommand struct {
	index uint64
	cmd   Command
}

// lastMatching returns the latest accepted command that f selects.
func (n *referenceModel) lastMatching(f func(Command) bool) (acceptedCommand, bool) {
	for i := len(n.accepted) - 1; i >= 0; i-- {
		if f(n.accepted[i].cmd) {
			return n.accepted[i], true
		}
	}
	return acceptedCommand{}, false
}

func hasOp(o ...Op) func(Command) bool {
	return func(c Command) bool {
		for _, v := range o {
			if c.Op == v {
				return true
			}
		}
		return false
	}
}

func (n *referenceModel) endOf(move string) (acceptedCommand, bool) {
	return n.lastMatching(func(c Command) bool { return hasOp(OpEndMove, OpRollBack)(c) && c.MoveID == move })
}

func (n *referenceModel) startOf(move string) (acceptedCommand, bool) {
	return n.lastMatching(func(c Command) bool { return c.Op == OpStartMove && c.ID == move })
}

func (n *referenceModel) servingVersion(service string) string {
	v := "v1"
	for _, e := range n.accepted {
		if s, ok := n.startOf(e.cmd.MoveID); ok && e.cmd.Op == OpEndMove && e.cmd.Outcome == world.Done && s.cmd.Service == service {
			v = s.cmd.ToVersion
		}
	}
	return v
}

func (n *referenceModel) runningMove(service string) (acceptedCommand, bool) {
	e, ok := n.lastMatching(func(c Command) bool { return c.Op == OpStartMove && c.Service == service })
	_, ended := n.endOf(e.cmd.ID)
	return e, ok && !ended
}

func (n *referenceModel) phaseOf(request string) string {
	e, _ := n.lastMatching(func(c Command) bool {
		return (hasOp(OpRecordInstance, OpRecordPurchase)(c) && c.Instance.RequestID == request) || (c.Op == OpSetPhase && c.RequestID == request)
	})
	if hasOp(OpRecordInstance, OpRecordPurchase)(e.cmd) {
		return e.cmd.Instance.Phase
	}
	return e.cmd.Phase
}

func (n *referenceModel) expectedCode(c Command) string {
	applied, declared := n.lastMatching(hasOp(OpApplyDeclaration))
	switch c.Op {
	case OpApplyDeclaration:
		if c.ExpectVersion != applied.index {
			return Conflict
		}
	case OpSetPreset:
		set, _ := n.lastMatching(hasOp(OpSetPreset))
		if first, ok := n.firstWithOp(OpApplyDeclaration); ok && set.index == 0 {
			set = first
		}
		switch {
		case c.ExpectVersion != 0 && c.ExpectVersion != set.index:
			return Conflict
		case !declared || (c.Preset != "calm" && c.Preset != "peak"):
			return Unknown
		}
	case OpStartMove:
		_, running := n.runningMove(c.Service)
		switch {
		case !declared || c.Service == "s9":
			return Unknown
		case n.servingVersion(c.Service) == c.ToVersion:
			return Invalid
		case running:
			return MoveRunning
		}
	case OpSetShare, OpRollBack, OpEndMove:
		if _, ok := n.startOf(c.MoveID); !ok {
			return Unknown
		}
		if _, ended := n.endOf(c.MoveID); ended {
			return MoveEnded
		}
	case OpRecordPurchase:
		if lastPurchase, _ := n.lastMatching(hasOp(OpRecordPurchase)); c.PurchaseNumber != lastPurchase.cmd.PurchaseNumber+1 {
			return Conflict
		}
	case OpSetPhase, OpRecordCleaned:
		if p := n.phaseOf(c.RequestID); p == "" || p == PhaseGone {
			return Unknown
		}
	}
	return ""
}

func (n *referenceModel) firstWithOp(o Op) (acceptedCommand, bool) {
	for _, e := range n.accepted {
		if e.cmd.Op == o {
			return e, true
		}
	}
	return acceptedCommand{}, false
}

// previousPreset returns the preset before the last change to a different one. The first
// declaration activates "calm"; later declarations keep the active preset.
func (n *referenceModel) previousPreset() string {
	current, previous := "", ""
	for _, e := range n.accepted {
		name := current
		switch {
		case e.cmd.Op == OpSetPreset:
			name = e.cmd.Preset
		case e.cmd.Op == OpApplyDeclaration && current == "":
			name = "calm"
		}
		if name != current {
			current, previous = name, current
		}
	}
	return previous
}

func (n *referenceModel) run(index uint64, c Command) string {
	if code, ok := n.codes[c.ID]; ok {
		if n.hashes[c.ID] != c.contentHash() {
			return Reused
		}
		return code
	}
	code := Fenced
	if !c.Op.isFenced() || c.Term >= n.term {
		if c.Op.isFenced() {
			n.term = c.Term
		}
		code = n.expectedCode(c)
	}
	if code != Fenced {
		n.codes[c.ID], n.hashes[c.ID] = code, c.contentHash()
	}
	if code == "" {
		n.accepted = append(n.accepted, acceptedCommand{index, c})
	}
	return code
}

func randomCommand(rnd *rand.Rand, i int, v *View) Command {
	o := Origin{ID: fmt.Sprint("c", i), By: fmt.Sprint("op", rnd.IntN(3)), At: startTime.Add(time.Duration(i) * time.Second)}
	c := Controller{o, uint64(max(1, i/100-rnd.IntN(3)))}
	service := []string{"s0", "s1", "s9"}[rnd.IntN(3)]
	move := "none"
	if len(v.Moves) > 0 {
		move = v.Moves[max(0, len(v.Moves)-1-rnd.IntN(3))].ID
	}
	request := fmt.Sprint("r", rnd.IntN(4))
	switch rnd.IntN(13) {
	case 0:
		expect := v.Declared.Version
		if rnd.IntN(3) == 0 {
			expect++
		}
		return Apply(o, expect, declaration("s0", "s1"))
	case 1:
		return SetPreset(o, uint64(rnd.IntN(2))*v.PresetSet.Version, []string{"calm", "peak", "none"}[rnd.IntN(3)])
	case 2, 3:
		return StartMove(o, service, fmt.Sprint("v", 1+rnd.IntN(3)), o.At.Add(time.Hour))
	case 4:
		return TakeBack(o, move, "asked to")
	case 5:
		return EndMove(c, move, world.Done, "good")
	case 6, 7:
		return Share(c, move, rnd.Float64())
	case 8:
		return Record(c, world.Instance{RequestID: request, Phase: "running"})
	case 10:
		return Buy(c, v.Bought+uint64(rnd.IntN(3)), world.Instance{RequestID: request, Phase: "requested"})
	case 11:
		return SetNotes(c, "fleet", []byte(fmt.Sprint(i)))
	case 9:
		return SetPhase(c, request, []string{"draining", PhaseGone}[rnd.IntN(2)])
	}
	return RecordCleaned(c, request)
}

// Compares the store with a reference model over random histories with repeated
// commands. Guards against wrong results and states, a restore from a snapshot that
// changes a later result, and watchers' views that differ from the store's.
func TestAgainstNaive(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	for round := range 20 {
		rnd := rand.New(rand.NewPCG(seed, uint64(round)))
		s, n := New(), &referenceModel{codes: map[string]string{}, hashes: map[string]uint64{}}
		watcher := &View{}
		var all []Command
		accepted := 0
		for i := range 300 {
			c := randomCommand(rnd, i, s.View())
			if len(all) > 0 && rnd.IntN(5) == 0 {
				c = all[rnd.IntN(len(all))]
				c.At = c.At.Add(time.Second)
				if rnd.IntN(10) == 0 {
					c.By = "another"
				}
			}
			all = append(all, c)
			index := uint64(10 + 3*i)
			r, err := DecodeResult(s.Apply(index, c.Encode()))
			if want := n.run(index, c); r.Code != want {
				t.Fatalf("round %d, command %d %+v: got %q (%v), want %q", round, i, c, r.Code, err, want)
			}
			if r.Code == "" {
				accepted++
			}
			if rnd.IntN(20) == 0 {
				s = restoreCopy(t, s)
			}
			if rnd.IntN(4) > 0 {
				continue
			}
			v := s.View()
			watcher = updateWatcher(t, watcher, v)
			for _, service := range []string{"s0", "s1"} {
				if _, ok := n.firstWithOp(OpApplyDeclaration); ok && v.Serving[service] != n.servingVersion(service) {
					t.Fatalf("round %d, command %d: %s serves %s, want %s", round, i, service, v.Serving[service], n.servingVersion(service))
				}
			}
			lastPurchase, _ := n.lastMatching(hasOp(OpRecordPurchase))
			lastState, _ := n.lastMatching(hasOp(OpControllerState))
			if v.Bought != lastPurchase.cmd.PurchaseNumber || string(v.Notes["fleet"]) != string(lastState.cmd.StateBody) {
				t.Fatalf("round %d, command %d: %d purchases and notes %s, want %d and %s", round, i, v.Bought, v.Notes["fleet"], lastPurchase.cmd.PurchaseNumber, lastState.cmd.StateBody)
			}
			if want := n.previousPreset(); v.Previous != want {
				t.Fatalf("round %d, command %d: previous preset %q, want %q", round, i, v.Previous, want)
			}
			for _, m := range v.Moves {
				if _, ended := n.endOf(m.ID); ended != (m.Outcome != "") {
					t.Fatalf("round %d, command %d: move %s ended %v, want %v", round, i, m.ID, m.Outcome, ended)
				}
			}
		}
		if accepted < 50 {
			t.Fatalf("only %d commands were accepted; want at least 50", accepted)
		}
	}
}

func restoreCopy(t *testing.T, s *Store) *Store {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Restore(b); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(next.View(), s.View()) {
		t.Fatalf("restored %+v, want %+v", next.View(), s.View())
	}
	return next
}

func updateWatcher(t *testing.T, watcher, v *View) *View {
	next, err := watcher.WithDelta(v.Delta(watcher.Config))
	if err != nil {
		t.Fatal(err)
	}
	if next.Config < watcher.Config {
		t.Fatalf("version decreased from %d to %d", watcher.Config, next.Config)
	}
	if v.Config > 0 && (next.Config != v.Config || !reflect.DeepEqual(next.Moves, v.Moves) ||
		!reflect.DeepEqual(next.Shares, v.Shares) || next.Preset != v.Preset || next.Declared != v.Declared) {
		t.Fatalf("watcher has %+v, want %+v", next, v)
	}
	return next
}

// Guards against a snapshot in another format that is misread instead of refused.
func TestRestoreRefusesOtherFormats(t *testing.T) {
	s := New()
	s.Apply(1, Apply(Origin{ID: "a", By: "x", At: startTime}, 0, declaration("s0")).Encode())
	for _, b := range []string{`{"format":2}`, `{}`, `[`, ``} {
		if err := s.Restore([]byte(b)); err == nil {
			t.Errorf("restored %q", b)
		}
	}
	if s.View().Version != 1 {
		t.Error("a refused snapshot changed the state")
	}
}

// Guards against stored results that grow without bound or are dropped too early.
func TestAnswersAreBounded(t *testing.T) {
	s := New()
	cmd := func(i int) []byte { return Fence(Controller{Origin{ID: fmt.Sprint(i), At: startTime}, 1}).Encode() }
	for i := range MaxResults + 10 {
		s.Apply(uint64(i+1), cmd(i))
	}
	next := restoreCopy(t, s)
	for _, st := range []*Store{s, next} {
		if len(st.state.Results) != MaxResults || len(st.state.resultIndex) != MaxResults {
			t.Fatalf("%d results kept, want %d", len(st.state.Results), MaxResults)
		}
		r, err := DecodeResult(st.Apply(1e6, cmd(10)))
		if err != nil || r.Index != 11 {
			t.Fatalf("the oldest kept command got index %d, %v, want its first result", r.Index, err)
		}
	}
}

// registerCall is an operation on the declaration, which porcupine checks as a
// compare-and-set register. The register's value is the writer of the declaration.
type registerCall struct {
	read   bool
	expect string // writer that the operator saw
	writer string
}

type registerReply struct {
	ok     bool
	writer string // of the current declaration
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(string), input.(registerCall), output.(registerReply)
		switch {
		case in.read:
			return out.writer == now, now
		case out.ok:
			return in.expect == now, in.writer
		}
		return out.writer == now && in.expect != now, now
	},
}

// unreliableLog is a replicated log that loses replies before or after the command is
// committed, and applies old commands again at random.
type unreliableLog struct {
	mu        sync.Mutex
	t         *testing.T
	rnd       *rand.Rand
	store     *Store
	index     uint64
	committed [][]byte
}

var errReplyLost = errors.New("reply lost")

func (l *unreliableLog) propose(cmd []byte) (Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rnd.IntN(5) == 0 {
		return Result{}, errReplyLost
	}
	if l.rnd.IntN(3) == 0 && len(l.committed) > 0 {
		l.index++
		l.store.Apply(l.index, l.committed[l.rnd.IntN(len(l.committed))])
	}
	if l.rnd.IntN(20) == 0 {
		l.store = restoreCopy(l.t, l.store)
	}
	l.index++
	b := l.store.Apply(l.index, cmd)
	l.committed = append(l.committed, cmd)
	if l.rnd.IntN(3) == 0 {
		return Result{}, errReplyLost
	}
	return DecodeResult(b)
}

func (l *unreliableLog) read() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store.View()
}

// Guards against two concurrent commands that both succeed with the same expected
// version, a conflict that names the wrong writer, and a repeated command that is
// applied twice.
func TestRacingOperators(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	log := &unreliableLog{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), store: New()}
	var mu sync.Mutex
	var ops []porcupine.Operation
	began := time.Now()
	record := func(client int, in registerCall, from time.Duration, out registerReply) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(from), Output: out, Return: int64(time.Since(began))})
	}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for i := range 40 {
				called := time.Since(began)
				v := log.read()
				record(client, registerCall{read: true}, called, registerReply{writer: v.Declared.By})
				writer := fmt.Sprintf("op%d-%d", client, i)
				cmd := Apply(Origin{ID: writer, By: writer, At: startTime}, v.Declared.Version, declaration("s0"))
				called = time.Since(began)
				for {
					r, err := log.propose(cmd.Encode())
					var refused *Refusal
					if err == nil || errors.As(err, &refused) {
						record(client, registerCall{expect: v.Declared.By, writer: writer}, called, registerReply{ok: err == nil, writer: r.By})
						break
					}
				}
			}
		})
	}
	wg.Wait()
	succeeded := 0
	for _, o := range ops {
		if o.Output.(registerReply).ok {
			succeeded++
		}
	}
	if succeeded == 0 || succeeded == 6*40 {
		t.Fatalf("%d of %d commands succeeded; the operators did not conflict", succeeded, 6*40)
	}
	if !porcupine.CheckOperations(registerModel, ops) {
		t.Fatal("the history is not linearizable")
	}
}

// Guards against commands and snapshots that crash a member.
func FuzzApply(f *testing.F) {
	f.Add(Apply(Origin{ID: "a"}, 0, declaration("s")).Encode())
	f.Add(Record(Controller{Origin{ID: "b"}, 1}, world.Instance{RequestID: "r"}).Encode())
	f.Add([]byte(`{"id":"x","op":"record"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		if _, err := DecodeResult(s.Apply(1, b)); err == nil {
			restoreCopy(t, s)
		}
		_ = s.Restore(b)
		_, _ = s.View().WithDelta(b)
	})
}

func BenchmarkApply(b *testing.B) {
	s := New()
	s.Apply(1, Apply(Origin{ID: "a", At: startTime}, 0, declaration("s0", "s1")).Encode())
	r, _ := DecodeResult(s.Apply(2, StartMove(Origin{ID: "m", At: startTime}, "s0", "v2", startTime.Add(time.Hour)).Encode()))
	index, last, bytes := uint64(2), s.View().Config, 0
	for i := range 3700 {
		index++
		s.Apply(index, Record(Controller{Origin{ID: fmt.Sprint("r", i), At: startTime}, 1}, world.Instance{RequestID: fmt.Sprint(i), Phase: "running"}).Encode())
	}
	b.Run("share and delta", func(b *testing.B) {
		for b.Loop() {
			index++
			s.Apply(index, Share(Controller{Origin{ID: fmt.Sprint(index), At: startTime}, 1}, r.Move.ID, 0.5).Encode())
			d := s.View().Delta(last)
			bytes += len(d)
			last = s.View().Config
		}
		b.ReportMetric(float64(bytes)/float64(b.N), "deltaBytes")
		bytes = 0
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			snap, _ := s.Snapshot()
			bytes = len(snap)
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
}

// Guards against the refusal of an older leader's late command that is returned for the
// same command of the current leader.
func TestFencedAnswerIsNotKept(t *testing.T) {
	s := New()
	buy := func(term uint64) Command {
		return Buy(Controller{Origin{ID: "buy-1", At: startTime}, term}, 1, world.Instance{RequestID: "buy-1", Phase: "requested"})
	}
	s.Apply(1, Fence(Controller{Origin{ID: "f", At: startTime}, 2}).Encode())
	if r, _ := DecodeResult(s.Apply(2, buy(1).Encode())); r.Code != Fenced {
		t.Fatalf("got %q, want %q", r.Code, Fenced)
	}
	if _, err := DecodeResult(s.Apply(3, buy(2).Encode())); err != nil || s.View().Bought != 1 {
		t.Fatalf("%v, %d purchases", err, s.View().Bought)
	}
}
