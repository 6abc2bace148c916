package cells

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/cells/cellpb"
)

// Collector sums the reports by cell at the leader. Its methods may be called
// concurrently.
type Collector struct {
	mu      sync.Mutex
	reports map[string]received // by node
	at      time.Time           // of the sums below
	hash    uint64              // of the directory
	full    []byte              // answer with the directory
	short   []byte              // answer without it
}

type received struct {
	*cellpb.Report
	at time.Time
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{reports: map[string]received{}} }

// Add takes the report of a node and returns the answer to it.
func (c *Collector) Add(node string, report []byte, now time.Time) ([]byte, error) {
	r := &cellpb.Report{}
	if err := proto.Unmarshal(report, r); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := check(r); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[node] = received{r, now}
	if c.full == nil || now.Sub(c.at) >= mergeEvery || now.Before(c.at) {
		if err := c.merge(now); err != nil {
			return nil, err
		}
	}
	if r.Directory == c.hash {
		return c.short, nil
	}
	return c.full, nil
}

func check(r *cellpb.Report) error {
	names := []string{r.Cell, r.Region, r.Callers, r.Peer}
	for _, o := range r.Offers {
		names = append(names, o.Service, o.Version)
	}
	for _, n := range names {
		if len(n) > maxNameBytes {
			return Error.New("a name of %d bytes; want at most %d", len(n), maxNameBytes)
		}
	}
	if r.Cell == "" || len(r.Offers) > maxOffers {
		return Error.New("cell %q with %d offers; want a name and at most %d offers", r.Cell, len(r.Offers), maxOffers)
	}
	return nil
}

// merge sums the reports of the window and drops older ones. mu is held.
func (c *Collector) merge(now time.Time) error {
	cells := map[string][]received{}
	for _, node := range slices.Sorted(maps.Keys(c.reports)) {
		r := c.reports[node]
		if now.Sub(r.at) >= window {
			delete(c.reports, node)
			continue
		}
		cells[r.Cell] = append(cells[r.Cell], r)
	}
	msg := &cellpb.Digests{}
	columns := map[version]*cellpb.Column{}
	for i, name := range slices.Sorted(maps.Keys(cells)) {
		cell := &cellpb.Cell{Name: name, Region: cells[name][0].Region}
		var oldest time.Duration
		for _, r := range cells[name] {
			oldest = max(oldest, now.Sub(r.at))
			if r.Callers != "" {
				cell.Callers, cell.Peers = append(cell.Callers, r.Callers), append(cell.Peers, r.Peer)
			}
			for _, o := range r.Offers {
				add(columns, o, i, len(cells))
			}
		}
		msg.Cells = append(msg.Cells, cell)
		// Until the next sums it grows by mergeEvery at most.
		msg.AgesMs = append(msg.AgesMs, uint32((oldest + mergeEvery).Milliseconds()))
	}
	for _, v := range slices.SortedFunc(maps.Keys(columns), version.compare) {
		msg.Columns = append(msg.Columns, columns[v])
	}
	return c.encode(msg, now)
}

// encode stores the answers. mu is held.
func (c *Collector) encode(msg *cellpb.Digests, now time.Time) error {
	msg.Directory = directoryHash(msg.Cells)
	full, err := proto.Marshal(msg)
	if err != nil {
		return Error.Wrap(err)
	}
	msg.Cells = nil
	short, err := proto.Marshal(msg)
	if err != nil {
		return Error.Wrap(err)
	}
	c.at, c.hash, c.full, c.short = now, msg.Directory, full, short
	return nil
}

type version struct{ service, version string }

func (v version) compare(o version) int {
	return cmp.Or(cmp.Compare(v.service, o.service), cmp.Compare(v.version, o.version))
}

// add adds an offer to the column of its version. The price of a cell is the
// mean over its free slots.
func add(columns map[version]*cellpb.Column, o *cellpb.Offer, cell, cells int) {
	if o.Free == 0 {
		return
	}
	v := version{o.Service, o.Version}
	c := columns[v]
	if c == nil {
		c = &cellpb.Column{Service: o.Service, Version: o.Version, Free: make([]uint32, cells), PriceMilli: make([]uint32, cells)}
		columns[v] = c
	}
	old, more := uint64(c.Free[cell]), uint64(min(o.Free, maxFree))
	sum := old + more
	price := (old*uint64(c.PriceMilli[cell]) + more*uint64(o.PriceMilli)) / sum
	c.Free[cell], c.PriceMilli[cell] = uint32(min(sum, math.MaxInt32)), uint32(min(price, math.MaxUint32))
}

// directoryHash identifies a directory; it is never 0.
func directoryHash(cells []*cellpb.Cell) uint64 {
	d := xxhash.New()
	for _, c := range cells {
		for _, s := range slices.Concat([]string{c.Name, c.Region}, c.Callers, c.Peers) {
			_, _ = d.WriteString(s)
			_, _ = d.WriteString("\x00")
		}
		_, _ = d.WriteString("\x01")
	}
	return max(d.Sum64(), 1)
}
