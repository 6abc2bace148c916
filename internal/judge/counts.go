package judge

import "math"

type counts struct {
	Counts
	crashes int
}

// referenceHalved is the number of windows after which the counts of the old
// version are halved, so that thresholds follow the daily change of load.
const referenceHalved = 120

// stratum holds what the old version did on one route at one load level.
type stratum struct {
	reference counts
	waited    int // folds since the last table
}

func (s *stratum) add(older *counts, windows float64) {
	if math.Mod(windows, referenceHalved) == 0 {
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

// marks returns the marked and all requests of a metric. The threshold between
// slow and fast depends on earlier windows only and is slack buckets higher for
// the new version.
func (c *counts) marks(m metric, s *stratum, slack int) (k, n int) {
	switch m.kind {
	case crashes:
		return c.crashes, int(c.Requests) + c.crashes
	case failures:
		return int(c.Errors) + c.crashes, int(c.Requests) + c.crashes
	case first:
		return slow(&c.First, &s.reference.First, m.q, slack)
	default:
		return slow(&c.Between, &s.reference.Between, m.q, slack)
	}
}

// slow counts the times above a quantile of the reference; without a reference nothing is counted.
func slow(h, reference *Hist, q float64, slack int) (k, n int) {
	b := reference.QuantileBucket(q)
	if b < 0 {
		return 0, 0
	}
	return h.Above(b + slack), h.Total()
}
