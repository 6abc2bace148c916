package quota

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// cluster is a set of instances and the leader's ledger.
type cluster struct {
	ledger     *Ledger
	instances  []*Buckets
	now        time.Time
	leaderDown bool // Borrow fails
	relays     []*Buckets
	at         int // instance that decides
	// withoutRelay contains the instances that cannot reach their relay.
	withoutRelay map[int]bool
}

func newCluster(n int, rules map[string]Rule) *cluster {
	s := &cluster{ledger: NewLedger(), now: start}
	s.ledger.Configure(rules, start)
	for range n {
		q := NewBuckets(s)
		q.Configure(rules, start)
		s.instances = append(s.instances, q)
	}
	s.report(start)
	return s
}

// Borrow implements Lender.
func (s *cluster) Borrow(_ context.Context, name string, units float64) (bool, float64, error) {
	if s.leaderDown {
		return false, 0, Error.New("no leader")
	}
	return s.ledger.Borrow(name, units, s.now)
}

// BorrowNearby implements Lender.
func (s *cluster) BorrowNearby(ctx context.Context, name string, units float64) (bool, error) {
	if s.relays == nil || s.withoutRelay[s.at] {
		return false, Error.New("no relay")
	}
	ok, _ := s.relays[s.at%len(s.relays)].Admit(ctx, name, units, s.now)
	return ok, nil
}

// addRelays lets n instances hold the parts of the others.
func (s *cluster) addRelays(n int, rules map[string]Rule) {
	for range n {
		q := NewBuckets(nil)
		q.Configure(rules, start)
		s.relays = append(s.relays, q)
	}
	s.countParts(start)
	for _, q := range s.relays {
		q.Confirm(s.ledger.Levels(start), len(s.instances), start)
	}
}

// countParts tells each relay how many instances use it.
func (s *cluster) countParts(now time.Time) {
	parts := make([]int, len(s.relays))
	for i := range s.instances {
		if !s.withoutRelay[i] {
			parts[i%len(parts)]++
		}
	}
	for i, q := range s.relays {
		q.SetParts(parts[i], now)
	}
}

// admit sends a request to one instance.
func (s *cluster) admit(i int, units float64, now time.Time) bool {
	s.now, s.at = now, i
	ok, _ := s.instances[i].Admit(context.Background(), "o", units, now)
	return ok
}

func (s *cluster) report(now time.Time) { s.reportFrom(s.instances, now) }

func (s *cluster) reportFrom(nodes []*Buckets, now time.Time) {
	for _, q := range nodes {
		for name, units := range q.TakeSpent() {
			s.ledger.Spend(name, units, now)
		}
	}
	for _, q := range nodes {
		q.Confirm(s.ledger.Levels(now), len(s.instances), now)
	}
}

// Guards against an organisation that exceeds its rate, or gets clearly less, when it
// sends its requests to all instances.
func TestFloodOverManyInstances(t *testing.T) {
	const rate, burst, cost = 1000.0, 1000.0, 10.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newCluster(11, map[string]Rule{"o": {Rate: rate, Burst: burst}})
		spent := 0.0
		for ms := range 20_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%200 == 0 {
				s.report(now)
			}
			if s.admit(rnd.IntN(11), cost, now) {
				spent += cost
			}
		}
		limit := rate*20 + burst
		if spent > 1.1*limit || spent < 0.95*limit {
			t.Errorf("seed %d: %v units spent, want 0.95 to 1.1 of %v", seed, spent, limit)
		}
	}
}

