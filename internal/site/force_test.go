package site

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// eleven starts 11 nodes in 4 data centres, 3 of them control members, with 1.5 ms
// of delay each way between data centres.
func eleven(t *testing.T) *Site {
	t.Helper()
	const seed = 51
	t.Logf("seed %d", seed)
	var places []string
	for i := range 11 {
		places = append(places, "dc"+string(rune('1'+i%4)))
	}
	names := 0
	d := small(t)
	d.DataCentres = append(d.DataCentres, decl.DataCentre{Name: "dc4"})
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	s, err := Start(ctx, Config{
		Seed: seed, DataCentres: places, EntriesPer: 1, Controls: 3, Declaration: d, DrainSeconds: 5,
		Settings: func(c *conf.Settings) {
			if names++; names > 4 {
				c.Node += strings.Repeat("b", names/5)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i := range s.Size() {
		for j := range s.Size() {
			if a, b := s.Settings(i), s.Settings(j); a.DataCentre != b.DataCentre {
				s.Links.Set(a.Listen.Peers, b.Listen.Peers, faults.Rule{Delay: 1500 * time.Microsecond})
			}
		}
	}
	return s
}

// changes applies n changed declarations and returns, for each, the time from its
// acceptance until every node but the one numbered without has it in force.
func changes(t *testing.T, s *Site, n, without int) []time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := s.Operator()
	defer c.Close()
	var out []time.Duration
	for i := range n {
		d := s.cfg.Declaration
		d.Organisations = slices.Clone(d.Organisations)
		d.Organisations[0].Weight = 2 + float64(i%50)/100
		now, err := c.Declaration(ctx)
		if err != nil {
			t.Fatal(err)
		}
		r, err := c.Apply(ctx, oprcli.NewCommandID(), now.Version, "declaration", d.JSON())
		if err != nil {
			t.Fatal(err)
		}
		accepted := time.Now()
		for at := 0; at < s.Size() && ctx.Err() == nil; {
			v, ok := s.Node(at).Current()
			if at == without || ok && v >= r.Version {
				at++
				continue
			}
			time.Sleep(200 * time.Microsecond)
		}
		if ctx.Err() != nil {
			t.Fatalf("change %d is not in force everywhere", i)
		}
		out = append(out, time.Since(accepted))
	}
	slices.Sort(out)
	return out
}

// Guards against an accepted declaration that some node of today's deployments
// never takes up, and against a node that is cut off in one direction only and
// goes on taking work, or refuses without the reason. The times are for
// docs/CAPACITY.md.
func TestChangesInForceOnElevenNodes(t *testing.T) {
	s := eleven(t)
	all := changes(t, s, 60, -1)
	t.Logf("60 changes, all nodes: median %v, max %v", all[len(all)/2], all[len(all)-1])
	const cutOff = 7
	for _, inward := range []bool{false, true} {
		set := func(cut bool) {
			for i := range 3 {
				from, to := s.Settings(cutOff).Listen.Peers, s.Settings(i).Listen.Peers
				if inward {
					from, to = to, from
				}
				s.Links.Set(from, to, faults.Rule{Cut: cut, Delay: 1500 * time.Microsecond})
			}
		}
		set(true)
		began := time.Now()
		refused := make(chan time.Duration, 1)
		go func() {
			for time.Since(began) < 30*time.Second {
				status, h, body := post(t, s.Settings(cutOff).Listen.Callers, "/v1/completions", tiny)
				if status == 503 && h.Get("X-Outcome") == "not-run" && strings.Contains(body, "notConfirmed") && strings.Contains(body, "cannot confirm") {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			refused <- time.Since(began)
		}()
		others := changes(t, s, 50, cutOff)
		after := <-refused
		if after >= 30*time.Second {
			t.Errorf("inward %v: the node cut off goes on or does not say why", inward)
		}
		t.Logf("50 changes, node %d cut off, inward %v: refuses after %v; other nodes: median %v, max %v",
			cutOff, inward, after, others[len(others)/2], others[len(others)-1])
		set(false)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		v, _ := s.Node(0).Current()
		if err := s.WaitInForce(ctx, v); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
}

// Guards against a planned stop of the leading control member that loses an
// accepted command, runs one twice, or leaves the group without a leader.
func TestRollingRestartKeepsCommands(t *testing.T) {
	s := wide(t, 52, 0, stand.EngineConfig{})
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	type accepted struct {
		id      string
		version uint64
	}
	var kept []accepted
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c := s.Operator()
		defer c.Close()
		for {
			select {
			case <-stop:
				return
			default:
			}
			id := oprcli.NewCommandID()
			for ctx.Err() == nil { // an operator repeats the command under its id
				r, err := c.SetPreset(ctx, id, "ordinary", 0)
				if err == nil {
					kept = append(kept, accepted{id, r.Version})
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	var restarted []int
	for i := range 3 {
		at := s.Leader()
		for at < 0 && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			at = s.Leader()
		}
		for n := 0; slices.Contains(restarted, at); n++ {
			at = n // the leader had its turn
		}
		restarted = append(restarted, at)
		notice, cancel := context.WithTimeout(ctx, 2*time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- s.StopNode(notice, at, true) }()
		for next := at; (next == at || next < 0) && ctx.Err() == nil; next = s.Leader() {
			select {
			case err := <-stopped:
				t.Fatalf("restart %d: the old leader has stopped before a new one led: %v", i, err)
			case <-time.After(5 * time.Millisecond):
			}
		}
		if err := <-stopped; err != nil {
			t.Errorf("restart %d: %v", i, err)
		}
		cancel()
		if err := s.StartNode(at); err != nil {
			t.Fatal(err)
		}
		c := s.Operator()
		r, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0)
		c.Close()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.WaitInForce(ctx, r.Version); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-done
	c := s.Operator()
	defer c.Close()
	last := uint64(0)
	for _, a := range kept {
		r, err := c.SetPreset(ctx, a.id, "ordinary", 0)
		if err != nil || r.Version != a.version || a.version <= last {
			t.Fatalf("command %s: accepted as version %d after %d, now version %d, %v", a.id, a.version, last, r.Version, err)
		}
		last = a.version
	}
	t.Logf("%d commands were accepted", len(kept))
	if len(kept) < 20 {
		t.Errorf("%d commands prove little", len(kept))
	}
}
