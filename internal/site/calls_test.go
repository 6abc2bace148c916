package site

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// testOrder is an order and the outcomes reported to its callers.
type testOrder struct {
	key  string
	book *stand.Book

	mu           sync.Mutex
	firstAnswers int // answers that were not replayed
	replayed     int
	unknown      int
	notRun       int
	lastResult   string
}

// send sends the order to an instance and checks the reported outcome against the
// book. exclusive means that the order is not being sent concurrently.
func (o *testOrder) send(t *testing.T, addr string, exclusive bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", strings.NewReader(`{"pour": "`+o.key+`"}`))
	req.Header.Set("Authorization", "Bearer acme-key")
	req.Header.Set("Idempotency-Key", o.key)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil { // the instance is gone
		o.unknown++
		o.lastResult = err.Error()
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.lastResult = fmt.Sprintf("status %d, outcome %q: %s", resp.StatusCode, resp.Header.Get("X-Outcome"), body)
	switch outcome := resp.Header.Get("X-Outcome"); {
	case err != nil || outcome == "unknown":
		o.unknown++
	case outcome == "not-run":
		o.notRun++
		if n := o.book.Executions(o.key); exclusive && n > 0 && o.firstAnswers+o.unknown+o.replayed == 0 {
			t.Errorf("%s: not run, but executed %d times: %s", o.key, n, o.lastResult)
		}
	case outcome == "answer" && resp.StatusCode == http.StatusCreated && resp.Header.Get("X-Replayed") == "true":
		o.replayed++
	case outcome == "answer" && resp.StatusCode == http.StatusCreated:
		o.firstAnswers++
	default:
		t.Errorf("%s: %s", o.key, o.lastResult)
	}
}

// check compares all reported outcomes with the executions in the book.
func (o *testOrder) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.book.Executions(o.key)
	switch {
	case n > 1, o.firstAnswers > 1:
	case n == 0 && o.firstAnswers+o.replayed > 0:
	case n == 1 && o.firstAnswers+o.replayed+o.unknown == 0:
	default:
		return
	}
	t.Errorf("%s: executed %d times; %d answers, %d replayed, %d unknown, %d not run; last %s",
		o.key, n, o.firstAnswers, o.replayed, o.unknown, o.notRun, o.lastResult)
}

// startWithDesks starts a site with two desks that share a book.
func startWithDesks(t *testing.T, seed uint64) (*Site, []*stand.Desk) {
	t.Helper()
	s := startSixNodes(t, seed, 0, stand.EngineConfig{})
	book := stand.NewBook()
	var desks []*stand.Desk
	for i := range 2 {
		d, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
			ID: "desk-" + strconv.Itoa(i), Service: "orders", Versions: []string{"v1"}, DataCentre: dataCentres[i], Zone: dataCentres[i] + "-a",
			MachineClass: "m", Slots: 64, AnnounceEvery: 100 * time.Millisecond, Seed: seed + uint64(i),
		}, Path: "/orders", Book: book, Work: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		desks = append(desks, d)
	}
	waitBackends(t, s, 2)
	return s, desks
}

