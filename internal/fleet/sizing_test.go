package fleet

import (
	"fmt"
	"testing"
	"time"
)

// fakePlatform simulates a platform that reclaims and refuses reclaimable servers, and
// whose servers take time to start.
type fakePlatform struct {
	startupTime    time.Duration
	max            int
	dataCentres    []DataCentreServers
	starting       []startingServer
	exhaustedUntil time.Time // reclaimable servers are refused until then
	// reclaimed servers run until the end of their notice.
	reclaimed []reclaimNotice
}

type reclaimNotice struct {
	servers int
	until   time.Time
}

type startingServer struct {
	dataCentre  int
	reclaimable bool
	readyAt     time.Time
}

func newFakePlatform(dataCentres, onDemand, maxServers int) *fakePlatform {
	m := &fakePlatform{startupTime: 4 * time.Second, max: maxServers}
	for i := range dataCentres {
		m.dataCentres = append(m.dataCentres, DataCentreServers{DataCentre: fmt.Sprint("z", i), OnDemandPrice: 1, ReadyOnDemand: onDemand})
	}
	return m
}

// step runs the sizing at now and executes its orders. It returns the missing servers.
func (m *fakePlatform) step(load, minOnDemand int, now time.Time) int {
	var remaining []startingServer
	for _, b := range m.starting {
		dc := &m.dataCentres[b.dataCentre]
		switch {
		case b.readyAt.After(now):
			remaining = append(remaining, b)
		case b.reclaimable:
			dc.ReadyReclaimable++
		default:
			dc.ReadyOnDemand++
		}
	}
	m.starting = remaining
	for i := range m.dataCentres {
		m.dataCentres[i].PeakReclaimable = max(m.dataCentres[i].PeakReclaimable, m.dataCentres[i].ReadyReclaimable)
	}
	v := SizingView{Min: 1, Max: m.max, StartupTime: m.startupTime, PeakServers: load, RecentServers: load, MinOnDemand: minOnDemand, DataCentres: m.dataCentres}
	missing := v.MissingOnDemand(now)
	for _, o := range Size(now, v) {
		for i := range m.dataCentres {
			if m.dataCentres[i].DataCentre == o.DataCentre {
				m.order(i, o.Target, now)
			}
		}
	}
	return missing
}

func (m *fakePlatform) order(dcIndex int, want Counts, now time.Time) {
	dc := &m.dataCentres[dcIndex]
	ordersReclaimable := dc.OrderedAt.IsZero() || want.Reclaimable != dc.Ordered.Reclaimable || want == dc.Ordered
	dc.OrderedAt = now
	if ordersReclaimable {
		dc.ReclaimableOrderedAt, dc.PeakReclaimable = now, dc.ReadyReclaimable
	}
	switch {
	case !ordersReclaimable: // only the number of on-demand servers changes
	case now.Before(m.exhaustedUntil) && want.Reclaimable > dc.ReadyReclaimable:
		dc.RefusedAt, dc.ReclaimableUnavailable = now, true
	default:
		dc.ReclaimableUnavailable, dc.Ordered.Reclaimable = false, want.Reclaimable
		dc.ReadyReclaimable = m.adjust(dcIndex, true, dc.ReadyReclaimable, want.Reclaimable, now)
	}
	dc.Ordered.OnDemand = want.OnDemand
	dc.ReadyOnDemand = m.adjust(dcIndex, false, dc.ReadyOnDemand, want.OnDemand, now)
}

func (m *fakePlatform) adjust(dcIndex int, reclaimable bool, ready, want int, now time.Time) int {
	starting := 0
	for _, b := range m.starting {
		if b.dataCentre == dcIndex && b.reclaimable == reclaimable {
			starting++
		}
	}
	for ; ready+starting < want; starting++ {
		m.starting = append(m.starting, startingServer{dcIndex, reclaimable, now.Add(m.startupTime)})
	}
	return min(ready, want)
}

// minNotice is the minimum time between a reclaim notice and the reclaim.
const minNotice = 2 * time.Second

func (m *fakePlatform) reclaim(dcIndex int, now time.Time) {
	m.reclaimed = append(m.reclaimed, reclaimNotice{m.dataCentres[dcIndex].ReadyReclaimable, now.Add(minNotice)})
	m.dataCentres[dcIndex].ReadyReclaimable = 0
}

func (m *fakePlatform) readyServers(now time.Time) (n int) {
	for _, x := range m.reclaimed {
		if now.Before(x.until) {
			n += x.servers
		}
	}
	for _, dc := range m.dataCentres {
		n += dc.ReadyOnDemand + dc.ReadyReclaimable
	}
	return n
}

func (m *fakePlatform) cost() (c float64) {
	for _, dc := range m.dataCentres {
		c += float64(dc.ReadyOnDemand) + 0.15*float64(dc.ReadyReclaimable)
	}
	return c
}

