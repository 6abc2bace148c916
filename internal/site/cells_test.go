package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// twoCells starts cells a and b with three nodes each; the control nodes are in cell
// a. All nodes have seed addresses in both cells.
func twoCells(t testing.TB) (*Site, uint64) {
	t.Helper()
	seed := rand.Uint64() >> 32
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	n := 0
	s, err := Start(ctx, Config{
		Seed: seed, DataCentres: dataCentres, EntriesPerDataCentre: 2, ControlNodes: 3, Declaration: testDeclaration(t), DrainSeconds: 5,
		Settings: func(set *conf.Settings) {
			set.Cell = []string{"a", "b"}[n/3]
			n++
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, seed
}

// cellAddrs returns the addresses for callers of cell a (0) or b (1).
func cellAddrs(s *Site, cell int) []string {
	var out []string
	for i := range 3 {
		out = append(out, s.Settings(3*cell+i).Listen.Callers)
	}
	return out
}

func addCellEngine(t testing.TB, s *Site, cell, i, slots int, seed uint64, speed float64) *stand.Engine {
	t.Helper()
	e, err := s.AddEngine(stand.EngineConfig{
		Spec: stand.Spec{
			ID: fmt.Sprintf("engine-%d-%d", cell, i), Service: "drafts", Versions: []string{"v1"}, DataCentre: dataCentres[i%3],
			Zone: dataCentres[i%3] + "-a", MachineClass: "m", Reclaimable: true, Price: 1, Slots: slots,
			AnnounceEvery: 100 * time.Millisecond, Seed: seed + uint64(10*cell+i), Entries: cellAddrs(s, cell),
		},
		CacheBlocks: 1000, Speed: speed, Sampling: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func addCellDesk(t testing.TB, s *Site, cell int, book *stand.Book) *stand.Desk {
	t.Helper()
	d, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
		ID: fmt.Sprintf("desk-%d", cell), Service: "orders", Versions: []string{"v1"}, DataCentre: "dc1", Zone: "dc1-a",
		MachineClass: "m", Slots: 64, AnnounceEvery: 100 * time.Millisecond, Entries: cellAddrs(s, cell),
	}, Path: "/orders", Book: book, Work: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// waitCellBackends waits until each running node of a cell may send requests to n
// servers.
func waitCellBackends(t testing.TB, s *Site, cell, n int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ready := true
		for i := range 3 {
			if node := s.Node(3*cell + i); node != nil && node.BackendCount() != n {
				ready = false
			}
		}
		if ready {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("cell %d does not have %d backend servers", cell, n)
		}
	}
}

// waitDigests waits until each running node has a digest of the other cell.
func waitDigests(t testing.TB, s *Site) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		missing := false
		for _, n := range s.Nodes() {
			missing = missing || n.Entry().Counts().CurrentCells != 1
		}
		if !missing {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("a node has no digest of the other cell")
		}
	}
}

// waitForwarding sends requests to a node whose cell has no server until the node has
// the digest of the other cell and forwards them.
func waitForwarding(t *testing.T, addr string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, h, text := post(t, addr, "/v1/completions", `{"model": "drafts", "prompt": "first", "max_tokens": 2}`)
		if status == http.StatusOK {
			return
		}
		if h.Get("X-Outcome") != "not-run" || time.Now().After(deadline) {
			t.Fatalf("status %d: %s", status, text)
		}
	}
}

func forwardedCount(s *Site, i int) int64 { return s.Node(i).Entry().Counts().Forwarded }

// Guards against requests that fail while their cell has lost its servers, answers
// that cannot be resumed at that cell, also after the loss of the instances that
// forwarded or computed them, and cells that use each other's servers.
func TestCellWithoutServersForwards(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	lostEngine := addCellEngine(t, s, 0, 0, 32, seed, 4)
	for i := range 3 {
		addCellEngine(t, s, 1, i, 32, seed, 4)
	}
	waitCellBackends(t, s, 0, 1)
	waitCellBackends(t, s, 1, 3)
	waitDigests(t, s)
	stop := make(chan struct{})
	var background sync.WaitGroup
	var mu sync.Mutex
	refused, answered := 0, 0
	for w := range 6 { // unstreamed requests before, during and after the loss of the servers
		background.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "load %d-%d", "max_tokens": 8}`, w, k)
				status, h, text := tryPost(cellAddrs(s, 0)[w%3], "/v1/completions", body)
				mu.Lock()
				switch {
				case status == http.StatusOK:
					answered++
				case h.Get("X-Outcome") == "not-run":
					refused++
				default:
					t.Errorf("status %d: %s", status, text)
				}
				mu.Unlock()
			}
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var callers []*streamCaller
	var streams sync.WaitGroup
	startStreams := func(n int) {
		for range n {
			i := len(callers)
			c := &streamCaller{
				id: fmt.Sprintf("%d-%d", seed, i), key: "acme-key", prompt: "stream " + strconv.Itoa(i), seed: uint64(i), tokens: 200,
				addrs: append(cellAddrs(s, 0)[i%3:], cellAddrs(s, 0)...),
			}
			callers = append(callers, c)
			streams.Go(func() { c.run(ctx) })
		}
		for _, c := range callers {
			for c.tokensReceived() < 5 && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	startStreams(6) // accepted before the loss of the servers
	lostEngine.Reclaim(time.Now().Add(100 * time.Millisecond))
	waitCellBackends(t, s, 0, 0)
	waitForwarding(t, cellAddrs(s, 0)[2])
	startStreams(6)
	close(stop)
	background.Wait()
	// A node that has forwarded or handed over a third of the streams, and a node that
	// computes some, crash or stop at short notice.
	notice := time.Duration(seed%2) * 500 * time.Millisecond
	stopNode(t, s, 1, notice)
	stopNode(t, s, 3+rand.IntN(3), notice)
	streams.Wait()
	for _, c := range callers {
		c.check(t)
		checkComputedOnce(t, s, "acme", c.id)
	}
	lentEvents := s.Timeline(event.Filter{Kind: "answer.lent"})
	if n := forwardedCount(s, 0) + forwardedCount(s, 2); n == 0 || answered == 0 || len(lentEvents) == 0 {
		t.Errorf("%d requests forwarded, %d answered, %d accepted requests continued in the other cell", n, answered, len(lentEvents))
	}
	t.Logf("%d answered, %d refused, %d forwarded by two nodes, %d lent", answered, refused, forwardedCount(s, 0)+forwardedCount(s, 2), len(lentEvents))
	for _, ev := range s.Timeline(event.Filter{Kind: "request.forwarded"}) {
		if ev.Detail["cell"] != "b" {
			t.Errorf("forwarded to %v", ev)
		}
	}
	// The events that a control node collects cover both cells.
	var nodes []string
	all, err := s.Node(0).Events(context.Background(), event.Filter{Kind: "node.started"})
	for _, ev := range all {
		nodes = append(nodes, ev.Node)
	}
	if err != nil || len(nodes) != 4 {
		t.Errorf("the events cover nodes %v, want the 4 running nodes: %v", nodes, err)
	}
}

// Guards against requests that two full cells forward to each other in a loop, and
// refusals with an outcome other than "not run".
func TestFullCellsDoNotLoop(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	addCellEngine(t, s, 0, 0, 2, seed, 1)
	addCellEngine(t, s, 1, 0, 2, seed, 1)
	waitCellBackends(t, s, 0, 1)
	waitCellBackends(t, s, 1, 1)
	var mu sync.Mutex
	refused, accepted := 0, map[string]int{}
	sendBatch := func(name string, n, nodes int) { // to the first nodes only
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				id := fmt.Sprintf("%s-%d", name, i)
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "%s", "max_tokens": 30}`, id)
				status, h, text := tryPost(s.Settings(i%nodes).Listen.Callers, "/v1/completions", body, "X-Request-Id", id)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case status == http.StatusOK:
					accepted["acme/"+id]++
				case h.Get("X-Outcome") == "not-run" && h.Get("Retry-After") != "":
					refused++
				default:
					t.Errorf("status %d: %s", status, text)
				}
			})
		}
		wg.Wait()
	}
	forwards := map[string]int{}
	// A batch for cell a overflows into cell b; a batch for all nodes fills both cells.
	for k, deadline := 0, time.Now().Add(25*time.Second); len(forwards) == 0 && time.Now().Before(deadline); k++ {
		var wg sync.WaitGroup
		wg.Go(func() { sendBatch(fmt.Sprint("first", k), 12, 3) })
		wg.Go(func() {
			time.Sleep(100 * time.Millisecond)
			sendBatch(fmt.Sprint("second", k), 36, 6)
		})
		wg.Wait()
		for _, ev := range s.Timeline(event.Filter{Kind: "request.forwarded"}) {
			forwards[ev.Request]++
		}
	}
	if refused == 0 || len(forwards) == 0 {
		t.Errorf("%d refused, %d forwarded: the cells were not full", refused, len(forwards))
	}
	for id, n := range forwards {
		if n > 1 {
			t.Errorf("%s was forwarded %d times", id, n)
		}
	}
	acceptances := map[string]int{}
	for _, ev := range s.Timeline(event.Filter{Kind: "request.accepted"}) {
		if acceptances[ev.Request]++; acceptances[ev.Request] > 1 || accepted[ev.Request] == 0 {
			t.Errorf("%s was accepted %d times and answered %d times", ev.Request, acceptances[ev.Request], accepted[ev.Request])
		}
	}
	t.Logf("%d answered, %d refused, %d forwarded", len(accepted), refused, len(forwards))
	checkNotForwardedAgain(t, s)
	// A caller that loses its entire cell needs an address in the other cell.
	waitDigests(t, s)
	addrs := fetchAddresses(s, cellAddrs(s, 1)[:1])
	if len(addrs) != 4 || slices.Contains(cellAddrs(s, 1), addrs[3]) {
		t.Errorf("directory %v, want all of cell %v and one node of the other cell", addrs, cellAddrs(s, 1))
	}
}