func setDeskFaults(t *testing.T, s *Site, desks []*stand.Desk, f stand.DeskFaults) {
	t.Helper()
	for _, d := range desks {
		d.SetFaults(f)
		if err := d.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	waitBackends(t, s, len(desks))
}

// Guards against an order that is executed twice or wrongly reported as "not run"
// under faults of desks, entry nodes and control nodes.
func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s, desks := startWithDesks(t, seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	anyAddr := func() string { return s.Settings(rng.IntN(s.NodeCount())).Listen.Callers }
	newOrder := func(name string) *testOrder {
		return &testOrder{key: name + "-" + strconv.FormatUint(rng.Uint64(), 36), book: desks[0].Book()}
	}
	for _, f := range []struct {
		name   string
		faults stand.DeskFaults
	}{
		{"none", stand.DeskFaults{}},
		{"crashBefore", stand.DeskFaults{CrashBefore: 1}},
		{"crashAfter", stand.DeskFaults{CrashAfter: 1}},
		{"dropAfter", stand.DeskFaults{DropAfter: 1}},
		{"cutAnswer", stand.DeskFaults{CutAnswer: 1}},
	} {
		t.Run("desk "+f.name, func(t *testing.T) {
			setDeskFaults(t, s, desks, f.faults)
			o := newOrder(f.name)
			var wg sync.WaitGroup
			for range 4 { // while the order is running
				addr := anyAddr()
				wg.Go(func() { o.send(t, addr, false) })
			}
			wg.Wait()
			setDeskFaults(t, s, desks, stand.DeskFaults{})
			for range 3 { // after the order has ended
				o.send(t, anyAddr(), true)
			}
			o.check(t)
			if f.name == "none" && (o.firstAnswers != 1 || o.replayed < 3) {
				t.Errorf("%d answers, %d replayed; last %s", o.firstAnswers, o.replayed, o.lastResult)
			}
		})
	}
	t.Run("entry crashed in the middle", func(t *testing.T) {
		for range 2 {
			i := rng.IntN(s.NodeCount())
			o := newOrder("entryCrash")
			var wg sync.WaitGroup
			wg.Go(func() { o.send(t, s.Settings(i).Listen.Callers, false) })
			time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
			stopNode(t, s, i, 0)
			wg.Wait()
			for range 4 {
				if addr := anyAddr(); addr != s.Settings(i).Listen.Callers {
					o.send(t, addr, true)
				}
			}
			restartAll(t, s)
			waitBackends(t, s, 2)
			o.send(t, s.Settings(i).Listen.Callers, true)
			o.check(t)
		}
	})
	t.Run("entry cut off from control", func(t *testing.T) {
		i := 3 + rng.IntN(3) // a node without the control role
		partitionFromControl(s, i, true)
		var orders []*testOrder
		var wg sync.WaitGroup
		for range 4 { // before and after the configuration's confirmation expires
			o := newOrder("cutOff")
			orders = append(orders, o)
			wg.Go(func() { o.send(t, s.Settings(i).Listen.Callers, true) })
			time.Sleep(1200 * time.Millisecond)
		}
		wg.Wait()
		for k, o := range orders {
			if o.notRun != 1 || o.book.Executions(o.key) != 0 {
				t.Errorf("order %d: %d executions, %s", k, o.book.Executions(o.key), o.lastResult)
			}
		}
		if !strings.Contains(orders[3].lastResult, "notConfirmed") {
			t.Errorf("after the confirmation expired: %s", orders[3].lastResult)
		}
		partitionFromControl(s, i, false)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := s.WaitForVersion(ctx, 1); err != nil {
			t.Fatal(err)
		}
		for _, o := range orders { // the order may now be executed once
			for range 3 {
				o.send(t, anyAddr(), true)
			}
			o.check(t)
		}
	})
	t.Run("idempotent call refused after an attempt that ran", func(t *testing.T) {
		book := stand.NewBook()
		for i := range 2 {
			d, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
				ID: "quote-" + strconv.Itoa(i), Service: "quotes", Versions: []string{"v1"}, DataCentre: "dc1", Zone: "dc1-a",
				MachineClass: "m", Slots: 64, AnnounceEvery: 100 * time.Millisecond,
			}, Path: "/quotes", Book: book})
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				d.SetFaults(stand.DeskFaults{DropAfter: 1})
			} else {
				d.Refuse(1)
			}
		}
		waitBackends(t, s, 4)
		ran := 0
		for k := range 20 {
			status, h, body := post(t, anyAddr(), "/quotes", `{"quote": `+strconv.Itoa(k)+`}`, "Idempotency-Key", strconv.Itoa(k))
			n := book.Executions(strconv.Itoa(k))
			ran += n
			if n > 0 && h.Get("X-Outcome") == "not-run" {
				t.Errorf("quote %d ran %d times: status %d: %s", k, n, status, body)
			}
		}
		if ran == 0 {
			t.Error("no quote ran")
		}
	})
	t.Run("control members restarted", func(t *testing.T) {
		setDeskFaults(t, s, desks, stand.DeskFaults{DropAfter: 0.1, CutAnswer: 0.1})
		var orders []*testOrder
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for w := range 4 {
			list := make([]*testOrder, 12)
			for k := range list {
				list[k] = newOrder("control")
			}
			orders = append(orders, list...)
			addrs := []string{s.Settings(3).Listen.Callers, s.Settings(4).Listen.Callers, s.Settings(5).Listen.Callers}
			wg.Go(func() {
				for k, o := range list {
					for try := range 3 {
						o.send(t, addrs[(w+k+try)%3], true)
					}
				}
			})
		}
		go func() { wg.Wait(); close(stop) }()
		for i := 0; ; i = (i + 1) % 3 {
			select {
			case <-stop:
				for _, o := range orders {
					o.check(t)
				}
				return
			case <-time.After(300 * time.Millisecond):
				stopNode(t, s, i, 0)
				restartAll(t, s)
			}
		}
	})
}

// partitionFromControl cuts or restores the links between an entry node and the
// control nodes.
func partitionFromControl(s *Site, i int, partitioned bool) {
	for c := range 3 {
		a, b := s.Settings(i).Listen.Peers, s.Settings(c).Listen.Peers
		s.Links.Set(a, b, faults.Rule{Cut: partitioned})
		s.Links.Set(b, a, faults.Rule{Cut: partitioned})
	}
}
