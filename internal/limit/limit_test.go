package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an unfair or wasteful allocation: it must equal a naive one that gives
// small steps to the organisation with the least per weight.
func TestAllocateAgainstNaive(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		capacity, orgs, instances := float64(10+rnd.IntN(200)), 1+rnd.IntN(6), 1+rnd.IntN(5)
		var d []Demand
		want, weight := make([]float64, orgs), make([]float64, orgs)
		for o := range orgs {
			weight[o] = float64(1 + rnd.IntN(4))
			for n := range instances {
				w := float64(rnd.IntN(40))
				d = append(d, Demand{Instance: fmt.Sprint(n), Org: fmt.Sprint(o), Weight: weight[o], Want: w})
				want[o] += w
			}
		}
		got, sum, spare := make([]float64, orgs), 0.0, 0.0
		for _, g := range Allocate(capacity, d) {
			sum += g.Amount
			if g.Org == "" {
				spare += g.Amount
				continue
			}
			var o int
			_, _ = fmt.Sscan(g.Org, &o)
			got[o] += g.Amount
		}
		const step = 0.01
		naive, left := make([]float64, orgs), capacity
		for left > 0 {
			lowest := -1
			for o := range orgs {
				if naive[o] < want[o] && (lowest < 0 || naive[o]/weight[o] < naive[lowest]/weight[lowest]) {
					lowest = o
				}
			}
			if lowest < 0 {
				break
			}
			naive[lowest] += step
			left -= step
		}
		for o := range orgs {
			if math.Abs(got[o]-naive[o]) > 0.1 {
				t.Fatalf("seed %d: got %v, want %v", seed, got, naive)
			}
		}
		if math.Abs(sum-capacity) > 1e-6 || math.Abs(spare-max(left, 0)) > 0.1 {
			t.Fatalf("seed %d: %f granted of %f, spare %f", seed, sum, capacity, spare)
		}
	}
}

// Guards against running more work than the capacity while grants move between
// organisations and instances, against starvation of a small organisation by a flood,
// and against idle capacity while only one organisation sends requests.
func TestFloodOverManyNodes(t *testing.T) {
	const instances, capacity = 10, 200.0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 8))
		limits := make([]*Limits, instances)
		for i := range limits {
			limits[i] = New(Config{Instance: fmt.Sprint(i), Instances: instances, Capacity: capacity, Weights: map[string]float64{"big": 3, "small": 1}})
		}
		type job struct {
			instance int
			org      string
			end      time.Time
		}
		var jobs []job
		offer := func(org string, n int, now time.Time) (admitted int) {
			for range n {
				instance := rnd.IntN(instances)
				if d := limits[instance].Admit(org, world.Lookup, Cost{}, now); d.Admit {
					jobs = append(jobs, job{instance, org, now.Add(time.Duration(500+rnd.IntN(1000)) * time.Millisecond)})
					admitted++
				} else if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter || d.Reason == "" {
					t.Fatalf("seed %d: refusal %+v", seed, d)
				}
			}
			return admitted
		}
		smallAdmitted, smallSent := 0, 0
		for tick := range 400 {
			now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
			if tick%20 == 0 {
				var all []Demand
				for _, l := range limits {
					all = append(all, l.Demand(now)...)
				}
				for _, l := range limits {
					l.Grant(Allocate(capacity, all), now)
				}
			}
			running := jobs[:0]
			for _, j := range jobs {
				if j.end.After(now) {
					running = append(running, j)
					continue
				}
				limits[j.instance].Done(j.org, Cost{}, now)
			}
			jobs = running
			offer("big", 60, now)
			if tick >= 200 { // about 20 units in use, half of its share
				n := offer("small", 1, now)
				if tick >= 240 {
					smallAdmitted, smallSent = smallAdmitted+n, smallSent+1
				}
			}
			if over := float64(len(jobs)) - capacity; over > instances*minOverdraft {
				t.Fatalf("seed %d: %d units run at tick %d", seed, len(jobs), tick)
			}
			if tick > 100 && tick < 200 && float64(len(jobs)) < 0.8*capacity {
				t.Fatalf("seed %d: only %d units run although one organisation wants all", seed, len(jobs))
			}
		}
		t.Logf("seed %d: %d of %d requests of the small organisation admitted", seed, smallAdmitted, smallSent)
		if smallAdmitted*100 < smallSent*90 {
			t.Fatalf("seed %d: %d of %d requests of the small organisation admitted", seed, smallAdmitted, smallSent)
		}
	}
}

