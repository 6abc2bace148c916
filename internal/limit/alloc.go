package limit

import (
	"slices"
)

// Demand is what one entry instance reports about one organisation. Units are
// slots of backend servers.
type Demand struct {
	Node   string
	Org    string
	Weight float64
	Want   float64 // units it could use now, running and refused ones together
	InUse  float64 // units that run now and cannot be taken back
}

// Grant is a share of the capacity. With an empty Org it is spare capacity that
// any organisation may use at the node.
type Grant struct {
	Node   string
	Org    string
	Amount float64 // units
}

// claim is one party of a division: an organisation, or a node of one.
type claim struct {
	weight, want, inUse float64
	grant               float64
}

// Allocate divides the capacity among organisations by weighted max-min: nobody
// receives more than it wants while another that wants more has less for its
// weight. Each organisation's part is divided evenly among its nodes in the same
// way. Work that runs beyond a shrinking grant still occupies capacity, so it is
// subtracted from what others receive until it has drained. What nobody wants is
// spread over the nodes, so that a burst need not wait for the next round.
//
// The grants are sorted by organisation and node, the spare capacity last. Demands
// of nothing receive no grant. The sum of the grants never exceeds the capacity.
// Negative figures count as 0 and weights of 0 as 1.
func Allocate(capacity float64, d []Demand) []Grant {
	nodeOf, nodeNames := ranks(d, func(x *Demand) string { return x.Node })
	nodeWants := make([]float64, len(nodeNames))
	for i := range d {
		nodeWants[nodeOf[i]] += max(d[i].Want, 0)
	}
	d = ordered(d, nodeOf, len(nodeNames))
	orgOf, orgNames := ranks(d, func(x *Demand) string { return x.Org })
	d = ordered(d, orgOf, len(orgNames))
	d = slices.DeleteFunc(d, func(x Demand) bool { return x.Want <= 0 && x.InUse <= 0 })
	nodes := make([]claim, len(d))
	var orgs []claim
	var ends []int // index behind the nodes of each organisation
	for i, x := range d {
		nodes[i] = claim{weight: 1, inUse: max(x.InUse, 0)}
		nodes[i].want = max(x.Want, nodes[i].inUse)
		if i == 0 || x.Org != d[i-1].Org {
			orgs, ends = append(orgs, claim{}), append(ends, 0)
		}
		o := &orgs[len(orgs)-1]
		o.weight = max(o.weight, x.Weight)
		o.want += nodes[i].want
		o.inUse += nodes[i].inUse
		ends[len(ends)-1] = i + 1
	}
	spare := divide(capacity, orgs)
	out := make([]Grant, 0, len(d)+len(d)/max(len(orgs), 1))
	begin := 0
	for i, o := range orgs {
		divide(o.grant, nodes[begin:ends[i]])
		for j := begin; j < ends[i]; j++ {
			out = append(out, Grant{Node: d[j].Node, Org: d[j].Org, Amount: nodes[j].grant})
		}
		begin = ends[i]
	}
	out = append(out, spread(spare, nodeNames, nodeWants)...)
	return out
}

// ranks returns the sorted keys of the demands and the index of each one's key.
// There are far fewer keys than demands, 350 nodes or 200 organisations for 70,000.
func ranks(d []Demand, key func(*Demand) string) ([]int32, []string) {
	index := map[string]int32{}
	var names []string
	of := make([]int32, len(d))
	for i := range d {
		k := key(&d[i])
		if i > 0 && k == names[of[i-1]] { // demands often come in runs of one key
			of[i] = of[i-1]
			continue
		}
		n, ok := index[k]
		if !ok {
			n = int32(len(names))
			index[k], names = n, append(names, k)
		}
		of[i] = n
	}
	sorted := slices.Sorted(slices.Values(names))
	rank := make([]int32, len(names))
	for r, k := range sorted {
		rank[index[k]] = int32(r)
	}
	for i := range of {
		of[i] = rank[of[i]]
	}
	return of, sorted
}

// ordered returns the demands in the order of their ranks, of which there are n,
// and else as they were.
func ordered(d []Demand, rank []int32, n int) []Demand {
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

// divide sets the grants of the claims and returns what remains. Claims that use
// more than their fair part receive that part as grant, and their whole use is
// subtracted before the others are served.
func divide(capacity float64, c []claim) float64 {
	free := max(capacity, 0)
	open := make([]*claim, 0, len(c))
	sum := 0.0
	for i := range c {
		if c[i].weight <= 0 {
			c[i].weight = 1
		}
		sum += c[i].want
		open = append(open, &c[i])
	}
	if sum <= free { // the usual case among the nodes of an organisation
		for _, x := range open {
			x.grant = x.want
		}
		return free - sum
	}
	rest := make([]*claim, len(open))
	for {
		fill(free, open, rest)
		n := len(open)
		kept := open[:0]
		for _, x := range open {
			if x.inUse > x.grant {
				free = max(free-x.inUse, 0)
				continue
			}
			kept = append(kept, x)
		}
		open = kept
		if len(open) == n {
			break
		}
	}
	for _, x := range open {
		free -= x.grant
	}
	return max(free, 0)
}

// fill is the weighted max-min division. It uses rest, as long as open, as scratch.
// Each pass serves the claims that want less than an equal part of what is left;
// a few passes do, where sorting by want took half of the time.
func fill(free float64, open, rest []*claim) {
	rest = rest[:copy(rest, open)]
	for len(rest) > 0 {
		weight := 0.0
		for _, x := range rest {
			weight += x.weight
		}
		level := max(free, 0) / weight
		more := rest[:0]
		for _, x := range rest {
			x.grant = min(x.want, level*x.weight)
			if x.want > x.grant {
				more = append(more, x)
				continue
			}
			free -= x.grant
		}
		if len(more) == len(rest) {
			return
		}
		rest = more
	}
}

// spread divides spare capacity: half evenly, half by what the nodes want.
func spread(spare float64, nodes []string, want []float64) []Grant {
	sum := 0.0
	for _, w := range want {
		sum += w
	}
	out := make([]Grant, 0, len(nodes))
	for i, node := range nodes {
		part := 1 / float64(len(nodes))
		if sum > 0 {
			part = (part + want[i]/sum) / 2
		}
		out = append(out, Grant{Node: node, Amount: spare * part})
	}
	return out
}