// Guards against many instances that each admit a flood from the same level without a
// leader: within any 8 s an organisation may get at most 10% more than its rate and
// burst, plus one burst.
func TestFloodWithoutALeader(t *testing.T) {
	const rate, burst, cost, window = 1000.0, 1000.0, 90.0, 8000
	for _, instances := range []int{11, 86} {
		for seed := range uint64(10) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(instances, map[string]Rule{"o": {Rate: rate, Burst: burst}})
			outageStart := 3000 + rnd.IntN(4000)
			var spent []float64
			for ms := range 16_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				s.leaderDown = ms >= outageStart && ms <= outageStart+4000
				if ms%200 == 0 && !s.leaderDown {
					s.report(now)
				}
				got := 0.0
				if rnd.Float64() < 4*rate/1000/cost { // four times the rate
					if s.admit(rnd.IntN(instances), cost, now) {
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
				if limit := 1.1*(rate*window/1000+burst) + burst; sum > limit {
					t.Fatalf("%d instances, seed %d: %v units in 8 s, want at most %v", instances, seed, sum, limit)
				}
			}
		}
	}
}

// Guards against refusing requests that the level covers when one instance receives
// most of an organisation's large requests between two reports.
func TestLargeRequestsWithinTheLevel(t *testing.T) {
	s := newCluster(11, map[string]Rule{"o": {Rate: 165_000, Burst: 165_000}})
	for i, units := range []float64{14_575, 17_000, 30_000, 9_000} {
		if !s.admit(3, units, start) {
			t.Errorf("request %d of %v units was refused", i, units)
		}
	}
}

// Guards against refusing everything after a restart: the leader's first answer arrives
// before the rules, so an instance knows no level when a Borrow call fails.
func TestUnknownLevelWithoutALeader(t *testing.T) {
	const instances = 9
	large := 0
	for range 100 {
		q := NewBuckets(&cluster{ledger: NewLedger(), leaderDown: true})
		q.Confirm(map[string]float64{"o": 100_000}, instances, start)
		q.Configure(map[string]Rule{"o": {Rate: 1000, Burst: 100_000, InitialLevel: 50_000}}, start)
		if ok, _ := q.Admit(context.Background(), "o", 200, start); !ok {
			t.Fatal("a request of 200 units was refused, a 25th of the part of the initial level")
		}
		if ok, _ := q.Admit(context.Background(), "o", 90_000, start); ok {
			large++
		}
	}
	// A request larger than the part is admitted in proportion to it.
	if large > 30 {
		t.Errorf("%d of 100 instances admitted 90000 units, want about 100*50000/9/90000", large)
	}
}

// Guards against callers that come back while the leader is still missing, and are refused
// again: without it an instance's part is smaller than their prompts.
func TestWaitWithoutALeader(t *testing.T) {
	s := newCluster(300, map[string]Rule{"o": {Rate: 400_000, Burst: 400_000}})
	s.leaderDown = true
	refused := 0
	for _, q := range s.instances {
		if ok, wait := q.Admit(context.Background(), "o", 19_000, start); !ok {
			refused++
			if wait < time.Second {
				t.Fatalf("retry after %v, want the time of an election", wait)
			}
		}
	}
	if refused < 200 {
		t.Errorf("%d of 300 requests were refused, want most", refused)
	}
}

// Guards against refusing most prompts of a large deployment while there is no leader:
// the part of an instance is smaller than a prompt, that of a relay is not. All together
// must stay within the level and the rate.
func TestRelaysLendWithoutALeader(t *testing.T) {
	const rate, burst, units = 400_000.0, 400_000.0, 19_000.0
	rules := map[string]Rule{"o": {Rate: rate, Burst: burst}}
	for _, c := range []struct {
		name      string
		perSecond int     // requests
		minShare  float64 // of the requests that must be admitted
	}{
		{"half of the rate", 10, 0.9},
		{"four times the rate", 84, 0},
	} {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(300, rules)
			s.addRelays(6, rules)
			s.leaderDown = true
			asked, admitted := 0, 0
			const seconds = 4
			for ms := range seconds * 1000 {
				if rnd.Float64() >= float64(c.perSecond)/1000 {
					continue
				}
				asked++
				if s.admit(rnd.IntN(len(s.instances)), units, start.Add(time.Duration(ms)*time.Millisecond)) {
					admitted++
				}
			}
			if share := float64(admitted) / float64(asked); share < c.minShare {
				t.Errorf("%s, seed %d: %.2f of the requests were admitted, want %.2f", c.name, seed, share, c.minShare)
			}
			if spent, most := float64(admitted)*units, 1.1*(burst+rate*seconds); spent > most {
				t.Errorf("%s, seed %d: %.0f units were spent, want at most %.0f", c.name, seed, spent, most)
			}
		}
	}
}

