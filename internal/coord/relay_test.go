package coord

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

func node(id string, started int64) *coordpb.Node {
	return &coordpb.Node{Id: id, DataCentre: "a", StartedMs: started, Ready: true}
}

// Guards against relays that concentrate on one instance, leave a data centre that has a
// relay, or are chosen although they are avoided.
func TestChooseRelay(t *testing.T) {
	relays := []Instance{{ID: "a1", DataCentre: "a"}, {ID: "a2", DataCentre: "a"}, {ID: "b1", DataCentre: "b"}, {ID: "c1", DataCentre: "c"}}
	for _, c := range []struct {
		name       string
		dataCentre string
		relays     []Instance
		avoid      []string
		want       []string
	}{
		{"in the data centre", "a", relays, nil, []string{"a1", "a2"}},
		{"one avoided", "a", relays, []string{"a1"}, []string{"a2"}},
		{"all of the data centre avoided", "a", relays, []string{"a1", "a2"}, []string{"b1", "c1"}},
		{"no relay in the data centre", "d", relays, nil, []string{"a1", "a2", "b1", "c1"}},
		{"all avoided", "b", relays[2:3], []string{"b1"}, nil},
		{"none", "a", nil, nil, nil},
	} {
		chosen := map[string]int{}
		for i := range 100 {
			chosen[chooseRelay(fmt.Sprint("10.0.0.", i), c.dataCentre, c.relays, c.avoid)]++
		}
		delete(chosen, "")
		for _, id := range c.want {
			if chosen[id] < 100/len(c.want)/3 {
				t.Errorf("%s: %v, want an even spread over %v", c.name, chosen, c.want)
			}
		}
		if len(chosen) != len(c.want) {
			t.Errorf("%s: %v, want %v", c.name, chosen, c.want)
		}
	}
}

// Guards against instances that return to a failed relay at once, or leave a relay because
// of one report without a leader.
func TestRelayChoice(t *testing.T) {
	c := relayChoice{enabled: true, relays: []Instance{{ID: "a1", DataCentre: "a"}, {ID: "b1", DataCentre: "b"}}}
	self := Instance{ID: "x", DataCentre: "a"}
	if got := c.target(self, start); got != "a1" {
		t.Fatalf("chose %q, want a1", got)
	}
	c.failed("a1", true, start)
	if got := c.target(self, start); got != "a1" {
		t.Errorf("chose %q after one report without a leader, want a1", got)
	}
	c.failed("a1", false, start)
	if got := c.target(self, start.Add(relayAvoidTime-1)); got != "b1" {
		t.Errorf("chose %q after a failure, want b1", got)
	}
	if got := c.target(self, start.Add(2*relayAvoidTime)); got != "a1" {
		t.Errorf("chose %q later, want a1", got)
	}
	if got := c.target(Instance{ID: "d", DataCentre: "a", Durable: true}, start); got != "" {
		t.Errorf("an instance with a disk reports to %q, want to the leader", got)
	}
}

// Guards against an overloaded leader or relay that gets more reports the more of them
// fail.
func TestSearchInterval(t *testing.T) {
	for _, c := range []struct {
		failures, instances int
		least, most         time.Duration
	}{
		{1, 11, 25 * time.Millisecond, 75 * time.Millisecond},
		{9, 11, 25 * time.Millisecond, 75 * time.Millisecond},
		{1, 300, 25 * time.Millisecond, 75 * time.Millisecond},
		{9, 300, 300 * time.Millisecond, 900 * time.Millisecond},
		{9, 0, 300 * time.Millisecond, 900 * time.Millisecond},
		{1000, 300, 300 * time.Millisecond, 900 * time.Millisecond},
	} {
		for _, random := range []float64{0, 0.5, 0.999} {
			if got := searchInterval(c.failures, c.instances, random); got < c.least || got > c.most {
				t.Errorf("%d failures of %d instances: %v, want %v to %v", c.failures, c.instances, got, c.least, c.most)
			}
		}
	}
	for _, n := range []int{100, 300} {
		if rate := float64(n) / searchInterval(20, n, 0.5).Seconds(); rate > searchRate+1 {
			t.Errorf("%d instances send %.0f reports a second, want at most %d", n, rate, searchRate)
		}
	}
}

