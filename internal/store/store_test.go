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

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func declaration(services ...string) decl.Declaration {
	d := decl.Declaration{Presets: []decl.Preset{{Name: "calm"}, {Name: "peak"}}}
	for _, s := range services {
		d.Services = append(d.Services, decl.Service{Name: s, Kind: decl.Model, Version: "v1", Versions: []string{"v1", "v2", "v3"}})
	}
	return d
}

// naive answers commands from the whole history, which it reads anew each time.
type naive struct {
	answers map[string]string // id to code
	sums    map[string]uint64
	done    []entry // accepted commands
	term    uint64
}

type entry struct {
	index uint64
	c     Command
}

// last returns the index of the newest accepted command that f selects.
func (n *naive) last(f func(Command) bool) (entry, bool) {
	for i := len(n.done) - 1; i >= 0; i-- {
		if f(n.done[i].c) {
			return n.done[i], true
		}
	}
	return entry{}, false
}

func op(o ...Op) func(Command) bool {
	return func(c Command) bool {
		for _, v := range o {
			if c.Op == v {
				return true
			}
		}
		return false
	}
}

func (n *naive) end(move string) (entry, bool) {
	return n.last(func(c Command) bool { return op(OpEndMove, OpTakeBack)(c) && c.Move == move })
}

func (n *naive) start(move string) (entry, bool) {
	return n.last(func(c Command) bool { return c.Op == OpStartMove && c.ID == move })
}

func (n *naive) serving(service string) string {
	v := "v1"
	for _, e := range n.done {
		if s, ok := n.start(e.c.Move); ok && e.c.Op == OpEndMove && e.c.Outcome == world.Done && s.c.Service == service {
			v = s.c.To
		}
	}
	return v
}

func (n *naive) running(service string) (entry, bool) {
	e, ok := n.last(func(c Command) bool { return c.Op == OpStartMove && c.Service == service })
	_, ended := n.end(e.c.ID)
	return e, ok && !ended
}

func (n *naive) phase(request string) string {
	e, _ := n.last(func(c Command) bool {
		return (op(OpRecord, OpBuy)(c) && c.Instance.RequestID == request) || (c.Op == OpPhase && c.Request == request)
	})
	if op(OpRecord, OpBuy)(e.c) {
		return e.c.Instance.Phase
	}
	return e.c.Phase
}

func (n *naive) code(c Command) string {
	applied, declared := n.last(op(OpApply))
	switch c.Op {
	case OpApply:
		if c.Expect != applied.index {
			return Conflict
		}
	case OpPreset:
		set, _ := n.last(op(OpPreset))
		if first, ok := n.first(OpApply); ok && set.index == 0 {
			set = first
		}
		switch {
		case c.Expect != 0 && c.Expect != set.index:
			return Conflict
		case !declared || (c.Preset != "calm" && c.Preset != "peak"):
			return Unknown
		}
	case OpStartMove:
		_, running := n.running(c.Service)
		switch {
		case !declared || c.Service == "s9":
			return Unknown
		case n.serving(c.Service) == c.To:
			return Invalid
		case running:
			return MoveRunning
		}
	case OpShare, OpTakeBack, OpEndMove:
		if _, ok := n.start(c.Move); !ok {
			return Unknown
		}
		if _, ended := n.end(c.Move); ended {
			return MoveEnded
		}
	case OpBuy:
		if bought, _ := n.last(op(OpBuy)); c.Number != bought.c.Number+1 {
			return Conflict
		}
	case OpPhase, OpCleaned:
		if p := n.phase(c.Request); p == "" || p == PhaseGone {
			return Unknown
		}
	}
	return ""
}

func (n *naive) first(o Op) (entry, bool) {
	for _, e := range n.done {
		if e.c.Op == o {
			return e, true
		}
	}
	return entry{}, false
}

// previous returns the preset before the last change to another one. The first
// declaration puts "calm" in force and later ones keep the preset.
func (n *naive) previous() string {
	now, before := "", ""
	for _, e := range n.done {
		name := now
		switch {
		case e.c.Op == OpPreset:
			name = e.c.Preset
		case e.c.Op == OpApply && now == "":
			name = "calm"
		}
		if name != now {
			now, before = name, now
		}
	}
	return before
}

func (n *naive) run(index uint64, c Command) string {
	if code, ok := n.answers[c.ID]; ok {
		if n.sums[c.ID] != c.sum() {
			return Reused
		}
		return code
	}
	code := Fenced
	if !c.Op.fenced() || c.Term >= n.term {
		if c.Op.fenced() {
			n.term = c.Term
		}
		code = n.code(c)
	}
	if code != Fenced {
		n.answers[c.ID], n.sums[c.ID] = code, c.sum()
	}
	if code == "" {
		n.done = append(n.done, entry{index, c})
	}
	return code
}