// Guards against spending the parts of instances twice without a leader: from a relay, and
// by instances that cannot reach their relay. Which ones can changes all the time.
func TestPartsAreSpentOnce(t *testing.T) {
	const rate, burst, units, seconds = 400_000.0, 100_000.0, 4_000.0, 5
	rules := map[string]Rule{"o": {Rate: rate, Burst: burst}}
	for _, c := range []struct {
		name     string
		without  float64 // share of the instances that reach no relay
		minShare float64 // of the rate that must be admitted
	}{
		{"all reach relays", 0, 0.85},
		{"some reach none", 0.3, 0.6},
		{"none reach any", 1, 0.5},
	} {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newCluster(77, rules)
			s.addRelays(5, rules)
			s.ledger.Spend("o", burst, start)
			s.report(start)
			for _, q := range s.relays {
				q.Confirm(s.ledger.Levels(start), len(s.instances), start)
			}
			s.leaderDown = true
			spent := 0.0
			for ms := range seconds * 1000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms%1000 == 0 {
					s.withoutRelay = map[int]bool{}
					for i := range s.instances {
						s.withoutRelay[i] = rnd.Float64() < c.without
					}
					s.countParts(now)
				}
				if rnd.Float64() < 2*rate/1000/units && s.admit(rnd.IntN(len(s.instances)), units, now) {
					spent += units
				}
			}
			if most := 1.1 * rate * seconds; spent > most || spent < c.minShare*rate*seconds {
				t.Errorf("%s, seed %d: %.0f units were spent, want %.0f to %.0f", c.name, seed, spent, c.minShare*rate*seconds, most)
			}
		}
	}
}

// Guards against refusals below the rate limit because reports are late while the leader
// lends: a frozen relay delays the reports of the instances behind it by a second.
func TestLateReports(t *testing.T) {
	s := newCluster(86, map[string]Rule{"o": {Rate: 165_000, Burst: 165_000}})
	for ms := 0; ms < 3000; ms += 200 {
		if !s.admit(ms%86, 17_000, start.Add(time.Duration(ms)*time.Millisecond)) {
			t.Errorf("a request was refused %d ms after the last report", ms)
		}
	}
	s.leaderDown = true
	admitted := 0
	for i := range s.instances {
		if s.admit(i, 17_000, start.Add(3*time.Second)) {
			admitted++
		}
	}
	// The operator's limit in a window of 8 s, of which 15 requests are spent.
	if spent, most := float64(15+admitted)*17_000, 1.1*(165_000*8+165_000); spent > most {
		t.Errorf("%.0f units were admitted in 3 s and then without the leader, want at most %.0f", spent, most)
	}
}

// Guards against refusals below the rate limit when an instance's part of a level is
// smaller than one prompt: on 86 instances, 131 of 506 requests of an organisation
// were refused with a full bucket of 122,812 units.
func TestLargeRequestsOnManyInstances(t *testing.T) {
	const rate, prompt, instances = 122_000.0, 17_000.0, 86
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newCluster(instances, map[string]Rule{"o": {Rate: rate, Burst: rate}})
		refused, sent := 0, 0
		for ms := range 20_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%200 == 0 {
				s.report(now)
			}
			if rnd.Float64() < 0.6*rate/1000/prompt { // of the rate
				sent++
				if !s.admit(rnd.IntN(instances), prompt, now) {
					refused++
				}
			}
		}
		if refused > 0 {
			t.Errorf("seed %d: %d of %d requests were refused at 0.6 of the rate", seed, refused, sent)
		}
	}
}