// Guards against grants used after their lease or replaced by an older answer, reviews
// that use the whole share, and units that are not released or released twice.
func TestLeaseClassesAndReturns(t *testing.T) {
	l := New(Config{Instance: "a", Instances: 2, Capacity: 40, Weights: map[string]float64{"o": 1, "p": 1}, LongShare: 0.5})
	admitted := func(class world.Class, now time.Time) (n int) {
		for l.Admit("o", class, Cost{Class: class}, now).Admit {
			n++
		}
		for range n {
			l.Done("o", Cost{Class: class}, now)
		}
		return n
	}
	tests := []struct {
		name  string
		grant float64
		spare float64
		class world.Class
		at    time.Duration
		want  int
	}{
		{"no grants", 0, 0, world.Lookup, 0, 10},
		{"grant", 16, 4, world.Lookup, time.Second, 20},
		{"reviews", 16, 4, world.Review, time.Second, 10},
		{"lapsed", 0, 0, world.Lookup, time.Second + GrantLease, 10},
	}
	for _, tt := range tests {
		now := start.Add(tt.at)
		if tt.grant > 0 {
			l.Grant([]Grant{{"a", "o", tt.grant}, {"a", "", tt.spare}, {"b", "o", 99}}, now)
			l.Grant([]Grant{{"a", "o", 1}}, now.Add(-time.Millisecond))
		}
		if n := admitted(tt.class, now); n != tt.want {
			t.Errorf("%s: %d admitted, want %d", tt.name, n, tt.want)
		}
	}
	for _, d := range l.Demand(start) {
		if d.InUse != 0 {
			t.Errorf("%v in use after all requests ended", d)
		}
	}
}

// Guards against more retries than the budget in any 10 s, and against a budget that
// does not recover.
func TestRetryBudgetAgainstNaive(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		l := New(Config{Instances: 1, Capacity: 1e9})
		var requests, retries []int64
		count := func(list []int64, second int64) (n int) {
			for _, s := range list {
				if s > second-retryWindowSeconds {
					n++
				}
			}
			return n
		}
		now := start
		for range 2000 {
			now = now.Add(time.Duration(rnd.IntN(100)) * time.Millisecond)
			if rnd.IntN(500) == 0 {
				now = now.Add(time.Duration(rnd.IntN(20)) * time.Second)
			}
			if rnd.IntN(4) > 0 {
				l.Admit("o", world.Lookup, Cost{}, now)
				requests = append(requests, now.Unix())
				continue
			}
			want := float64(count(retries, now.Unix())+1) <= max(0.1*float64(count(requests, now.Unix())), 3)
			if got := l.Retry(now); got != want {
				t.Fatalf("seed %d: retry %v, want %v", seed, got, want)
			}
			if want {
				retries = append(retries, now.Unix())
			}
		}
	}
}

// Guards against grants that, together with work still running beyond a reduced grant,
// exceed the capacity and would overload the backend servers.
func TestAllocateSubtractsRunningWork(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 10))
		var d []Demand
		inUse := 0.0
		for i := range 2 + rnd.IntN(30) {
			x := Demand{Instance: fmt.Sprint(i % 5), Org: fmt.Sprint(i / 5), Weight: 1, Want: float64(rnd.IntN(60)), InUse: float64(rnd.IntN(20))}
			inUse += x.InUse
			d = append(d, x)
		}
		capacity := inUse + float64(rnd.IntN(100))
		used := map[string]float64{}
		for _, x := range d {
			used[x.Instance+"/"+x.Org] = x.InUse
		}
		sum := 0.0
		for _, g := range Allocate(capacity, d) {
			sum += max(g.Amount, used[g.Instance+"/"+g.Org])
		}
		if sum > capacity+1e-6 {
			t.Fatalf("seed %d: %f granted or in use of %f", seed, sum, capacity)
		}
	}
}

func BenchmarkAllocate(b *testing.B) {
	for _, orgs := range []int{5, 200} {
		b.Run(fmt.Sprintf("%dx350", orgs), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			var d []Demand
			for o := range orgs {
				for n := range 350 {
					d = append(d, Demand{Instance: fmt.Sprint("n", n), Org: fmt.Sprint("o", o), Weight: 1, Want: rnd.Float64() * 20, InUse: rnd.Float64()})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				Allocate(15000, d)
			}
		})
	}
}
