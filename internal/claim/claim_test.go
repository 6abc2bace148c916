package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/raft"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func run(t *testing.T, m *Machine, c *clmpb.Command) *clmpb.Result {
	t.Helper()
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	res := &clmpb.Result{}
	if err := proto.Unmarshal(m.Apply(1, b), res); err != nil {
		t.Fatal(err)
	}
	return res
}

func id(n int) []byte { return fmt.Appendf(nil, "%016d", n) }

// modelClaim is the reference model of a claim. It keeps the results of all commands
// and has no expiry queue.
type modelClaim struct {
	phase     clmpb.Phase
	attempt   uint64
	owner     string
	bodyHash  uint64
	changedMs int64
	answer    *clmpb.Answer
	results   map[string]*clmpb.Result
	seen      []*clmpb.Seen
}

// size returns the size that the claim counts against the limit.
func (p *modelClaim) size() int {
	n := headerBytes + overheadBytes + proto.Size(&clmpb.Record{
		Phase: p.phase, Attempt: p.attempt, Owner: p.owner, BodyHash: p.bodyHash, Answer: p.answer, Seen: p.seen,
	})
	if p.phase == clmpb.Phase_PHASE_PENDING {
		n += pendingReserveBytes
	}
	return n
}

func totalBytes(all map[string]*modelClaim) (n int) {
	for _, p := range all {
		n += p.size()
	}
	return n
}

// Compares the machine with a plain map that is scanned in full, with snapshots in
// between. Guards against a claim that is granted twice, an old attempt that ends the
// current one, a repeated command with a second effect, a claim that expires at the
// wrong time, a counted size that differs from the stored one, and a full group that
// evicts a claim.
func TestMachineAgainstPlainMap(t *testing.T) {
	const retention = 1000
	refused := 0
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := NewMachine(retention * time.Millisecond)
		all := map[string]*modelClaim{}
		var sent []*clmpb.Command
		now, keys := int64(5000), 4+rng.IntN(30)
		limit := uint64(rng.IntN(3) * rng.IntN(8000))
		for n := range 150 {
			now += rng.Int64N(60)
			c := &clmpb.Command{
				Id: id(n), Op: clmpb.Op(1 + rng.IntN(4)), Org: "o", Key: fmt.Sprint(rng.IntN(keys)), BodyHash: uint64(rng.IntN(5) / 4),
				Owner: fmt.Sprint(rng.IntN(3)), Attempt: uint64(rng.IntN(4)), NowMs: now - rng.Int64N(30), LimitBytes: limit,
			}
			if rng.IntN(2) == 0 {
				c.Answer = &clmpb.Answer{Status: 200, Body: make([]byte, rng.IntN(3000))}
			}
			if p := all[c.Key]; p != nil && rng.IntN(2) == 0 {
				c.Attempt = p.attempt
			}
			if len(sent) > 0 && rng.IntN(5) == 0 {
				c = sent[rng.IntN(len(sent))]
			}
			sent = append(sent, c)
			got, want := run(t, m, c), stepModel(all, c, sent, retention)
			if got.Outcome != want.Outcome || got.Attempt != want.Attempt || got.RetryMs != want.RetryMs || !proto.Equal(got.Answer, want.Answer) {
				t.Fatalf("seed %d command %d %v: got %v, want %v", seed, n, c, got, want)
			}
			if u := m.Usage(); u.Bytes != totalBytes(all) || u.Claims != len(all) {
				t.Fatalf("seed %d command %d: %+v, want %d bytes in %d claims", seed, n, u, totalBytes(all), len(all))
			}
			refused += min(1, int(got.Outcome)/int(clmpb.Outcome_OUTCOME_FULL))
			if rng.IntN(20) == 0 {
				a, _ := m.Snapshot()
				m = NewMachine(retention * time.Millisecond)
				if err := m.Restore(a); err != nil {
					t.Fatal(err)
				}
				if b, _ := m.Snapshot(); !bytes.Equal(a, b) {
					t.Fatalf("seed %d: the snapshot of a restored machine differs", seed)
				}
			}
		}
	}
	if refused < 500 {
		t.Fatalf("only %d refusals; want at least 500", refused)
	}
}

