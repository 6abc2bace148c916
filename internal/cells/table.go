package cells

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/cells/cellpb"
)

// Table is what one entry instance knows of the other cells. Its methods may be
// called concurrently.
type Table struct {
	cell, region string
	started      time.Time

	mu      sync.Mutex
	hash    uint64 // of the directory
	cells   []*cellpb.Cell
	until   []time.Time // by cell: when its digest ends
	columns map[version]column
	seen    map[string]time.Time // by cell: end of its latest digest
	sent    time.Time            // of the report that the digests answer
}

// column is the free capacity of each cell for one version.
type column struct {
	free  []int
	price []float64
	used  []int // requests that this instance has sent since the digest and that run
}

// NewTable returns a table without digests for an instance of the named cell.
func NewTable(cell, region string, now time.Time) *Table {
	return &Table{cell: cell, region: region, started: now, seen: map[string]time.Time{}}
}

// Fill encodes a report of this instance.
func (t *Table) Fill(r Report) ([]byte, error) {
	t.mu.Lock()
	msg := &cellpb.Report{Cell: r.Cell, Region: r.Region, Callers: r.Callers, Peer: r.Peer, Directory: t.hash}
	t.mu.Unlock()
	for _, o := range r.Offers {
		msg.Offers = append(msg.Offers, &cellpb.Offer{
			Service: o.Service, Version: o.Version, Free: uint32(min(max(o.Free, 0), maxFree)),
			PriceMilli: uint32(min(max(o.Price*milli, 0), math.MaxUint32)),
		})
	}
	b, err := proto.Marshal(msg)
	return b, Error.Wrap(err)
}

// Take applies the answer to a report that was sent at a time of this
// instance's clock, from which the age of each digest counts.
func (t *Table) Take(answer []byte, sent time.Time) error {
	var msg cellpb.Digests
	if err := proto.Unmarshal(answer, &msg); err != nil {
		return Error.Wrap(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.Before(t.sent) {
		return nil // an answer that was overtaken
	}
	if len(msg.Cells) > 0 && !slices.ContainsFunc(msg.Cells, func(c *cellpb.Cell) bool { return len(c.Callers) != len(c.Peers) }) {
		t.hash, t.cells = msg.Directory, msg.Cells
	}
	if msg.Directory != t.hash || !fits(&msg, len(t.cells)) {
		t.hash, t.until, t.columns = 0, nil, nil // the next answer brings the directory
		return Error.New("the answer does not belong to the directory that is held")
	}
	t.sent, t.until, t.columns = sent, make([]time.Time, len(t.cells)), map[version]column{}
	for i, c := range t.cells {
		t.until[i] = sent.Add(MaxAge - time.Duration(msg.AgesMs[i])*time.Millisecond)
		t.seen[c.Name] = t.until[i]
	}
	for _, c := range msg.Columns {
		t.columns[version{c.Service, c.Version}] = columnOf(c)
	}
	return nil
}

// fits reports whether the values of an answer belong to n cells.
func fits(msg *cellpb.Digests, n int) bool {
	if len(msg.AgesMs) != n {
		return false
	}
	return !slices.ContainsFunc(msg.Columns, func(c *cellpb.Column) bool { return len(c.Free) != n || len(c.PriceMilli) != n })
}

func columnOf(c *cellpb.Column) column {
	out := column{free: make([]int, len(c.Free)), price: make([]float64, len(c.Free)), used: make([]int, len(c.Free))}
	for i := range c.Free {
		out.free[i], out.price[i] = int(min(c.Free[i], math.MaxInt32)), float64(c.PriceMilli[i])/milli
	}
	return out
}

// Known returns the cell of that name, with its instances in the order to try for
// a request id. It may be older than a digest that counts.
func (t *Table) Known(name, id string) (Cell, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.cells {
		if c.Name == name && len(c.Callers) > 0 {
			return cellOf(c, id), true
		}
	}
	return Cell{}, false
}

// Current returns the number of other cells with a digest that counts.
func (t *Table) Current(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for i, until := range t.until {
		if now.Before(until) && t.cells[i].Name != t.cell {
			n++
		}
	}
	return n
}

// Peers returns the peer addresses of the instances of other cells.
func (t *Table) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, c := range t.cells {
		if c.Name != t.cell {
			out = append(out, c.Peers...)
		}
	}
	return out
}

// Present reports whether a cell reported to control a short while ago. Until
// this instance has run for that long every cell counts as present.
func (t *Table) Present(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.seen[name]
	if !ok {
		last = t.started
	}
	return now.Sub(last) < remembered
}

// cellOf orders the instances by rendezvous hash, so that a repeat of a request
// finds the instance that has it.
func cellOf(c *cellpb.Cell, id string) Cell {
	out := Cell{Name: c.Name}
	for i, addr := range c.Callers {
		out.Instances = append(out.Instances, Instance{addr, c.Peers[i]})
	}
	score := func(i Instance) uint64 { return xxhash.Sum64String(i.Callers + "\x00" + id) }
	slices.SortFunc(out.Instances, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Callers, b.Callers))
	})
	return out
}