// Guards against starving either the large or the small requests of an organisation that
// exceeds its rate.
func TestSizesShareTheRate(t *testing.T) {
	const rate, instances = 300_000.0, 86
	sizes := []float64{200, 1_500, 9_000, 17_000, 34_000}
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newCluster(instances, map[string]Rule{"o": {Rate: rate, Burst: rate}})
		sent, admitted := make([]int, len(sizes)), make([]int, len(sizes))
		for ms := range 20_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%200 == 0 {
				s.report(now)
			}
			if rnd.Float64() > 2*rate/1000/12_340 { // twice the rate at the mean size
				continue
			}
			i := rnd.IntN(len(sizes))
			sent[i]++
			if s.admit(rnd.IntN(instances), sizes[i], now) {
				admitted[i]++
			}
		}
		share := func(i int) float64 { return float64(admitted[i]) / float64(sent[i]) }
		if share(0) < 1 || share(1) < 1 {
			t.Errorf("seed %d: %.2f and %.2f of the small requests were admitted, want all", seed, share(0), share(1))
		}
		if share(4) < 0.8*share(2) {
			t.Errorf("seed %d: %.2f of the largest requests were admitted, %.2f of medium ones", seed, share(4), share(2))
		}
	}
}

// Guards against a flood in which each request causes a Borrow call to the leader.
func TestFloodAsksSeldom(t *testing.T) {
	s := newCluster(10, map[string]Rule{"o": {Rate: 1000, Burst: 1000}})
	c := &countingLender{Lender: s}
	q := NewBuckets(c)
	q.Configure(map[string]Rule{"o": {Rate: 1000, Burst: 1000}}, start)
	q.Confirm(map[string]float64{"o": -500}, 10, start)
	for range 100 {
		if ok, _ := q.Admit(context.Background(), "o", 100, start); ok {
			t.Fatal("a request was admitted at a level far below zero")
		}
	}
	if c.borrows > 0 {
		t.Errorf("%d Borrow calls, want none", c.borrows)
	}
}

type countingLender struct {
	Lender
	borrows int
}

func (c *countingLender) Borrow(ctx context.Context, name string, units float64) (bool, float64, error) {
	c.borrows++
	return c.Lender.Borrow(ctx, name, units)
}

// Guards against isolated instances that each spend the whole rate.
func TestIsolatedInstancesStayWithinTheRate(t *testing.T) {
	s := newCluster(10, map[string]Rule{"o": {Rate: 1000, Burst: 1000}})
	s.leaderDown = true
	spent := 0.0
	for ms := range 30_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range s.instances {
			if s.admit(i, 10, now) && ms > 10_000 {
				spent += 10
			}
		}
	}
	if want := 1000.0 * 20; spent > 1.1*want {
		t.Errorf("%v units in 20 s of isolation, want at most 1.1 of %v", spent, want)
	}
}

// Guards against the units of a lost report being counted twice or never.
func TestLostReport(t *testing.T) {
	q := NewBuckets(nil)
	q.Configure(map[string]Rule{"o": {Rate: 1, Burst: 100}}, start)
	q.Confirm(map[string]float64{"o": 100}, 1, start)
	q.Admit(context.Background(), "o", 30, start)
	if got := q.TakeSpent()["o"]; got != 30 {
		t.Fatalf("first report has %v units, want 30", got)
	}
	q.Restore()
	q.Admit(context.Background(), "o", 5, start)
	if got := q.TakeSpent()["o"]; got != 35 {
		t.Errorf("report after a lost one has %v units, want 35", got)
	}
	q.Confirm(map[string]float64{"o": 65}, 1, start)
	if got := len(q.TakeSpent()); got != 0 {
		t.Errorf("%d organisations are reported again", got)
	}
}

// Guards against wait times that are too short or unbounded.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		level float64
		units float64
		want  time.Duration
	}{
		{"half a second", -50, 100, 500 * time.Millisecond},
		{"more than the burst needs a full bucket", 0, 1000, 1968750 * time.Microsecond},
		{"a small request waits until the debt limit", -100, 1, 750 * time.Millisecond},
	} {
		q := NewBuckets(nil)
		q.Configure(map[string]Rule{"o": {Rate: 100, Burst: 200}}, start)
		q.Confirm(map[string]float64{"o": c.level}, 1, start)
		if ok, wait := q.Admit(context.Background(), "o", c.units, start); ok || wait != c.want {
			t.Errorf("%s: admitted %v, wait %v, want %v", c.name, ok, wait, c.want)
		}
	}
}