// stepModel applies a command to the model and returns its result.
func stepModel(all map[string]*modelClaim, c *clmpb.Command, sent []*clmpb.Command, retention int64) *clmpb.Result {
	var now int64
	for _, s := range sent {
		now = max(now, s.NowMs)
	}
	for k, p := range all {
		switch {
		case p.changedMs > now-retention:
		case p.phase == clmpb.Phase_PHASE_PENDING:
			p.phase, p.changedMs = clmpb.Phase_PHASE_UNKNOWN, now
		default:
			delete(all, k)
		}
	}
	res := func(o clmpb.Outcome, attempt uint64) *clmpb.Result {
		return &clmpb.Result{Outcome: o, Attempt: attempt}
	}
	if c.NowMs <= now-retention {
		return res(clmpb.Outcome_OUTCOME_EXPIRED, 0)
	}
	p := all[c.Key]
	if p != nil && p.results[string(c.Id)] != nil {
		return p.results[string(c.Id)]
	}
	recordResult := func(o clmpb.Outcome) *clmpb.Result {
		p.changedMs = now
		p.results[string(c.Id)] = res(o, p.attempt)
		p.seen = append(p.seen, &clmpb.Seen{Id: c.Id, Outcome: o, Attempt: p.attempt})
		return p.results[string(c.Id)]
	}
	if c.Op == clmpb.Op_OP_TAKE {
		if (p == nil || p.phase == clmpb.Phase_PHASE_RELEASED) && c.LimitBytes > 0 && uint64(totalBytes(all)+pendingReserveBytes) > c.LimitBytes {
			oldest := now
			for _, o := range all {
				oldest = min(oldest, o.changedMs)
			}
			full := res(clmpb.Outcome_OUTCOME_FULL, 0)
			if len(all) > 0 {
				full.RetryMs = oldest + retention - now
			}
			return full
		}
		if p == nil {
			p = &modelClaim{phase: clmpb.Phase_PHASE_RELEASED, results: map[string]*clmpb.Result{}}
			all[c.Key] = p
		}
		switch {
		case p.phase == clmpb.Phase_PHASE_RELEASED:
			p.phase, p.bodyHash, p.owner = clmpb.Phase_PHASE_PENDING, c.BodyHash, c.Owner
			p.attempt++
			return recordResult(clmpb.Outcome_OUTCOME_GRANTED)
		case p.bodyHash != c.BodyHash:
			return res(clmpb.Outcome_OUTCOME_OTHER_BODY, 0)
		case p.phase == clmpb.Phase_PHASE_DONE:
			done := res(clmpb.Outcome_OUTCOME_DONE, p.attempt)
			done.Answer = p.answer
			return done
		case p.phase == clmpb.Phase_PHASE_UNKNOWN:
			return res(clmpb.Outcome_OUTCOME_UNKNOWN, p.attempt)
		}
		return res(clmpb.Outcome_OUTCOME_PENDING, p.attempt)
	}
	settled := p == nil || p.phase == clmpb.Phase_PHASE_DONE || p.phase == clmpb.Phase_PHASE_RELEASED
	if settled || p.attempt != c.Attempt {
		return res(clmpb.Outcome_OUTCOME_STALE, 0)
	}
	if c.Op == clmpb.Op_OP_FINISH {
		p.answer = &clmpb.Answer{}
		switch {
		case c.Answer == nil:
		case c.LimitBytes > 0 && uint64(totalBytes(all)+proto.Size(c.Answer)) > 2*c.LimitBytes:
			p.answer = &clmpb.Answer{Status: c.Answer.Status, Truncated: true}
		default:
			p.answer = c.Answer
		}
	}
	p.phase = map[clmpb.Op]clmpb.Phase{
		clmpb.Op_OP_FINISH: clmpb.Phase_PHASE_DONE, clmpb.Op_OP_RELEASE: clmpb.Phase_PHASE_RELEASED,
		clmpb.Op_OP_LOST: clmpb.Phase_PHASE_UNKNOWN,
	}[c.Op]
	return recordResult(clmpb.Outcome_OUTCOME_OK)
}

