package cells

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/cells/cellpb"
)

// candidate is a cell with free capacity. The smallest score within a region is best.
type candidate struct {
	cell        int
	otherRegion bool
	score       float64
}

func (c candidate) compare(o candidate) int {
	if c.otherRegion != o.otherRegion {
		if o.otherRegion {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.score, o.score), cmp.Compare(c.cell, o.cell))
}

// Choose returns at most n other cells with free capacity for a request, best
// first: cells of this instance's region, then the others. Within a region the
// probability that a cell is first is proportional to its free slots divided by
// its price, so that instances with the same digests do not all choose the same
// cell. For given digests the order depends only on the request ID, so that a
// repeated request goes to the same cell.
func (t *Table) Choose(service, version, id string, n int, now time.Time) []Cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Cell
	for _, c := range t.candidates(serviceVersion{service, version}, id, now) {
		if len(out) == n {
			break
		}
		out = append(out, orderInstances(t.cells[c.cell], id))
	}
	return out
}

// candidates returns the cells with free capacity, best first. The caller holds t.mu.
func (t *Table) candidates(v serviceVersion, id string, now time.Time) []candidate {
	capacity, ok := t.capacity[v]
	if !ok || len(t.cells) == 0 {
		return nil
	}
	maxPrice := max(slices.Max(capacity.prices), 1.0/milliPerUnit)
	var out []candidate
	for i, c := range t.cells {
		free := capacity.freeSlots[i] - capacity.usedSlots[i]
		if free <= 0 || c.Name == t.cell || len(c.Callers) == 0 || !now.Before(t.expiresAt[i]) {
			continue
		}
		price := capacity.prices[i]
		if price == 0 { // no price announced
			price = maxPrice
		}
		out = append(out, candidate{i, c.Region != t.region, exponentialHash(c.Name+"\x00"+id) * price / float64(free)})
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// Others returns one instance of each of at most n other cells, for callers whose
// whole cell has failed. Cells of this instance's region come first. The order
// within a region depends on the caller's key.
func (t *Table) Others(key string, n int, now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []candidate
	for i, c := range t.cells {
		if c.Name != t.cell && len(c.Callers) > 0 && i < len(t.expiresAt) && now.Before(t.expiresAt[i]) {
			candidates = append(candidates, candidate{i, c.Region != t.region, exponentialHash(c.Name + "\x00" + key)})
		}
	}
	slices.SortFunc(candidates, candidate.compare)
	var out []Instance
	for _, c := range candidates[:min(n, len(candidates))] {
		out = append(out, orderInstances(t.cells[c.cell], key).Instances[0])
	}
	return out
}

// exponentialHash maps a key to an exponentially distributed value. If the values
// of several keys are divided by weights, the probability that a key has the
// smallest quotient is proportional to its weight.
func exponentialHash(key string) float64 {
	u := (float64(xxhash.Sum64String(key)>>11) + 0.5) / (1 << 53)
	return -math.Log(u)
}

// Sent counts a request of this instance against the free slots of a cell until
// done is called or the next digest arrives, which includes the request.
func (t *Table) Sent(cell, service, version string) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.cells, func(c *cellpb.Cell) bool { return c.Name == cell })
	capacity, ok := t.capacity[serviceVersion{service, version}]
	if !ok || i < 0 {
		return func() {}
	}
	capacity.usedSlots[i]++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		capacity.usedSlots[i]-- // the digest may have been replaced meanwhile
	})
}
