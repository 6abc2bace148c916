package admit_test

import (
	"slices"
	"testing"
	"time"
)

var (
	simPolicies = []string{"random", "least", "route", "admit"}
	simEqual    = slices.Repeat([]float64{1.0 / 16}, 16)
	// simHeavy has two organisations with 35 in 100 of the requests each.
	simHeavy = append([]float64{0.35, 0.35}, slices.Repeat([]float64{0.3 / 14}, 14)...)
)

func steady(load float64) []simLoadCurve {
	return []simLoadCurve{{0, rates(50)}, {3 * time.Second, rates(load)}}
}

// Guards against refusing work that could be done in time, against admitting more than the
// servers can do in time, and against serving a kind of request or an organisation far less often
// than all. Compared are a random server, the one with the least outstanding requests, and the
// selection of package route, all without admission.
func TestScarceCapacity(t *testing.T) {
	checkBurst := []simLoadCurve{{0, rates(65)}, {4 * time.Second, [3]float64{26, 2.4 * 40, 20}}, {8 * time.Second, rates(65)}}
	checkScarceCapacity(t, []scarceCase{
		{"enough capacity", simScenario{curve: steady(60), length: 10 * time.Second, orgShares: simEqual}, -0.02, true},
		{"enough capacity, equal urgency", simScenario{curve: steady(60), length: 10 * time.Second, orgShares: simEqual, equal: true}, -0.02, false},
		{"two heavy organisations", simScenario{curve: steady(150), length: 10 * time.Second, orgShares: simHeavy, equal: true}, 0.1, true},
		{"burst of checks", simScenario{curve: checkBurst, length: 12 * time.Second, orgShares: simEqual, equal: true}, 0.1, true},
		{"a quarter reclaimed at a high load", simScenario{curve: steady(100), length: 12 * time.Second, orgShares: simEqual, reclaim: 5 * time.Second, equal: true}, 0.05, true},
		{"leader lost for 3 s", simScenario{curve: steady(150), length: 12 * time.Second, orgShares: simEqual, equal: true, leaderOut: [2]time.Duration{6 * time.Second, 9 * time.Second}}, 0.1, false},
	})
}

// Guards against refusals that begin too early if all kinds have the same urgency.
func TestSlightOverload(t *testing.T) {
	checkScarceCapacity(t, []scarceCase{
		{"a little beyond the capacity", simScenario{curve: steady(90), length: 12 * time.Second, orgShares: simEqual, equal: true}, -0.03, false},
	})
}

// Guards against shedding that gains nothing where the most urgent kinds alone fill the servers.
func TestTwiceTheCapacity(t *testing.T) {
	checkScarceCapacity(t, []scarceCase{
		{"twice the capacity", simScenario{curve: steady(180), length: 12 * time.Second, orgShares: simEqual}, 0.04, true},
	})
}

// scarceCase is a load that is compared with and without admission.
type scarceCase struct {
	name     string
	scenario simScenario
	gain     float64 // least gain of value over package route without admission
	others   bool    // compare with the other selections as well
}

func checkScarceCapacity(t *testing.T, cases []scarceCase) {
	t.Helper()
	for _, c := range cases {
		t.Log(c.name)
		values := map[string]float64{}
		for _, policy := range simPolicies {
			if !c.others && policy != "route" && policy != "admit" {
				continue
			}
			var res simResult
			for seed := range uint64(2) {
				res.requests = append(res.requests, simulate(policy, seed+1, c.scenario).requests...)
			}
			s := summarize(res, 4*time.Second, c.scenario.length)
			values[policy] = s.value()
			t.Logf("%-6s %s", policy, s)
			if policy != "admit" {
				continue
			}
			all := s.inTime + s.late
			mean := float64(all) / float64(s.offered)
			for i, p := range s.byKind {
				if p.share() < mean/4 {
					t.Errorf("%s: %s is served %.2f as often as offered, all %.2f", c.name, simKinds[i].name, p.share(), mean)
				}
				if i > 0 && !c.scenario.equal && s.byKind[i-1].share() < p.share()-0.05 {
					t.Errorf("%s: %s is served less often than %s: %.2f, %.2f", c.name, simKinds[i-1].name, simKinds[i].name, s.byKind[i-1].share(), p.share())
				}
			}
			least := 1.0
			for org, p := range s.byOrg {
				least = min(least, p.share())
				if p.share() < mean/4 {
					t.Errorf("%s: organisation %d is served %.2f as often as offered, all %.2f", c.name, org, p.share(), mean)
				}
			}
			t.Logf("       organisations: %.2f answered on average, %.2f at least; organisation 0 %.2f, 9 %.2f", mean, least, s.byOrg[0].share(), s.byOrg[9].share())
		}
		if gain := values["admit"] - values["route"]; gain < c.gain {
			t.Errorf("%s: value %.3f with admission, %.3f without", c.name, values["admit"], values["route"])
		}
	}
}

// Guards against a backlog that outlasts a burst: from 2 s after it, what is in time must be 0.8
// of the most that the servers can serve in time.
func TestBurst(t *testing.T) {
	for _, equal := range []bool{false, true} {
		capacity := 0.0
		for _, load := range []float64{60, 75, 90} {
			res := simulate("route", 1, simScenario{curve: steady(load), length: 10 * time.Second, orgShares: simEqual, equal: equal})
			capacity = max(capacity, float64(summarize(res, 4*time.Second, 10*time.Second).inTime)/6)
		}
		sc := simScenario{curve: []simLoadCurve{{0, rates(65)}, {4 * time.Second, rates(240)}, {6 * time.Second, rates(100)}, {14 * time.Second, rates(65)}}, length: 20 * time.Second, orgShares: simEqual, equal: equal}
		t.Logf("equal urgency %v: at best %.0f a second in time", equal, capacity)
		for _, policy := range simPolicies {
			res := simulate(policy, 1, sc)
			seeds := 2
			if policy == "admit" {
				seeds = 4
			}
			for seed := 2; seed <= seeds; seed++ {
				for i, n := range simulate(policy, uint64(seed), sc).inTime {
					res.inTime[i] += n
				}
			}
			after := 0.0
			for i := range res.inTime {
				res.inTime[i] /= float64(seeds)
			}
			for _, n := range res.inTime[8:14] {
				after += n / 6
			}
			t.Logf("%-6s %s", policy, summarize(res, 4*time.Second, 20*time.Second))
			t.Logf("       in time by second: %.0f; seconds 8 to 13: %.0f", res.inTime, after)
			if policy == "admit" && after < 0.8*capacity {
				t.Errorf("equal urgency %v: %.0f a second in time after the burst, the servers can do %.0f", equal, after, capacity)
			}
		}
	}
}
