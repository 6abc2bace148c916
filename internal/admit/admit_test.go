package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against shares that leave capacity unused, exceed it, starve an organisation or favour
// one that asks for more.
func TestDivide(t *testing.T) {
	one := func(demand, debt float64) claimant { return claimant{demand: [ranks]float64{demand}, debt: debt} }
	for _, c := range []struct {
		name     string
		all      []claimant
		capacity float64
		want     []float64
	}{
		{"enough", []claimant{one(10, 0), one(20, 0)}, 40, []float64{10, 20}},
		{"equal shares", []claimant{one(60, 0), one(60, 0)}, 60, []float64{30, 30}},
		{"unused share", []claimant{one(10, 0), one(60, 0)}, 50, []float64{10, 40}},
		{"debt", []claimant{one(60, 10), one(60, 0)}, 60, []float64{25, 35}},
		{"debt beyond half a share", []claimant{one(60, 1000), one(60, 0)}, 60, []float64{20, 40}},
		{"floor", []claimant{one(1000, 0), one(60, 0), one(60, 0), one(60, 0)}, 300, []float64{120, 60, 60, 60}},
	} {
		got := divide(c.all, c.capacity)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 0.1 {
				t.Errorf("%s: %.1f, want %.1f", c.name, got, c.want)
				break
			}
		}
	}
	for seed := range uint64(3000) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		all := make([]claimant, 1+rnd.IntN(20))
		total := 0.0
		for i := range all {
			for range 1 + rnd.IntN(4) {
				all[i].demand[rnd.IntN(ranks)] += rnd.ExpFloat64() * 100
			}
			all[i].debt = rnd.ExpFloat64() * 50 * float64(rnd.IntN(2))
			total += all[i].total()
		}
		capacity := total * rnd.Float64() * 1.2
		sum := 0.0
		for i, gets := range divide(all, capacity) {
			sum += gets
			if least := min(capacity/total, 1) * all[i].total() / 4; gets < least {
				t.Fatalf("seed %d: %v gets %.2f of %.2f, below %.2f", seed, i, gets, all[i].total(), least)
			}
			fractions, admitted, before := all[i].fractions(gets), 0.0, 1.0
			for rank, demand := range all[i].demand {
				admitted += fractions[rank] * demand
				if demand == 0 {
					continue
				}
				if fractions[rank] > before+1e-9 || fractions[rank] < 0.25*gets/all[i].total() {
					t.Fatalf("seed %d: fractions %v, an urgent kind is served less often, or one is starved", seed, fractions)
				}
				before = fractions[rank]
			}
			if math.Abs(admitted-gets) > 1e-6*gets+1e-9 {
				t.Fatalf("seed %d: %.3f admitted of a share of %.3f", seed, admitted, gets)
			}
		}
		if want := min(total, capacity); sum > want*1.0001 || sum < want*0.9999 {
			t.Fatalf("seed %d: %.3f divided of %.3f", seed, sum, want)
		}
	}
}

// Guards against callers that are told to return when it is not their turn, and against
// Retry-After times beyond those that callers honour.
func TestTurn(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	q := Query{Service: "m", Kind: Kind{"o", 0}, Left: time.Second, Outlook: Outlook{Waiting: 1}}
	admitted, returned := 0, 0
	for range 10_000 {
		q.Hash, q.MaxWait = rnd.Uint64(), time.Duration(rnd.Int64N(int64(4*time.Second)))
		now := start.Add(time.Duration(rnd.Int64N(int64(time.Hour))))
		s := Shares{At: now, Services: map[string]Share{"m": {Fractions: map[string][]float64{"o": {0.4}}}}}
		d := s.Decide(q, now)
		if d.Admitted() {
			admitted++
			continue
		}
		if d.Reason != Beyond || d.RetryAfter > max(q.MaxWait, 0) && d.RetryAfter > minRetryAfter {
			t.Fatalf("%+v with at most %v", d, q.MaxWait)
		}
		if untilTurn(Turn(q.Hash, now), 0.4)+turnMargin > q.MaxWait {
			continue
		}
		s.At = now.Add(d.RetryAfter)
		if !s.Decide(q, s.At).Admitted() {
			t.Fatalf("refused again after %v, turn %.3f", d.RetryAfter, Turn(q.Hash, s.At))
		}
		returned++
	}
	if admitted < 3800 || admitted > 4200 || returned < 300 {
		t.Errorf("%d of 10000 admitted with a fraction of 0.4, %d of the others are due in time", admitted, returned)
	}
}

