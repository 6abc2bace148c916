package judge

import "math"

type counts struct {
	Counts
	crashes int
}

// referenceHalvingWindows is the number of windows after which the counts of the old
// version are halved, so that thresholds follow the daily load pattern.
const referenceHalvingWindows = 120

// stratum holds the results of the old version on one route at one load level.
type stratum struct {
	reference     counts
	windowsWaited int // windows since the last table
}

func (s *stratum) add(older *counts, windows float64) {
	if math.Mod(windows, referenceHalvingWindows) == 0 {
		s.reference.halve()
	}
	s.reference.Merge(&older.Counts)
	s.reference.crashes += older.crashes
}

func (c *counts) halve() {
	c.Requests /= 2
	c.Errors /= 2
	c.crashes /= 2
	for i := range c.First {
		c.First[i] /= 2
		c.Between[i] /= 2
	}
}

// marked returns the number of marked requests (failed, crashed or slow) and of all
// requests of a metric. The threshold for slow requests depends only on earlier windows
// and is slack buckets higher for the new version.
func (c *counts) marked(m metric, s *stratum, slack int) (k, n int) {
	switch m.kind {
	case metricCrashes:
		return c.crashes, int(c.Requests) + c.crashes
	case metricFailures:
		return int(c.Errors) + c.crashes, int(c.Requests) + c.crashes
	case metricFirstToken:
		return countSlow(&c.First, &s.reference.First, m.quantile, slack)
	default:
		return countSlow(&c.Between, &s.reference.Between, m.quantile, slack)
	}
}

// countSlow counts the times above a quantile of the reference, and all times. Both are 0
// if the reference is empty.
func countSlow(h, reference *Hist, q float64, slack int) (k, n int) {
	b := reference.QuantileBucket(q)
	if b < 0 {
		return 0, 0
	}
	return h.Above(b + slack), h.Total()
}
