package site

import "time"

// delay returns the one-way delay between two nodes, given by their addresses for
// peers: cfg.LinkDelay between data centres, none within one and none to backend
// servers, whose simulators have no place on the network.
func (s *Site) delay(from, to string) time.Duration {
	a, b := s.dataCentre(from), s.dataCentre(to)
	if a == "" || b == "" || a == b {
		return 0
	}
	return s.cfg.LinkDelay
}

func (s *Site) dataCentre(peers string) string {
	for _, set := range s.settings {
		if set.Listen.Peers == peers {
			return set.DataCentre
		}
	}
	return ""
}