// Guards against refusals without overload, against late requests that are admitted, and against
// shares that are applied for longer than the stated time.
func TestDecide(t *testing.T) {
	busy := Outlook{Waiting: 3, Slots: 10, Queueing: 100 * time.Millisecond, Rest: 100 * time.Millisecond}
	shares := func(fraction float64, wait time.Duration) Shares {
		return Shares{At: start, Services: map[string]Share{"m": {Waits: []time.Duration{wait}, Fractions: map[string][]float64{"o": {fraction}}}}}
	}
	for _, c := range []struct {
		name    string
		shares  Shares
		after   time.Duration // since the shares
		outlook Outlook
		left    time.Duration
		want    Reason
	}{
		{"idle", shares(0, time.Minute), 0, Outlook{Running: 4, Slots: 10, Queueing: time.Minute}, time.Millisecond, None},
		{"in turn", shares(1, 0), 0, busy, time.Second, None},
		{"in turn and late", shares(1, 3*time.Second), 0, busy, time.Second, Forecast},
		{"late also without queueing", shares(1, 3*time.Second), 0, Outlook{Waiting: 1, Rest: 2 * time.Second}, time.Second, None},
		{"not in turn", shares(0, 0), time.Second, busy, time.Second, Beyond},
		{"shares fading", shares(0, 0), 4*time.Second - time.Nanosecond, busy, time.Second, None},
		{"shares too old, in time", shares(0, 2*time.Second), 4 * time.Second, busy, time.Second, None},
		{"shares too old, late", shares(0, 0), 4 * time.Second, busy, 150 * time.Millisecond, Forecast},
		{"no shares, in time", Shares{}, 0, busy, time.Second, None},
		{"no shares, late", Shares{}, 0, busy, 150 * time.Millisecond, Forecast},
		{"another service", shares(0, 0), 0, busy, time.Second, Beyond},
	} {
		q := Query{Service: "m", Kind: Kind{"o", 0}, Hash: 1 << 63, Left: c.left, MaxWait: time.Second, Outlook: c.outlook}
		if c.name == "another service" {
			q.Service, c.want = "n", None
		}
		if d := c.shares.Decide(q, start.Add(c.after)); d.Reason != c.want || d.Admitted() == (d.RetryAfter > 0) {
			t.Errorf("%s: %+v, want %v", c.name, d, c.want)
		}
	}
}

