package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// site is several instances and the leader's ledger, with reports every 200 ms.
type site struct {
	ledger *Ledger
	nodes  []*Buckets
}

func newSite(n int, rules map[string]Rule) *site {
	s := &site{ledger: NewLedger()}
	s.ledger.Configure(rules, start)
	for range n {
		q := NewBuckets()
		q.Configure(rules, start)
		s.nodes = append(s.nodes, q)
	}
	s.report(start)
	return s
}

func (s *site) report(now time.Time) {
	for _, q := range s.nodes {
		for name, units := range q.Take() {
			s.ledger.Spend(name, units, now)
		}
	}
	for _, q := range s.nodes {
		q.Confirm(s.ledger.Levels(now), len(s.nodes), now)
	}
}

// Guards against an organisation that gets more than its rate by spreading its
// requests over all instances, and against one that gets clearly less.
func TestFloodOverManyInstances(t *testing.T) {
	const rate, burst, cost = 1000.0, 1000.0, 10.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newSite(11, map[string]Rule{"o": {rate, burst}})
		spent := 0.0
		for ms := range 20_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%200 == 0 {
				s.report(now)
			}
			if ok, _ := s.nodes[rnd.IntN(11)].Admit("o", cost, now); ok {
				spent += cost
			}
		}
		limit := rate*20 + burst
		if spent > 1.1*limit || spent < 0.95*limit {
			t.Errorf("seed %d: %v units spent, want 0.95 to 1.1 of %v", seed, spent, limit)
		}
	}
}

// Guards against a flood that every one of many instances admits from the same level
// while there is no leader: in no 8 s may an organisation get more than a tenth
// above its rate and burst, and one burst more.
func TestFloodWithoutALeader(t *testing.T) {
	const rate, burst, cost, window = 1000.0, 1000.0, 90.0, 8000
	for _, nodes := range []int{11, 86} {
		for seed := range uint64(10) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newSite(nodes, map[string]Rule{"o": {rate, burst}})
			gap := 3000 + rnd.IntN(4000)
			var spent []float64
			for ms := range 16_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms%200 == 0 && (ms < gap || ms > gap+4000) {
					s.report(now)
				}
				got := 0.0
				if rnd.Float64() < 4*rate/1000/cost { // four times the rate
					if ok, _ := s.nodes[rnd.IntN(nodes)].Admit("o", cost, now); ok {
						got = cost
					}
				}
				spent = append(spent, got)
			}
			sum := 0.0
			for ms, got := range spent {
				if sum += got; ms >= window {
					sum -= spent[ms-window]
				}
				if most := 1.1*(rate*window/1000+burst) + burst; sum > most {
					t.Fatalf("%d instances, seed %d: %v units in 8 s, want at most %v", nodes, seed, sum, most)
				}
			}
		}
	}
}

// Guards against refusals of requests that the level covers: an instance may get
// most of an organisation's large requests between two reports.
func TestLargeRequestsWithinTheLevel(t *testing.T) {
	s := newSite(11, map[string]Rule{"o": {165_000, 165_000}})
	for i, units := range []float64{14_575, 17_000, 30_000, 9_000} {
		if ok, _ := s.nodes[3].Admit("o", units, start); !ok {
			t.Errorf("request %d of %v units was refused", i, units)
		}
	}
}

// Guards against instances that spend the whole rate each while they hear nothing
// of each other.
func TestApartInstancesStayWithinTheRate(t *testing.T) {
	s := newSite(10, map[string]Rule{"o": {1000, 1000}})
	spent := 0.0
	for ms := range 30_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, q := range s.nodes {
			if ok, _ := q.Admit("o", 10, now); ok && ms > 10_000 {
				spent += 10
			}
		}
	}
	if want := 1000.0 * 20; spent > 1.1*want {
		t.Errorf("%v units in 20 s apart, want at most 1.1 of %v", spent, want)
	}
}

// Guards against reports that count twice, or not at all, when they are lost.
func TestLostReport(t *testing.T) {
	q := NewBuckets()
	q.Configure(map[string]Rule{"o": {1, 100}}, start)
	q.Confirm(map[string]float64{"o": 100}, 1, start)
	q.Admit("o", 30, start)
	if got := q.Take()["o"]; got != 30 {
		t.Fatalf("first report says %v, want 30", got)
	}
	q.Restore()
	q.Admit("o", 5, start)
	if got := q.Take()["o"]; got != 35 {
		t.Errorf("report after a lost one says %v, want 35", got)
	}
	q.Confirm(map[string]float64{"o": 65}, 1, start)
	if got := len(q.Take()); got != 0 {
		t.Errorf("%d organisations are reported again", got)
	}
}

// Guards against callers that are told to come back too early or never.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		level float64
		units float64
		want  time.Duration
	}{
		{"half a second", 50, 100, 500 * time.Millisecond},
		{"more than the burst needs a full bucket", 100, 1000, time.Second},
		{"below zero", -100, 100, 2 * time.Second},
	} {
		q := NewBuckets()
		q.Configure(map[string]Rule{"o": {100, 200}}, start)
		q.Confirm(map[string]float64{"o": c.level}, 1, start)
		if ok, wait := q.Admit("o", c.units, start); ok || wait != c.want {
			t.Errorf("%s: admitted %v, wait %v, want %v", c.name, ok, wait, c.want)
		}
	}
}

// Guards against a refusal that keeps the units of a request that did not run.
func TestRefund(t *testing.T) {
	q := NewBuckets()
	q.Configure(map[string]Rule{"o": {1, 100}}, start)
	q.Confirm(map[string]float64{"o": 100}, 1, start)
	q.Admit("o", 60, start)
	q.Refund("o", 60)
	if got := q.Level("o", start); got != 100 {
		t.Errorf("level %v after a refund, want 100", got)
	}
	if got := q.Take()["o"]; got != 0 {
		t.Errorf("%v units are reported, want 0", got)
	}
}
