package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/world"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const lease = 3 * time.Second

// cell is a set of entry instances on loopback that share a fake clock.
type cell struct {
	t         testing.TB
	links     *faults.Links
	members   []*Member
	nets      []*link.Transport
	mu        sync.Mutex
	now       time.Time
	seqs      map[string]uint64
	lastReply map[string]Reply
	// alternateCells assigns the instances to two cells in turn.
	alternateCells bool
	// roundTimeout limits a round, which ends earlier if all pulls are answered.
	roundTimeout time.Duration
	// bytes counts the bytes on the dialed connections in both directions, writes the
	// writes of the dialing side.
	bytes, writes atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	c *cell
}

func (n countedConn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)
	n.c.bytes.Add(int64(k))
	return k, err
}

func (n countedConn) Write(b []byte) (int, error) {
	n.c.bytes.Add(int64(len(b)))
	n.c.writes.Add(1)
	return n.Conn.Write(b)
}

func (c *cell) clock() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *cell) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newCell(t testing.TB, n int) *cell {
	return startCell(t, n, false)
}

func startCell(t testing.TB, n int, split bool) *cell {
	c := &cell{
		t: t, links: faults.New(), now: time.Unix(1e9, 0), seqs: map[string]uint64{}, lastReply: map[string]Reply{},
		roundTimeout: 10 * time.Second, alternateCells: split,
	}
	for i := range n {
		c.start(i, "127.0.0.1:0", 1)
	}
	t.Cleanup(func() {
		for i := range c.members {
			c.stop(i)
		}
	})
	for range 3 {
		c.round()
	}
	return c
}

func (c *cell) start(i int, listen string, incarnation uint64) {
	c.t.Helper()
	name := fmt.Sprintf("e%02d", i)
	dc := fmt.Sprintf("d%d", i%4)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := c.links.Dialer(name)(ctx, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, c}, nil
	}
	n, err := link.Listen(link.Config{Node: name, DataCentre: dc, Listen: listen, Dial: dial})
	if err != nil {
		c.t.Fatal(err)
	}
	var seeds []string
	for _, o := range c.nets[:min(len(c.nets), 2)] {
		seeds = append(seeds, o.Addr())
	}
	m, err := New(Config{
		Instance: name, DataCentre: dc, Cell: c.cellOf(i), Address: n.Addr(), CallerAddress: "callers-" + name, Seeds: seeds,
		Incarnation: incarnation, Lease: lease, Clock: c.clock, ManualPulls: true,
	}, n)
	if err != nil {
		c.t.Fatal(err)
	}
	if i < len(c.members) {
		c.members[i], c.nets[i] = m, n
		return
	}
	c.members, c.nets = append(c.members, m), append(c.nets, n)
}

// cellOf returns the cell of an instance: the same for all unless alternateCells is set.
func (c *cell) cellOf(i int) string {
	if c.alternateCells {
		return []string{"a", "b"}[i%2]
	}
	return "main"
}

func (c *cell) stop(i int) {
	_ = c.nets[i].Close() // close first, so that no pull stays blocked in a session
	c.members[i].Close()
}

// round advances the clock by one second and pulls once on the given instances, or all.
func (c *cell) round(only ...int) {
	c.advance(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), c.roundTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, m := range c.members {
		if len(only) == 0 || contains(only, i) {
			wg.Go(func() { m.PullOnce(ctx) })
		}
	}
	wg.Wait()
}

func contains(all []int, i int) bool {
	for _, v := range all {
		if v == i {
			return true
		}
	}
	return false
}

// announce sends a server's next announcement to an instance.
func (c *cell) announce(instance int, id string, s world.State) Reply {
	c.seqs[id]++
	r := c.members[instance].Announce(newAnnouncement(id, s, c.seqs[id]), c.clock())
	c.lastReply[id] = r
	return r
}

func newAnnouncement(id string, s world.State, seq uint64) Announcement {
	return Announcement{Seq: seq, Backend: world.Backend{ID: id, Incarnation: 1, Service: "m", State: s, DataCentre: "d1", Versions: []string{"v1"}}}
}

