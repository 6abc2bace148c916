package member

import (
	"math"
	"time"

	"cranberrypath.example/cranberrypath/internal/member/membpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

func peerToWire(p Peer) *membpb.Peer {
	return &membpb.Peer{
		Node: p.Instance, DataCentre: p.DataCentre, Address: p.Address, Callers: p.CallerAddress,
		Draining: p.Draining, Incarnation: p.Incarnation, Refusing: !p.Serving, Turn: p.servingSeq,
		Capacity: p.Capacity,
	}
}

func peerFromWire(p *membpb.Peer) Peer {
	return Peer{
		Instance: p.Node, DataCentre: p.DataCentre, Address: p.Address, CallerAddress: p.Callers,
		Draining: p.Draining, Incarnation: p.Incarnation, Serving: !p.Refusing, servingSeq: p.Turn,
		Capacity: p.Capacity,
	}
}

const (
	ageUnit   = 10 * time.Millisecond
	heardUnit = 100 * time.Millisecond
)

// ageToWire converts an age to units, rounding up so that an age is never understated.
func ageToWire(d, unit time.Duration) uint32 {
	d = min(max(d, 0), maxWireAge)
	return uint32((d + unit - 1) / unit)
}

// roundToUint32 rounds and clamps a reported value, which may be negative, NaN or out of
// range.
func roundToUint32(f float64) uint32 {
	if !(f > 0) {
		return 0
	}
	return uint32(min(math.Round(f), math.MaxInt32))
}

func loadToWire(slot uint32, l world.Load, now time.Time) *membpb.Load {
	lag := uint32(0)
	if !l.MeasuredAt.IsZero() {
		lag = ageToWire(now.Sub(l.MeasuredAt), time.Millisecond)
	}
	return &membpb.Load{
		Slot: slot, Running: roundToUint32(float64(l.Running)), Waiting: roundToUint32(float64(l.Waiting)),
		CachePermille: roundToUint32(l.CacheUsed * 1000), TokensPerSecond: roundToUint32(l.TokensPerSecond),
		PrefillNanos: roundToUint32(float64(l.PrefillPerToken)), LagMs: lag,
	}
}

func loadFromWire(l *membpb.Load, announced time.Time) world.Load {
	if l == nil {
		return world.Load{MeasuredAt: announced}
	}
	return world.Load{
		Running: int(l.Running), Waiting: int(l.Waiting), CacheUsed: float64(l.CachePermille) / 1000,
		TokensPerSecond: float64(l.TokensPerSecond), PrefillPerToken: time.Duration(l.PrefillNanos),
		MeasuredAt: announced.Add(-time.Duration(l.LagMs) * time.Millisecond),
	}
}

func entryToWire(e *localEntry, now time.Time) *membpb.Entry {
	b := e.backend
	w := &membpb.Entry{
		Slot: e.slot, Id: b.ID, Incarnation: b.Incarnation, Seq: e.baseSeq, Address: b.Address, Service: b.Service,
		Kind: b.Kind, Versions: b.Versions, Adapters: b.Adapters, Role: b.Role, DataCentre: b.DataCentre,
		Zone: b.Zone, MachineClass: b.MachineClass, Reclaimable: b.Reclaimable, Price: b.Price,
		Slots: uint32(b.Slots), CacheBlocks: uint32(b.CacheBlocks), State: uint32(b.State),
	}
	if !b.LeaveBy.IsZero() {
		w.LeaveInMs = 1 + uint64(max(b.LeaveBy.Sub(now), 0).Milliseconds())
	}
	return w
}

func backendFromWire(w *membpb.Entry, sent time.Time) world.Backend {
	b := world.Backend{
		ID: w.Id, Incarnation: w.Incarnation, Address: w.Address, Service: w.Service, Kind: w.Kind,
		Versions: w.Versions, Adapters: w.Adapters, Role: w.Role, DataCentre: w.DataCentre, Zone: w.Zone,
		MachineClass: w.MachineClass, Reclaimable: w.Reclaimable, Price: w.Price, Slots: int(w.Slots),
		CacheBlocks: int(w.CacheBlocks), State: world.State(w.State),
	}
	if w.LeaveInMs > 0 {
		b.LeaveBy = sent.Add(time.Duration(w.LeaveInMs-1) * time.Millisecond)
	}
	return b
}