// Guards against shares that admit more in sum than the leader granted. Instances are cut off,
// replies are late and repeated, the leader is replaced, instances join and all restart. At any
// time, each instance applies no fraction above the greatest that a leader granted within
// sharesValid, or fades it to 1 from then on, and none after sharesValid+sharesFade.
func TestSharesLost(t *testing.T) {
	kind := Kind{"o", 0}
	for seed := range uint64(2000) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		type grant struct {
			at       time.Time
			fraction float64
		}
		type reply struct {
			to     int
			at     time.Time
			shares Shares
		}
		instances := make([]Shares, 1+rnd.IntN(8))
		cutOff := make([]time.Time, len(instances))
		var grants []grant
		var replies []reply
		leaderFrom := start
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
			switch rnd.IntN(60) {
			case 0: // the leader is lost
				leaderFrom = now.Add(time.Duration(rnd.Int64N(int64(6 * time.Second))))
			case 1:
				cutOff[rnd.IntN(len(instances))] = now.Add(time.Duration(rnd.Int64N(int64(8 * time.Second))))
			case 2:
				instances, cutOff = append(instances, Shares{}), append(cutOff, time.Time{})
			case 3:
				clear(instances)
			}
			for i := range instances {
				if now.Before(leaderFrom) || now.Before(cutOff[i]) {
					continue
				}
				g := grant{now, rnd.Float64()}
				grants = append(grants, g)
				r := reply{i, now.Add(time.Duration(rnd.Int64N(int64(time.Second)))), Shares{At: now, Services: map[string]Share{"m": {Fractions: map[string][]float64{"o": {g.fraction}}}}}}
				replies = append(replies, r)
				if rnd.IntN(4) == 0 {
					r.at = r.at.Add(time.Second) // repeated
					replies = append(replies, r)
				}
			}
			left := replies[:0]
			for _, r := range replies {
				if now.Before(r.at) {
					left = append(left, r)
					continue
				}
				instances[r.to] = instances[r.to].Updated(r.shares)
			}
			replies = left
			for len(grants) > 0 && now.Sub(grants[0].at) > sharesValid+sharesFade {
				grants = grants[1:]
			}
			greatest := 0.0
			for _, g := range grants {
				greatest = max(greatest, g.fraction)
			}
			for i, s := range instances {
				if !s.valid(now) {
					continue
				}
				faded := max(min(float64(now.Sub(s.At)-sharesValid)/float64(sharesFade), 1), 0)
				if f := s.fraction("m", kind, now); len(grants) == 0 || f > greatest+(1-greatest)*faded+1e-9 {
					t.Fatalf("seed %d: instance %d applies %.3f at %v, granted %.3f", seed, i, f, now.Sub(start), greatest)
				}
			}
		}
	}
}

// Guards against an overload that is not noticed, limits that stay after it, shares stated by a
// new leader before it knows the demand, and reports that count twice.
func TestLedger(t *testing.T) {
	l := NewLedger(start)
	now := start
	k := NewKind("o", 0, 2000)
	step := func(offered float64, wait time.Duration) (map[string]Share, bool) {
		now = now.Add(100 * time.Millisecond)
		var d Demands
		for range 10 {
			d = d.WithOffered("m", k, offered/10).WithAdmitted("m", k, 2000)
			d = d.WithStarted("m", k, Start{Work: 2000, First: wait + 100*time.Millisecond, Own: 100 * time.Millisecond, Target: 600 * time.Millisecond})
		}
		l.Add(d, now)
		return l.Shares(func() map[string]float64 {
			return map[string]float64{"m": 200_000 * (wait + 100*time.Millisecond).Seconds()}
		}, now)
	}
	for now.Sub(start) < 500*time.Millisecond {
		if _, ok := step(20_000, 0); ok {
			t.Fatalf("shares after %v", now.Sub(start))
		}
	}
	for range 20 {
		if s, ok := step(20_000, 100*time.Millisecond); !ok || len(s["m"].Fractions) > 0 {
			t.Fatalf("%v, %v without overload", s, ok)
		}
	}
	for range 20 {
		step(60_000, 800*time.Millisecond)
	}
	s, _ := step(60_000, 800*time.Millisecond)
	if f := valueAt(s["m"].Fractions["o"], k.Rank); f < 0.1 || f > 0.4 {
		t.Errorf("fraction %.2f with three times the capacity", f)
	}
	if w := s["m"].wait(0); w < 700*time.Millisecond || w > 900*time.Millisecond {
		t.Errorf("a wait of %v instead of 800 ms", w)
	}
	for range 20 {
		s, _ = step(20_000, 0)
	}
	if len(s["m"].Fractions) > 0 {
		t.Errorf("limited 2 s after the overload: %v", s)
	}
	now = now.Add(time.Minute)
	l.Shares(func() map[string]float64 { return nil }, now)
	if len(l.services) > 0 {
		t.Errorf("services are kept without demand: %v", l.services)
	}
}
