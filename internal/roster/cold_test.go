package roster

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against a cold server that counts as warm because another announcement says less,
// because the end spreads only in part, or because it has become cold again without a restart.
func TestColdUntil(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cold := func(incarnation int64, seq uint64, until int) Server {
		s := server("a", incarnation, seq, world.Ready)
		s.ColdUntil = at(until)
		return s
	}
	r := New()
	for _, c := range []struct {
		name     string
		said     Server
		now      int // ms
		change   bool
		coldTill int // ms, without coldMargin
	}{
		{"cold", cold(1, 1, 5000), 0, true, 5000},
		{"a little longer, as by the delay of a message", cold(1, 2, 5100), 100, false, 5000},
		{"an older announcement of more", cold(1, 1, 6000), 200, true, 6000},
		{"a shorter time", cold(1, 3, 300), 250, false, 6000},
		{"states nothing", server("a", 1, 4, world.Ready), 300, false, 6000},
		{"cold again", cold(1, 5, 9000), 8000, true, 9000},
		{"an earlier incarnation", cold(0, 9, 20_000), 8000, false, 9000},
		{"restarted and warm", server("a", 2, 1, world.Ready), 8100, true, 0},
	} {
		if change := r.Put(c.said, at(c.now)); change != c.change {
			t.Errorf("%s: change %v, want %v", c.name, change, c.change)
		}
		s := r.Present()[0]
		end := at(c.coldTill).Add(coldMargin)
		if c.coldTill == 0 && s.Cold(at(c.now)) || c.coldTill > 0 && (!s.Cold(end.Add(-1)) || s.Cold(end)) {
			t.Errorf("%s: cold until %v", c.name, s.ColdUntil.Sub(start))
		}
	}
	if s, changed := r.MarkCold("a", 2, 3*time.Second, at(9000)); !changed || !s.ColdUntil.Equal(at(12_000)) {
		t.Errorf("a response: cold until %v, %v", s.ColdUntil, changed)
	}
	if _, changed := r.MarkCold("a", 1, time.Hour, at(9000)); changed {
		t.Error("a response of an earlier incarnation makes the server cold")
	}
	if r.Put(server("a", 2, 2, world.Ready), at(9100)); !r.Present()[0].Cold(at(11_999)) {
		t.Error("an announcement undoes what the server said in a response")
	}
}

// Guards against a change with each heartbeat of a server that some instances hear and others
// learn from a leader, which would spread to all of them.
func TestColdStatementsAreNoChange(t *testing.T) {
	r := New()
	for seq := range 20 {
		s := server("a", 1, uint64(seq+1), world.Ready)
		if s.ColdStated = seq%2 == 0; s.ColdStated && seq < 10 {
			s.ColdFor = time.Duration(10-seq) * time.Second
		}
		s.ColdUntil = start.Add(10 * time.Second)
		if changed := r.Put(s, start.Add(time.Duration(seq)*time.Second)); changed != (seq == 0) {
			t.Errorf("announcement %d: change %v", seq, changed)
		}
	}
}

// Guards against a server that starts during traffic and gets its full share at once, and
// against limits at the first start of a whole deployment.
func TestColdStart(t *testing.T) {
	const coldStart = 20 * time.Second
	born := func(id string, at time.Time) Server { return server(id, at.UnixMilli(), 1, world.Ready) }
	stated := born("new", start)
	stated.ColdStated = true
	for _, c := range []struct {
		name  string
		known []Server
		said  Server
		now   time.Duration // after start
		want  time.Duration // cold until, after start
	}{
		{"during traffic", []Server{born("old", start.Add(-time.Minute))}, born("new", start), time.Second, 21 * time.Second},
		{"heard late", []Server{born("old", start.Add(-time.Minute))}, born("new", start), 15 * time.Second, 21 * time.Second},
		{"restarted", []Server{born("new", start.Add(-time.Second))}, born("new", start), time.Second, 21 * time.Second},
		{"started long ago", []Server{born("old", start.Add(-time.Minute))}, born("new", start), 30 * time.Second, 0},
		{"states that it is warm", []Server{born("old", start.Add(-time.Minute))}, stated, time.Second, 0},
		{"first of all", nil, born("new", start), time.Second, 0},
		{"all start together", []Server{born("other", start.Add(-2*time.Second))}, born("new", start), time.Second, 0},
	} {
		r := New()
		for _, s := range c.known {
			r.Put(s, start)
		}
		got := r.WithColdStart(c.said, coldStart, start.Add(c.now)).ColdUntil
		if c.want == 0 && !got.IsZero() || c.want > 0 && !got.Equal(start.Add(c.want)) {
			t.Errorf("%s: cold until %v, want %v after the start", c.name, got.Sub(start), c.want)
		}
	}
}

// Guards against a server that stays cold for as long as its clock leads, and against limits at
// the first start of a whole deployment with such clocks.
func TestColdStartOfAClockThatLeads(t *testing.T) {
	const coldStart, lead = 20 * time.Second, 10 * time.Minute
	born := func(id string, seq uint64, at time.Time) Server { return server(id, at.UnixMilli(), seq, world.Ready) }
	r := New()
	r.Put(born("old", 1, start.Add(-time.Minute)), start)
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		changed := r.Put(r.WithColdStart(born("new", uint64(i+1), start.Add(lead)), coldStart, now), now)
		if changed != (i == 0) {
			t.Errorf("announcement %d: change %v", i, changed)
		}
		for _, s := range r.Present() {
			if s.ID == "new" && s.Cold(now) != (i <= 20) {
				t.Errorf("cold after %d s: %v", i, s.Cold(now))
			}
		}
	}
	r = New()
	r.Put(born("other", 1, start.Add(-2*time.Second)), start)
	if s := r.WithColdStart(born("new", 1, start.Add(lead)), coldStart, start); !s.ColdUntil.IsZero() {
		t.Errorf("at the first start: cold until %v", s.ColdUntil)
	}
}
