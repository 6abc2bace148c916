// Package cells lets the cells of a deployment know of each other by digests of
// their free capacity. Entry instances report the servers that announce
// themselves to them, the leader of the configuration group sums the reports by
// cell, and its answers carry one value for each cell, so that their size does
// not grow with the number of instances or servers.
package cells

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("cells")

const (
	// MaxAge bounds the age of a digest that counts. It covers a report and an
	// answer that are each a second old, and one report that was lost.
	MaxAge = 4 * time.Second
	// window is how long a report counts at the leader.
	window = 3 * time.Second
	// mergeEvery is how long the leader gives out the same sums.
	mergeEvery = 250 * time.Millisecond
	// remembered is how long a cell counts as present after its last digest. A
	// change of the leader, which begins without reports, is shorter.
	remembered = time.Minute
	// maxOffers and maxNameBytes bound one report.
	maxOffers    = 1024
	maxNameBytes = 256
	// maxFree bounds the free slots of one offer, so that sums do not overflow.
	maxFree = 1 << 20
	// milli is the number of wire units in one unit of price.
	milli = 1000
)

// Offer is the free capacity for one version of a service.
type Offer struct {
	Service, Version string
	Free             int     // slots
	Price            float64 // of a slot, in the unit of the announcements
}

// Report is what an entry instance says of its cell.
type Report struct {
	Cell, Region string
	// Callers is the instance's callers' address; empty while it takes no requests.
	Callers string
	Peer    string  // address of its peer listener
	Offers  []Offer // of the backend servers that announce themselves to it
}

// Cell is a cell that has room for a request.
type Cell struct {
	Name      string
	Instances []Instance // in the order to try
}

// Instance is an entry instance that takes requests, by its addresses.
type Instance struct{ Callers, Peer string }
