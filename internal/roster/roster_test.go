package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

var start = time.Unix(1_000_000, 0)

func server(id string, incarnation int64, seq uint64, s world.State) Server {
	return Server{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Address: "10.0.0.1:80", State: s}
}

func ids(servers []Server) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}

// Guards against late announcements that revive a server which has left or restarted.
func TestLateHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name          string
		announcements []Server
		want          []string
	}{
		{"ready", []Server{server("a", 1, 1, world.Ready)}, []string{"a"}},
		{"late ready announcement", []Server{server("a", 1, 3, world.Leaving), server("a", 1, 2, world.Ready)}, nil},
		{"ready announcement after leaving", []Server{server("a", 1, 3, world.Leaving), server("a", 1, 4, world.Ready)}, nil},
		{"restart after leaving", []Server{server("a", 1, 3, world.Leaving), server("a", 2, 1, world.Ready)}, []string{"a"}},
		{"after the end", []Server{server("a", 1, 3, world.Gone), server("a", 1, 9, world.Ready)}, nil},
		{"restart under the same id", []Server{server("a", 1, 9, world.Gone), server("a", 2, 1, world.Ready)}, []string{"a"}},
		{"late announcement of the previous incarnation", []Server{server("a", 2, 1, world.Leaving), server("a", 1, 9, world.Ready)}, nil},
		{"two servers at one address", []Server{server("a", 1, 9, world.Ready), server("b", 2, 1, world.Ready)}, []string{"b"}},
		{"the newer server at the address drains", []Server{server("a", 1, 9, world.Ready), server("b", 2, 1, world.Leaving)}, nil},
	} {
		r := New()
		for _, s := range c.announcements {
			r.Put(s, start)
		}
		if got := ids(r.Usable()); !slices.Equal(got, c.want) {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a server that stays gone after its announcements resume.
func TestSilentServerReturns(t *testing.T) {
	r, replica := New(), New()
	r.Put(server("a", 1, 1, world.Ready), start)
	if got := ids(r.Expire(start.Add(time.Second), start.Add(time.Second))); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("expired %v", got)
	}
	all, _, _ := r.Since(0, 0)
	for _, s := range all {
		replica.Put(s, start)
	}
	if len(replica.Usable()) != 0 {
		t.Error("a replica still uses the expired server")
	}
	for _, roster := range []*Roster{r, replica} {
		if !roster.Put(server("a", 1, 2, world.Ready), start) || len(roster.Usable()) != 1 {
			t.Error("the server is not used after a new announcement")
		}
	}
}

// Guards against replicas that differ after the same announcements in another order.
func TestCopiesAgree(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var announcements []Server
		for i := range 30 {
			s := server(string(rune('a'+rng.IntN(3))), int64(1+rng.IntN(3)), uint64(i), world.State(1+rng.IntN(3)))
			s.Address = s.ID
			announcements = append(announcements, s)
		}
		a, b := New(), New()
		for _, s := range announcements {
			a.Put(s, start)
		}
		rng.Shuffle(len(announcements), func(i, j int) { announcements[i], announcements[j] = announcements[j], announcements[i] })
		for _, s := range announcements {
			b.Put(s, start)
		}
		if !slices.Equal(a.Usable(), b.Usable()) {
			t.Errorf("seed %d: %v and %v", seed, a.Usable(), b.Usable())
		}
	}
}

// Guards against changes that are not propagated, and against propagating heartbeats
// that change nothing.
func TestSince(t *testing.T) {
	r := New()
	r.Put(server("a", 1, 1, world.Ready), start)
	_, lastChange, _ := r.Since(0, 0)
	if r.Put(server("a", 1, 2, world.Ready), start) {
		t.Error("a repeated heartbeat counts as a change")
	}
	if all, _, _ := r.Since(lastChange, 0); len(all) != 0 {
		t.Errorf("%v changed", all)
	}
	r.Put(server("a", 1, 3, world.Leaving), start)
	if all, _, _ := r.Since(lastChange, 0); len(all) != 1 || all[0].State != world.Leaving {
		t.Errorf("changed: %v", all)
	}
}

// Guards against requests to a server after it announced its end: its last announcement
// reached another instance first and arrived here later. Such a server got requests for
// 3.7 s (lechner-sortwerk-grown scale-2).
func TestEndOfAnUnknownServer(t *testing.T) {
	now := time.UnixMilli(50_000)
	for _, c := range []struct {
		name    string
		earlier []Server
		late    Server
		want    int // usable servers
	}{
		{"unknown", nil, server("a", 49_990, 1, world.Ready), 0},
		{"known with an earlier incarnation", []Server{server("a", 10_000, 9, world.Ready)}, server("a", 49_990, 1, world.Ready), 0},
		{"its clock is ahead", nil, server("a", 50_400, 1, world.Ready), 0},
		{"restarted later", nil, server("a", 54_000, 1, world.Ready), 1},
	} {
		r, replica := New(), New()
		for _, s := range c.earlier {
			r.Put(s, now)
		}
		left, _ := r.Leave("a", 0, now)
		replica.Put(left, now)
		for _, roster := range []*Roster{r, replica} {
			roster.Put(c.late, now)
			if got := len(roster.Usable()); got != c.want {
				t.Errorf("%s: %d usable servers, want %d", c.name, got, c.want)
			}
		}
	}
}

