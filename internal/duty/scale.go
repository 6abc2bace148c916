package duty

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/fleet"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// ErrNoneAvailable means that the platform has no engines of the kind in the data
// centre now.
var ErrNoneAvailable = Error.New("no engines of the kind are available")

// Order is how many engines of one kind a data centre shall have.
type Order struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}

// placeKey names the engines that are ordered together.
type placeKey struct{ service, dataCentre string }

// placed is what this holder knows of its orders for one place.
type placed struct {
	ordered fleet.Counts
	at      time.Time
	spareAt time.Time // of the last order of reclaimable engines
	seen    int       // most of them that were ready since
	refused time.Time // a reclaimable engine
	dry     bool      // and none was given since
}

// sizer orders engines.
type sizer struct {
	places map[placeKey]*placed
	peaks  map[string]*[peakSeconds]int // most requests that ran in each of the last seconds, by service
	holds  map[string]held
	begun  map[string]begun
	second int64 // of the last look
}

func newSizer() sizer {
	return sizer{
		places: map[placeKey]*placed{}, peaks: map[string]*[peakSeconds]int{}, holds: map[string]held{}, begun: map[string]begun{},
	}
}

const (
	// perEngine is how many requests one model engine runs without delaying their
	// prompts much: each token step and prompt delays all others of the batch.
	perEngine = 5
	// peakSeconds is how long a peak of the load decides the size. Engines take
	// several seconds to start and lose their caches when they stop.
	peakSeconds = 20
	// recentSeconds is the same for engines at the full price, several times that of
	// reclaimable ones: requests that pile up while engines are missing make a peak
	// that is over before further engines have started.
	recentSeconds = 5
	// watchSeconds is how long a new holder watches the load before it gives up
	// engines.
	watchSeconds = 8
	// holdSeconds is how long engines that are not reclaimable are kept after they
	// were last missed: as long as one takes to start.
	holdSeconds = 5
	// leastEngines carry a service that is idle: a crash of one leaves some.
	leastEngines = 3
)

// need returns how many engines a service needs for the requests that ran in the last
// peakSeconds, and in the last recentSeconds. A holder that has not watched the load
// for long keeps the engines that are there, which carry a load of carry: it may have
// begun before the traffic, or have taken over from another one.
func (s *sizer) need(service string, running, carry int, now time.Time) (peak, recent int) {
	m := s.peaks[service]
	if m == nil {
		m = &[peakSeconds]int{}
		s.peaks[service] = m
	}
	for second := max(s.second, now.Unix()-peakSeconds); second < now.Unix(); second++ {
		m[(second+1)%peakSeconds] = 0
	}
	at := now.Unix() % peakSeconds
	m[at] = max(m[at], running)
	most := 0
	for second := now.Unix() - recentSeconds + 1; second <= now.Unix(); second++ {
		most = max(most, m[second%peakSeconds])
	}
	peak, recent = enginesFor(slices.Max(m[:])), enginesFor(most)
	b := s.begun[service]
	if b.loaded.IsZero() {
		b.engines = max(b.engines, carry)
		if running > 0 {
			b.loaded = now
		}
		s.begun[service] = b
	}
	if b.loaded.IsZero() || now.Sub(b.loaded) < watchSeconds*time.Second {
		return max(peak, b.engines), max(recent, b.engines)
	}
	return peak, recent
}

func enginesFor(running int) int {
	return max((running+perEngine-1)/perEngine, leastEngines)
}

// demand is how many requests a backend server has to run at once. Those that wait
// for it count at most twice as much as it runs: behind a server that is lost or
// slow any number waits, and the callers of most have left before others start.
func demand(l coord.Load) int {
	runs := l.Running - l.Waiting
	return runs + min(l.Waiting, 2*runs+perEngine)
}

// carried returns the load that the engines are meant for. A fleet without reclaimable
// engines is the one that a deployment starts with, which has room to lose some.
func carried(steady, spare, centres int) int {
	if spare == 0 {
		return fleet.Carried(steady, centres)
	}
	return max(steady, fleet.Carried(spare, centres))
}

// basis is what an order was decided by, for the log.
type basis struct {
	need, recent int // engines for the peak and for the load of the last seconds
	load         int // requests that run or count as such
}

// begun is what a holder found when it began.
type begun struct {
	engines int       // that carried the load, as far as is known
	loaded  time.Time // when it first saw load
}

