package entry

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/world"
)

// CellsSection names the section of reports to control that describes this
// instance's part of the cell. The reply contains the digests of all cells.
const CellsSection = "cells"

// BuildCells builds the cells section: the free capacity of the backend servers
// that announce themselves to this instance.
func (e *Entry) BuildCells(now time.Time) []byte {
	s, self := e.cfg.Settings, e.member.Self()
	r := cells.Report{Cell: s.Cell, Region: s.Region}
	if self.Serving && !self.Draining {
		r.Callers, r.Peer = self.Callers, self.Address
	}
	for _, p := range e.member.Announced(now) {
		if p.State != world.Ready || !p.LeaveBy.IsZero() {
			continue
		}
		free := p.Slots - p.Load.Running - p.Load.Waiting
		for _, v := range p.Versions {
			r.Offers = append(r.Offers, cells.Offer{Service: p.Service, Version: v, Free: max(free, 0), Price: p.Price})
		}
	}
	b, err := e.cells.Fill(r)
	if err != nil {
		return nil // control rejects the empty section; without digests nothing is forwarded
	}
	return b
}

// ApplyCells applies the reply from control, which contains the digests of all
// cells.
func (e *Entry) ApplyCells(answer []byte, sent, _ time.Time) {
	// If the reply refers to a directory that is not held here, the next reply
	// contains it.
	_ = e.cells.Take(answer, sent)
}

// OtherCellPeers returns the peer addresses of entry instances of other cells.
func (e *Entry) OtherCellPeers() []string { return e.cells.Peers() }
