package admit

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates: two to three reports. Bursts last seconds.
	rateWindow = 500 * time.Millisecond
	// debtWindow is the time constant of what an organisation was admitted beyond its share.
	debtWindow = 2 * time.Second
	// enterStrain is the mean wait, relative to what the targets allow, from which a service is
	// overloaded. If waits are distributed exponentially, over a third of the requests is late
	// then. In the queueing model of the tests, refusing work earlier cost more than it gained.
	enterStrain = 1.2
	// allowedStrain is the strain that is aimed at under overload: an eighth is late.
	allowedStrain = 0.6
	// strainGain is the part by which the admitted work falls at once for each multiple of
	// allowedStrain, down to minAdmitted. fallGain and riseGain are the parts by which the limit
	// changes a second.
	strainGain  = 0.2
	minAdmitted = 0.6
	fallGain    = 0.2
	riseGain    = 0.4
	// aheadSeconds is the age of the shares when they are applied: the waiting work is
	// extrapolated by it.
	aheadSeconds = 0.5
	// peakWindow is how long the greatest rate of starts is remembered.
	peakWindow = 5 * time.Second
	// trendWindow smooths the strain.
	trendWindow = 300 * time.Millisecond
	// limitRoom is how far a limit is above what is offered before it is lifted.
	limitRoom = 1.2
	// minStarted is the decayed number of started requests from which their mean wait counts.
	minStarted = 5
	// maxTrend bounds how far the wait of the requests that wait now is taken to differ from
	// that of the requests that have started.
	maxTrend = 4
	// settleTime is how long a new leader collects reports before it states shares: three
	// reports.
	settleTime = 600 * time.Millisecond
	// sharesInterval is how long computed shares are used for the replies to all instances.
	sharesInterval = 50 * time.Millisecond
)

// Ledger computes the shares of a deployment from the reports of all instances. It is not
// safe for concurrent use.
type Ledger struct {
	since    time.Time
	services map[string]*account
	shares   map[string]Share
	sharesAt time.Time
}

// account is the state of one service.
type account struct {
	started, waited rate // as in Demand
	claims          map[Kind]*claimRates
	debts           map[string]rate
	strain, peak    float64
	limit           float64 // work admitted a second; 0 without a limit
	at              time.Time
}

type claimRates struct{ offered, admitted, started, wait, strain rate }

func (r *claimRates) add(c Claim, now time.Time) {
	r.offered = r.offered.with(c.Offered, rateWindow, now)
	r.admitted = r.admitted.with(c.Admitted, rateWindow, now)
	r.started = r.started.with(c.Started, rateWindow, now)
	r.wait = r.wait.with(c.Wait, rateWindow, now)
	r.strain = r.strain.with(c.Strain, rateWindow, now)
}

// rate is a sum that decays with a time constant.
type rate struct {
	sum float64
	at  time.Time
}

func (r rate) with(v float64, window time.Duration, now time.Time) rate {
	return rate{r.after(window, now) + v, now}
}

// after returns the sum that is left.
func (r rate) after(window time.Duration, now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.at).Seconds(), 0)/window.Seconds())
}

// perSecond returns the rate over rateWindow.
func (r rate) perSecond(now time.Time) float64 {
	return r.after(rateWindow, now) / rateWindow.Seconds()
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{since: now, services: map[string]*account{}}
}

// Add adds the demand of a report.
func (l *Ledger) Add(d Demands, now time.Time) {
	for service, demand := range d {
		a := l.services[service]
		if a == nil {
			a = &account{claims: map[Kind]*claimRates{}, debts: map[string]rate{}, at: now}
			l.services[service] = a
		}
		a.started = a.started.with(demand.Started, rateWindow, now)
		a.waited = a.waited.with(demand.Waited, rateWindow, now)
		for k, c := range demand.Claims {
			k = k.Valid()
			if a.claims[k] == nil {
				a.claims[k] = &claimRates{}
			}
			a.claims[k].add(c, now)
		}
	}
}

// Shares returns the shares of the services under load, or false if they are not known yet.
// waiting returns the work without a response by service.
func (l *Ledger) Shares(waiting func() map[string]float64, now time.Time) (map[string]Share, bool) {
	if len(l.services) == 0 || now.Sub(l.since) < settleTime {
		return nil, false
	}
	if l.shares != nil && now.Sub(l.sharesAt) < sharesInterval {
		return l.shares, true
	}
	l.shares, l.sharesAt = map[string]Share{}, now
	work := waiting()
	for service, a := range l.services {
		if share, ok := a.share(work[service], now); ok {
			l.shares[service] = share
		}
		if a.forget(now); len(a.claims) == 0 {
			delete(l.services, service)
		}
	}
	return l.shares, true
}

