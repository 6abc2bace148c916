package judge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

var start = time.UnixMilli(1_700_000_000_000)

func choose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// naiveRatio computes oddsRatio from binomial coefficients over the whole distribution.
func naiveRatio(k, drawn, marked, total int, null, alt float64) float64 {
	z := func(w float64) float64 {
		sum := 0.0
		for i := max(0, drawn+marked-total); i <= min(drawn, marked); i++ {
			sum += math.Exp(choose(marked, i) + choose(total-marked, drawn-i) - choose(marked, k) - choose(total-marked, drawn-k) + float64(i-k)*math.Log(w))
		}
		return sum
	}
	return z(null) / z(alt)
}

// Guards against errors in the recurrence, by comparison with a naive sum, and against a
// ratio whose expectation under the null hypothesis exceeds 1, which would violate the
// bound on false alarms.
func TestOddsRatioAgainstNaive(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		total := 1 + r.IntN(60)
		drawn, marked := r.IntN(total+1), r.IntN(total+1)
		null, alt := 1+r.Float64(), 2+30*r.Float64()
		lo, hi := max(0, drawn+marked-total), min(drawn, marked)
		expect, z := 0.0, 0.0
		for k := lo; k <= hi; k++ {
			got, want := oddsRatio(k, drawn, marked, total, null, alt), naiveRatio(k, drawn, marked, total, null, alt)
			if math.Abs(got-want) > 1e-6*want {
				t.Fatalf("seed %d: %d of %d drawn, %d of %d marked: got %g, want %g", seed, k, drawn, marked, total, got, want)
			}
			p := math.Exp(choose(marked, k) + choose(total-marked, drawn-k))
			z += p
			expect += p * got
		}
		if expect/z > 1+1e-9 {
			t.Fatalf("seed %d: expectation %g under equal odds", seed, expect/z)
		}
	}
}

// Guards against a recorder that counts poison requests, crashes of reclaimed servers or
// one crash several times, and against reports that change when encoded and decoded.
func TestRecorderAndEncoding(t *testing.T) {
	rec := NewRecorder("e1", 7)
	res := Result{Service: "drafts", Version: "v2", Route: "lookup", Server: "b1", Load: 0.7, TimeToFirstToken: 300 * time.Millisecond, TimeBetweenTokens: 30 * time.Millisecond, Tokens: 50}
	rec.Add(res, start)
	with := func(change func(*Result)) Result { r := res; change(&r); return r }
	rec.Add(with(func(r *Result) { r.Failed = true }), start)
	rec.Add(with(func(r *Result) { r.Poison, r.Crashed = true, true }), start)
	rec.Add(with(func(r *Result) { r.Leaving, r.Crashed = true, true }), start)
	rec.Add(with(func(r *Result) { r.Crashed = true }), start)
	rec.Add(with(func(r *Result) { r.Crashed = true }), start.Add(time.Second))
	report := rec.Take(start)
	c := report.Cells[Cell{"drafts", "v2", "lookup", 1}]
	if c == nil || c.Requests != 2 || c.Errors != 1 || c.Tokens != 100 || len(report.Crashes) != 1 {
		t.Fatalf("wrong counts: %+v, crashes %v", c, report.Crashes)
	}
	b, err := report.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(b)
	if err != nil || !reflect.DeepEqual(again, report) {
		t.Fatalf("got %+v, %v", again, err)
	}
	j := New(world.Move{Service: "drafts", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}, 0.01, 0, start)
	j.Add(again, start)
	j.Add(again, start)
	if n := j.pending[cellKey{"lookup", 1, true}].Requests; n != 2 {
		t.Fatalf("a repeated report was counted: %d requests", n)
	}
}

// Guards against malformed reports that crash the leader or have more errors than requests.
func FuzzDecode(f *testing.F) {
	rec := NewRecorder("e1", 7)
	rec.Add(Result{Service: "s", Version: "v", TimeToFirstToken: time.Second}, start)
	b, _ := rec.Take(start).Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		j := New(world.Move{Service: "s", From: "v0", To: "v", Started: start, Deadline: start.Add(time.Hour)}, 0.01, 0, start)
		j.Add(r, start)
		j.Verdict(start.Add(2 * time.Second))
	})
}

