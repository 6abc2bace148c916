package raft

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/disk"
	"cranberrypath.example/cranberrypath/internal/raft/raftpb"
)

var (
	replacementSeeds  = flag.Int("replacement.seeds", 3, "number of seeds of TestLeasesWhileMembersAreReplaced")
	replacementFaults = flag.Int("replacement.faults", 12, "number of faults per seed of TestLeasesWhileMembersAreReplaced")
	replacementFirst  = flag.Uint64("replacement.first", 101, "first seed of TestLeasesWhileMembersAreReplaced")
)

// slowNetwork delivers messages in memory after random delays, also those whose sender
// no longer waits for the response.
type slowNetwork struct {
	network
	wg     sync.WaitGroup
	rng    *rand.Rand
	frozen map[string]time.Time // members that handle nothing until then
	slow   time.Time            // until then many messages take long
}

type slowEndpoint struct {
	net *slowNetwork
	id  string
}

// delay returns how long a message takes, which is mostly less than a heartbeat interval
// and sometimes longer than an election timeout.
func (n *slowNetwork) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	kinds := 40
	if time.Now().Before(n.slow) {
		kinds = 6
	}
	d := time.Duration(n.rng.IntN(2000)) * time.Microsecond
	switch n.rng.IntN(kinds) {
	case 0:
		d = time.Duration(n.rng.IntN(150)) * time.Millisecond
	case 1, 2:
		d = time.Duration(n.rng.IntN(40)) * time.Millisecond
	}
	return max(d, time.Until(n.frozen[from]), time.Until(n.frozen[to]))
}

func (n *slowNetwork) group(id string) *Group { return n.reachable(id, id) }

func (e slowEndpoint) Call(ctx context.Context, to string, req *raftpb.Message) (*raftpb.Message, error) {
	in := proto.CloneOf(req)
	response := make(chan *raftpb.Message, 1)
	e.net.wg.Go(func() {
		time.Sleep(e.net.delay(e.id, to))
		g := e.net.reachable(e.id, to)
		if g == nil {
			return
		}
		handleCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp := g.Handle(handleCtx, in)
		if resp == nil {
			return
		}
		out := proto.CloneOf(resp)
		time.Sleep(e.net.delay(to, e.id))
		if e.net.reachable(to, e.id) != nil {
			response <- out
		}
	})
	select {
	case resp := <-response:
		return resp, nil
	case <-ctx.Done():
		return nil, errCut
	}
}

// fleet is a group whose members are replaced.
type fleet struct {
	t    *testing.T
	net  *slowNetwork
	rng  *rand.Rand // of the faults
	seed uint64

	mu       sync.Mutex
	ids      []string // current members
	disks    map[string]*disk.Fake
	machines map[string]*testStateMachine
	known    []*Group // all members so far
	nextID   int
	lastTerm uint64 // highest term in which a member held a lease
	lastID   string // the member that held it
	starts   uint64
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	f := &fleet{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*disk.Fake{}, machines: map[string]*testStateMachine{},
		net: &slowNetwork{
			network: network{groups: map[string]*Group{}, cut: map[[2]string]bool{}},
			rng:     rand.New(rand.NewPCG(seed, 2)), frozen: map[string]time.Time{},
		},
	}
	for range size {
		f.ids = append(f.ids, f.newID())
	}
	for _, id := range f.ids {
		f.start(id, f.ids)
	}
	return f
}

func (f *fleet) newID() string {
	f.nextID++
	id := fmt.Sprintf("m%02d", f.nextID)
	f.disks[id] = disk.NewFake(f.seed*100 + uint64(f.nextID))
	return id
}

func (f *fleet) start(id string, initial []string) {
	f.starts++
	m := &testStateMachine{keepLastOnly: true}
	g, err := Open(Config{
		Group: 1, ID: id, Members: initial, FS: f.disks[id], Dir: "raft", StateMachine: m, Transport: slowEndpoint{f.net, id},
		Seed: f.seed*1000 + f.starts, HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond,
		SnapshotBytes: 300, SegmentBytes: 1000,
	})
	if err != nil {
		f.t.Errorf("start %s: %v", id, err)
		return
	}
	f.mu.Lock()
	f.machines[id] = m
	f.known = append(f.known, g)
	f.mu.Unlock()
	f.net.mu.Lock()
	f.net.groups[id] = g
	f.net.mu.Unlock()
}

func (f *fleet) stop(id string) {
	f.net.mu.Lock()
	g := f.net.groups[id]
	delete(f.net.groups, id)
	f.net.mu.Unlock()
	if g != nil {
		_ = g.Close()
	}
}

func (f *fleet) members() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

func (f *fleet) machine(id string) *testStateMachine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[id]
}