// primaryOf returns the index of the server's primary instance by its last reply.
func (c *cell) primaryOf(id string) int {
	var i int
	if _, err := fmt.Sscanf(c.lastReply[id].AnnounceTo[0].Instance, "e%d", &i); err != nil {
		c.t.Fatal(err)
	}
	return i
}

func (c *cell) hasPermit(instance int, id string) bool {
	for _, p := range c.members[instance].Permits(c.clock()) {
		if p.ID == id {
			return true
		}
	}
	return false
}

func (c *cell) wantPermit(instance int, id string, want bool, why string) {
	c.t.Helper()
	if got := c.hasPermit(instance, id); got != want {
		c.t.Fatalf("instance %d: permit for %s is %v, want %v: %s", instance, id, got, want, why)
	}
}

// Guards against cells with the same seeds that pull from each other or send work to
// each other's backend servers.
func TestCellsStayApart(t *testing.T) {
	c := startCell(t, 6, true)
	c.announce(2, "s", world.Ready)
	c.round()
	for i, m := range c.members {
		var got []string
		for _, p := range m.Peers(c.clock()) {
			got = append(got, p.Instance)
		}
		var want []string
		for k := range c.members {
			if k != i && k%2 == i%2 {
				want = append(want, fmt.Sprintf("e%02d", k))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("instance %d sees %v, want %v", i, got, want)
		}
		c.wantPermit(i, "s", i%2 == 0, "it announced itself to instance 2")
	}
}

// Guards against instances that are known to a seed but never discovered by others, and
// permits that do not reach the whole cell.
func TestCellFindsItselfAndSharesPermits(t *testing.T) {
	c := newCell(t, 11)
	for i, m := range c.members {
		if got := len(m.Peers(c.clock())); got != 10 {
			t.Fatalf("instance %d sees %d peers, want 10", i, got)
		}
	}
	c.announce(5, "s", world.Ready)
	if primary := c.members[c.primaryOf("s")]; primary.cfg.DataCentre != "d1" {
		t.Fatalf("primary instance is in %s, want the server's data centre", primary.cfg.DataCentre)
	}
	c.round()
	for i := range c.members {
		c.wantPermit(i, "s", true, "it announced itself a second ago")
	}
	c.advance(lease)
	for i := range c.members {
		c.wantPermit(i, "s", false, "it has sent no announcement for a lease")
	}
}

// Guards against a delayed "ready" announcement that makes a leaving server ready again,
// at the instance that received the "leaving" announcement and at one that pulled it.
func TestLateReadyDoesNotRevive(t *testing.T) {
	c := newCell(t, 3)
	c.announce(0, "s", world.Ready)
	c.round()
	old := newAnnouncement("s", world.Ready, 2)
	c.seqs["s"] = 2
	c.announce(0, "s", world.Leaving)
	c.round()
	for i, m := range c.members {
		if r := m.Announce(old, c.clock()); !r.Stale {
			t.Fatalf("instance %d accepted announcement 2 after 3", i)
		}
		c.wantPermit(i, "s", false, "it is leaving")
	}
	// Another server announces that it leaves to a different instance than the one with
	// its latest "ready" announcement.
	c.announce(0, "t", world.Ready)
	c.round()
	c.announce(1, "t", world.Leaving)
	c.wantPermit(1, "t", false, "it announced here that it is leaving")
	c.round()
	for i := range c.members {
		c.wantPermit(i, "t", false, "instance 1 reported that it is leaving")
	}
	// The next incarnation counts as a new server.
	a := newAnnouncement("s", world.Ready, 1)
	a.Backend.Incarnation = 2
	c.members[1].Announce(a, c.clock())
	c.round()
	for i := range c.members {
		c.wantPermit(i, "s", true, "the new incarnation is ready")
	}
}

// Guards against a permit that outlives the lease because a pull response or an
// announcement was delayed in a stalled connection.
func TestStalledMessagesDoNotExtendPermits(t *testing.T) {
	c := newCell(t, 2)
	c.announce(0, "s", world.Ready)
	c.links.Set(c.nets[0].Addr(), "e01", faults.Rule{Cut: true})
	done := make(chan struct{})
	m := c.members[1]
	targets := m.pullTargets(c.clock())
	go func() {
		defer close(done)
		for _, t := range targets {
			m.pull(context.Background(), t)
		}
	}()
	time.Sleep(50 * time.Millisecond) // lets the response reach the stalled link; the result does not depend on this delay
	c.advance(lease)
	c.links.Set(c.nets[0].Addr(), "e01", faults.Rule{})
	<-done
	c.wantPermit(1, "s", false, "the response is as old as the lease")

	r := c.announce(0, "s", world.Ready)
	c.advance(10 * time.Second)
	a := newAnnouncement("s", world.Ready, 3)
	a.Ticket, a.TicketHeldFor = r.Ticket, time.Second
	c.members[0].Announce(a, c.clock())
	c.wantPermit(0, "s", false, "the announcement was delayed for 9 s")
}

// Guards against an entry instance that keeps its permits while it is partitioned, and
// against lost permits in the rest of the cell.
func TestPartitionedNodeLosesPermits(t *testing.T) {
	c := newCell(t, 5)
	announce := func() {
		for s := range 20 {
			id := fmt.Sprint("s", s)
			if _, ok := c.lastReply[id]; !ok {
				c.announce(0, id, world.Ready)
				continue
			}
			c.announce(c.primaryOf(id), id, world.Ready)
		}
	}
	announce()
	c.round()
	announce() // to the primary instances
	const partitioned = 2
	c.roundTimeout = 300 * time.Millisecond
	c.links.Set("e02", "*", faults.Rule{Cut: true})
	c.links.Set("*", "e02", faults.Rule{Cut: true})
	c.links.Set("*", c.nets[partitioned].Addr(), faults.Rule{Cut: true})
	for range 6 {
		for s := range 20 {
			id := fmt.Sprint("s", s)
			if c.primaryOf(id) == partitioned { // the servers can't reach it either
				c.lastReply[id] = Reply{AnnounceTo: c.lastReply[id].AnnounceTo[1:]}
			}
		}
		announce()
		c.round()
	}
	if got := c.members[partitioned].Permits(c.clock()); len(got) != 0 {
		t.Fatalf("the partitioned instance still has %d permits", len(got))
	}
	for i := range c.members {
		if got := len(c.members[i].Permits(c.clock())); i != partitioned && got != 20 {
			t.Fatalf("instance %d has %d permits, want 20", i, got)
		}
	}
	if !c.members[partitioned].isIsolatedAt(c.clock()) || c.members[0].isIsolatedAt(c.clock()) {
		t.Fatal("want only the partitioned instance to report that it is isolated")
	}
}

func (m *Member) isIsolatedAt(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isIsolated(now)
}

// Guards against a false failure detection: an instance that others still reach must not
// be considered failed if one link to it is cut in one direction, but a stopped instance
// must be.
func TestOneCutLinkIsNoFailure(t *testing.T) {
	c := newCell(t, 4)
	c.roundTimeout = 300 * time.Millisecond
	c.links.Set("e00", c.nets[3].Addr(), faults.Rule{Cut: true})
	for range 8 {
		c.round()
	}
	if got := len(c.members[0].Peers(c.clock())); got != 3 {
		t.Fatalf("sees %d peers, want 3: others reach the instance behind the cut link", got)
	}
	c.links.Set("e00", c.nets[3].Addr(), faults.Rule{})
	c.stop(3)
	for range 8 {
		c.round(0, 1, 2)
	}
	if got := len(c.members[0].Peers(c.clock())); got != 2 {
		t.Fatalf("sees %d peers, want 2: one has stopped", got)
	}
	addr := c.nets[3].Addr()
	time.Sleep(200 * time.Millisecond) // link waits 100 ms before it redials
	c.start(3, addr, 2)
	for range 3 {
		c.round()
	}
	c.announce(3, "s", world.Ready)
	c.round()
	for i := range c.members {
		if got := len(c.members[i].Peers(c.clock())); got != 3 {
			t.Fatalf("instance %d sees %d peers after the restart, want 3", i, got)
		}
		c.wantPermit(i, "s", true, "the restarted instance serves a new table")
	}
}

// Guards against directories that list a draining or refusing instance, and a graceful
// shutdown that loses a permit or leaves a server without a primary instance.
func TestLeave(t *testing.T) {
	c := newCell(t, 4)
	c.announce(0, "s", world.Ready)
	primary := c.primaryOf("s")
	c.announce(primary, "s", world.Ready)
	c.round()
	if err := c.members[primary].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	for i, m := range c.members {
		d := m.Directory(c.clock(), Caller{Key: "x"})
		for _, a := range d.Addresses {
			if a == c.members[primary].cfg.CallerAddress {
				t.Fatalf("the directory of instance %d lists the draining instance", i)
			}
		}
		c.wantPermit(i, "s", true, "its primary instance is draining but the server is not leaving")
	}
	if r := c.announce(primary, "s", world.Ready); r.AnnounceTo[0].Instance == c.members[primary].cfg.Instance {
		t.Fatal("the draining instance is still the primary instance")
	}
	other := c.primaryOf("s")
	c.members[other].SetServing(false)
	c.round()
	for _, a := range c.members[(other+1)%4].Directory(c.clock(), Caller{Key: "x"}).Addresses {
		if a == c.members[other].cfg.CallerAddress {
			t.Fatal("the directory lists an instance that refuses requests")
		}
	}
}

// Guards against callers that are sent to small instances as often as to large ones, and
// against another order where the instances are all alike or of unknown size.
func TestDirectoryByCapacity(t *testing.T) {
	peers := func(capacities ...float32) []Peer {
		var out []Peer
		for i, c := range capacities {
			out = append(out, Peer{Instance: fmt.Sprint("e", i), DataCentre: fmt.Sprint("d", i/3), Capacity: c})
		}
		return out
	}
	first := map[string]int{}
	for i := range 2000 {
		key := fmt.Sprint(i)
		for _, alike := range [][]float32{{0, 0, 0, 0}, {0.2, 0.2, 0.2, 0.2}, {0.2, 0, 0.2, 0.2}} {
			if got, want := rankByCapacity(peers(alike...), key, "d0"), rankPeers(peers(alike...), key, "d0"); !slices.Equal(got, want) {
				t.Fatalf("%v: %v, want %v", alike, got, want)
			}
		}
		ranked := rankByCapacity(peers(0.1, 0.1, 0.4, 5), key, "d0")
		if ranked[3].Instance != "e3" {
			t.Fatalf("an instance of another data centre comes before one of the caller's: %v", ranked)
		}
		first[ranked[0].Instance]++
	}
	for name, want := range map[string]int{"e0": 333, "e1": 333, "e2": 1333} {
		if n := first[name]; n < want-100 || n > want+100 {
			t.Errorf("%s is the first choice of %d of 2000 callers, want about %d", name, n, want)
		}
	}
}

// Guards against all callers being sent to the same instance first.
func TestDirectorySpreadsCallers(t *testing.T) {
	c := newCell(t, 8)
	first := map[string]int{}
	for i := range 400 {
		d := c.members[0].Directory(c.clock(), Caller{Key: fmt.Sprint(i), DataCentre: "d1"})
		if len(d.Addresses) != 8 || d.TTL < minDirectoryTTL {
			t.Fatalf("got %v", d)
		}
		first[d.Addresses[0]]++
	}
	if len(first) != 2 || first["callers-e01"] < 120 || first["callers-e05"] < 120 {
		t.Fatalf("first choices %v, want the two instances of d1 about equally", first)
	}
}

// Guards against cache events that are lost without a reported gap, and a backlog that
// exceeds its limit.
func TestCacheEventsReachTheCell(t *testing.T) {
	c := newCell(t, 2)
	a := newAnnouncement("s", world.Ready, 1)
	a.CacheEvents = []world.CacheEvents{{From: 1, Added: []uint64{7, 8}}}
	c.members[0].Announce(a, c.clock())
	c.round()
	got := c.members[1].TakeCacheEvents()
	if len(got) != 1 || got[0].Backend != "s" || len(got[0].Events.Added) != 2 {
		t.Fatalf("got %v", got)
	}
	from := uint64(3)
	for seq := uint64(2); seq < 70; seq++ {
		a := newAnnouncement("s", world.Ready, seq)
		a.CacheEvents = []world.CacheEvents{{From: from, Added: make([]uint64, 1000)}}
		from += 1000
		c.members[0].Announce(a, c.clock())
	}
	c.round()
	gap := false
	for _, u := range c.members[1].TakeCacheEvents() {
		gap = gap || u.Gap
	}
	if !gap {
		t.Fatal("events were dropped without a reported gap")
	}
}

// Guards against a permit that is still valid one lease after the server first announced
// that it is leaving. Instances restart and lose links at random during the test.
func TestLeavingServersLosePermitsInTime(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	c := newCell(t, 5)
	c.roundTimeout = 200 * time.Millisecond
	leavingSince := map[string]time.Time{}
	incarnation := uint64(1)
	permitCount := 0
	for step := range 32 {
		i := rnd.IntN(5)
		switch rnd.IntN(10) {
		case 0:
			c.links.Set(c.members[i].cfg.Instance, "*", faults.Rule{Cut: true})
		case 1:
			c.links.Set("*", c.members[i].cfg.Instance, faults.Rule{Cut: true})
		case 2, 3:
			for j := range 5 {
				c.links.Set(c.members[j].cfg.Instance, "*", faults.Rule{})
				c.links.Set("*", c.members[j].cfg.Instance, faults.Rule{})
			}
		case 4:
			incarnation++
			c.stop(i)
			c.start(i, c.nets[i].Addr(), incarnation)
		}
		for s := range 8 {
			id := fmt.Sprintf("s%d-%d", s, step/8)
			state := world.Ready
			if step%8 == 7 || !leavingSince[id].IsZero() {
				state = world.Leaving
			}
			if state == world.Leaving && leavingSince[id].IsZero() {
				leavingSince[id] = c.clock()
			}
			c.announce(rnd.IntN(5), id, state)
		}
		c.round()
		for i, m := range c.members {
			for _, p := range m.Permits(c.clock()) {
				permitCount++
				if at := leavingSince[p.ID]; !at.IsZero() && c.clock().Sub(at) >= lease {
					t.Fatalf("step %d: instance %d may send to %s %v after it left", step, i, p.ID, c.clock().Sub(at))
				}
			}
		}
	}
	if permitCount == 0 {
		t.Fatal("the history granted no permit")
	}
}

// Guards against pull loops that do not run or do not end: three instances with one seed
// must share a server's announcements and then stop.
func TestLoopsPull(t *testing.T) {
	var all []*Member
	var seed string
	for i := range 3 {
		name := fmt.Sprint("n", i)
		n, err := link.Listen(link.Config{Node: name, Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		if seed == "" {
			seed = n.Addr()
		}
		m, err := New(Config{Instance: name, Cell: "main", Address: n.Addr(), Seeds: []string{seed}, Incarnation: 1, Lease: lease, PullInterval: 20 * time.Millisecond}, n)
		if err != nil {
			t.Fatal(err)
		}
		defer m.Close()
		all = append(all, m)
	}
	for seq := uint64(1); ; seq++ {
		all[2].Announce(newAnnouncement("s", world.Ready, seq), time.Now())
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		if len(all[0].Peers(now)) == 2 && len(all[0].Permits(now)) == 1 && len(all[1].Permits(now)) == 1 {
			break // on failure, the test times out
		}
	}
}