// cluster is a set of processes on real sockets, each with a member of every group.
type cluster struct {
	faults  *faults.Links
	clients []*Client
	members []Member
	nets    []*link.Transport
	groups  []map[uint32]*raft.Group
}

// newCluster starts three processes; open returns the file system of a process.
func newCluster(t testing.TB, groups int, election time.Duration, open func(i uint64) disk.FS) *cluster {
	return newLimitedCluster(t, groups, election, open, 0)
}

// newLimitedCluster also limits the size of each group.
func newLimitedCluster(t testing.TB, groups int, election time.Duration, open func(i uint64) disk.FS, limit int) *cluster {
	t.Helper()
	s := &cluster{faults: faults.New()}
	ids := []string{"a", "b", "c"}
	addr := map[string]string{}
	for _, n := range ids {
		net, err := link.Listen(link.Config{Node: n, Listen: "127.0.0.1:0", Dial: s.faults.Dialer(n)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = net.Close() })
		s.nets = append(s.nets, net)
		addr[n] = net.Addr()
		s.members = append(s.members, Member{ID: n, Address: net.Addr()})
	}
	for i, n := range ids {
		links := raft.NewLinkTransport(s.nets[i], func(id string) string { return addr[id] })
		srv := NewServer(ServerConfig{Net: s.nets[i], Clock: time.Now, LimitBytes: limit})
		all := map[uint32]*raft.Group{}
		dir, fs := t.TempDir(), open(uint64(i))
		for k := uint32(1); k <= uint32(groups); k++ {
			m := NewMachine(0)
			g, err := raft.Open(raft.Config{
				Group: k, ID: n, Members: ids, FS: fs, Dir: fmt.Sprint(dir, "/", k), StateMachine: m, Transport: links,
				Seed: uint64(i), HeartbeatInterval: election / 8, ElectionTimeout: election, SnapshotBytes: 256 << 10,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = g.Close() })
			links.Register(g)
			srv.AddGroup(k, g, m)
			all[k] = g
		}
		s.groups = append(s.groups, all)
		s.clients = append(s.clients, NewClient(s.nets[i], groups, func() []Member { return s.members }))
	}
	for k := uint32(1); k <= uint32(groups); k++ {
		s.awaitLeader(t, k)
	}
	return s
}

// fakeDisk makes the tests independent of the load on the real disk.
func fakeDisk(i uint64) disk.FS { return disk.NewFake(i) }

// awaitLeader waits until a member holds the leader lease of the group.
func (s *cluster) awaitLeader(t testing.TB, group uint32) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, all := range s.groups {
			if _, ok := all[group].Lease(time.Now()); ok {
				return
			}
		}
	}
	for _, all := range s.groups {
		t.Logf("%+v", all[group].Status())
	}
	t.Fatalf("group %d has no leader", group)
}

type op struct {
	kind    clmpb.Op
	key     string
	owner   string
	attempt uint64
}

type claimState struct {
	status     Status
	attempt    uint64
	owner      string
	answeredBy string // owner whose answer is stored
}

// outcome is the result of an operation. An unknown operation may take effect at any
// later time.
type outcome struct {
	unknown bool
	stale   bool
	refused bool // by a full group
	state   claimState
}

var linearModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		m := map[string][]porcupine.Operation{}
		for _, o := range h {
			m[o.Input.(op).key] = append(m[o.Input.(op).key], o)
		}
		var out [][]porcupine.Operation
		for _, l := range m {
			out = append(out, l)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(claimState), in.(op), out.(outcome)
		if o.refused {
			return i.kind == clmpb.Op_OP_TAKE && s.status == 0, s
		}
		if i.kind == clmpb.Op_OP_TAKE {
			if s.status != 0 {
				return o.unknown || o.state == s, s
			}
			next := claimState{status: Pending, attempt: s.attempt + 1, owner: i.owner}
			return o.unknown || o.state == claimState{status: Granted, attempt: next.attempt, owner: i.owner}, next
		}
		if s.attempt != i.attempt || s.status != Pending && s.status != Unknown {
			return o.unknown || o.stale, s
		}
		switch i.kind {
		case clmpb.Op_OP_FINISH:
			s.status, s.answeredBy = Done, i.owner
		case clmpb.Op_OP_RELEASE:
			s.status, s.owner = 0, ""
		default:
			s.status = Unknown
		}
		return !o.stale, s
	},
}