// checkLeases reports a lease of an earlier term than one that was seen before.
func (f *fleet) checkLeases() {
	f.mu.Lock()
	known := slices.Clone(f.known)
	f.mu.Unlock()
	for _, g := range known {
		f.mu.Lock()
		highest, holder := f.lastTerm, f.lastID
		f.mu.Unlock()
		l, ok := g.Lease(time.Now())
		if !ok {
			continue
		}
		if l.Term < highest || l.Term == highest && g.cfg.ID != holder {
			f.t.Errorf("seed %d: %s holds a lease of term %d after %s held one of term %d", f.seed, g.cfg.ID, l.Term, holder, highest)
		}
		f.mu.Lock()
		if l.Term > f.lastTerm {
			f.lastTerm, f.lastID = l.Term, g.cfg.ID
		}
		f.mu.Unlock()
	}
}

// leader waits for a member with a lease.
func (f *fleet) leader() *Group {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, id := range f.members() {
			if g := f.net.group(id); g != nil {
				if _, ok := g.Lease(time.Now()); ok {
					return g
				}
			}
		}
	}
	f.logStatus()
	f.t.Errorf("seed %d: no leader", f.seed)
	return nil
}

// change repeats a membership change until the members are those of the fleet, all
// voters and caught up.
func (f *fleet) change(change func(ctx context.Context, lead *Group) error) {
	f.t.Helper()
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		lead := f.leader()
		if lead == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		err = change(ctx, lead)
		cancel()
		if err == nil && f.complete(lead) {
			return
		}
	}
	f.logStatus()
	f.t.Errorf("seed %d: the members are not replaced; the last attempt: %v", f.seed, err)
}

func (f *fleet) logStatus() {
	f.t.Helper()
	for _, id := range f.members() {
		if g := f.net.group(id); g != nil {
			f.t.Logf("%+v", g.Status())
		}
	}
}

// complete reports whether the committed membership is that of the fleet.
func (f *fleet) complete(lead *Group) bool {
	ids, st := f.members(), lead.Status()
	lead.mu.Lock()
	committed := lead.memberships[len(lead.memberships)-1].index <= lead.commit
	lead.mu.Unlock()
	if len(st.Members) != len(ids) || st.Role != Leader || !committed {
		return false
	}
	for _, m := range st.Members {
		i := slices.IndexFunc(st.Peers, func(p PeerStatus) bool { return p.ID == m.ID })
		if m.Learner || !slices.Contains(ids, m.ID) || m.ID != st.ID && (i < 0 || st.Peers[i].IncarnationMismatch || st.Peers[i].Match < st.Commit) {
			return false
		}
	}
	return true
}

