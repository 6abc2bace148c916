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

// cell is a set of nodes on loopback with one clock that the test moves.
type cell struct {
	t     testing.TB
	links *faults.Links
	nodes []*Member
	nets  []*link.Net
	mu    sync.Mutex
	now   time.Time
	seqs  map[string]uint64
	last  map[string]Reply
	// split puts every second node into another cell.
	split bool
	// patience bounds a round; it ends earlier once all pulls are answered.
	patience time.Duration
	// bytes and writes count what passes the dialed connections, in both
	// directions, and the writes of the dialing side.
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

func (c *cell) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newCell(t testing.TB, n int) *cell {
	return startCell(t, n, false)
}

func startCell(t testing.TB, n int, split bool) *cell {
	c := &cell{
		t: t, links: faults.New(), now: time.Unix(1e9, 0), seqs: map[string]uint64{}, last: map[string]Reply{},
		patience: 10 * time.Second, split: split,
	}
	for i := range n {
		c.start(i, "127.0.0.1:0", 1)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
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
	n, err := link.Listen(link.Config{Node: name, DataCenter: dc, Listen: listen, Dial: dial})
	if err != nil {
		c.t.Fatal(err)
	}
	var seeds []string
	for _, o := range c.nets[:min(len(c.nets), 2)] {
		seeds = append(seeds, o.Addr())
	}
	m, err := New(Config{
		Node: name, DataCentre: dc, Cell: c.cellOf(i), Address: n.Addr(), Callers: "callers-" + name, Seeds: seeds,
		Incarnation: incarnation, Lease: lease, Clock: c.clock, Manual: true,
	}, n)
	if err != nil {
		c.t.Fatal(err)
	}
	if i < len(c.nodes) {
		c.nodes[i], c.nets[i] = m, n
		return
	}
	c.nodes, c.nets = append(c.nodes, m), append(c.nets, n)
}

// cellOf returns the cell of a node; all are in one unless a test says otherwise.
func (c *cell) cellOf(i int) string {
	if c.split {
		return []string{"a", "b"}[i%2]
	}
	return "main"
}

func (c *cell) stop(i int) {
	_ = c.nets[i].Close() // first, so that no pull is blocked in a session
	c.nodes[i].Close()
}

// round moves the clock by one second and lets the given nodes, or all, pull.
func (c *cell) round(only ...int) {
	c.pass(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	var wg sync.WaitGroup
	for i, m := range c.nodes {
		if len(only) == 0 || contains(only, i) {
			wg.Go(func() { m.Round(ctx) })
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

// announce sends an announcement of a server to a node, with the next number.
func (c *cell) announce(node int, id string, s world.State) Reply {
	c.seqs[id]++
	r := c.nodes[node].Announce(server(id, s, c.seqs[id]), c.clock())
	c.last[id] = r
	return r
}

func server(id string, s world.State, seq uint64) Announcement {
	return Announcement{Seq: seq, Backend: world.Backend{ID: id, Incarnation: 1, Service: "m", State: s, DataCentre: "d1", Versions: []string{"v1"}}}
}

// home returns the number of the node that an entry of the last reply names.
func (c *cell) home(id string) int {
	var i int
	if _, err := fmt.Sscanf(c.last[id].Homes[0].Node, "e%d", &i); err != nil {
		c.t.Fatal(err)
	}
	return i
}

func (c *cell) permits(node int, id string) bool {
	for _, p := range c.nodes[node].Permits(c.clock()) {
		if p.ID == id {
			return true
		}
	}
	return false
}

func (c *cell) want(node int, id string, want bool, why string) {
	c.t.Helper()
	if got := c.permits(node, id); got != want {
		c.t.Fatalf("node %d: permission for %s is %v, want %v: %s", node, id, got, want, why)
	}
}

// Guards against cells with common seeds that pull from each other or send to
// each other's backend servers.
func TestCellsStayApart(t *testing.T) {
	c := startCell(t, 6, true)
	c.announce(2, "s", world.Ready)
	c.round()
	for i, m := range c.nodes {
		var got []string
		for _, p := range m.Peers(c.clock()) {
			got = append(got, p.Node)
		}
		var want []string
		for k := range c.nodes {
			if k != i && k%2 == i%2 {
				want = append(want, fmt.Sprintf("e%02d", k))
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("node %d sees %v, want %v", i, got, want)
		}
		c.want(i, "s", i%2 == 0, "it announced itself to node 2")
	}
}

// Guards against nodes that a seed knows but others never learn, and against
// permissions that do not reach the whole cell.
func TestCellFindsItselfAndSharesPermissions(t *testing.T) {
	c := newCell(t, 11)
	for i, m := range c.nodes {
		if got := len(m.Peers(c.clock())); got != 10 {
			t.Fatalf("node %d sees %d peers, want 10", i, got)
		}
	}
	c.announce(5, "s", world.Ready)
	if home := c.nodes[c.home("s")]; home.cfg.DataCentre != "d1" {
		t.Fatalf("home is in %s, want the server's data centre", home.cfg.DataCentre)
	}
	c.round()
	for i := range c.nodes {
		c.want(i, "s", true, "it announced itself a second ago")
	}
	c.pass(lease)
	for i := range c.nodes {
		c.want(i, "s", false, "it has been silent for a lease")
	}
}

// Guards against a late "ready" that revives a leaving server, at the node that
// heard it leave and at one that only pulled that.
func TestLateReadyDoesNotRevive(t *testing.T) {
	c := newCell(t, 3)
	c.announce(0, "s", world.Ready)
	c.round()
	old := server("s", world.Ready, 2)
	c.seqs["s"] = 2
	c.announce(0, "s", world.Leaving)
	c.round()
	for i, m := range c.nodes {
		if r := m.Announce(old, c.clock()); !r.Stale {
			t.Fatalf("node %d accepted announcement 2 after 3", i)
		}
		c.want(i, "s", false, "it is leaving")
	}
	// Another server leaves at a node that is not the one with its fresh "ready".
	c.announce(0, "t", world.Ready)
	c.round()
	c.announce(1, "t", world.Leaving)
	c.want(1, "t", false, "it said here that it leaves")
	c.round()
	for i := range c.nodes {
		c.want(i, "t", false, "node 1 told that it leaves")
	}
	// The next incarnation is a new server.
	a := server("s", world.Ready, 1)
	a.Backend.Incarnation = 2
	c.nodes[1].Announce(a, c.clock())
	c.round()
	for i := range c.nodes {
		c.want(i, "s", true, "the new incarnation is ready")
	}
}

// Guards against a permission that outlives the lease because its message was
// late: an answer that sat in a stalled connection, and an announcement that did.
func TestStalledMessagesDoNotExtendPermissions(t *testing.T) {
	c := newCell(t, 2)
	c.announce(0, "s", world.Ready)
	c.links.Set(c.nets[0].Addr(), "e01", faults.Rule{Cut: true})
	done := make(chan struct{})
	m := c.nodes[1]
	tg := m.targets(c.clock())
	go func() {
		defer close(done)
		for _, t := range tg {
			m.pull(context.Background(), t)
		}
	}()
	time.Sleep(50 * time.Millisecond) // lets the answer reach the cut; the outcome does not depend on it
	c.pass(lease)
	c.links.Set(c.nets[0].Addr(), "e01", faults.Rule{})
	<-done
	c.want(1, "s", false, "the answer is as old as the lease")

	r := c.announce(0, "s", world.Ready)
	c.pass(10 * time.Second)
	a := server("s", world.Ready, 3)
	a.Ticket, a.Held = r.Ticket, time.Second
	c.nodes[0].Announce(a, c.clock())
	c.want(0, "s", false, "the announcement was on its way for 9 s")
}

// Guards against an entry instance that keeps its permissions while it is cut
// off, and against the rest of the cell losing theirs with it.
func TestPartitionedNodeLosesPermissions(t *testing.T) {
	c := newCell(t, 5)
	announce := func() {
		for s := range 20 {
			id := fmt.Sprint("s", s)
			if _, ok := c.last[id]; !ok {
				c.announce(0, id, world.Ready)
				continue
			}
			c.announce(c.home(id), id, world.Ready)
		}
	}
	announce()
	c.round()
	announce() // now at the homes
	const lost = 2
	c.patience = 300 * time.Millisecond
	c.links.Set("e02", "*", faults.Rule{Cut: true})
	c.links.Set("*", "e02", faults.Rule{Cut: true})
	c.links.Set("*", c.nets[lost].Addr(), faults.Rule{Cut: true})
	for range 6 {
		for s := range 20 {
			id := fmt.Sprint("s", s)
			if c.home(id) == lost { // no server reaches it either
				c.last[id] = Reply{Homes: c.last[id].Homes[1:]}
			}
		}
		announce()
		c.round()
	}
	if got := c.nodes[lost].Permits(c.clock()); len(got) != 0 {
		t.Fatalf("the cut-off node still has %d permissions", len(got))
	}
	for i := range c.nodes {
		if got := len(c.nodes[i].Permits(c.clock())); i != lost && got != 20 {
			t.Fatalf("node %d has %d permissions, want 20", i, got)
		}
	}
	if !c.nodes[lost].isolatedAt(c.clock()) || c.nodes[0].isolatedAt(c.clock()) {
		t.Fatal("want only the cut-off node to know that it is isolated")
	}
}

func (m *Member) isolatedAt(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated(now)
}

// Guards against a false alarm: one cut link in one direction must not make a
// node look failed that others still reach, and a dead one must look failed.
func TestOneCutLinkIsNoFailure(t *testing.T) {
	c := newCell(t, 4)
	c.patience = 300 * time.Millisecond
	c.links.Set("e00", c.nets[3].Addr(), faults.Rule{Cut: true})
	for range 8 {
		c.round()
	}
	if got := len(c.nodes[0].Peers(c.clock())); got != 3 {
		t.Fatalf("sees %d peers, want 3: others reach the node behind the cut link", got)
	}
	c.links.Set("e00", c.nets[3].Addr(), faults.Rule{})
	c.stop(3)
	for range 8 {
		c.round(0, 1, 2)
	}
	if got := len(c.nodes[0].Peers(c.clock())); got != 2 {
		t.Fatalf("sees %d peers, want 2: one has ended", got)
	}
	addr := c.nets[3].Addr()
	time.Sleep(200 * time.Millisecond) // link does not dial again for 100 ms
	c.start(3, addr, 2)
	for range 3 {
		c.round()
	}
	c.announce(3, "s", world.Ready)
	c.round()
	for i := range c.nodes {
		if got := len(c.nodes[i].Peers(c.clock())); got != 3 {
			t.Fatalf("node %d sees %d peers after the restart, want 3", i, got)
		}
		c.want(i, "s", true, "the restarted node serves a new table")
	}
}

// Guards against directories that name a draining or refusing node and against
// a graceful stop that loses a permission or leaves a server without a home.
func TestLeave(t *testing.T) {
	c := newCell(t, 4)
	c.announce(0, "s", world.Ready)
	home := c.home("s")
	c.announce(home, "s", world.Ready)
	c.round()
	if err := c.nodes[home].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	for i, m := range c.nodes {
		d := m.Directory(c.clock(), Caller{Key: "x"})
		for _, a := range d.Addresses {
			if a == c.nodes[home].cfg.Callers {
				t.Fatalf("the directory of node %d names the draining node", i)
			}
		}
		c.want(i, "s", true, "its home drains but it does not")
	}
	if r := c.announce(home, "s", world.Ready); r.Homes[0].Node == c.nodes[home].cfg.Node {
		t.Fatal("the draining node stays the home")
	}
	other := c.home("s")
	c.nodes[other].SetServing(false)
	c.round()
	for _, a := range c.nodes[(other+1)%4].Directory(c.clock(), Caller{Key: "x"}).Addresses {
		if a == c.nodes[other].cfg.Callers {
			t.Fatal("the directory names a node that refuses requests")
		}
	}
}

// Guards against all callers being sent to the same node first.
func TestDirectorySpreadsCallers(t *testing.T) {
	c := newCell(t, 8)
	first := map[string]int{}
	for i := range 400 {
		d := c.nodes[0].Directory(c.clock(), Caller{Key: fmt.Sprint(i), DataCentre: "d1"})
		if len(d.Addresses) != 8 || d.Keep < keepDirectory {
			t.Fatalf("got %v", d)
		}
		first[d.Addresses[0]]++
	}
	if len(first) != 2 || first["callers-e01"] < 120 || first["callers-e05"] < 120 {
		t.Fatalf("first choices %v, want the two nodes of d1 about equally", first)
	}
}

// Guards against lost cache events without a gap, and against a backlog that
// exceeds its budget.
func TestCacheEventsReachTheCell(t *testing.T) {
	c := newCell(t, 2)
	a := server("s", world.Ready, 1)
	a.Cache = []world.CacheEvents{{From: 1, Added: []uint64{7, 8}}}
	c.nodes[0].Announce(a, c.clock())
	c.round()
	got := c.nodes[1].CacheEvents()
	if len(got) != 1 || got[0].Backend != "s" || len(got[0].Events.Added) != 2 {
		t.Fatalf("got %v", got)
	}
	from := uint64(3)
	for seq := uint64(2); seq < 70; seq++ {
		a := server("s", world.Ready, seq)
		a.Cache = []world.CacheEvents{{From: from, Added: make([]uint64, 1000)}}
		from += 1000
		c.nodes[0].Announce(a, c.clock())
	}
	c.round()
	gap := false
	for _, u := range c.nodes[1].CacheEvents() {
		gap = gap || u.Gap
	}
	if !gap {
		t.Fatal("events were dropped without a gap")
	}
}

// Guards, over random histories, against a permission for a leaving server later
// than one lease after it first said so, whatever nodes stop, restart, drain or
// lose links meanwhile.
func TestLeavingServersLosePermissionsInTime(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	c := newCell(t, 5)
	c.patience = 200 * time.Millisecond
	left := map[string]time.Time{}
	incarnation := uint64(1)
	ready := 0
	for step := range 32 {
		i := rnd.IntN(5)
		switch rnd.IntN(10) {
		case 0:
			c.links.Set(c.nodes[i].cfg.Node, "*", faults.Rule{Cut: true})
		case 1:
			c.links.Set("*", c.nodes[i].cfg.Node, faults.Rule{Cut: true})
		case 2, 3:
			for j := range 5 {
				c.links.Set(c.nodes[j].cfg.Node, "*", faults.Rule{})
				c.links.Set("*", c.nodes[j].cfg.Node, faults.Rule{})
			}
		case 4:
			incarnation++
			c.stop(i)
			c.start(i, c.nets[i].Addr(), incarnation)
		}
		for s := range 8 {
			id := fmt.Sprintf("s%d-%d", s, step/8)
			state := world.Ready
			if step%8 == 7 || !left[id].IsZero() {
				state = world.Leaving
			}
			if state == world.Leaving && left[id].IsZero() {
				left[id] = c.clock()
			}
			c.announce(rnd.IntN(5), id, state)
		}
		c.round()
		for i, m := range c.nodes {
			for _, p := range m.Permits(c.clock()) {
				ready++
				if at := left[p.ID]; !at.IsZero() && c.clock().Sub(at) >= lease {
					t.Fatalf("step %d: node %d may send to %s %v after it left", step, i, p.ID, c.clock().Sub(at))
				}
			}
		}
	}
	if ready == 0 {
		t.Fatal("the history granted no permission")
	}
}

// Guards against loops that do not pull by themselves or do not end: three nodes
// that know one seed must share a server and then all stop.
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
		m, err := New(Config{Node: name, Cell: "main", Address: n.Addr(), Seeds: []string{seed}, Incarnation: 1, Lease: lease, Pull: 20 * time.Millisecond}, n)
		if err != nil {
			t.Fatal(err)
		}
		defer m.Close()
		all = append(all, m)
	}
	for seq := uint64(1); ; seq++ {
		all[2].Announce(server("s", world.Ready, seq), time.Now())
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		if len(all[0].Peers(now)) == 2 && len(all[0].Permits(now)) == 1 && len(all[1].Permits(now)) == 1 {
			break // otherwise the test's time limit reports the failure
		}
	}
}