// Guards against sending requests to servers that have announced their leaving, because the
// instance still receives thousands of servers that changed before.
func TestLeavingServersComeFirst(t *testing.T) {
	r, now := New(), time.UnixMilli(1_700_000_000_000)
	for i := range 100 {
		r.Put(Server{ID: fmt.Sprint(i), Seq: 1, State: world.Ready}, now)
	}
	r.Put(Server{ID: "50", Seq: 2, State: world.Leaving}, now)
	got, last, more := r.Since(0, 10)
	if !more || len(got) != 11 || !slices.ContainsFunc(got, func(s Server) bool { return s.ID == "50" && s.State == world.Leaving }) {
		t.Fatalf("%d servers, more %v, want 10 and the leaving one: %v", len(got), more, got)
	}
	seen := map[string]uint64{}
	for pages := 1; more; pages++ {
		got, last, more = r.Since(last, 10)
		for _, s := range got {
			seen[s.ID] = max(seen[s.ID], s.Seq)
		}
		if pages > 20 {
			t.Fatal("the pages do not end")
		}
	}
	if len(seen) != 90 || seen["50"] != 2 {
		t.Errorf("%d servers followed, want the other 90", len(seen))
	}
}

// Guards against new requests to a server that has said in a response that it leaves,
// whatever the announcements say that it sent before or sends later.
func TestMarkLeaving(t *testing.T) {
	const sentMillis = 10_000
	sent := time.UnixMilli(sentMillis)
	r, replica := New(), New()
	r.Put(server("a", 1, 5, world.Ready), start)
	leaving, changed := r.MarkLeaving("a", 1, sent)
	if !changed || leaving.State != world.Leaving {
		t.Fatalf("got %v, %v", leaving, changed)
	}
	if _, changed := r.MarkLeaving("a", 1, sent); changed {
		t.Error("the second mark is a change")
	}
	if _, changed := r.MarkLeaving("b", 1, sent); changed {
		t.Error("an unknown server was marked")
	}
	replica.Put(server("a", 1, 6, world.Ready), start)
	if !replica.Put(leaving, start) {
		t.Error("a replica with a later announcement does not learn of it")
	}
	for _, roster := range []*Roster{r, replica} {
		for seq := range uint64(10) {
			roster.Put(server("a", 1, seq, world.Ready), start.Add(time.Duration(seq)*time.Second))
		}
		if got := ids(roster.Usable()); got != nil {
			t.Errorf("usable %v after announcements of the same incarnation", got)
		}
		if expired := roster.Expire(start.Add(8*time.Second), start.Add(9*time.Second)); len(expired) != 0 || len(roster.Present()) != 1 {
			t.Errorf("%v expired although it announces itself", expired)
		}
		if expired := roster.Expire(start.Add(20*time.Second), start.Add(20*time.Second)); len(expired) != 1 {
			t.Error("the silent server did not expire")
		}
		roster.Put(server("a", 1, 30, world.Ready), start.Add(21*time.Second))
		if got := ids(roster.Usable()); got != nil {
			t.Errorf("usable %v after it was silent", got)
		}
		if _, changed := roster.MarkLeaving("a", 1, sent); changed {
			t.Error("a server that is gone was marked")
		}
		roster.Put(server("a", sentMillis+1, 1, world.Ready), start)
		if _, changed := roster.MarkLeaving("a", 1, sent); changed || len(roster.Usable()) != 1 {
			t.Error("the next incarnation is affected")
		}
	}
}

// Guards against requests to a server that says that it leaves before its announcement shows
// that it has restarted.
func TestMarkLeavingAfterARestart(t *testing.T) {
	for _, c := range []struct {
		name     string
		started  int64 // of the next incarnation, before the request was sent if negative, in ms
		wantLeft bool
	}{
		{"restarted before the request", -1500, true},
		{"restarted about the time of the request", -500, false},
		{"restarted after the request", 10, false},
	} {
		const sentMillis = 10_000
		sent := time.UnixMilli(sentMillis)
		early, late := New(), New()
		for _, r := range []*Roster{early, late} {
			r.Put(server("a", 1, 5, world.Ready), start)
		}
		next := server("a", sentMillis+c.started, 1, world.Ready)
		early.Put(next, start)
		early.MarkLeaving("a", 1, sent)
		late.MarkLeaving("a", 1, sent)
		late.Put(next, start)
		for _, r := range []*Roster{early, late} {
			if left := len(r.Usable()) == 0; left != c.wantLeft {
				t.Errorf("%s: leaving %v, want %v", c.name, left, c.wantLeft)
			}
		}
	}
}
