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

// candidate is a cell with room; the smallest score within a region is best.
type candidate struct {
	cell  int
	far   bool // in another region
	score float64
}

func (c candidate) compare(o candidate) int {
	if c.far != o.far {
		if o.far {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.score, o.score), cmp.Compare(c.cell, o.cell))
}

// Choose returns at most n other cells with room for a request, best first:
// those of this instance's region, then the rest. Within a region a cell is
// first with a probability in proportion to its free slots by price, so that
// instances that act on the same digests do not all choose the same cell. The
// order depends on the request's id alone while the digests stay, so that a
// repeat goes to the same cell.
func (t *Table) Choose(service, v, id string, n int, now time.Time) []Cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Cell
	for _, c := range t.candidates(version{service, v}, id, now) {
		if len(out) == n {
			break
		}
		out = append(out, cellOf(t.cells[c.cell], id))
	}
	return out
}

// candidates returns the cells with room in the order of preference. mu is held.
func (t *Table) candidates(v version, id string, now time.Time) []candidate {
	col, ok := t.columns[v]
	if !ok || len(t.cells) == 0 {
		return nil
	}
	highest := max(slices.Max(col.price), 1.0/milli)
	var out []candidate
	for i, c := range t.cells {
		free := col.free[i] - col.used[i]
		if free <= 0 || c.Name == t.cell || len(c.Callers) == 0 || !now.Before(t.until[i]) {
			continue
		}
		price := col.price[i]
		if price == 0 { // not announced
			price = highest
		}
		out = append(out, candidate{i, c.Region != t.region, exponential(c.Name+"\x00"+id) * price / float64(free)})
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// Others returns one instance of each of at most n other cells, for callers
// whose own cell is lost as a whole: cells of this instance's region first, in
// an order that depends on the caller's key.
func (t *Table) Others(key string, n int, now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []candidate
	for i, c := range t.cells {
		if c.Name != t.cell && len(c.Callers) > 0 && i < len(t.until) && now.Before(t.until[i]) {
			all = append(all, candidate{i, c.Region != t.region, exponential(c.Name + "\x00" + key)})
		}
	}
	slices.SortFunc(all, candidate.compare)
	var out []Instance
	for _, c := range all[:min(n, len(all))] {
		out = append(out, cellOf(t.cells[c.cell], key).Instances[0])
	}
	return out
}

// exponential draws from the exponential distribution by hash. The smallest of
// several draws, each divided by its weight, falls on each with a probability
// in proportion to the weight.
func exponential(key string) float64 {
	u := (float64(xxhash.Sum64String(key)>>11) + 0.5) / (1 << 53)
	return -math.Log(u)
}

// Sent counts a request of this instance against the free slots of a cell until
// done is called, or until the next digest, which has counted it.
func (t *Table) Sent(cell, service, v string) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.cells, func(c *cellpb.Cell) bool { return c.Name == cell })
	col, ok := t.columns[version{service, v}]
	if !ok || i < 0 {
		return func() {}
	}
	col.used[i]++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		col.used[i]-- // of a digest that may have been replaced
	})
}
