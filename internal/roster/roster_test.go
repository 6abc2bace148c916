package roster

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

var start = time.Unix(1_000_000, 0)

func server(id string, born int64, seq uint64, s world.State) Server {
	return Server{ID: id, Born: born, Seq: seq, Service: "s", Address: "10.0.0.1:80", State: s}
}

func ids(all []Server) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.ID)
	}
	return out
}

// Guards against late heartbeats that revive a server which has left or restarted.
func TestLateHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name string
		said []Server
		want []string
	}{
		{"ready", []Server{server("a", 1, 1, world.Ready)}, []string{"a"}},
		{"late word of readiness", []Server{server("a", 1, 3, world.Leaving), server("a", 1, 2, world.Ready)}, nil},
		{"after the end", []Server{server("a", 1, 3, world.Gone), server("a", 1, 9, world.Ready)}, nil},
		{"restart under the same id", []Server{server("a", 1, 9, world.Gone), server("a", 2, 1, world.Ready)}, []string{"a"}},
		{"late word of the one before", []Server{server("a", 2, 1, world.Leaving), server("a", 1, 9, world.Ready)}, nil},
		{"two at one address", []Server{server("a", 1, 9, world.Ready), server("b", 2, 1, world.Ready)}, []string{"b"}},
		{"the later one at the address drains", []Server{server("a", 1, 9, world.Ready), server("b", 2, 1, world.Leaving)}, nil},
	} {
		r := New()
		for _, s := range c.said {
			r.Put(s, start)
		}
		if got := ids(r.Usable()); !slices.Equal(got, c.want) {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a server that stays out after it was only silent for a while.
func TestSilentServerReturns(t *testing.T) {
	r, copied := New(), New()
	r.Put(server("a", 1, 1, world.Ready), start)
	if got := ids(r.Expire(start.Add(time.Second), start.Add(time.Second))); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("expired %v", got)
	}
	all, _ := r.Since(0)
	for _, s := range all {
		copied.Put(s, start)
	}
	if len(copied.Usable()) != 0 {
		t.Error("a copy still uses the silent server")
	}
	for _, x := range []*Roster{r, copied} {
		if !x.Put(server("a", 1, 2, world.Ready), start) || len(x.Usable()) != 1 {
			t.Error("the server is not used after it was heard of again")
		}
	}
}

// Guards against copies that differ after the same announcements in another order.
func TestCopiesAgree(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		var said []Server
		for i := range 30 {
			s := server(string(rune('a'+rnd.IntN(3))), int64(1+rnd.IntN(3)), uint64(i), world.State(1+rnd.IntN(3)))
			s.Address = s.ID
			said = append(said, s)
		}
		a, b := New(), New()
		for _, s := range said {
			a.Put(s, start)
		}
		rnd.Shuffle(len(said), func(i, j int) { said[i], said[j] = said[j], said[i] })
		for _, s := range said {
			b.Put(s, start)
		}
		if !slices.Equal(a.Usable(), b.Usable()) {
			t.Errorf("seed %d: %v and %v", seed, a.Usable(), b.Usable())
		}
	}
}

// Guards against changes that others are not told of, and heartbeats that are
// passed on although nothing changed.
func TestSince(t *testing.T) {
	r := New()
	r.Put(server("a", 1, 1, world.Ready), start)
	_, seen := r.Since(0)
	if r.Put(server("a", 1, 2, world.Ready), start) {
		t.Error("a repeated heartbeat counts as a change")
	}
	if all, _ := r.Since(seen); len(all) != 0 {
		t.Errorf("%v changed", all)
	}
	r.Put(server("a", 1, 3, world.Leaving), start)
	if all, _ := r.Since(seen); len(all) != 1 || all[0].State != world.Leaving {
		t.Errorf("changed: %v", all)
	}
}

// Guards against requests to a server that has said it ends, because its last
// announcement reached another instance and came here later: such a server got
// requests for 3.7 s (lechner-sortwerk-grown scale-2).
func TestEndOfAnUnknownServer(t *testing.T) {
	now := time.UnixMilli(50_000)
	for _, c := range []struct {
		name   string
		before []Server
		after  Server
		want   int // usable servers
	}{
		{"unknown", nil, server("a", 49_990, 1, world.Ready), 0},
		{"known by an earlier incarnation", []Server{server("a", 10_000, 9, world.Ready)}, server("a", 49_990, 1, world.Ready), 0},
		{"its clock is ahead", nil, server("a", 50_400, 1, world.Ready), 0},
		{"started again later", nil, server("a", 54_000, 1, world.Ready), 1},
	} {
		r, other := New(), New()
		for _, s := range c.before {
			r.Put(s, now)
		}
		other.Put(r.Leave("a", now), now)
		for _, x := range []*Roster{r, other} {
			x.Put(c.after, now)
			if got := len(x.Usable()); got != c.want {
				t.Errorf("%s: %d usable servers, want %d", c.name, got, c.want)
			}
		}
	}
}
