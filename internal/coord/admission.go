package coord

import (
	"maps"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// shares returns the shares of the services under load, or nil if they are not known.
func (a *aggregator) shares(now time.Time) *coordpb.Shares {
	a.mu.Lock()
	defer a.mu.Unlock()
	shares, ok := a.admission.Shares(a.waitingWork, now)
	if !ok {
		return nil
	}
	return sharesToProto(shares)
}

// waitingWork returns the work without a response by service. mu must be held.
func (a *aggregator) waitingWork() map[string]float64 {
	out := map[string]float64{}
	for _, s := range a.feed.roster.Present() {
		if l, ok := a.loads[s.ID]; ok {
			out[s.Service] += admit.Work(l.Waiting, l.WaitingTokens)
		}
	}
	return out
}

func demandsToProto(d admit.Demands) []*coordpb.Demand {
	var out []*coordpb.Demand
	for _, service := range slices.Sorted(maps.Keys(d)) {
		demand := d[service]
		p := &coordpb.Demand{Service: service, Started: uint64(demand.Started), Waited: uint64(demand.Waited)}
		for k, c := range demand.Claims {
			p.Claims = append(p.Claims, &coordpb.Claim{
				Organisation: k.Organisation, Rank: uint32(k.Rank), Offered: uint64(c.Offered), Admitted: uint64(c.Admitted),
				Started: uint32(c.Started), WaitMs: uint64(c.Wait * 1000), Strain: uint64(c.Strain * 1000),
			})
		}
		out = append(out, p)
	}
	return out
}

func demandsFromProto(all []*coordpb.Demand) admit.Demands {
	var out admit.Demands
	for _, p := range all {
		d := admit.Demand{Started: float64(p.Started), Waited: float64(p.Waited), Claims: make(map[admit.Kind]admit.Claim, len(p.Claims))}
		for _, c := range p.Claims {
			k := admit.Kind{Organisation: c.Organisation, Rank: int(c.Rank)}.Valid()
			d.Claims[k] = admit.Claim{
				Offered: float64(c.Offered), Admitted: float64(c.Admitted), Started: float64(c.Started),
				Wait: float64(c.WaitMs) / 1000, Strain: float64(c.Strain) / 1000,
			}
		}
		out = out.With(admit.Demands{p.Service: d})
	}
	return out
}

func sharesToProto(shares map[string]admit.Share) *coordpb.Shares {
	out := &coordpb.Shares{}
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		s := shares[service]
		p := &coordpb.Share{Service: service}
		for _, w := range s.Waits {
			p.WaitMs = append(p.WaitMs, uint32(max(w.Milliseconds(), 0)))
		}
		for _, name := range slices.Sorted(maps.Keys(s.Fractions)) {
			p.Fractions = append(p.Fractions, &coordpb.Fractions{Organisation: name, Fractions: perMille(s.Fractions[name])})
		}
		out.Services = append(out.Services, p)
	}
	return out
}

// sharesFromProto returns the shares of a reply to a report sent at a time, or nil if the
// leader does not know them.
func sharesFromProto(p *coordpb.Shares, sentAt time.Time) *admit.Shares {
	if p == nil {
		return nil
	}
	out := &admit.Shares{At: sentAt, Services: make(map[string]admit.Share, len(p.Services))}
	for _, s := range p.Services {
		share := admit.Share{}
		for _, ms := range s.WaitMs {
			share.Waits = append(share.Waits, time.Duration(ms)*time.Millisecond)
		}
		if len(s.Fractions) > 0 {
			share.Fractions = make(map[string][]float64, len(s.Fractions))
		}
		for _, f := range s.Fractions {
			share.Fractions[f.Organisation] = fromPerMille(f.Fractions)
		}
		out.Services[s.Service] = share
	}
	return out
}

// perMille encodes values from 0 to 1, without the trailing ones that are 1.
func perMille(values []float64) []uint32 {
	var out []uint32
	for _, v := range values {
		out = append(out, uint32(min(max(v, 0), 1)*1000+0.5))
	}
	for len(out) > 0 && out[len(out)-1] == 1000 {
		out = out[:len(out)-1]
	}
	return out
}

func fromPerMille(values []uint32) []float64 {
	out := make([]float64, 0, len(values))
	for _, v := range values {
		out = append(out, min(float64(v)/1000, 1))
	}
	return out
}