func randomCommand(rnd *rand.Rand, i int, v *View) Command {
	o := Origin{ID: fmt.Sprint("c", i), By: fmt.Sprint("op", rnd.IntN(3)), At: start.Add(time.Duration(i) * time.Second)}
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
	return Cleaned(c, request)
}

// Guards against wrong answers and states over random histories with repeats,
// against a restart from a snapshot that changes any later answer, and against
// watchers' views that differ from the store's.
func TestAgainstNaive(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	for round := range 20 {
		rnd := rand.New(rand.NewPCG(seed, uint64(round)))
		s, n := New(), &naive{answers: map[string]string{}, sums: map[string]uint64{}}
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
				s = restored(t, s)
			}
			if rnd.IntN(4) > 0 {
				continue
			}
			v := s.View()
			watcher = update(t, watcher, v)
			for _, service := range []string{"s0", "s1"} {
				if _, ok := n.first(OpApply); ok && v.Serving[service] != n.serving(service) {
					t.Fatalf("round %d, command %d: %s serves %s, want %s", round, i, service, v.Serving[service], n.serving(service))
				}
			}
			bought, _ := n.last(op(OpBuy))
			notes, _ := n.last(op(OpNotes))
			if v.Bought != bought.c.Number || string(v.Notes["fleet"]) != string(notes.c.Body) {
				t.Fatalf("round %d, command %d: %d purchases and notes %s, want %d and %s", round, i, v.Bought, v.Notes["fleet"], bought.c.Number, notes.c.Body)
			}
			if want := n.previous(); v.Previous != want {
				t.Fatalf("round %d, command %d: previous preset %q, want %q", round, i, v.Previous, want)
			}
			for _, m := range v.Moves {
				if _, ended := n.end(m.ID); ended != (m.Outcome != "") {
					t.Fatalf("round %d, command %d: move %s ended %v, want %v", round, i, m.ID, m.Outcome, ended)
				}
			}
		}
		if accepted < 50 {
			t.Fatalf("only %d commands were accepted; the history shows little", accepted)
		}
	}
}

func restored(t *testing.T, s *Store) *Store {
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

func update(t *testing.T, watcher, v *View) *View {
	next, err := watcher.WithDelta(v.Delta(watcher.Config))
	if err != nil {
		t.Fatal(err)
	}
	if next.Config < watcher.Config {
		t.Fatalf("version fell from %d to %d", watcher.Config, next.Config)
	}
	if v.Config > 0 && (next.Config != v.Config || !reflect.DeepEqual(next.Moves, v.Moves) ||
		!reflect.DeepEqual(next.Shares, v.Shares) || next.Preset != v.Preset || next.Declared != v.Declared) {
		t.Fatalf("watcher has %+v, want %+v", next, v)
	}
	return next
}

// Guards against a snapshot of another release being read as something else.
func TestRestoreRefusesOtherFormats(t *testing.T) {
	s := New()
	s.Apply(1, Apply(Origin{ID: "a", By: "x", At: start}, 0, declaration("s0")).Encode())
	for _, b := range []string{`{"format":2}`, `{}`, `[`, ``} {
		if err := s.Restore([]byte(b)); err == nil {
			t.Errorf("restored %q", b)
		}
	}
	if s.View().Version != 1 {
		t.Error("a refused snapshot changed the state")
	}
}

// Guards against a table of answers that grows without bound or forgets early.
func TestAnswersAreBounded(t *testing.T) {
	s := New()
	cmd := func(i int) []byte { return Fence(Controller{Origin{ID: fmt.Sprint(i), At: start}, 1}).Encode() }
	for i := range KeepResults + 10 {
		s.Apply(uint64(i+1), cmd(i))
	}
	next := restored(t, s)
	for _, st := range []*Store{s, next} {
		if len(st.state.Answers) != KeepResults || len(st.state.answered) != KeepResults {
			t.Fatalf("%d answers kept, want %d", len(st.state.Answers), KeepResults)
		}
		r, err := DecodeResult(st.Apply(1e6, cmd(10)))
		if err != nil || r.Index != 11 {
			t.Fatalf("the oldest kept command got index %d, %v, want its first answer", r.Index, err)
		}
	}
}

// history is the operators' calls for porcupine: the declaration in force is a
// register that compares and sets, and its value is who applied it.
type call struct {
	read   bool
	expect string // writer that the operator saw
	writer string
}

type reply struct {
	ok     bool
	writer string // in force
}

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(string), input.(call), output.(reply)
		switch {
		case in.read:
			return out.writer == now, now
		case out.ok:
			return in.expect == now, in.writer
		}
		return out.writer == now && in.expect != now, now
	},
}

