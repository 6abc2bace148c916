// Package cells distributes digests of the free capacity of each cell to the
// other cells of a deployment. Entry instances report the backend servers that
// announce themselves to them, and the leader of the configuration group sums the
// reports by cell. Its replies carry one value per cell, so that their size does
// not grow with the number of instances or servers.
package cells

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("cells")

const (
	// DigestTTL is how long a digest is valid. It covers a report and a reply that
	// are each one second old, and one lost report.
	DigestTTL = 4 * time.Second
	// reportTTL is how long the leader uses a report.
	reportTTL = 3 * time.Second
	// mergeInterval is how long the leader reuses the same sums.
	mergeInterval = 250 * time.Millisecond
	// presenceTTL is how long a cell counts as present after its last digest. It
	// is longer than a leader change, after which the leader has no reports yet.
	presenceTTL = time.Minute
	// maxOffers and maxNameBytes limit one report.
	maxOffers    = 1024
	maxNameBytes = 256
	// maxFreeSlots limits the free slots of one offer, so that sums do not overflow.
	maxFreeSlots = 1 << 20
	// milliPerUnit converts prices to the unit of the protocol, thousandths.
	milliPerUnit = 1000
)

// Offer is the free capacity for one version of a service.
type Offer struct {
	Service, Version string
	Free             int     // free slots
	Price            float64 // of a slot, in the unit of server announcements
}

// Report is an entry instance's report about its cell.
type Report struct {
	Cell, Region string
	// Callers is the address for callers; empty while the instance accepts no requests.
	Callers string
	Peer    string  // address of the peer listener
	Offers  []Offer // of the backend servers that announce themselves to the instance
}

// Cell is a cell with its entry instances.
type Cell struct {
	Name      string
	Instances []Instance // in the order in which to try them
}

// Instance holds the addresses of an entry instance that accepts requests.
type Instance struct{ Callers, Peer string }
