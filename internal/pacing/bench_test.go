package pacing

import "testing"

// BenchmarkColdParts divides the rates of 60 cold servers among 88 instances, as an instance
// does when a server or the list of instances changes.
func BenchmarkColdParts(b *testing.B) {
	all, servers := names(88), names(60)
	bound := Bound{Rate: 6.6, Overshoot: 1.5, Slack: 5}
	for b.Loop() {
		for _, s := range servers {
			bound.Part(s, all[0], all)
		}
	}
}