// Guards against charging the units of a request that did not run.
func TestRefund(t *testing.T) {
	q := NewBuckets(nil)
	q.Configure(map[string]Rule{"o": {Rate: 1, Burst: 100}}, start)
	q.Confirm(map[string]float64{"o": 100}, 1, start)
	q.Admit(context.Background(), "o", 60, start)
	q.Refund("o", 60)
	if got := q.Level("o", start); got != 100 {
		t.Errorf("level %v after a refund, want 100", got)
	}
	if got := q.TakeSpent()["o"]; got != 0 {
		t.Errorf("%v units are reported, want 0", got)
	}
}

// Guards against an organisation that exceeds its limit by more than the tolerance, with
// a flood to all instances, two of which are partitioned for a while. The organisation
// must still get more than the bare limit, as the operator accepts the excess.
func TestTolerance(t *testing.T) {
	const rate, burst, cost, window = 170_000.0, 170_000.0, 17_000.0, 8000
	tolerance := Tolerance{Window: 8 * time.Second, Share: 0.1, Units: 190_000}
	limit := rate*window/1000 + burst
	maxUnits := limit*1.1 + 190_000
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		s := newCluster(11, map[string]Rule{"o": Rule{Rate: rate, Burst: burst}.WithTolerance(tolerance)})
		var spent []float64
		sum, peak := 0.0, 0.0
		for ms := range 30_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			cut := 0
			if ms > 10_000 && ms < 15_500 {
				cut = 2
			}
			s.ledger.Reserve(float64(cut)/11, now)
			if ms%200 == 0 {
				s.reportFrom(s.instances[cut:], now)
			}
			got := 0.0
			if rnd.Float64() < 4*rate/1000/cost { // four times the rate
				i := rnd.IntN(11)
				s.leaderDown = i < cut
				if s.admit(i, cost, now) {
					got = cost
				}
			}
			spent = append(spent, got)
			if sum += got; ms >= window {
				sum -= spent[ms-window]
			}
			peak = max(peak, sum)
		}
		if peak > maxUnits || peak < limit {
			t.Errorf("seed %d: at most %.0f units in 8 s, want %.0f to %.0f", seed, peak, limit, maxUnits)
		}
	}
}

// Guards against refusing a modest load after a restart of all instances, when no
// instance knows what was spent, and against a flood that exceeds the tolerance because
// of the initial level.
func TestRestartOfAll(t *testing.T) {
	const rate, burst, cost, window, restart = 170_000.0, 170_000.0, 17_000.0, 8000, 12_000
	tolerance := Tolerance{Window: 8 * time.Second, Share: 0.1, Units: 190_000}
	rule := Rule{Rate: rate, Burst: burst}.WithTolerance(tolerance)
	maxUnits := (rate*window/1000+burst)*1.1 + 190_000
	for _, c := range []struct {
		name       string
		instances  int
		load       float64 // of the rate
		maxRefused int     // in the second after the restart
	}{
		{"modest", 11, 0.5, 0},
		{"modest, many instances", 86, 0.5, 0},
		{"flood", 11, 4, 1000},
		{"flood, many instances", 86, 4, 1000},
	} {
		for seed := range uint64(10) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(c.instances, map[string]Rule{"o": rule})
			var spent []float64
			sum, peak, refused := 0.0, 0.0, 0
			for ms := range 24_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms == restart {
					s = newCluster(c.instances, map[string]Rule{"o": rule})
					s.ledger.Spend("o", rule.Burst-rule.InitialLevel, now)
				}
				if ms%200 == 0 {
					s.report(now)
				}
				got := 0.0
				if rnd.Float64() < c.load*rate/1000/cost {
					if s.admit(rnd.IntN(c.instances), cost, now) {
						got = cost
					} else if ms >= restart && ms < restart+1000 {
						refused++
					}
				}
				spent = append(spent, got)
				if sum += got; ms >= window {
					sum -= spent[ms-window]
				}
				peak = max(peak, sum)
			}
			if refused > c.maxRefused || peak > maxUnits {
				t.Errorf("%s, seed %d: %d refused after the restart, want %d at most; %.0f units in 8 s, want %.0f at most", c.name, seed, refused, c.maxRefused, peak, maxUnits)
			}
		}
	}
}

