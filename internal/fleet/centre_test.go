package fleet

import (
	"fmt"
	"testing"
	"time"
)

// market plays the platform: reclaimable engines that can be taken away and
// refused, and engines that take a while to start.
type market struct {
	boot    time.Duration
	max     int
	centres []CentreEngines
	boots   []booting
	dry     time.Time // no reclaimable engines are to be had until then
	// leaving engines run on until the end of their notice.
	leaving []notice
}

type notice struct {
	engines int
	until   time.Time
}

type booting struct {
	centre int
	spare  bool
	at     time.Time
}

func newMarket(centres, steady, most int) *market {
	m := &market{boot: 4 * time.Second, max: most}
	for i := range centres {
		m.centres = append(m.centres, CentreEngines{DataCentre: fmt.Sprint("z", i), Price: 1, Ready: steady})
	}
	return m
}

// step lets a holder look at the market at now.
func (m *market) step(need, hold int, now time.Time) int {
	var left []booting
	for _, b := range m.boots {
		z := &m.centres[b.centre]
		switch {
		case b.at.After(now):
			left = append(left, b)
		case b.spare:
			z.Spare++
		default:
			z.Ready++
		}
	}
	m.boots = left
	for i := range m.centres {
		m.centres[i].Seen = max(m.centres[i].Seen, m.centres[i].Spare)
	}
	v := CentreView{Min: 1, Max: m.max, Boot: m.boot, Need: need, Recent: need, Hold: hold, Centres: m.centres}
	missing := v.Missing(now)
	for _, o := range Size(now, v) {
		for i := range m.centres {
			if m.centres[i].DataCentre == o.DataCentre {
				m.order(i, o.Want, now)
			}
		}
	}
	return missing
}

func (m *market) order(centre int, want Counts, now time.Time) {
	z := &m.centres[centre]
	asks := z.OrderedAt.IsZero() || want.Reclaimable != z.Ordered.Reclaimable || want == z.Ordered
	z.OrderedAt = now
	if asks {
		z.SpareAt, z.Seen = now, z.Spare
	}
	switch {
	case !asks: // a change of the other kind alone
	case now.Before(m.dry) && want.Reclaimable > z.Spare:
		z.Refused, z.Dry = now, true
	default:
		z.Dry, z.Ordered.Reclaimable = false, want.Reclaimable
		z.Spare = m.adjust(centre, true, z.Spare, want.Reclaimable, now)
	}
	z.Ordered.Steady = want.Steady
	z.Ready = m.adjust(centre, false, z.Ready, want.Steady, now)
}

func (m *market) adjust(centre int, spare bool, have, want int, now time.Time) int {
	coming := 0
	for _, b := range m.boots {
		if b.centre == centre && b.spare == spare {
			coming++
		}
	}
	for ; have+coming < want; coming++ {
		m.boots = append(m.boots, booting{centre, spare, now.Add(m.boot)})
	}
	return min(have, want)
}

// shortestNotice is the least time between the notice of a reclaim and its end.
const shortestNotice = 2 * time.Second

func (m *market) reclaim(centre int, now time.Time) {
	m.leaving = append(m.leaving, notice{m.centres[centre].Spare, now.Add(shortestNotice)})
	m.centres[centre].Spare = 0
}

func (m *market) ready(now time.Time) (n int) {
	for _, x := range m.leaving {
		if now.Before(x.until) {
			n += x.engines
		}
	}
	for _, z := range m.centres {
		n += z.Ready + z.Spare
	}
	return n
}

func (m *market) cost() (c float64) {
	for _, z := range m.centres {
		c += float64(z.Ready) + 0.15*float64(z.Spare)
	}
	return c
}