// checkNotForwardedAgain checks that a request forwarded by another cell is not
// forwarded again, although only the other cell has a server.
func checkNotForwardedAgain(t *testing.T, s *Site) {
	t.Helper()
	book := stand.NewBook()
	addCellDesk(t, s, 0, book)
	addr := cellAddrs(s, 1)[0]
	first := &testOrder{key: "without mark", book: book}
	for deadline := time.Now().Add(20 * time.Second); first.firstAnswers == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("an order without the forwarding header is not forwarded: %s", first.lastResult)
		}
		first.key = fmt.Sprint("plain-", rand.Uint32())
		first.send(t, addr, true)
	}
	for i := range 5 {
		key := "mark-" + strconv.Itoa(i)
		status, h, text := post(t, addr, "/orders", "{}", "X-Forwarded-Cell", "a", "Idempotency-Key", key)
		if h.Get("X-Outcome") != "not-run" || book.Executions(key) != 0 {
			t.Errorf("status %d, %d executions: %s", status, book.Executions(key), text)
		}
	}
}

// Guards against a forwarded order that is executed twice or gets a different key in
// the claim groups under faults, and an order that one cell considers lost while the
// other cell is running it.
func TestForwardedOrdersRunOnce(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	rng := rand.New(rand.NewPCG(seed, 5))
	book := stand.NewBook()
	desk := addCellDesk(t, s, 1, book)
	waitCellBackends(t, s, 0, 0)
	waitCellBackends(t, s, 1, 1)
	newOrder := func(name string) *testOrder {
		return &testOrder{key: name + "-" + strconv.FormatUint(rng.Uint64(), 36), book: book}
	}
	first := newOrder("first")
	for deadline := time.Now().Add(20 * time.Second); first.firstAnswers == 0 && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		first.send(t, cellAddrs(s, 0)[0], true)
	}
	for _, f := range []struct {
		name   string
		faults stand.DeskFaults
	}{
		{"none", stand.DeskFaults{}},
		{"dropAfter", stand.DeskFaults{DropAfter: 1}},
		{"cutAnswer", stand.DeskFaults{CutAnswer: 1}},
	} {
		desk.SetFaults(f.faults)
		o := newOrder(f.name)
		var wg sync.WaitGroup
		for i := range 4 { // in both cells concurrently
			wg.Go(func() { o.send(t, cellAddrs(s, i%2)[i/2], false) })
		}
		wg.Wait()
		desk.SetFaults(stand.DeskFaults{})
		for i := range 6 {
			o.send(t, s.Settings(i).Listen.Callers, true)
		}
		o.check(t)
		if f.name == "none" && (o.firstAnswers != 1 || o.replayed < 6) {
			t.Errorf("%d answers, %d replayed; last %s", o.firstAnswers, o.replayed, o.lastResult)
		}
	}
	// The instance that runs the order in the other cell crashes.
	for i := range 3 {
		o := newOrder("crash")
		var wg sync.WaitGroup
		wg.Go(func() { o.send(t, cellAddrs(s, 0)[i], false) })
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		stopNode(t, s, 3+i, 0)
		wg.Wait()
		for k := range 3 {
			o.send(t, cellAddrs(s, 0)[k], true)
		}
		restartAll(t, s)
		waitCellBackends(t, s, 1, 1)
		o.send(t, cellAddrs(s, 0)[i], true)
		o.check(t)
	}
	// Cell a can run orders too and must not treat cell b's claim as abandoned.
	addCellDesk(t, s, 0, book)
	waitCellBackends(t, s, 0, 1)
	for i := range 5 {
		o := newOrder("both")
		var wg sync.WaitGroup
		wg.Go(func() { o.send(t, cellAddrs(s, 1)[i%3], false) })
		time.Sleep(50 * time.Millisecond)
		repeated := &testOrder{key: o.key, book: book}
		repeated.send(t, cellAddrs(s, 0)[i%3], false)
		wg.Wait()
		if strings.Contains(repeated.lastResult, "outcomeUnknown") {
			t.Errorf("an order that is running in the other cell: %s", repeated.lastResult)
		}
		o.send(t, cellAddrs(s, 0)[i%3], true)
		if o.firstAnswers+repeated.firstAnswers != 1 || o.replayed != 1 || book.Executions(o.key) != 1 {
			t.Errorf("%d executions; %s", book.Executions(o.key), o.lastResult)
		}
	}
	if first.firstAnswers != 1 {
		t.Errorf("the first order: %s", first.lastResult)
	}
	first.check(t)
}

// BenchmarkForward measures a model request of 20 tokens sent to the cell with the
// servers and to the other cell. The CPU time is the total of the caller, both cells,
// the engine and the control nodes; the difference is the cost of forwarding. A
// refused request fails the benchmark.
func BenchmarkForward(b *testing.B) {
	s, seed := twoCells(b)
	addCellEngine(b, s, 1, 0, 64, seed, 100)
	waitCellBackends(b, s, 1, 1)
	waitDigests(b, s)
	for cell, name := range []string{"forwarded", "direct"} {
		b.Run(name, func(b *testing.B) {
			addr, n := cellAddrs(s, cell)[0], 0
			send := func() bool {
				n++
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "%s %d", "max_tokens": 20}`, b.Name(), n)
				status, _, _ := post(b, addr, "/v1/completions", body)
				return status == http.StatusOK
			}
			for deadline := time.Now().Add(20 * time.Second); !send() && time.Now().Before(deadline); {
				time.Sleep(50 * time.Millisecond) // until the digest contains the engine
			}
			failed, before := 0, cpuTime()
			for b.Loop() {
				if !send() {
					failed++
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpuMicros/op")
			if failed > 0 {
				b.Errorf("%d of %d requests failed", failed, b.N)
			}
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