// Guards against more false alarms than the declared probability when both versions have
// the same varying failure rate, and against a judge that does not detect a worse version.
func TestFalseAlarms(t *testing.T) {
	const runs, alarm = 300, 0.1
	falseAlarms, detected := 0, 0
	for seed := range uint64(2 * runs) {
		r := rand.New(rand.NewPCG(seed, 2))
		m := world.Move{Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(5 * time.Minute)}
		j := New(m, alarm, 0, start)
		bad := false
		for s := 1; s <= 300; s++ {
			rate := 0.02 + 0.3*r.Float64()*r.Float64()*r.Float64()
			rep := Report{Instance: "e", Sequence: uint64(s), Cells: map[Cell]*Counts{}}
			for _, v := range []string{"v1", "v2"} {
				c := &Counts{Requests: 20}
				p := rate
				if v == "v2" && seed >= runs && s > 200 {
					p = 4 * rate
				}
				for range 20 {
					if r.Float64() < p {
						c.Errors++
					}
				}
				rep.Cells[Cell{"s", v, "/", 0}] = c
			}
			now := start.Add(time.Duration(s) * time.Second)
			j.Add(rep, now)
			bad = bad || j.Verdict(now).State == Bad
		}
		switch {
		case bad && seed < runs:
			falseAlarms++
		case bad:
			detected++
		}
	}
	t.Logf("seeds 0 to %d: %d of %d good versions judged bad, %d of %d bad ones", 2*runs-1, falseAlarms, runs, detected, runs)
	if falseAlarms > alarm*runs || detected < runs*9/10 {
		t.Fatalf("%d false alarms of %d at a probability of %g; %d of %d bad versions detected", falseAlarms, runs, alarm, detected, runs)
	}
}

// deploymentReport returns a report with n requests over three services, two versions and
// three routes.
func deploymentReport(n int) Report {
	rec := NewRecorder("entry-1", 1)
	r := rand.New(rand.NewPCG(1, 3))
	for i := range n {
		rec.Add(Result{
			Service: fmt.Sprint("service-", i%3), Version: fmt.Sprint("v", 1+i/3%2), Route: []string{"lookup", "review", "POST /orders"}[r.IntN(3)],
			Load: r.Float64() * 1.1, Tokens: 200,
			TimeToFirstToken:  time.Duration(400 * math.Exp(0.4*r.NormFloat64()) * float64(time.Millisecond)),
			TimeBetweenTokens: time.Duration(30 * math.Exp(0.2*r.NormFloat64()) * float64(time.Millisecond)),
		}, start)
	}
	return rec.Take(start)
}

// Guards against reports that exceed the 16 KB/s budget of an entry instance.
func TestReportSize(t *testing.T) {
	for _, n := range []int{4, 40, 400} {
		b, err := deploymentReport(n).Encode()
		if err != nil || len(b) > 8<<10 {
			t.Errorf("%d requests: %d bytes, %v", n, len(b), err)
		}
		t.Logf("%d requests: %d bytes", n, len(b))
	}
}

func BenchmarkVerdict(b *testing.B) {
	for _, n := range []int{14, 3700} { // backend servers, at about 3.5 requests/s each
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := world.Move{Service: "service-0", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}
			j := New(m, 0.01, 0, start)
			rep, now := deploymentReport(n*7/2), start
			for b.Loop() {
				now = now.Add(time.Second)
				rep.Sequence++
				j.Add(rep, now)
				j.Verdict(now)
			}
		})
	}
}

// Guards against an outage of both versions that prevents Good for the new version, and
// against failures of the new version alone that do not prevent Good.
func TestOutageOfBoth(t *testing.T) {
	for _, tt := range []struct {
		oldFails, newFails int // of 20 requests in a second
		good               bool
	}{{0, 0, true}, {1, 1, true}, {0, 1, false}, {1, 3, false}} {
		m := world.Move{ID: "m", Service: "s", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour)}
		j, rec := New(m, 0.01, 0, start), NewRecorder("e", 1)
		add := func(version string, fails int, now time.Time) {
			for n := range 20 {
				rec.Add(Result{Service: "s", Version: version, Route: "lookup", Server: version, Failed: n < fails, TimeToFirstToken: time.Second}, now)
			}
		}
		var v Verdict
		for s := range 111 {
			now := start.Add(time.Duration(s) * time.Second)
			switch {
			case s == 100:
				j.UpdateMove(m.WithShare(0.5, now), now)
				m = m.WithShare(0.5, now)
			case s > 100:
				add("v1", tt.oldFails, now)
				add("v2", tt.newFails, now)
			default:
				add("v1", 0, now)
			}
			j.Add(rec.Take(now), now)
			v = j.Verdict(now)
		}
		if (v.State == Good) != tt.good {
			t.Errorf("%d and %d of 20 requests failed on the old and the new version: %+v", tt.oldFails, tt.newFails, v)
		}
	}
}
