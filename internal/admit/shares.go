package admit

import (
	"slices"
	"time"
)

const (
	// sharesValid is how long an instance applies the shares that it received last: the leader
	// of a deployment is replaced in less time.
	sharesValid = 2 * time.Second
	// sharesFade is the time after that in which the fractions rise to 1.
	sharesFade = 2 * time.Second
)

// Share is what the leader states of one service under load.
type Share struct {
	// Waits is the mean time that requests wait because of others, by urgency.
	Waits []time.Duration
	// Fractions are the admitted fractions, by organisation and rank. Missing values are 1.
	Fractions map[string][]float64
}

// wait returns the mean wait of an urgency.
func (s Share) wait(urgency int) time.Duration {
	if urgency < len(s.Waits) {
		return s.Waits[urgency]
	}
	return 0
}

// Shares holds the shares of the services under load. It must not be modified.
type Shares struct {
	At       time.Time // when the report was sent that was answered with the shares
	Services map[string]Share
}

// Updated returns the newer one of s and next. Replies may be late or repeated.
func (s Shares) Updated(next Shares) Shares {
	if next.At.Before(s.At) {
		return s
	}
	return next
}

// valid reports whether the shares are applied at a time.
func (s Shares) valid(now time.Time) bool {
	return !s.At.IsZero() && now.Sub(s.At) < sharesValid+sharesFade
}

// fraction returns the admitted fraction of a kind of requests. It rises to 1 once the shares
// are older than sharesValid.
func (s Shares) fraction(service string, k Kind, now time.Time) float64 {
	f := valueAt(s.Services[service].Fractions[k.Organisation], k.Rank)
	old := min(max(float64(now.Sub(s.At)-sharesValid)/float64(sharesFade), 0), 1)
	return f + (1-f)*old
}

// valueAt returns a value of a list, or 1.
func valueAt(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 1
}

// claimant is an organisation's demand for the capacity of a service, in work a second.
type claimant struct {
	demand [ranks]float64
	debt   float64 // what it was admitted beyond its share, a second
}

func (c claimant) total() float64 {
	sum := 0.0
	for _, d := range c.demand {
		sum += d
	}
	return sum
}

const (
	// minOrganisationShare and minRankShare      bound how far a fraction is below the mean of
	// all organisations, and below that of the organisation, so that each organisation and each
	// rank is served at least a quarter as often as all.
	minOrganisationShare = 0.4
	minRankShare         = 0.4
	// maxDebtShare is the part of a share that a debt takes at most.
	maxDebtShare = 0.5
	// bisections is enough for shares that are exact to a millionth of the demand.
	bisections = 32
)

// divide divides a capacity among organisations by max-min and returns what each gets.
func divide(all []claimant, capacity float64) []float64 {
	total := 0.0
	for _, c := range all {
		total += c.total()
	}
	out := make([]float64, len(all))
	if total <= capacity {
		for i, c := range all {
			out[i] = c.total()
		}
		return out
	}
	mean := capacity / total
	get := func(c claimant, level float64) float64 {
		share := max(level-c.debt, level*(1-maxDebtShare))
		return min(c.total(), max(share, minOrganisationShare*mean*c.total()))
	}
	low, high := 0.0, total/maxDebtShare
	for range bisections {
		level, sum := (low+high)/2, 0.0
		for _, c := range all {
			sum += get(c, level)
		}
		if sum > capacity {
			high = level
		} else {
			low = level
		}
	}
	for i, c := range all {
		out[i] = get(c, low)
	}
	return out
}

// fractions divides what an organisation gets among its ranks in their order, and returns the
// admitted fractions.
func (c claimant) fractions(gets float64) []float64 {
	total := c.total()
	out := slices.Repeat([]float64{1}, ranks)
	if total <= gets {
		return out
	}
	least := minRankShare * gets / total
	left := gets - least*total
	for rank, demand := range c.demand {
		out[rank] = least
		if demand > 0 {
			extra := min(left, (1-least)*demand)
			out[rank] += extra / demand
			left -= extra
			continue
		}
		if left > 0 {
			out[rank] = 1
		}
	}
	return out
}