// Guards against losing what instances report to a relay when its report to the leader
// fails or another instance becomes the leader, and against counting it twice.
func TestRelayRepeatsAfterAFailure(t *testing.T) {
	r := newRelay()
	agg := testAggregator("l", 1, nil, start)
	window := func(count float64) []*coordpb.Window {
		return []*coordpb.Window{Window{7, map[string]float64{"o": count}}.proto()}
	}
	announced := &coordpb.Server{Id: "e", Born: 1, Seq: 4, State: uint32(world.Leaving), LeaveInMs: noLeaveTime}
	sent := uint64(0)
	flush := func(agg *aggregator, term uint64, err error, now time.Time) {
		sent++
		req := &coordpb.Sync{Node: node("r", 1), SpentNumber: sent, Loads: loadsToProto([]Load{{Server: "e", Running: 1}}, now)}
		b := r.take(req, now)
		if err == nil {
			agg.applyReport(req, now)
		}
		r.finish(b, term, err)
	}
	done := r.add(&coordpb.Sync{
		Node: node("x", 1), Windows: window(3), Servers: []*coordpb.Server{announced},
		Loads: loadsToProto([]Load{{Server: "e", Running: 2, Waiting: 1}}, start),
	}, start)
	flush(agg, 1, context.DeadlineExceeded, start)
	if err := <-done; err == nil {
		t.Error("the report was confirmed without an answer of the leader")
	}
	flush(agg, 1, nil, start)
	if s, _, _ := agg.feed.roster.Since(0, 0); len(s) != 1 || s[0].State != world.Leaving {
		t.Errorf("the leader has the servers %v, want the one that leaves", s)
	}
	for range 3 {
		r.add(&coordpb.Sync{Node: node("x", 1), Windows: window(4), Loads: loadsToProto([]Load{{Server: "e", Running: 2}}, start)}, start)
		flush(agg, 1, nil, start)
	}
	if got := agg.usage(7)["o"]; got != 4 {
		t.Errorf("usage %v, want 4", got)
	}
	if got := agg.totalLoads(start); len(got) != 1 || got[0].Running != 3 || got[0].Waiting != 0 {
		t.Errorf("loads %v, want 3 running", got)
	}
	// A new leader that has heard of nobody gets the instances again.
	next := testAggregator("m", 2, nil, start)
	flush(next, 2, nil, start)
	flush(next, 2, nil, start)
	if !next.feed.isListed("x") {
		t.Error("the new leader does not know the instance behind the relay")
	}
}

