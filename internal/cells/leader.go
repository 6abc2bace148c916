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

// Collector sums the reports by cell on the leader. Its methods are safe for
// concurrent use.
type Collector struct {
	mu            sync.Mutex
	reports       map[string]receivedReport // by instance
	mergedAt      time.Time                 // when the replies below were computed
	directoryHash uint64                    // identifies the current directory
	fullReply     []byte                    // with the directory
	shortReply    []byte                    // without the directory
}

type receivedReport struct {
	*cellpb.Report
	receivedAt time.Time
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{reports: map[string]receivedReport{}} }

// Add processes the report of an instance and returns the reply.
func (c *Collector) Add(instance string, report []byte, now time.Time) ([]byte, error) {
	r := &cellpb.Report{}
	if err := proto.Unmarshal(report, r); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := validate(r); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[instance] = receivedReport{r, now}
	if c.fullReply == nil || now.Sub(c.mergedAt) >= mergeInterval || now.Before(c.mergedAt) {
		if err := c.merge(now); err != nil {
			return nil, err
		}
	}
	if r.Directory == c.directoryHash {
		return c.shortReply, nil
	}
	return c.fullReply, nil
}

func validate(r *cellpb.Report) error {
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

// merge sums the reports and drops those older than reportTTL. The caller holds c.mu.
func (c *Collector) merge(now time.Time) error {
	cells := map[string][]receivedReport{}
	for _, instance := range slices.Sorted(maps.Keys(c.reports)) {
		r := c.reports[instance]
		if now.Sub(r.receivedAt) >= reportTTL {
			delete(c.reports, instance)
			continue
		}
		cells[r.Cell] = append(cells[r.Cell], r)
	}
	msg := &cellpb.Digests{}
	columns := map[serviceVersion]*cellpb.Column{}
	for i, name := range slices.Sorted(maps.Keys(cells)) {
		cell := &cellpb.Cell{Name: name, Region: cells[name][0].Region}
		var oldest time.Duration
		for _, r := range cells[name] {
			oldest = max(oldest, now.Sub(r.receivedAt))
			if r.Callers != "" {
				cell.Callers, cell.Peers = append(cell.Callers, r.Callers), append(cell.Peers, r.Peer)
			}
			for _, o := range r.Offers {
				addOffer(columns, o, i, len(cells))
			}
		}
		msg.Cells = append(msg.Cells, cell)
		// The reply is reused for up to mergeInterval.
		msg.AgesMs = append(msg.AgesMs, uint32((oldest + mergeInterval).Milliseconds()))
	}
	for _, v := range slices.SortedFunc(maps.Keys(columns), serviceVersion.compare) {
		msg.Columns = append(msg.Columns, columns[v])
	}
	return c.encode(msg, now)
}

// encode updates the encoded replies. The caller holds c.mu.
func (c *Collector) encode(msg *cellpb.Digests, now time.Time) error {
	msg.Directory = hashDirectory(msg.Cells)
	full, err := proto.Marshal(msg)
	if err != nil {
		return Error.Wrap(err)
	}
	msg.Cells = nil
	short, err := proto.Marshal(msg)
	if err != nil {
		return Error.Wrap(err)
	}
	c.mergedAt, c.directoryHash, c.fullReply, c.shortReply = now, msg.Directory, full, short
	return nil
}

type serviceVersion struct{ service, version string }

func (v serviceVersion) compare(o serviceVersion) int {
	return cmp.Or(cmp.Compare(v.service, o.service), cmp.Compare(v.version, o.version))
}

// addOffer adds an offer to the column of its version. The price of a cell is the
// mean price of its free slots.
func addOffer(columns map[serviceVersion]*cellpb.Column, o *cellpb.Offer, cell, cells int) {
	if o.Free == 0 {
		return
	}
	v := serviceVersion{o.Service, o.Version}
	c := columns[v]
	if c == nil {
		c = &cellpb.Column{Service: o.Service, Version: o.Version, Free: make([]uint32, cells), PriceMilli: make([]uint32, cells)}
		columns[v] = c
	}
	oldSlots, newSlots := uint64(c.Free[cell]), uint64(min(o.Free, maxFreeSlots))
	sum := oldSlots + newSlots
	price := (oldSlots*uint64(c.PriceMilli[cell]) + newSlots*uint64(o.PriceMilli)) / sum
	c.Free[cell], c.PriceMilli[cell] = uint32(min(sum, math.MaxInt32)), uint32(min(price, math.MaxUint32))
}

// hashDirectory returns the identifier of a directory, which is never 0.
func hashDirectory(cells []*cellpb.Cell) uint64 {
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