// Guards against a service that loses its servers in a series of reclaims: all data
// centres within 7.1 s, without new reclaimable servers for a time after each.
// The small case has the load of a quiet day and begins with 9 on-demand servers.
func TestSeriesOfReclaims(t *testing.T) {
	for _, c := range []struct {
		name                string
		onDemand, need, max int
	}{{"small", 2, 6, 6}, {"large", 22, 120, 46}} {
		m := newFakePlatform(4, c.onDemand, c.max)
		m.dataCentres[0].ReadyOnDemand++
		begin := time.Unix(1_000_000, 0)
		minOnDemand := 0
		var minOnDemandSince time.Time
		reclaims := map[int]int{18700: 3, 19800: 2, 23400: 1, 25800: 0}
		for ms := 0; ms < 60_000; ms += 100 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			if dcIndex, ok := reclaims[ms]; ok {
				m.reclaim(dcIndex, now)
				m.exhaustedUntil = now.Add(14 * time.Second)
			}
			if ms%300 == 0 {
				missing := m.step(c.need, minOnDemand, now)
				if missing >= minOnDemand || now.Sub(minOnDemandSince) > 5*time.Second {
					minOnDemand, minOnDemandSince = missing, now
				}
			}
			// No deployment has to tolerate the loss of two data centres at the same time.
			minReady := c.need / 2
			if ms > 10_000 && m.readyServers(now) < minReady {
				t.Fatalf("%s: %d servers are ready after %d ms, want %d", c.name, m.readyServers(now), ms, minReady)
			}
		}
		if got, maxCost := m.cost(), 0.4*float64(c.need); got > maxCost {
			t.Errorf("%s: servers cost %v a second at the end, want at most %v", c.name, got, maxCost)
		}
	}
}

// Guards against releasing servers before their replacements are ready.
func TestReplacementIsReadyFirst(t *testing.T) {
	m := newFakePlatform(4, 3, 6)
	begin := time.Unix(1_000_000, 0)
	for ms := 0; ms < 20_000; ms += 250 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		m.step(8, 0, now)
		if m.readyServers(now) < 8 {
			t.Fatalf("%d servers after %d ms, want 8", m.readyServers(now), ms)
		}
	}
	if m.dataCentres[0].ReadyOnDemand > 0 {
		t.Error("on-demand servers were kept")
	}
}

// Guards against orders outside the limits of a data centre.
func TestBounds(t *testing.T) {
	for need := range 200 {
		m := newFakePlatform(4, need%7, 6)
		m.exhaustedUntil = time.Unix(1_000_000+int64(need%3), 0)
		for s := range 20 {
			now := time.Unix(1_000_000+int64(s), 0)
			v := SizingView{Min: 1, Max: 6, StartupTime: m.startupTime, PeakServers: need, RecentServers: need, DataCentres: m.dataCentres}
			for _, o := range Size(now, v) {
				if sum := o.Target.OnDemand + o.Target.Reclaimable; sum < 1 || o.Target.OnDemand > 6 || o.Target.Reclaimable > 6 {
					t.Fatalf("need %d: order %+v", need, o)
				}
			}
			m.step(need, 0, now)
		}
	}
}

// Guards against repeating orders without a change.
func TestNoOrdersWithoutAChange(t *testing.T) {
	m := newFakePlatform(4, 2, 6)
	begin := time.Unix(1_000_000, 0)
	for ms := 0; ms < 30_000; ms += 250 {
		m.step(6, 0, begin.Add(time.Duration(ms)*time.Millisecond))
	}
	v := SizingView{Min: 1, Max: 6, StartupTime: m.startupTime, PeakServers: 6, RecentServers: 6, DataCentres: m.dataCentres}
	if got := Size(begin.Add(30*time.Second), v); len(got) > 0 {
		t.Errorf("orders %+v", got)
	}
}

// Guards against keeping on-demand servers after reclaimable ones have become available
// again: a data centre that had refused them was only asked again after 7 s.
func TestReclaimableServersReturnSoon(t *testing.T) {
	for _, outage := range []time.Duration{5 * time.Second, 9 * time.Second, 12 * time.Second} {
		m := newFakePlatform(4, 0, 6)
		begin := time.Unix(1_000_000, 0)
		at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
		const reclaimAt = 10_000 // ms
		end := at(reclaimAt).Add(outage)
		for ms := 0; ms < 40_000; ms += 250 {
			if ms == reclaimAt {
				m.reclaim(0, at(ms))
				m.reclaim(1, at(ms))
				m.exhaustedUntil = end
			}
			m.step(6, 0, at(ms))
			// The retry delay, a step of the simulation and the startup time.
			if elapsed := at(ms).Sub(end); elapsed > 1500*time.Millisecond+m.startupTime && (m.dataCentres[0].ReadyReclaimable < 3 || m.dataCentres[1].ReadyReclaimable < 3) {
				t.Fatalf("without reclaimable servers for %v: %d and %d of 3 are ready %v after they became available", outage, m.dataCentres[0].ReadyReclaimable, m.dataCentres[1].ReadyReclaimable, elapsed)
			}
		}
	}
}
