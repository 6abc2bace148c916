package judge

import (
	"math"
	"time"
)

// The histogram has four buckets per octave, which resolves times that differ by 19%, from
// 0.25 ms to 65 s. Times outside this range count in the first or last bucket.
const (
	bucketsPerOctave = 4
	minTime          = 250 * time.Microsecond
	buckets          = 18 * bucketsPerOctave
)

// Hist counts times in logarithmic buckets. Histograms are merged by adding their buckets.
type Hist [buckets]uint32

// bucketOf returns the bucket that holds d.
func bucketOf(d time.Duration) int {
	if d <= minTime {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(d)/float64(minTime))), buckets-1)
}

// Add counts one time.
func (h *Hist) Add(d time.Duration) { h[bucketOf(d)]++ }

// Merge adds the counts of o.
func (h *Hist) Merge(o *Hist) {
	for i, n := range o {
		h[i] += n
	}
}

// Total returns the number of times counted.
func (h *Hist) Total() int {
	n := 0
	for _, c := range h {
		n += int(c)
	}
	return n
}

// Above returns the number of times in buckets above b.
func (h *Hist) Above(b int) int {
	n := 0
	for _, c := range h[min(b+1, buckets):] {
		n += int(c)
	}
	return n
}

// QuantileBucket returns the lowest bucket such that at most the share 1-q of the times
// is above that bucket, or -1 for an empty histogram.
func (h *Hist) QuantileBucket(q float64) int {
	total := h.Total()
	if total == 0 {
		return -1
	}
	limit, above := (1-q)*float64(total), 0
	for b := buckets - 1; b > 0; b-- {
		above += int(h[b])
		if float64(above) > limit {
			return b
		}
	}
	return 0
}

// pack encodes the non-empty buckets as pairs of index difference and count.
func (h *Hist) pack() []uint32 {
	var out []uint32
	last := 0
	for i, n := range h {
		if n == 0 {
			continue
		}
		out = append(out, uint32(i-last), n)
		last = i
	}
	return out
}

func unpack(in []uint32) (Hist, error) {
	var h Hist
	if len(in)%2 != 0 || len(in) > 2*buckets {
		return h, Error.New("histogram has %d numbers; want pairs for at most %d buckets", len(in), buckets)
	}
	i := 0
	for p := 0; p < len(in); p += 2 {
		if in[p] >= buckets || i+int(in[p]) >= buckets {
			return h, Error.New("histogram bucket is outside 0 to %d", buckets-1)
		}
		i += int(in[p])
		h[i] = in[p+1]
	}
	return h, nil
}