// memoryLog is a replicated log that loses answers, before or after the command
// is in the log, and repeats commands much later.
type memoryLog struct {
	mu    sync.Mutex
	t     *testing.T
	rnd   *rand.Rand
	store *Store
	index uint64
	late  [][]byte
}

var errLost = errors.New("answer lost")

func (l *memoryLog) propose(cmd []byte) (Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rnd.IntN(5) == 0 {
		return Result{}, errLost
	}
	if l.rnd.IntN(3) == 0 && len(l.late) > 0 {
		l.index++
		l.store.Apply(l.index, l.late[l.rnd.IntN(len(l.late))])
	}
	if l.rnd.IntN(20) == 0 {
		l.store = restored(l.t, l.store)
	}
	l.index++
	b := l.store.Apply(l.index, cmd)
	l.late = append(l.late, cmd)
	if l.rnd.IntN(3) == 0 {
		return Result{}, errLost
	}
	return DecodeResult(b)
}

func (l *memoryLog) read() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store.View()
}

// Guards against two operators who both win under equal numbers, against a loser
// who is told the wrong winner, and against a repeat that runs twice.
func TestRacingOperators(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	log := &memoryLog{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), store: New()}
	var mu sync.Mutex
	var ops []porcupine.Operation
	began := time.Now()
	note := func(client int, in call, from time.Duration, out reply) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(from), Output: out, Return: int64(time.Since(began))})
	}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for i := range 40 {
				from := time.Since(began)
				v := log.read()
				note(client, call{read: true}, from, reply{writer: v.Declared.By})
				writer := fmt.Sprintf("op%d-%d", client, i)
				cmd := Apply(Origin{ID: writer, By: writer, At: start}, v.Declared.Version, declaration("s0"))
				from = time.Since(began)
				for {
					r, err := log.propose(cmd.Encode())
					var refused *Refusal
					if err == nil || errors.As(err, &refused) {
						note(client, call{expect: v.Declared.By, writer: writer}, from, reply{ok: err == nil, writer: r.By})
						break
					}
				}
			}
		})
	}
	wg.Wait()
	won := 0
	for _, o := range ops {
		if o.Output.(reply).ok {
			won++
		}
	}
	if won == 0 || won == 6*40 {
		t.Fatalf("%d of %d applies won; there was no race", won, 6*40)
	}
	if !porcupine.CheckOperations(register, ops) {
		t.Fatal("the history is not linearizable")
	}
}

// FuzzApply guards against commands and snapshots from outside that crash a member.
func FuzzApply(f *testing.F) {
	f.Add(Apply(Origin{ID: "a"}, 0, declaration("s")).Encode())
	f.Add(Record(Controller{Origin{ID: "b"}, 1}, world.Instance{RequestID: "r"}).Encode())
	f.Add([]byte(`{"id":"x","op":"record"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		if _, err := DecodeResult(s.Apply(1, b)); err == nil {
			restored(t, s)
		}
		_ = s.Restore(b)
		_, _ = s.View().WithDelta(b)
	})
}

func BenchmarkApply(b *testing.B) {
	s := New()
	s.Apply(1, Apply(Origin{ID: "a", At: start}, 0, declaration("s0", "s1")).Encode())
	r, _ := DecodeResult(s.Apply(2, StartMove(Origin{ID: "m", At: start}, "s0", "v2", start.Add(time.Hour)).Encode()))
	index, last, bytes := uint64(2), s.View().Config, 0
	for i := range 3700 {
		index++
		s.Apply(index, Record(Controller{Origin{ID: fmt.Sprint("r", i), At: start}, 1}, world.Instance{RequestID: fmt.Sprint(i), Phase: "running"}).Encode())
	}
	b.Run("share and delta", func(b *testing.B) {
		for b.Loop() {
			index++
			s.Apply(index, Share(Controller{Origin{ID: fmt.Sprint(index), At: start}, 1}, r.Move.ID, 0.5).Encode())
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

// Guards against a command that an older leader gave too late standing in the way
// of the same command of the present leader.
func TestFencedAnswerIsNotKept(t *testing.T) {
	s := New()
	buy := func(term uint64) Command {
		return Buy(Controller{Origin{ID: "buy-1", At: start}, term}, 1, world.Instance{RequestID: "buy-1", Phase: "requested"})
	}
	s.Apply(1, Fence(Controller{Origin{ID: "f", At: start}, 2}).Encode())
	if r, _ := DecodeResult(s.Apply(2, buy(1).Encode())); r.Code != Fenced {
		t.Fatalf("got %q, want %q", r.Code, Fenced)
	}
	if _, err := DecodeResult(s.Apply(3, buy(2).Encode())); err != nil || s.View().Bought != 1 {
		t.Fatalf("%v, %d purchases", err, s.View().Bought)
	}
}
