package judge

import "math"

// negligible is the size of a term, relative to the largest term, at which the sum over a
// distribution stops.
const negligible = 1e-16

// oddsRatio returns the likelihood ratio of k marked items among drawn items, under odds
// ratio alt against odds ratio null (Fisher's noncentral hypergeometric distribution), if
// marked of total items are marked.
//
// Both models condition on the margins, so the unknown rate of marks, which may change
// from window to window, has no influence. The expectation of the ratio under an odds
// ratio of at most null is at most 1, because the ratio increases with k and the
// distribution of k is stochastically increasing in the odds ratio.
func oddsRatio(k, drawn, marked, total int, null, alt float64) float64 {
	lo, hi := max(0, drawn+marked-total), min(drawn, marked)
	if lo == hi {
		return 1
	}
	z0 := logNormaliser(lo, hi, drawn, marked, total, null, k)
	z1 := logNormaliser(lo, hi, drawn, marked, total, alt, k)
	return math.Exp(z0 - z1)
}

// logNormaliser returns the logarithm of the sum of C(marked,i) C(total-marked,drawn-i) w^i
// over i, relative to the term of k.
func logNormaliser(lo, hi, drawn, marked, total int, w float64, k int) float64 {
	// up is the ratio of term i+1 to term i.
	up := func(i int) float64 {
		return w * float64(marked-i) * float64(drawn-i) / (float64(i+1) * float64(total-marked-drawn+i+1))
	}
	// Terms are relative to the mode, so that the sum cannot overflow.
	mode := modeOf(lo, hi, up)
	sum, term := 1.0, 1.0
	for i := mode; i < hi && term > negligible; i++ {
		term *= up(i)
		sum += term
	}
	term = 1
	for i := mode; i > lo && term > negligible; i-- {
		term /= up(i - 1)
		sum += term
	}
	log := math.Log(sum)
	for i := k; i < mode; i++ {
		log += math.Log(up(i))
	}
	for i := mode; i < k; i++ {
		log -= math.Log(up(i))
	}
	return log
}

// modeOf returns the index of the largest term by binary search, as up decreases with i.
func modeOf(lo, hi int, up func(int) float64) int {
	for lo < hi {
		mid := (lo + hi) / 2
		if up(mid) >= 1 {
			lo = mid + 1
			continue
		}
		hi = mid
	}
	return lo
}

// rateRatio returns the likelihood ratio of k events in n trials under odds multiplied by
// factor, where p is the highest rate that the null hypothesis allows.
func rateRatio(k, n int, p, factor float64) float64 {
	if p <= 0 || p >= 1 {
		return 1
	}
	odds := factor * p / (1 - p)
	q := odds / (1 + odds)
	return math.Exp(float64(k)*math.Log(q/p) + float64(n-k)*math.Log((1-q)/(1-p)))
}

// upperRate returns an upper confidence bound on a rate after k events in n trials. The
// true rate ever exceeds the bound with probability at most delta, no matter how often
// the bound is computed. The bound inverts the mixture of binomial likelihoods over a
// uniform prior:
// n*KL(k/n, p) <= ln((n+1)/delta) (Ville's inequality).
func upperRate(k, n int, delta float64) float64 {
	if n == 0 {
		return 1
	}
	rate, limit := float64(k)/float64(n), math.Log(float64(n+1)/delta)/float64(n)
	lo, hi := rate, 1.0
	for range 40 {
		mid := (lo + hi) / 2
		if divergence(rate, mid) > limit {
			hi = mid
			continue
		}
		lo = mid
	}
	return hi
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli rates, in nats.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

func raiseOdds(p, factor float64) float64 {
	if p >= 1 {
		return 1
	}
	odds := factor * p / (1 - p)
	return odds / (1 + odds)
}