// Guards against two owners of one call, an answer that is lost or mixed up with
// another one, and a repeated command with a second effect. Leaders are partitioned and
// connections are reset during the test.
func TestClaimsAreLinearizable(t *testing.T) {
	checkHistory(t, 0, 50, 0)
}

// Guards against a refusal by a full group that still grants the claim, so that a call
// reported as not executed could run, and against a claim that is evicted to free space.
func TestFullGroupsAreLinearizable(t *testing.T) {
	checkHistory(t, 8<<10, 10, 50)
}

// minRoundOps is the minimum number of operations that end between two faults.
const minRoundOps = 40

// checkHistory checks that a history of operations on three groups, each limited to
// limit bytes, is linearizable. The clients go on after the faults until at least
// minGranted claims were granted and minRefused refused.
func checkHistory(t *testing.T, limit, minGranted, minRefused int) {
	const groups = 3
	t.Log("seed 41")
	s := newLimitedCluster(t, groups, 150*time.Millisecond, fakeDisk, limit)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var granted, refused, unknown int
	start := time.Now()
	record := func(client int, i op, f func() (outcome, error)) outcome {
		call := time.Since(start)
		o, err := f()
		end := time.Since(start)
		var full *FullError
		if errors.Is(err, ErrStale) {
			o.stale = true
		} else if errors.As(err, &full) {
			o = outcome{refused: true}
		} else if err != nil {
			o, end = outcome{unknown: true}, time.Hour
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: i, Output: o, Call: int64(call), Return: int64(end)})
		switch {
		case o.refused:
			refused++
		case o.unknown:
			unknown++
		case o.state.status == Granted:
			granted++
		}
		return o
	}
	counts := func() (total, grants, refusals int) {
		mu.Lock()
		defer mu.Unlock()
		return len(ops), granted, refused
	}
	await := func(what string, reached func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !reached(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				total, granted, refused := counts()
				t.Errorf("no %s: %d operations, %d grants, %d refused", what, total, granted, refused)
				return
			}
		}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() { runClient(s, n, done, record) })
	}
	rng := rand.New(rand.NewPCG(41, 41))
	for range 6 {
		before, _, _ := counts()
		time.Sleep(250 * time.Millisecond)
		await("operations between two faults", func() bool { total, _, _ := counts(); return total >= before+minRoundOps })
		isolated := rng.IntN(3)
		other := s.members[(isolated+1)%3]
		if rng.IntN(2) == 0 {
			s.faults.Reset(s.members[isolated].ID, other.Address)
			continue
		}
		for i, m := range s.members {
			if i != isolated {
				s.faults.Set(s.members[isolated].ID, m.Address, faults.Rule{Cut: true})
				s.faults.Set(s.members[isolated].Address, m.ID, faults.Rule{Cut: rng.IntN(2) == 0})
			}
		}
		time.Sleep(400 * time.Millisecond)
		for _, m := range s.members {
			s.faults.Set(s.members[isolated].ID, m.Address, faults.Rule{})
			s.faults.Set(s.members[isolated].Address, m.ID, faults.Rule{})
		}
	}
	await(fmt.Sprintf("%d grants and %d refusals", minGranted, minRefused), func() bool {
		_, granted, refused := counts()
		return granted >= minGranted && refused >= minRefused
	})
	close(done)
	wg.Wait()
	t.Logf("%d operations, %d grants, %d refused, %d of unknown outcome", len(ops), granted, refused, unknown)
	if res := porcupine.CheckOperationsTimeout(linearModel, ops, 15*time.Second); res != porcupine.Ok {
		t.Fatalf("linearizability check: %v", res)
	}
}

