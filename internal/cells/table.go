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

// Table holds an entry instance's digests of all cells. Its methods are safe for
// concurrent use.
type Table struct {
	cell, region string
	started      time.Time

	mu            sync.Mutex
	directoryHash uint64 // identifies the current directory; 0 without one
	cells         []*cellpb.Cell
	expiresAt     []time.Time // by cell: when its digest expires
	capacity      map[serviceVersion]versionCapacity
	digestEnds    map[string]time.Time // by cell: when its last digest expires
	reportSentAt  time.Time            // when the report for these digests was sent
}

// versionCapacity is the free capacity of each cell for one service version.
type versionCapacity struct {
	freeSlots []int
	prices    []float64
	usedSlots []int // requests in flight that this instance sent after the digest
}

// NewTable returns a table without digests for an instance of a cell.
func NewTable(cell, region string, now time.Time) *Table {
	return &Table{cell: cell, region: region, started: now, digestEnds: map[string]time.Time{}}
}

// Fill returns the encoded report of this instance.
func (t *Table) Fill(r Report) ([]byte, error) {
	t.mu.Lock()
	msg := &cellpb.Report{Cell: r.Cell, Region: r.Region, Callers: r.Callers, Peer: r.Peer, Directory: t.directoryHash}
	t.mu.Unlock()
	for _, o := range r.Offers {
		msg.Offers = append(msg.Offers, &cellpb.Offer{
			Service: o.Service, Version: o.Version, Free: uint32(min(max(o.Free, 0), maxFreeSlots)),
			PriceMilli: uint32(min(max(o.Price*milliPerUnit, 0), math.MaxUint32)),
		})
	}
	b, err := proto.Marshal(msg)
	return b, Error.Wrap(err)
}

// Take applies the reply to a report. sent is the time on this instance's clock
// at which the report was sent; digest ages are relative to it.
func (t *Table) Take(reply []byte, sent time.Time) error {
	var msg cellpb.Digests
	if err := proto.Unmarshal(reply, &msg); err != nil {
		return Error.Wrap(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.Before(t.reportSentAt) {
		return nil // reply to an older report
	}
	if len(msg.Cells) > 0 && !slices.ContainsFunc(msg.Cells, func(c *cellpb.Cell) bool { return len(c.Callers) != len(c.Peers) }) {
		t.directoryHash, t.cells = msg.Directory, msg.Cells
	}
	if msg.Directory != t.directoryHash || !matchesDirectory(&msg, len(t.cells)) {
		t.directoryHash, t.expiresAt, t.capacity = 0, nil, nil // requests the directory in the next reply
		return Error.New("reply does not match the current directory")
	}
	t.reportSentAt, t.expiresAt, t.capacity = sent, make([]time.Time, len(t.cells)), map[serviceVersion]versionCapacity{}
	for i, c := range t.cells {
		t.expiresAt[i] = sent.Add(DigestTTL - time.Duration(msg.AgesMs[i])*time.Millisecond)
		t.digestEnds[c.Name] = t.expiresAt[i]
	}
	for _, c := range msg.Columns {
		t.capacity[serviceVersion{c.Service, c.Version}] = versionCapacityFromProto(c)
	}
	return nil
}

// matchesDirectory reports whether a reply has values for n cells.
func matchesDirectory(msg *cellpb.Digests, n int) bool {
	if len(msg.AgesMs) != n {
		return false
	}
	return !slices.ContainsFunc(msg.Columns, func(c *cellpb.Column) bool { return len(c.Free) != n || len(c.PriceMilli) != n })
}

func versionCapacityFromProto(c *cellpb.Column) versionCapacity {
	out := versionCapacity{freeSlots: make([]int, len(c.Free)), prices: make([]float64, len(c.Free)), usedSlots: make([]int, len(c.Free))}
	for i := range c.Free {
		out.freeSlots[i], out.prices[i] = int(min(c.Free[i], math.MaxInt32)), float64(c.PriceMilli[i])/milliPerUnit
	}
	return out
}

// Known returns the cell with a name, with its instances in the order in which to
// try them for a request ID. The digest of the cell may have expired.
func (t *Table) Known(name, id string) (Cell, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.cells {
		if c.Name == name && len(c.Callers) > 0 {
			return orderInstances(c, id), true
		}
	}
	return Cell{}, false
}

// Current returns the number of other cells with a valid digest.
func (t *Table) Current(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for i, until := range t.expiresAt {
		if now.Before(until) && t.cells[i].Name != t.cell {
			n++
		}
	}
	return n
}

// Peers returns the peer addresses of the instances in other cells.
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

// Present reports whether a cell reported to control within about presenceTTL.
// Cells that this instance has not seen count as present until presenceTTL after
// its start.
func (t *Table) Present(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.digestEnds[name]
	if !ok {
		last = t.started
	}
	return now.Sub(last) < presenceTTL
}

// orderInstances orders the instances of a cell by rendezvous hash, so that a
// repeated request reaches the instance that handled it before.
func orderInstances(c *cellpb.Cell, id string) Cell {
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
