package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against limits that heartbeats undo, that an older response ends, or that outlast
// the incarnation that named them.
func TestMarkLimit(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limit := func(rate float64) Limit { return Limit{Named: true, Rate: rate} }
	r := New()
	if _, changed := r.MarkLimit("a", 1, limit(1), at(0), at(1)); changed {
		t.Error("an unknown server has a limit")
	}
	r.Put(server("a", 1, 1, world.Ready), at(0))
	for _, c := range []struct {
		name        string
		incarnation int64
		said        Limit
		sent, now   int // ms
		changed     bool
		want        Limit
	}{
		{"no limit", 1, Limit{}, 0, 10, false, Limit{}},
		{"named", 1, limit(2), 0, 20, true, Limit{Named: true, Rate: 2, Version: 1}},
		{"named again", 1, limit(2), 10, 30, false, Limit{Named: true, Rate: 2, Version: 1}},
		{"a response to an older request names none", 1, Limit{}, 15, 40, false, Limit{Named: true, Rate: 2, Version: 1}},
		{"lower", 1, limit(0), 10, 50, true, Limit{Named: true, Version: 2}},
		{"of an earlier incarnation", 0, limit(9), 60, 70, false, Limit{Named: true, Version: 2}},
		{"ended", 1, Limit{}, 60, 80, true, Limit{Version: 3}},
		{"named once more", 1, limit(1), 90, 100, true, Limit{Named: true, Rate: 1, Version: 4}},
	} {
		got, changed := r.MarkLimit("a", c.incarnation, c.said, at(c.sent), at(c.now))
		if changed != c.changed || changed && got.Limit != c.want || r.Present()[0].Limit != c.want {
			t.Errorf("%s: %+v, %v, then %+v, want %+v, %v", c.name, got.Limit, changed, r.Present()[0].Limit, c.want, c.changed)
		}
	}
	_, before, _ := r.Since(0, 0)
	r.Put(server("a", 1, 2, world.Ready), at(200))
	if _, after, _ := r.Since(0, 0); after != before || !r.Present()[0].Limit.Named {
		t.Errorf("a heartbeat changes the limit to %+v", r.Present()[0].Limit)
	}
	r.Put(server("a", 2, 1, world.Ready), at(300))
	if l := r.Present()[0].Limit; l != (Limit{}) {
		t.Errorf("the next incarnation has the limit %+v", l)
	}
}

// Guards against instances that know different limits of a server for good, in whatever order
// the reports of its responses reach them.
func TestLimitsAgree(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		rosters := []*Roster{New(), New(), New()}
		for _, r := range rosters {
			r.Put(server("a", 1, 1, world.Ready), start)
		}
		var reports []Server
		now := start
		for range 30 {
			now = now.Add(time.Millisecond)
			r := rosters[rng.IntN(len(rosters))]
			switch rng.IntN(3) {
			case 0:
				said := Limit{Named: rng.IntN(3) > 0}
				if said.Named {
					said.Rate = float64(rng.IntN(3))
				}
				if s, changed := r.MarkLimit("a", 1, said, now, now); changed {
					reports = append(reports, s)
				}
			case 1:
				r.Put(server("a", 1, uint64(2+rng.IntN(20)), world.Ready), now)
			case 2:
				if len(reports) > 0 {
					r.Put(reports[rng.IntN(len(reports))], now)
				}
			}
		}
		for _, r := range rosters {
			for _, i := range rng.Perm(len(reports)) {
				r.Put(reports[i], now)
			}
		}
		want := rosters[0].Present()[0].Limit
		for i, r := range rosters {
			if got := r.Present()[0].Limit; got != want {
				t.Errorf("seed %d: roster %d has the limit %+v, the first one %+v", seed, i, got, want)
			}
		}
	}
}
