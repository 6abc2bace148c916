package limit

import (
	"cmp"
	"slices"
	"strings"
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
	nodeWants := map[string]float64{}
	all := d
	d = make([]Demand, 0, len(all))
	for _, x := range all {
		nodeWants[x.Node] += max(x.Want, 0)
		if x.Want > 0 || x.InUse > 0 {
			d = append(d, x)
		}
	}
	slices.SortFunc(d, func(a, b Demand) int {
		if c := strings.Compare(a.Org, b.Org); c != 0 {
			return c
		}
		return strings.Compare(a.Node, b.Node)
	})
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
	out = append(out, spread(spare, nodeWants)...)
	return out
}

// divide sets the grants of the claims and returns what remains. Claims that use
// more than their fair part receive that part as grant, and their whole use is
// subtracted before the others are served.
func divide(capacity float64, c []claim) float64 {
	free := max(capacity, 0)
	open := make([]*claim, 0, len(c))
	for i := range c {
		if c[i].weight <= 0 {
			c[i].weight = 1
		}
		open = append(open, &c[i])
	}
	slices.SortFunc(open, func(a, b *claim) int { return cmp.Compare(a.want/a.weight, b.want/b.weight) })
	for {
		fill(free, open)
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

// fill is the weighted max-min division over claims sorted by want for weight.
func fill(free float64, open []*claim) {
	weight := 0.0
	for _, x := range open {
		weight += x.weight
	}
	for _, x := range open {
		x.grant = min(x.want, free*x.weight/weight)
		free -= x.grant
		weight -= x.weight
	}
}

// spread divides spare capacity: half evenly, half by what the nodes want.
func spread(spare float64, want map[string]float64) []Grant {
	sum := 0.0
	for _, w := range want {
		sum += w
	}
	out := make([]Grant, 0, len(want))
	for node, w := range want {
		part := 1 / float64(len(want))
		if sum > 0 {
			part = (part + w/sum) / 2
		}
		out = append(out, Grant{Node: node, Amount: spare * part})
	}
	slices.SortFunc(out, func(a, b Grant) int { return strings.Compare(a.Node, b.Node) })
	return out
}