func runClient(s *cluster, n int, done <-chan struct{}, record func(int, op, func() (outcome, error)) outcome) {
	rng := rand.New(rand.NewPCG(41, uint64(n)))
	c := s.clients[n%3]
	owner := fmt.Sprint("owner", n)
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		k := Key{"o", fmt.Sprint(i/2, "-", rng.IntN(2))}
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		got := record(n, op{kind: clmpb.Op_OP_TAKE, key: k.Key, owner: owner}, func() (outcome, error) {
			st, err := c.Take(ctx, k, 1, owner, time.Now())
			o := outcome{state: claimState{status: st.Status, attempt: st.Attempt, owner: st.Owner}}
			if st.Status == Done {
				o.state.answeredBy = string(st.Answer.Body)
			}
			return o, err
		})
		settle := op{key: k.Key, owner: owner, attempt: got.state.attempt}
		switch roll := rng.IntN(4); {
		case got.state.status == Granted && roll < 2:
			settle.kind = clmpb.Op_OP_FINISH
		case got.state.status == Granted && roll == 2:
			settle.kind = clmpb.Op_OP_RELEASE
		case got.state.status == Pending && roll == 0:
			settle.kind = clmpb.Op_OP_LOST
		}
		if settle.kind != 0 {
			record(n, settle, func() (outcome, error) {
				switch settle.kind {
				case clmpb.Op_OP_FINISH:
					return outcome{}, c.Finish(ctx, k, settle.attempt, Answer{Status: 200, Body: []byte(owner)}, time.Now())
				case clmpb.Op_OP_RELEASE:
					return outcome{}, c.Release(ctx, k, settle.attempt, time.Now())
				}
				return outcome{}, c.MarkLost(ctx, k, settle.attempt, time.Now())
			})
		}
		cancel()
	}
}

// Guards against an entry instance with a wrong clock that expires the claims of all
// others, and against answers above the size limit.
func TestLimits(t *testing.T) {
	s := newCluster(t, 1, 150*time.Millisecond, fakeDisk)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	k := Key{"o", "k"}
	if _, err := s.clients[0].Take(ctx, k, 1, "x", time.Now().Add(48*time.Hour)); !errors.Is(err, ErrExpired) {
		t.Fatalf("got %v, want ErrExpired", err)
	}
	st, err := s.clients[1].Take(ctx, k, 1, "x", time.Now())
	if err != nil || st.Status != Granted {
		t.Fatalf("got %v, %v", st, err)
	}
	if err := s.clients[0].Finish(ctx, k, 1, Answer{Body: make([]byte, MaxBodyBytes+1)}, time.Now()); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v, want ErrTooLarge", err)
	}
	a := Answer{Status: 201, Headers: []Header{{"Location", "/x"}}, Body: bytes.Repeat([]byte("y"), MaxBodyBytes)}
	if err := s.clients[0].Finish(ctx, k, 1, a, time.Now()); err != nil {
		t.Fatal(err)
	}
	st, err = s.clients[2].Take(ctx, k, 1, "z", time.Now())
	if err != nil || st.Status != Done || st.Answer.Status != 201 || !bytes.Equal(st.Answer.Body, a.Body) || st.Answer.Headers[0] != a.Headers[0] {
		t.Fatalf("got %v, %d, %v", st.Status, st.Answer.Status, err)
	}
	if st, err = s.clients[2].Take(ctx, k, 2, "z", time.Now()); err != nil || st.Status != OtherBody {
		t.Fatalf("got %v, %v", st.Status, err)
	}
}

// Guards against a log entry or snapshot that crashes all members.
func FuzzApply(f *testing.F) {
	for o := range clmpb.Op_name {
		b, _ := proto.Marshal(&clmpb.Command{Id: id(1), Op: clmpb.Op(o), Org: "o", Key: "k", Attempt: 1, NowMs: 9})
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := NewMachine(time.Second)
		m.Apply(1, b)
		m.Apply(2, b)
		_ = NewMachine(0).Restore(b)
	})
}
