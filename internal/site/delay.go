package site

import "time"

// linkDelay returns the one-way delay between two nodes, which are given by their peer
// addresses: cfg.LinkDelay between data centres and zero within a data centre.
// Connections to backend servers have no delay, because the simulated servers have no
// network location.
func (s *Site) linkDelay(from, to string) time.Duration {
	a, b := s.dataCentreOf(from), s.dataCentreOf(to)
	if a == "" || b == "" || a == b {
		return 0
	}
	return s.cfg.LinkDelay
}

func (s *Site) dataCentreOf(peerAddr string) string {
	for _, settings := range s.settings {
		if settings.Listen.Peers == peerAddr {
			return settings.DataCentre
		}
	}
	return ""
}
