package coord

import (
	"math"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// maxPaceAge is how long the pace that a server stated is passed on. It says little about the
// present after that.
const maxPaceAge = 2 * time.Second

// Pace is how long a backend server's work takes relative to usual, as the server stated at a
// time. The zero value is unknown.
type Pace struct {
	Factor float64
	At     time.Time
}

// newer returns the newer of two figures.
func (p Pace) newer(other Pace) Pace {
	if other.At.After(p.At) {
		return other
	}
	return p
}

// fresh returns the figure, or the zero value if it is too old to be passed on.
func (p Pace) fresh(now time.Time) Pace {
	if now.Sub(p.At) > maxPaceAge {
		return Pace{}
	}
	return p
}

// proto returns the wire form: per cent, at least 1, and the age in ms. Ages are sent because
// clocks differ.
func (p Pace) proto(now time.Time) (perCent, ageMs uint32) {
	p = p.fresh(now)
	if p.Factor <= 0 {
		return 0, 0
	}
	return uint32(min(max(math.Round(p.Factor*100), 1), math.MaxInt32)), uint32(max(now.Sub(p.At), 0).Milliseconds())
}

// paceFromProto decodes a figure that arrived now. Its time is late by the delay of the link.
func paceFromProto(perCent, ageMs uint32, now time.Time) Pace {
	if perCent == 0 {
		return Pace{}
	}
	return Pace{Factor: float64(perCent) / 100, At: now.Add(-time.Duration(ageMs) * time.Millisecond)}.fresh(now)
}

// addPaces adds the figures of the loads in out, which run parallel to it.
func addPaces(out *coordpb.Totals, paces []Pace, now time.Time) {
	known := false
	for _, p := range paces {
		known = known || p.fresh(now).Factor > 0
	}
	if !known {
		return
	}
	for _, p := range paces {
		perCent, ageMs := p.proto(now)
		out.Paces, out.PaceAgesMs = append(out.Paces, perCent), append(out.PaceAgesMs, ageMs)
	}
}

// paceAt returns the figure at position i of totals that arrived now. Instances of earlier program
// versions send none.
func paceAt(t *coordpb.Totals, i int, now time.Time) Pace {
	if i >= len(t.Paces) || i >= len(t.PaceAgesMs) {
		return Pace{}
	}
	return paceFromProto(t.Paces[i], t.PaceAgesMs[i], now)
}
