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
		replica.Put(r.Leave("a", now), now)
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