// Guards against a service that loses its engines in a series of reclaims: all
// data centres within seven seconds, with none to be had afterwards. The load is
// that of a quiet day on 9 engines.
func TestSeriesOfReclaims(t *testing.T) {
	for _, c := range []struct {
		name              string
		steady, need, max int
	}{{"small", 2, 6, 6}, {"large", 22, 120, 46}} {
		m := newMarket(4, c.steady, c.max)
		m.centres[0].Ready++
		begin := time.Unix(1_000_000, 0)
		hold := 0
		var held time.Time
		reclaims := map[int]int{18700: 3, 19800: 2, 23400: 1, 25800: 0}
		for ms := 0; ms < 60_000; ms += 100 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			if z, ok := reclaims[ms]; ok {
				m.reclaim(z, now)
				m.dry = now.Add(14 * time.Second)
			}
			if ms%300 == 0 {
				missing := m.step(c.need, hold, now)
				if missing >= hold || now.Sub(held) > 5*time.Second {
					hold, held = missing, now
				}
			}
			// Two data centres at once are more than any deployment must bear.
			least := c.need / 2
			if ms > 10_000 && m.ready(now) < least {
				t.Fatalf("%s: %d engines are ready after %d ms, want %d", c.name, m.ready(now), ms, least)
			}
		}
		if got, most := m.cost(), 0.4*float64(c.need); got > most {
			t.Errorf("%s: engines cost %v a second at the end, want at most %v", c.name, got, most)
		}
	}
}

// Guards against engines that are given up before their replacements are ready.
func TestReplacementIsReadyFirst(t *testing.T) {
	m := newMarket(4, 3, 6)
	begin := time.Unix(1_000_000, 0)
	for ms := 0; ms < 20_000; ms += 250 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		m.step(8, 0, now)
		if m.ready(now) < 8 {
			t.Fatalf("%d engines after %d ms, want 8", m.ready(now), ms)
		}
	}
	if m.centres[0].Ready > 0 {
		t.Error("engines at the full price were kept")
	}
}

// Guards against orders outside the bounds of a data centre.
func TestBounds(t *testing.T) {
	for need := range 200 {
		m := newMarket(4, need%7, 6)
		m.dry = time.Unix(1_000_000+int64(need%3), 0)
		for s := range 20 {
			now := time.Unix(1_000_000+int64(s), 0)
			v := CentreView{Min: 1, Max: 6, Boot: m.boot, Need: need, Recent: need, Centres: m.centres}
			for _, o := range Size(now, v) {
				if sum := o.Want.Steady + o.Want.Reclaimable; sum < 1 || o.Want.Steady > 6 || o.Want.Reclaimable > 6 {
					t.Fatalf("need %d: order %+v", need, o)
				}
			}
			m.step(need, 0, now)
		}
	}
}

// Guards against orders that are sent again and again without a change.
func TestNoOrdersWithoutAChange(t *testing.T) {
	m := newMarket(4, 2, 6)
	begin := time.Unix(1_000_000, 0)
	for ms := 0; ms < 30_000; ms += 250 {
		m.step(6, 0, begin.Add(time.Duration(ms)*time.Millisecond))
	}
	v := CentreView{Min: 1, Max: 6, Boot: m.boot, Need: 6, Recent: 6, Centres: m.centres}
	if got := Size(begin.Add(30*time.Second), v); len(got) > 0 {
		t.Errorf("orders %+v", got)
	}
}

// Guards against engines at the full price that run on although reclaimable ones are
// to be had again: a data centre that had none was asked again after 7 s only.
func TestReclaimableEnginesReturnSoon(t *testing.T) {
	for _, lasting := range []time.Duration{5 * time.Second, 9 * time.Second, 12 * time.Second} {
		m := newMarket(4, 0, 6)
		begin := time.Unix(1_000_000, 0)
		at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
		const taken = 10_000 // ms
		end := at(taken).Add(lasting)
		for ms := 0; ms < 40_000; ms += 250 {
			if ms == taken {
				m.reclaim(0, at(ms))
				m.reclaim(1, at(ms))
				m.dry = end
			}
			m.step(6, 0, at(ms))
			// A pause between two questions, a look, and a start.
			if back := at(ms).Sub(end); back > 1500*time.Millisecond+m.boot && (m.centres[0].Spare < 3 || m.centres[1].Spare < 3) {
				t.Fatalf("without reclaimable engines for %v: %d and %d of 3 are ready %v after they could be had", lasting, m.centres[0].Spare, m.centres[1].Spare, back)
			}
		}
	}
}