// share returns the share of a service, or false if its requests hardly wait.
func (a *account) share(waiting float64, now time.Time) (Share, bool) {
	dt := min(now.Sub(a.at), rateWindow)
	a.at = now
	waits, strain := a.waits(a.trend(waiting, now), now)
	a.strain += (strain - a.strain) * (1 - math.Exp(-dt.Seconds()/trendWindow.Seconds()))
	a.peak = max(a.peak*math.Exp(-dt.Seconds()/peakWindow.Seconds()), a.started.perSecond(now))
	if a.limit == 0 && a.strain > enterStrain {
		a.limit = a.peak
	}
	excess := a.strain/allowedStrain - 1
	if a.limit > 0 {
		offered := 0.0
		for _, r := range a.claims {
			offered += r.offered.perSecond(now)
		}
		gain := fallGain
		if excess < 0 {
			gain = riseGain
		}
		a.limit *= math.Exp(-gain * min(excess, 1) * dt.Seconds())
		if a.limit > limitRoom*offered && excess <= 0 {
			a.limit = 0
		}
	}
	if a.limit == 0 {
		return Share{Waits: waits}, excess > -0.5
	}
	admitted := a.limit * min(max(1-strainGain*excess, minAdmitted), 1)
	return Share{Waits: waits, Fractions: a.divide(admitted, dt, now)}, true
}

// trend returns how the wait of the requests that will wait when the shares are applied compares
// with that of the requests that have started, by Little's law.
func (a *account) trend(waiting float64, now time.Time) float64 {
	started, waited := a.started.perSecond(now), a.waited.perSecond(now)
	if started <= 0 || waited <= 0 {
		return 1
	}
	admitted := 0.0
	for _, r := range a.claims {
		admitted += r.admitted.perSecond(now)
	}
	waiting = max(waiting+(admitted-started)*aheadSeconds, 0)
	return min(max(waiting/waited, 1/maxTrend), maxTrend)
}

// waits returns the mean wait of the requests by urgency, and the mean strain.
func (a *account) waits(trend float64, now time.Time) (waits []time.Duration, strain float64) {
	var started, wait, strains [urgencies]float64
	for k, r := range a.claims {
		started[k.urgency()] += r.started.after(rateWindow, now)
		wait[k.urgency()] += r.wait.after(rateWindow, now)
		strains[k.urgency()] += r.strain.after(rateWindow, now)
	}
	waits = make([]time.Duration, urgencies)
	all, sum := 0.0, 0.0
	for u, n := range started {
		if n > 0 {
			waits[u] = time.Duration(trend * wait[u] / n * float64(time.Second))
			all, sum = all+n, sum+strains[u]
		}
	}
	if all < minStarted {
		return waits, 0
	}
	return waits, trend * sum / all
}

// divide returns the admitted fractions and updates the debts for the time since the last
// division.
func (a *account) divide(capacity float64, dt time.Duration, now time.Time) map[string][]float64 {
	index := map[string]int{}
	var names []string
	var all []claimant
	var admitted []float64
	for k, r := range a.claims {
		i, ok := index[k.Organisation]
		if !ok {
			i = len(all)
			index[k.Organisation] = i
			names = append(names, k.Organisation)
			all = append(all, claimant{debt: a.debts[k.Organisation].after(debtWindow, now) / debtWindow.Seconds()})
			admitted = append(admitted, 0)
		}
		all[i].demand[k.Rank] += r.offered.perSecond(now)
		admitted[i] += r.admitted.perSecond(now)
	}
	out := map[string][]float64{}
	for i, gets := range divide(all, capacity) {
		beyond := max(admitted[i]-gets, 0) * dt.Seconds()
		a.debts[names[i]] = a.debts[names[i]].with(beyond, debtWindow, now)
		if gets < all[i].total() {
			out[names[i]] = all[i].fractions(gets)
		}
	}
	return out
}

// forget removes kinds and debts that no longer matter.
func (a *account) forget(now time.Time) {
	for k, r := range a.claims {
		if r.offered.perSecond(now) < 1 && r.started.perSecond(now) < 0.01 {
			delete(a.claims, k)
		}
	}
	for name, d := range a.debts {
		if d.after(debtWindow, now) < 1 {
			delete(a.debts, name)
		}
	}
}