// Guards against listing instances behind a relay that no longer report, dropping those
// that have moved to another relay, and dropping all of them while they look for one.
func TestInstancesBehindARelay(t *testing.T) {
	type report struct {
		after    time.Duration
		relay    string
		started  int64
		children []*coordpb.Child
	}
	alive := []*coordpb.Child{{Node: node("x", 1)}}
	silent := []*coordpb.Child{{Node: node("x", 1), Silent: true}}
	old := []*coordpb.Child{{Node: node("x", 1), AgeMs: 800}}
	for _, c := range []struct {
		name    string
		reports []report
		at      time.Duration
		want    bool
	}{
		{"only changes are reported", []report{{0, "r", 1, alive}, {3 * time.Second, "r", 1, nil}}, 3 * time.Second, true},
		{"silent", []report{{0, "r", 1, alive}, {time.Second, "r", 1, silent}}, time.Second, false},
		{"moved", []report{{0, "r", 1, alive}, {0, "s", 1, alive}, {time.Second, "r", 1, silent}, {time.Second, "s", 1, nil}}, time.Second, true},
		{"the relay before repeats it", []report{{0, "r", 1, alive}, {0, "s", 1, alive}, {100 * time.Millisecond, "r", 1, old}, {time.Second, "r", 1, silent}, {time.Second, "s", 1, nil}}, time.Second, true},
		{"the relay has just failed", []report{{0, "r", 1, alive}}, reportTimeout + relayGrace, true},
		{"the relay has failed", []report{{0, "r", 1, alive}}, reportTimeout + relayGrace + 1, false},
		{"the relay has restarted and lost it", []report{{0, "r", 1, alive}, {0, "r", 2, nil}, {3 * time.Second, "r", 2, nil}}, 3 * time.Second, false},
		{"reports directly again", []report{{0, "r", 1, alive}, {time.Second, "x", 1, nil}, {time.Second, "r", 1, silent}}, time.Second, true},
	} {
		agg := testAggregator("l", 1, nil, start)
		for _, r := range c.reports {
			agg.applyReport(&coordpb.Sync{Node: node(r.relay, r.started), Children: r.children}, start.Add(r.after))
		}
		now := start.Add(c.at)
		agg.lastTick = now
		agg.tick(time.Second, now)
		if got := agg.feed.isListed("x"); got != c.want {
			t.Errorf("%s: listed %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an instance that stays unlisted because the leader has a wrong idea of it:
// a relay repeats the state of the instances behind it.
func TestRelayRepeatsItsInstances(t *testing.T) {
	r := newRelay()
	sent := 0
	for ms := 0; ms <= 10_000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		r.add(&coordpb.Sync{Node: node("x", 1)}, now)
		req := &coordpb.Sync{Node: node("r", 1)}
		b := r.take(req, now)
		r.finish(b, 1, nil)
		sent += len(req.Children)
	}
	if sent < 4 || sent > 12 {
		t.Errorf("the instance was reported %d times in 10 s, want some times", sent)
	}
}

// Guards against replies with thousands of servers, of which many instances take the
// memory of a process that is new to them, and against servers that get lost between parts.
func TestFeedSendsServersInParts(t *testing.T) {
	f := newFeed(Instance{ID: "l", Started: start})
	for i := range 1000 {
		f.roster.Put(roster.Server{ID: fmt.Sprint(i), Seq: 1, State: world.Ready}, start)
	}
	req := &coordpb.Sync{Node: node("x", 1)}
	got := map[string]*coordpb.Server{}
	for n := 0; ; n++ {
		out := f.reply(req, start)
		if len(out.Servers) > maxReplyServers+2 { // and the two that leave
			t.Fatalf("a reply has %d servers", len(out.Servers))
		}
		for _, s := range out.Servers {
			got[s.Id] = s
		}
		req.Feed, req.ServersSeen = out.Feed, out.ServersSeen
		if n == 1 {
			for _, id := range []string{"0", "999"} { // one was sent, the other not, as a rule
				f.roster.Put(roster.Server{ID: id, Seq: 2, State: world.Leaving}, start)
			}
		}
		if !out.MoreServers {
			break
		}
		if n > 20 {
			t.Fatalf("%d servers after %d replies", len(got), n)
		}
	}
	if len(got) != 1000 || got["0"].Seq != 2 || got["999"].Seq != 2 {
		t.Errorf("%d servers, announcements %d and %d, want 1000, 2 and 2", len(got), got["0"].Seq, got["999"].Seq)
	}
}

// Guards against instances that receive changes twice, miss some, or get the whole state
// with each reply, over many random histories of a feed.
func TestFeedSendsChanges(t *testing.T) {
	f := newFeed(Instance{ID: "l", Started: start})
	known := map[string]bool{}
	req := &coordpb.Sync{Node: node("x", 1)}
	sync := func() *coordpb.SyncReply {
		out := f.reply(req, start)
		if out.NodesAll {
			clear(known)
		}
		for _, n := range out.Nodes {
			if n.Gone {
				delete(known, n.Id)
			} else {
				known[n.Id] = true
			}
		}
		req.Feed, req.NodesSeen, req.ServersSeen, req.HeldSeen = out.Feed, out.NodesSeen, out.ServersSeen, out.HeldSeen
		return out
	}
	for i := range 300 {
		f.putInstance(Instance{ID: fmt.Sprint(i), Ready: true})
	}
	if out := sync(); len(out.Nodes) != 300 || out.Fronts != 300 {
		t.Fatalf("the first reply has %d instances and %d ready ones, want 300", len(out.Nodes), out.Fronts)
	}
	if out := sync(); len(out.Nodes) != 0 || out.NodesChanged {
		t.Fatalf("a reply without changes has %d instances", len(out.Nodes))
	}
	f.dropInstance("5", time.Time{})
	f.putInstance(Instance{ID: "6"})
	f.putInstance(Instance{ID: "7", Ready: true}) // unchanged
	if out := sync(); len(out.Nodes) != 2 || out.Fronts != 298 || known["5"] || !known["6"] {
		t.Errorf("%d changes, %d ready, want 2 changes and 298 ready", len(out.Nodes), out.Fronts)
	}
	f.dropInstance("6", time.Time{})
	f.putInstance(Instance{ID: "6", Started: start})
	f.dropInstance("6", time.Time{}) // an earlier process
	if sync(); !known["6"] {
		t.Error("the end of an earlier process removed the instance")
	}
	f.roster.Put(roster.Server{ID: "e", Incarnation: 1, State: world.Ready}, start)
	f.publish(published{term: 3, totals: []Load{{Server: "e", Running: 4}, {Server: "unknown", Running: 9}}})
	out := sync()
	if len(out.Servers) != 1 || !slices.Equal(out.Totals.Servers, []uint32{out.Servers[0].Number}) || out.Totals.Running[0] != 4 {
		t.Errorf("got %v and %v, want the load of server e by its number", out.Servers, out.Totals)
	}
	if again := f.reply(&coordpb.Sync{Node: node("y", 1)}, start); len(again.Servers) != 1 || again.Servers[0] != out.Servers[0] {
		t.Error("two instances get separate messages of one server")
	}
	if out := sync(); len(out.Servers) != 0 || len(out.Totals.Servers) != 1 {
		t.Errorf("got %v and %v, want only the load", out.Servers, out.Totals)
	}
}

// leader returns the instance that leads, or nil.
func (d *deployment) leader() *instance {
	for _, inst := range d.instances {
		if inst.coord != nil {
			if _, ok := inst.coord.Leads(time.Now()); ok {
				return inst
			}
		}
	}
	return nil
}

// Guards against instances behind relays that miss configurations, servers or instances,
// also after their relay or the leader is lost, and against a leader that keeps getting
// reports of all instances.
func TestReportsThroughRelays(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4, maxDirectReports)
	others := d.instances[4:]
	d.configure(others[0], 1)
	d.expectVersion(1, d.instances...)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 4 })
	current := func(inst *instance) string {
		inst.coord.mu.Lock()
		defer inst.coord.mu.Unlock()
		return inst.coord.choice.current
	}
	eventually(t, "all instances report to a relay", func() bool {
		for _, inst := range others {
			if current(inst) == "" {
				return false
			}
		}
		return true
	})
	announce := func(inst *instance, s roster.Server) {
		inst.local.mu.Lock()
		inst.local.unreported = append(inst.local.unreported, s)
		inst.local.mu.Unlock()
		eventually(t, "the leader has the announcement", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return inst.coord.SyncNow(ctx) == nil
		})
	}
	usable := func(inst *instance) bool {
		return inst.local.check(func(l *fakeLocal) bool { return len(l.servers.Usable()) == 1 })
	}
	announce(others[1], roster.Server{ID: "e", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.1:1", State: world.Ready})
	for _, inst := range d.instances {
		eventually(t, "the server is known at "+inst.addr, func() bool { return usable(inst) })
	}
	// The leader is lost, and with it the relay of a quarter of the instances.
	lost := d.leader()
	d.stop(lost)
	eventually(t, "another leader", func() bool { return d.leader() != nil })
	announce(others[2], roster.Server{ID: "e", Incarnation: 1, Seq: 2, Service: "s", Address: "10.0.0.1:1", State: world.Leaving})
	d.configure(others[3], 2)
	for _, inst := range d.instances {
		if inst.coord == nil {
			continue
		}
		d.expectVersion(2, inst)
		eventually(t, "the server is out at "+inst.addr, func() bool { return !usable(inst) })
		eventually(t, "the lost instance is not listed at "+inst.addr, func() bool {
			return inst.local.check(func(l *fakeLocal) bool {
				return len(l.instances) == len(d.instances)-1 && !slices.ContainsFunc(l.instances, func(i Instance) bool { return i.ID == lost.addr })
			})
		})
	}
}

// Guards against an instance that takes a relay without a leader for a leader, and a relay
// that confirms a report that the leader does not have.
func TestRelayWithoutALeader(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	d.stop(d.instances[1])
	d.stop(d.instances[2])
	time.Sleep(2 * electionTimeout) // any lease has expired
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req := &coordpb.Sync{Node: node("x", 1), ThroughRelay: true}
	var reply coordpb.SyncReply
	err := d.instances[3].net.Call(ctx, d.instances[0].addr, callSync, req, &reply)
	if remoteErr, ok := err.(*link.RemoteError); !ok || remoteErr.Code != codeNoLeader {
		t.Errorf("got %v, want %s", err, codeNoLeader)
	}
}

// Guards against an overload that keeps itself up in a large deployment: after the loss of
// the leader all instances look for another one at the same time.
func TestManyInstancesRecover(t *testing.T) {
	const disks, others = 6, 94
	d := deploy(t, disks, others)
	d.configure(d.instances[disks], 1)
	d.expectVersion(1, d.instances...)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == disks })
	eventually(t, "few instances report to the leader", func() bool {
		leader := d.leader()
		if leader == nil {
			return false
		}
		leader.coord.mu.Lock()
		agg := leader.coord.aggregator
		leader.coord.mu.Unlock()
		agg.mu.Lock()
		defer agg.mu.Unlock()
		direct := 0
		for _, n := range agg.processes {
			if n.via == nil && n.alive(time.Now()) {
				direct++
			}
		}
		return direct < (disks+others)/2 && len(agg.processes) == disks+others
	})
	d.stop(d.leader())
	eventually(t, "another leader", func() bool { return d.leader() != nil })
	d.configure(d.instances[disks+1], 2)
	for _, inst := range d.instances {
		if inst.coord == nil {
			continue
		}
		d.expectVersion(2, inst)
		eventually(t, "all remaining instances are listed at "+inst.addr, func() bool {
			return inst.local.check(func(l *fakeLocal) bool { return len(l.instances) == disks+others-1 })
		})
	}
}
