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

// twoCells starts cells a and b of three nodes each, a with the control nodes.
// All nodes have seeds in both cells.
func twoCells(t testing.TB) (*Site, uint64) {
	t.Helper()
	seed := rand.Uint64() >> 32
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	n := 0
	s, err := Start(ctx, Config{
		Seed: seed, DataCentres: dataCentres, EntriesPer: 2, Controls: 3, Declaration: small(t), DrainSeconds: 5,
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

// inCell returns the callers' addresses of cell a (0) or b (1).
func inCell(s *Site, cell int) []string {
	var out []string
	for i := range 3 {
		out = append(out, s.Settings(3*cell+i).Listen.Callers)
	}
	return out
}

func engineIn(t testing.TB, s *Site, cell, i, slots int, seed uint64, speed float64) *stand.Engine {
	t.Helper()
	e, err := s.AddEngine(stand.EngineConfig{
		Spec: stand.Spec{
			ID: fmt.Sprintf("engine-%d-%d", cell, i), Service: "drafts", Versions: []string{"v1"}, DataCentre: dataCentres[i%3],
			Zone: dataCentres[i%3] + "-a", MachineClass: "m", Reclaimable: true, Price: 1, Slots: slots,
			AnnounceEvery: 100 * time.Millisecond, Seed: seed + uint64(10*cell+i), Entries: inCell(s, cell),
		},
		CacheBlocks: 1000, Speed: speed, Sampling: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func deskIn(t testing.TB, s *Site, cell int, book *stand.Book) *stand.Desk {
	t.Helper()
	d, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
		ID: fmt.Sprintf("desk-%d", cell), Service: "orders", Versions: []string{"v1"}, DataCentre: "dc1", Zone: "dc1-a",
		MachineClass: "m", Slots: 64, AnnounceEvery: 100 * time.Millisecond, Entries: inCell(s, cell),
	}, Path: "/orders", Book: book, Work: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// waitCell waits until each running node of a cell may send to n servers.
func waitCell(t testing.TB, s *Site, cell, n int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ready := true
		for i := range 3 {
			if node := s.Node(3*cell + i); node != nil && node.Backends() != n {
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
			missing = missing || n.Entry().Counts().Cells != 1
		}
		if !missing {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("a node has no digest of the other cell")
		}
	}
}

// untilForwarded sends requests to a node whose cell has no server until the
// digest of the other cell has arrived there.
func untilForwarded(t *testing.T, addr string) {
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

func forwardedBy(s *Site, i int) int64 { return s.Node(i).Entry().Counts().Forwarded }

// Guards against requests that fail while the cell that they come to has lost
// its servers, against answers that cannot be continued at that cell, also after
// the instances that forwarded or computed them are lost, and against cells that
// take each other's servers.
func TestCellWithoutServersForwards(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	lost := engineIn(t, s, 0, 0, 32, seed, 4)
	for i := range 3 {
		engineIn(t, s, 1, i, 32, seed, 4)
	}
	waitCell(t, s, 0, 1)
	waitCell(t, s, 1, 3)
	waitDigests(t, s)
	stop := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	refused, answered := 0, 0
	for w := range 6 { // unstreamed requests, before, while and after the servers are lost
		load.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "load %d-%d", "max_tokens": 8}`, w, k)
				status, h, text := tryPost(inCell(s, 0)[w%3], "/v1/completions", body)
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
	var callers []*caller
	var streams sync.WaitGroup
	begin := func(n int) {
		for range n {
			i := len(callers)
			c := &caller{
				id: fmt.Sprintf("%d-%d", seed, i), key: "acme-key", prompt: "stream " + strconv.Itoa(i), seed: uint64(i), tokens: 200,
				addrs: append(inCell(s, 0)[i%3:], inCell(s, 0)...),
			}
			callers = append(callers, c)
			streams.Go(func() { c.run(ctx) })
		}
		for _, c := range callers {
			for c.position() < 5 && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	begin(6) // accepted before the servers are lost
	lost.Reclaim(time.Now().Add(100 * time.Millisecond))
	waitCell(t, s, 0, 0)
	untilForwarded(t, inCell(s, 0)[2])
	begin(6)
	close(stop)
	load.Wait()
	// The node that has forwarded or lent a third of the streams, and one that
	// computes some, crash or stop within a short notice.
	notice := time.Duration(seed%2) * 500 * time.Millisecond
	stopNode(t, s, 1, notice)
	stopNode(t, s, 3+rand.IntN(3), notice)
	streams.Wait()
	for _, c := range callers {
		c.check(t)
		computedOnce(t, s, "acme", c.id)
	}
	lent := s.Timeline(event.Filter{Kind: "answer.lent"})
	if n := forwardedBy(s, 0) + forwardedBy(s, 2); n == 0 || answered == 0 || len(lent) == 0 {
		t.Errorf("%d requests forwarded, %d answered, %d accepted ones went on in the other cell", n, answered, len(lent))
	}
	t.Logf("%d answered, %d refused, %d forwarded by two nodes, %d lent", answered, refused, forwardedBy(s, 0)+forwardedBy(s, 2), len(lent))
	for _, ev := range s.Timeline(event.Filter{Kind: "request.forwarded"}) {
		if ev.Detail["cell"] != "b" {
			t.Errorf("forwarded to %v", ev)
		}
	}
	// The time line that a control node collects covers both cells.
	var nodes []string
	all, err := s.Node(0).Events(context.Background(), event.Filter{Kind: "node.started"})
	for _, ev := range all {
		nodes = append(nodes, ev.Node)
	}
	if err != nil || len(nodes) != 4 {
		t.Errorf("the time line covers %v, want the 4 nodes that run: %v", nodes, err)
	}
}

// Guards against requests that two full cells pass to each other, and against a
// refusal that is not "not run".
func TestFullCellsDoNotLoop(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	engineIn(t, s, 0, 0, 2, seed, 1)
	engineIn(t, s, 1, 0, 2, seed, 1)
	waitCell(t, s, 0, 1)
	waitCell(t, s, 1, 1)
	var mu sync.Mutex
	refused, accepted := 0, map[string]int{}
	wave := func(name string, n, nodes int) { // to the first nodes
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
	hops := map[string]int{}
	// A wave to the nodes of cell a overflows into b; one to all fills both.
	for k, deadline := 0, time.Now().Add(25*time.Second); len(hops) == 0 && time.Now().Before(deadline); k++ {
		var wg sync.WaitGroup
		wg.Go(func() { wave(fmt.Sprint("first", k), 12, 3) })
		wg.Go(func() {
			time.Sleep(100 * time.Millisecond)
			wave(fmt.Sprint("second", k), 36, 6)
		})
		wg.Wait()
		for _, ev := range s.Timeline(event.Filter{Kind: "request.forwarded"}) {
			hops[ev.Request]++
		}
	}
	if refused == 0 || len(hops) == 0 {
		t.Errorf("%d refused, %d forwarded: the cells were not full", refused, len(hops))
	}
	for id, n := range hops {
		if n > 1 {
			t.Errorf("%s was forwarded %d times", id, n)
		}
	}
	ran := map[string]int{}
	for _, ev := range s.Timeline(event.Filter{Kind: "request.accepted"}) {
		if ran[ev.Request]++; ran[ev.Request] > 1 || accepted[ev.Request] == 0 {
			t.Errorf("%s was accepted %d times and answered %d times", ev.Request, ran[ev.Request], accepted[ev.Request])
		}
	}
	t.Logf("%d answered, %d refused, %d forwarded", len(accepted), refused, len(hops))
	staysWithMark(t, s)
	// A caller whose whole cell is lost needs an address of the other one.
	waitDigests(t, s)
	addrs := directory(s, inCell(s, 1)[:1])
	if len(addrs) != 4 || slices.Contains(inCell(s, 1), addrs[3]) {
		t.Errorf("directory %v, want the own cell %v and one of the other", addrs, inCell(s, 1))
	}
}

// staysWithMark checks that a request that another cell has forwarded is not
// forwarded again, although this cell has no server and the other one has.
func staysWithMark(t *testing.T, s *Site) {
	t.Helper()
	book := stand.NewBook()
	deskIn(t, s, 0, book)
	addr := inCell(s, 1)[0]
	ran := &order{key: "without mark", book: book}
	for deadline := time.Now().Add(20 * time.Second); ran.answered == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("an order without mark is not forwarded: %s", ran.last)
		}
		ran.key = fmt.Sprint("plain-", rand.Uint32())
		ran.send(t, addr, true)
	}
	for i := range 5 {
		key := "mark-" + strconv.Itoa(i)
		status, h, text := post(t, addr, "/orders", "{}", "X-Forwarded-Cell", "a", "Idempotency-Key", key)
		if h.Get("X-Outcome") != "not-run" || book.Executions(key) != 0 {
			t.Errorf("status %d, %d executions: %s", status, book.Executions(key), text)
		}
	}
}

// Guards against a forwarded order that runs twice or gets another key at the
// claim groups, whatever fails around it, and against an order that one cell
// takes for lost while the other runs it.
func TestForwardedOrdersRunOnce(t *testing.T) {
	t.Parallel()
	s, seed := twoCells(t)
	rng := rand.New(rand.NewPCG(seed, 5))
	book := stand.NewBook()
	desk := deskIn(t, s, 1, book)
	waitCell(t, s, 0, 0)
	waitCell(t, s, 1, 1)
	fresh := func(name string) *order {
		return &order{key: name + "-" + strconv.FormatUint(rng.Uint64(), 36), book: book}
	}
	first := fresh("first")
	for deadline := time.Now().Add(20 * time.Second); first.answered == 0 && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		first.send(t, inCell(s, 0)[0], true)
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
		o := fresh(f.name)
		var wg sync.WaitGroup
		for i := range 4 { // in both cells at once
			wg.Go(func() { o.send(t, inCell(s, i%2)[i/2], false) })
		}
		wg.Wait()
		desk.SetFaults(stand.DeskFaults{})
		for i := range 6 {
			o.send(t, s.Settings(i).Listen.Callers, true)
		}
		o.check(t)
		if f.name == "none" && (o.answered != 1 || o.replayed < 6) {
			t.Errorf("%d answers, %d replayed; last %s", o.answered, o.replayed, o.last)
		}
	}
	// The instance of the other cell that runs the order is lost.
	for i := range 3 {
		o := fresh("crash")
		var wg sync.WaitGroup
		wg.Go(func() { o.send(t, inCell(s, 0)[i], false) })
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		stopNode(t, s, 3+i, 0)
		wg.Wait()
		for k := range 3 {
			o.send(t, inCell(s, 0)[k], true)
		}
		restore(t, s)
		waitCell(t, s, 1, 1)
		o.send(t, inCell(s, 0)[i], true)
		o.check(t)
	}
	// Cell a can run orders too, and must not take the claim of b for abandoned.
	deskIn(t, s, 0, book)
	waitCell(t, s, 0, 1)
	for i := range 5 {
		o := fresh("both")
		var wg sync.WaitGroup
		wg.Go(func() { o.send(t, inCell(s, 1)[i%3], false) })
		time.Sleep(50 * time.Millisecond)
		again := &order{key: o.key, book: book}
		again.send(t, inCell(s, 0)[i%3], false)
		wg.Wait()
		if strings.Contains(again.last, "outcomeUnknown") {
			t.Errorf("an order that runs in the other cell: %s", again.last)
		}
		o.send(t, inCell(s, 0)[i%3], true)
		if o.answered+again.answered != 1 || o.replayed != 1 || book.Executions(o.key) != 1 {
			t.Errorf("%d executions; %s", book.Executions(o.key), o.last)
		}
	}
	if first.answered != 1 {
		t.Errorf("the first order: %s", first.last)
	}
	first.check(t)
}

// BenchmarkForward measures a model request of 20 tokens, sent to the cell that
// has the servers and to the other one. The processor time is that of the
// caller, both cells, the engine and the control nodes together; the difference
// is the cost of forwarding. A request that is refused fails it.
func BenchmarkForward(b *testing.B) {
	s, seed := twoCells(b)
	engineIn(b, s, 1, 0, 64, seed, 100)
	waitCell(b, s, 1, 1)
	waitDigests(b, s)
	for cell, name := range []string{"forwarded", "direct"} {
		b.Run(name, func(b *testing.B) {
			addr, n := inCell(s, cell)[0], 0
			one := func() bool {
				n++
				body := fmt.Sprintf(`{"model": "drafts", "prompt": "%s %d", "max_tokens": 20}`, b.Name(), n)
				status, _, _ := post(b, addr, "/v1/completions", body)
				return status == http.StatusOK
			}
			for deadline := time.Now().Add(20 * time.Second); !one() && time.Now().Before(deadline); {
				time.Sleep(50 * time.Millisecond) // until the digest has the engine
			}
			failed, before := 0, processorTime()
			for b.Loop() {
				if !one() {
					failed++
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpuMicros/op")
			if failed > 0 {
				b.Errorf("%d of %d requests failed", failed, b.N)
			}
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