// addAll adds or replaces the members that are missing or have lost their state.
func (f *fleet) addAll(ctx context.Context, lead *Group) error {
	for _, id := range f.members() {
		if id == lead.cfg.ID {
			continue
		}
		if err := lead.Add(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a random time up to limit.
func (f *fleet) pause(limit time.Duration) { time.Sleep(time.Duration(f.rng.Int64N(int64(limit)))) }

// loseDisk restarts a member without its state and adds it again.
func (f *fleet) loseDisk(id string) {
	f.stop(id)
	f.disks[id].Wipe()
	f.pause(100 * time.Millisecond)
	f.start(id, nil)
	f.change(f.addAll)
}

// replace replaces a member for good. The dead member is removed first or last.
func (f *fleet) replace(id string) {
	removeFirst := f.rng.IntN(2) == 0
	f.stop(id)
	added := f.newID()
	f.mu.Lock()
	f.ids = append(slices.DeleteFunc(slices.Clone(f.ids), func(x string) bool { return x == id }), added)
	f.mu.Unlock()
	f.start(added, nil)
	f.change(func(ctx context.Context, lead *Group) error {
		steps := []func(context.Context, *Group) error{f.addAll, func(ctx context.Context, lead *Group) error { return lead.Remove(ctx, id) }}
		if removeFirst {
			slices.Reverse(steps)
		}
		for _, step := range steps {
			if err := step(ctx, lead); err != nil {
				return err
			}
		}
		return nil
	})
}

// losePower restarts members with their disks, less what was not synced.
func (f *fleet) losePower(ids ...string) {
	for _, id := range ids {
		f.disks[id].Crash()
	}
	for _, id := range ids {
		f.stop(id)
		f.disks[id].Restart()
	}
	for _, id := range ids {
		f.start(id, ids)
		if f.rng.IntN(3) == 0 {
			f.pause(30 * time.Millisecond)
		}
	}
}

// setCut cuts random directions between members, or restores all.
func (f *fleet) setCut(cut bool) {
	ids := f.members()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	clear(f.net.cut)
	for range 4 {
		if a, b := ids[f.rng.IntN(len(ids))], ids[f.rng.IntN(len(ids))]; cut && a != b {
			f.net.cut[[2]string{a, b}] = true
		}
	}
}

// cutAllButOne cuts the messages of one member to all others but one, so that the members
// are left in different terms.
func (f *fleet) cutAllButOne(id string) {
	ids := f.members()
	reached := ids[f.rng.IntN(len(ids))]
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	clear(f.net.cut)
	for _, other := range ids {
		f.net.cut[[2]string{id, other}] = other != id && other != reached
	}
}

// isolate cuts a member off from all others.
func (f *fleet) isolate(id string) {
	ids := f.members()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, other := range ids {
		f.net.cut[[2]string{id, other}], f.net.cut[[2]string{other, id}] = other != id, other != id
	}
}

// transfer asks the leader to transfer its leadership and doesn't wait for the outcome.
func (f *fleet) transfer(wg *sync.WaitGroup, to string) {
	for _, id := range f.members() {
		g := f.net.group(id)
		if g == nil || g.Status().Role != Leader {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_ = g.Transfer(ctx, to) // a transfer that fails is a fault as well
		})
	}
}

func (f *fleet) injectFault(wg *sync.WaitGroup) {
	ids := f.members()
	a := ids[f.rng.IntN(len(ids))]
	if f.rng.IntN(2) == 0 {
		if lead := f.leader(); lead != nil {
			a = lead.cfg.ID
		}
	}
	switch f.rng.IntN(10) {
	case 0:
		f.loseDisk(a)
	case 1:
		f.replace(a)
	case 2:
		f.losePower(a)
	case 3, 4, 8, 9: // all, while an election or a transfer is in progress
		to := ids[f.rng.IntN(len(ids))]
		f.setCut(true)
		if f.rng.IntN(2) == 0 {
			f.cutAllButOne(to)
		}
		f.transfer(wg, to)
		f.pause(100 * time.Millisecond)
		f.losePower(ids...)
		f.net.mu.Lock()
		f.net.slow = time.Now().Add(time.Duration(f.rng.IntN(400)) * time.Millisecond)
		f.net.mu.Unlock()
		if f.rng.IntN(4) == 0 {
			f.pause(100 * time.Millisecond)
		}
		f.setCut(false)
	case 5:
		f.setCut(true)
		if f.rng.IntN(3) > 0 {
			f.isolate(a)
		}
		f.pause(600 * time.Millisecond)
		f.setCut(false)
	case 6:
		f.transfer(wg, ids[f.rng.IntN(len(ids))])
	case 7: // a suspended member, whose clock goes on
		g := f.net.group(a)
		until := time.Now().Add(time.Duration(20+f.rng.IntN(500)) * time.Millisecond)
		f.net.mu.Lock()
		f.net.frozen[a] = until
		f.net.mu.Unlock()
		g.mu.Lock()
		time.Sleep(time.Until(until))
		g.mu.Unlock()
	}
	f.pause(120 * time.Millisecond)
}

// Guards against a lease of an earlier leader beside that of a later one, stale reads
// and lost commands while members are replaced, lose their disks and lose power, all at
// once as well, with slow messages and transfers that are not finished. No member is
// lost before the one lost before it is replaced.
func TestLeasesWhileMembersAreReplaced(t *testing.T) {
	for i := range *replacementSeeds {
		seed := *replacementFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3+min(2, int(seed%4)), seed)
			h := &opHistory{start: time.Now()}
			done := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					f.checkLeases()
					select {
					case <-done:
						return
					case <-time.After(500 * time.Microsecond):
					}
				}
			})
			f.leader()
			for n := range 3 {
				wg.Go(func() { f.runClient(h, done, n) })
			}
			for range *replacementFaults {
				if t.Failed() {
					break // more losses would be beyond the tolerance
				}
				f.injectFault(&wg)
			}
			want := max(h.knownOutcomes()+20, 100)
			for end := time.Now().Add(20 * time.Second); h.knownOutcomes() < want && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			close(done)
			wg.Wait()
			for _, id := range f.members() {
				f.stop(id)
			}
			f.net.wg.Wait()
			h.check(t, 100)
		})
	}
}

// runClient reads and writes through random members until done is closed.
func (f *fleet) runClient(h *opHistory, done <-chan struct{}, n int) {
	rng := rand.New(rand.NewPCG(f.seed, uint64(100+n)))
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(1+rng.IntN(6)) * time.Millisecond):
		}
		ids := f.members()
		id := ids[rng.IntN(len(ids))]
		g := f.net.group(id)
		if g == nil {
			continue
		}
		if leader := g.Status().Leader; leader != "" && rng.IntN(3) > 0 {
			if l := f.net.group(leader); l != nil {
				id, g = leader, l
			}
		}
		machine := f.machine(id)
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		if rng.IntN(2) == 0 {
			h.record(n, registerOp{}, func() (string, error) {
				_, err := g.Barrier(ctx)
				last, _ := machine.read()
				return last, err
			})
		} else {
			op := registerOp{write: fmt.Sprint(n, "/", i)}
			h.record(n, op, func() (string, error) {
				out, err := g.Propose(ctx, []byte(op.write))
				return string(out), err
			})
		}
		cancel()
	}
}
