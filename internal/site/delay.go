package site

import "time"

// delay returns the one-way delay between two nodes, given by their addresses for
// peers: cfg.LinkDelay between data centres, none within one.
func (s *Site) delay(from, to string) time.Duration {
	if s.dataCentre(from) == s.dataCentre(to) {
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
