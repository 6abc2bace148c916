package limit

import (
	"slices"
)

// Demand is one entry instance's report about one organisation. Units are slots of
// backend servers.
type Demand struct {
	Instance string
	Org      string
	Weight   float64
	Want     float64 // units in use plus units that refused requests would use
	InUse    float64 // units in use, which cannot be revoked
}

// Grant is an amount of capacity for an organisation at one entry instance. A Grant
// with an empty Org is spare capacity for all organisations at that instance.
type Grant struct {
	Instance string
	Org      string
	Amount   float64 // units
}

// claimant takes part in a division: an organisation, or one organisation at one entry
// instance.
type claimant struct {
	weight, want, inUse float64
	grant               float64
}

// Allocate divides the capacity among organisations by weighted max-min fairness, and
// each organisation's part among its entry instances by max-min fairness with equal
// weights. Running work beyond a reduced grant still occupies capacity, so it is
// subtracted from the capacity for others until it has drained. Unclaimed capacity is
// divided among the entry instances, so that a burst need not wait for the next round.
//
// The grants are sorted by organisation and entry instance, with the spare capacity
// last. Empty demands receive no grant. The sum of the grants never exceeds the
// capacity. Negative numbers count as 0 and weights of 0 as 1.
func Allocate(capacity float64, d []Demand) []Grant {
	instanceRank, instances := rankByKey(d, func(x *Demand) string { return x.Instance })
	instanceWants := make([]float64, len(instances))
	for i := range d {
		instanceWants[instanceRank[i]] += max(d[i].Want, 0)
	}
	d = sortByRank(d, instanceRank, len(instances))
	orgRank, orgNames := rankByKey(d, func(x *Demand) string { return x.Org })
	d = sortByRank(d, orgRank, len(orgNames))
	d = slices.DeleteFunc(d, func(x Demand) bool { return x.Want <= 0 && x.InUse <= 0 })
	shares := make([]claimant, len(d))
	var orgs []claimant
	var orgEnds []int // end index in shares of each organisation
	for i, x := range d {
		shares[i] = claimant{weight: 1, inUse: max(x.InUse, 0)}
		shares[i].want = max(x.Want, shares[i].inUse)
		if i == 0 || x.Org != d[i-1].Org {
			orgs, orgEnds = append(orgs, claimant{}), append(orgEnds, 0)
		}
		o := &orgs[len(orgs)-1]
		o.weight = max(o.weight, x.Weight)
		o.want += shares[i].want
		o.inUse += shares[i].inUse
		orgEnds[len(orgEnds)-1] = i + 1
	}
	spare := divide(capacity, orgs)
	out := make([]Grant, 0, len(d)+len(d)/max(len(orgs), 1))
	begin := 0
	for i, o := range orgs {
		divide(o.grant, shares[begin:orgEnds[i]])
		for j := begin; j < orgEnds[i]; j++ {
			out = append(out, Grant{Instance: d[j].Instance, Org: d[j].Org, Amount: shares[j].grant})
		}
		begin = orgEnds[i]
	}
	out = append(out, divideSpare(spare, instances, instanceWants)...)
	return out
}

// rankByKey returns the index of each demand's key in the sorted distinct keys, and
// these keys. There are far fewer keys than demands: 350 entry instances and 200
// organisations for 70,000 demands.
func rankByKey(d []Demand, key func(*Demand) string) ([]int32, []string) {
	index := map[string]int32{}
	var names []string
	rankOf := make([]int32, len(d))
	for i := range d {
		k := key(&d[i])
		if i > 0 && k == names[rankOf[i-1]] { // consecutive demands often have the same key
			rankOf[i] = rankOf[i-1]
			continue
		}
		n, ok := index[k]
		if !ok {
			n = int32(len(names))
			index[k], names = n, append(names, k)
		}
		rankOf[i] = n
	}
	sorted := slices.Sorted(slices.Values(names))
	rank := make([]int32, len(names))
	for r, k := range sorted {
		rank[index[k]] = int32(r)
	}
	for i := range rankOf {
		rankOf[i] = rank[rankOf[i]]
	}
	return rankOf, sorted
}

// sortByRank is a stable counting sort of the demands by their ranks, which are below n.
func sortByRank(d []Demand, rank []int32, n int) []Demand {
	next := make([]int, n+1)
	for _, r := range rank {
		next[r+1]++
	}
	for r := range n {
		next[r+1] += next[r]
	}
	out := make([]Demand, len(d))
	for i, x := range d {
		out[next[rank[i]]] = x
		next[rank[i]]++
	}
	return out
}

// divide sets the grants of the claimants and returns the remaining capacity. A
// claimant that uses more than its fair share is granted that share, and all of its use
// is subtracted from the capacity for the others.
func divide(capacity float64, c []claimant) float64 {
	free := max(capacity, 0)
	unsettled := make([]*claimant, 0, len(c))
	sum := 0.0
	for i := range c {
		if c[i].weight <= 0 {
			c[i].weight = 1
		}
		sum += c[i].want
		unsettled = append(unsettled, &c[i])
	}
	if sum <= free { // the usual case among the instances of an organisation
		for _, x := range unsettled {
			x.grant = x.want
		}
		return free - sum
	}
	scratch := make([]*claimant, len(unsettled))
	for {
		maxMinFill(free, unsettled, scratch)
		n := len(unsettled)
		remaining := unsettled[:0]
		for _, x := range unsettled {
			if x.inUse > x.grant {
				free = max(free-x.inUse, 0)
				continue
			}
			remaining = append(remaining, x)
		}
		unsettled = remaining
		if len(unsettled) == n {
			break
		}
	}
	for _, x := range unsettled {
		free -= x.grant
	}
	return max(free, 0)
}

// maxMinFill sets the grants by weighted max-min fairness. unsatisfied is scratch space
// as long as claimants. Each pass satisfies the claimants that want less than their
// weighted share of the remaining capacity. A few passes suffice and avoid a sort by
// want, which took half of the time.
func maxMinFill(free float64, claimants, unsatisfied []*claimant) {
	unsatisfied = unsatisfied[:copy(unsatisfied, claimants)]
	for len(unsatisfied) > 0 {
		weight := 0.0
		for _, x := range unsatisfied {
			weight += x.weight
		}
		perWeight := max(free, 0) / weight
		next := unsatisfied[:0]
		for _, x := range unsatisfied {
			x.grant = min(x.want, perWeight*x.weight)
			if x.want > x.grant {
				next = append(next, x)
				continue
			}
			free -= x.grant
		}
		if len(next) == len(unsatisfied) {
			return
		}
		unsatisfied = next
	}
}

// divideSpare divides spare capacity among the entry instances: half evenly, half in
// proportion to their demand.
func divideSpare(spare float64, instances []string, want []float64) []Grant {
	sum := 0.0
	for _, w := range want {
		sum += w
	}
	out := make([]Grant, 0, len(instances))
	for i, instance := range instances {
		share := 1 / float64(len(instances))
		if sum > 0 {
			share = (share + want[i]/sum) / 2
		}
		out = append(out, Grant{Instance: instance, Amount: spare * share})
	}
	return out
}