// hold returns the most engines that were missing in the last holdSeconds.
func (s *sizer) hold(service string, missing int, now time.Time) int {
	h := s.holds[service]
	if missing >= h.count || now.Sub(h.at) > holdSeconds*time.Second {
		h = held{missing, now}
	}
	s.holds[service] = h
	return h.count
}

// held is a count and when it was last needed.
type held struct {
	count int
	at    time.Time
}

// view collects what the size of one service depends on.
func (s *sizer) view(svc *routes.Service, servers []roster.Server, need, recent int, now time.Time) fleet.CentreView {
	v := fleet.CentreView{Min: svc.Scaling.Min, Max: svc.Scaling.Max, Boot: svc.Scaling.Boot, Need: need, Recent: recent}
	for dc, price := range svc.Scaling.Prices {
		z := fleet.CentreEngines{DataCentre: dc, Price: price}
		for _, x := range servers {
			switch {
			case x.Service != svc.Name || x.DataCentre != dc:
			case x.State == world.Ready && x.Reclaimable:
				z.Spare++
			case x.State == world.Ready:
				z.Ready++
			}
		}
		p := s.place(placeKey{svc.Name, dc})
		p.seen = max(p.seen, z.Spare)
		z.Ordered, z.OrderedAt, z.SpareAt, z.Seen = p.ordered, p.at, p.spareAt, p.seen
		z.Refused, z.Dry = p.refused, p.dry
		if p.at.IsZero() {
			z.Ordered = fleet.Counts{Steady: z.Ready, Reclaimable: z.Spare} // by an earlier holder
		}
		v.Centres = append(v.Centres, z)
	}
	return v
}

func (s *sizer) place(k placeKey) *placed {
	p := s.places[k]
	if p == nil {
		p = &placed{}
		s.places[k] = p
	}
	return p
}

// size looks at all services whose engines can be ordered.
func (r *Runner) size() {
	now := r.cfg.Clock()
	services, servers := r.cfg.Services()
	loads := r.cfg.Coord.Loads()
	for i := range services {
		svc := &services[i]
		if svc.Scaling == nil {
			continue
		}
		load, steady, spare := 0, 0, 0
		for _, x := range servers {
			switch {
			case x.Service != svc.Name:
				continue
			case x.Reclaimable:
				spare++
			default:
				steady++
			}
			load += demand(loads[x.ID])
		}
		carry := carried(steady, spare, len(svc.Scaling.Prices))
		need, recent := r.sizer.need(svc.Name, load, carry, now)
		v := r.sizer.view(svc, servers, need, recent, now)
		v.Hold = r.sizer.hold(svc.Name, v.Missing(now), now)
		for _, o := range fleet.Size(now, v) {
			r.order(svc.Name, o, basis{need, recent, load}, now)
		}
	}
	r.sizer.second = now.Unix()
}

// order sends the orders for one data centre, the reclaimable kind first so that
// the sum never falls below what runs.
func (r *Runner) order(service string, o fleet.CentreOrder, by basis, now time.Time) {
	p := r.sizer.place(placeKey{service, o.DataCentre})
	first := p.at.IsZero()
	p.at = now
	if first || o.Want.Reclaimable != p.ordered.Reclaimable || o.Want == p.ordered {
		p.spareAt, p.seen = now, 0
		switch err := r.send(Order{service, o.DataCentre, true, o.Want.Reclaimable}, by); {
		case errors.Is(err, ErrNoneAvailable):
			p.refused, p.dry = now, true
		case err == nil:
			p.ordered.Reclaimable, p.dry = o.Want.Reclaimable, false
		}
	}
	if first || o.Want.Steady != p.ordered.Steady {
		if r.send(Order{service, o.DataCentre, false, o.Want.Steady}, by) == nil {
			p.ordered.Steady = o.Want.Steady
		}
	}
}

// send makes one call to the platform and logs its outcome.
func (r *Runner) send(o Order, by basis) error {
	f, ok := r.holds()
	if !ok {
		return Error.New("this instance does not hold the duty any more")
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	err := r.cfg.Platform.Scale(ctx, f, o)
	l := r.cfg.Log.WithFields(log.Fields{
		"event": "duty.scale", "service": o.Service, "dataCentre": o.DataCentre, "reclaimable": o.Reclaimable, "count": o.Count,
		"need": by.need, "recent": by.recent, "load": by.load, "token": f.Token,
	})
	switch {
	case errors.Is(err, ErrNoneAvailable):
		l.Warn("the platform has no engines to give")
	case err != nil:
		l.WithError(err).Warn("the order was not taken; it is repeated")
	default:
		l.Info("engines ordered")
	}
	return err
}