// Guards against an instance that considers the leader down because a caller cancelled
// during a Borrow call.
func TestCallerLeavesWhileAsking(t *testing.T) {
	s := newCluster(10, map[string]Rule{"o": {Rate: 1000, Burst: 1000}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.leaderDown = true // Borrow fails for a cancelled caller
	if ok, _ := s.instances[0].Admit(ctx, "o", 500, start); ok {
		t.Error("a cancelled request was admitted")
	}
	s.leaderDown = false
	c := &countingLender{Lender: s}
	s.instances[0].lender = c
	if !s.admit(0, 500, start) || c.borrows != 1 {
		t.Errorf("%d Borrow calls for the next request, want 1", c.borrows)
	}
}

// BenchmarkBorrow measures the leader's part of a Borrow call, without the network.
func BenchmarkBorrow(b *testing.B) {
	l := NewLedger()
	l.Configure(map[string]Rule{"o": {Rate: 1e12, Burst: 1e12}}, start)
	b.ReportAllocs()
	for i := range b.N {
		if _, _, err := l.Borrow("o", 1, start.Add(time.Duration(i))); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against refusals after a time without a leader: a new leader that debits what the
// instances spent meanwhile, but not what the rate allowed, begins with a debt of seconds.
// Nor may it lend what they have spent before they report it.
func TestLeaderAfterATimeWithoutOne(t *testing.T) {
	const rate, burst, units, lost, election, end = 400_000.0, 400_000.0, 4_000.0, 4000, 8000, 12_000
	rule := Rule{Rate: rate, Burst: burst}
	rules := map[string]Rule{"o": rule}
	for _, load := range []float64{0.8, 2} {
		for seed := range uint64(10) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(20, rules)
			asked, admitted, total := 0.0, 0.0, 0.0
			for ms := range end {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				switch {
				case ms == lost:
					s.leaderDown = true
				case ms == election:
					s.leaderDown = false
					last := s.instances[0].LeaderLevels()["o"]
					s.ledger = NewLedger()
					s.ledger.Configure(rules, now)
					s.ledger.Resume("o", last, now)
				}
				if ms%200 == 0 && !s.leaderDown {
					s.report(now)
				}
				if rnd.Float64() >= load*rate/1000/units {
					continue
				}
				ok := s.admit(rnd.IntN(len(s.instances)), units, now)
				if ok {
					total += units
				}
				if ms >= election {
					asked += units
					if ok {
						admitted += units
					}
				}
			}
			if want := 0.9 * min(asked, rate*(end-election)/1000); admitted < want {
				t.Errorf("load %.1f, seed %d: %.0f of %.0f units admitted after the election, want %.0f", load, seed, admitted, asked, want)
			}
			if most := 1.1*rate*end/1000 + burst; total > most {
				t.Errorf("load %.1f, seed %d: %.0f units spent in all, want at most %.0f", load, seed, total, most)
			}
		}
	}
}

// Guards against waiting times that overflow for a rate near 0.
func TestWaitTimeOfATinyRate(t *testing.T) {
	for _, rate := range []float64{1e-300, 1e-12, 0} {
		if d := (Rule{Rate: rate, Burst: 1}).waitTime(-5, 1); d != maxWait {
			t.Errorf("rate %v: %v, want %v", rate, d, maxWait)
		}
	}
	if d := (Rule{Rate: 10, Burst: 10}).waitTime(-5, 1); d != 500*time.Millisecond {
		t.Errorf("%v, want 500 ms", d)
	}
}
