package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	service      = "drafts"
	version      = "v1"
	nextVersion  = "v2"
	orderPath    = "/orders"
	poisonMarker = "[crash]"
)

// organisation of the scenarios. The first one is the large one that floods.
type organisation struct {
	name    string
	weight  float64
	callers int
}

var organisations = []organisation{{"acme", 4, 4}, {"brand", 2, 3}, {"civil", 1, 2}, {"delta", 1, 2}, {"ember", 1, 2}}

func keyOf(org string) string { return org + "-key" }

// request is one arrival. All of it comes from the seed.
type request struct {
	At     time.Duration // after the start of the load
	ID     string
	Caller int // number of the caller
	Org    string
	Class  world.Class // world.Call for orders
	// Service is empty for the usual one, whose only version answers. The other
	// services are being moved from one version to another.
	Service string

	Prompt    string
	Seed      uint64
	MaxTokens int
	Stream    bool
	// BreakAt is the number of tokens after which the caller drops its
	// connection and comes back; 0 for never.
	BreakAt int
	// ByGet makes the caller continue with GET instead of the same POST.
	ByGet  bool
	Poison bool

	Key, Body string // of an order
	ReadBack  bool   // the order's status is asked for afterwards
}

func (r request) service() string { return cmp.Or(r.Service, service) }

// versions returns the versions that may answer.
func (r request) versions() []string {
	if r.Service == "" {
		return []string{version}
	}
	return []string{version, nextVersion}
}

// place is where a caller is.
type place struct{ org, dataCentre string }

// inputs are what every policy gets alike.
type inputs struct {
	scene    scene
	cfg      Config
	load     time.Duration
	callers  []place
	requests []request
	faults   []fault
}

func newInputs(s scene, cfg Config) inputs {
	in := inputs{scene: s, cfg: cfg, load: seconds(cfg.Seconds)}
	for _, o := range organisations {
		for range o.callers {
			in.callers = append(in.callers, place{o.name, dataCentres[len(in.callers)%len(dataCentres)]})
		}
	}
	if len(s.moves) > 0 {
		in.moveRequests()
		return in
	}
	in.faults = s.faults(random(cfg.Seed, s.name+"/faults"), in.load)
	slices.SortStableFunc(in.faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	w := writer{rng: random(cfg.Seed, s.name+"/load"), in: &in, system: map[string]string{}}
	w.arrivals(cfg.Rate, 0, in.load, "")
	if s.mix.flood > 1 {
		w.arrivals(cfg.Rate*(s.mix.flood-1)*0.4, part(in.load, 0.25), part(in.load, 0.75), organisations[0].name)
	}
	w.poison(s.mix.poison)
	slices.SortStableFunc(in.requests, func(a, b request) int { return cmp.Compare(a.At, b.At) })
	for i := range in.requests {
		in.requests[i].ID = fmt.Sprintf("r%d-%d", cfg.Seed, i)
	}
	return in
}

// writer makes up requests.
type writer struct {
	rng    *rand.Rand
	in     *inputs
	system map[string]string // system prompt by organisation
	talks  []talk
}

// talk is a conversation that may go on.
type talk struct {
	caller int
	class  world.Class
	prompt string
	next   time.Duration // earliest time of the next turn
}

// arrivals adds requests at exponentially distributed intervals.
func (w *writer) arrivals(rate float64, from, to time.Duration, org string) {
	for at := from; ; {
		at += seconds(w.rng.ExpFloat64() / rate)
		if at >= to {
			return
		}
		w.in.requests = append(w.in.requests, w.request(at, w.caller(org)))
	}
}

// caller draws a caller, of one organisation if it is given.
func (w *writer) caller(org string) int {
	for {
		i := w.rng.IntN(len(w.in.callers))
		if org == "" || w.in.callers[i].org == org {
			return i
		}
	}
}

func (w *writer) request(at time.Duration, caller int) request {
	m := w.in.scene.mix
	r := request{At: at, Caller: caller, Org: w.in.callers[caller].org, Seed: w.rng.Uint64N(1 << 40)}
	switch x := w.rng.Float64() * (m.lookups + m.reviews + m.orders); {
	case x < m.orders:
		r.Class = world.Call
		r.Key = fmt.Sprintf("order-%d-%d", w.in.cfg.Seed, len(w.in.requests))
		r.Body = fmt.Sprintf(`{"pour":"C%d","note":%q}`, 20+5*w.rng.IntN(6), w.words(8))
		r.ReadBack = w.rng.Float64() < 0.3
		return r
	case x < m.orders+m.reviews:
		r.Class = world.Review
		r.MaxTokens = 150 + w.rng.IntN(200)
		r.Stream = true
		if w.rng.Float64() < 0.1 {
			r.BreakAt = 1 + w.rng.IntN(r.MaxTokens-1)
		}
	default:
		r.Class = world.Lookup
		r.MaxTokens = 10 + w.rng.IntN(30)
		r.Stream = w.rng.Float64() < 0.85
	}
	r.ByGet = w.rng.Float64() < 0.5
	r.Prompt = w.prompt(&r)
	return r
}

// prompt continues a conversation of the organisation or begins a new one.
func (w *writer) prompt(r *request) string {
	if w.rng.Float64() < w.in.scene.mix.turns {
		for i := range w.talks {
			t := &w.talks[i]
			if t.class == r.Class && w.in.callers[t.caller].org == r.Org && t.next <= r.At {
				// The text between the turns stands for the answer.
				t.prompt += w.words(60) + "\nuser: " + w.words(15) + "\nassistant: "
				t.next = r.At + 2*time.Second + seconds(w.rng.Float64()*2)
				r.Caller = t.caller
				return t.prompt
			}
		}
	}
	if w.system[r.Org] == "" {
		w.system[r.Org] = "system: " + w.words(500) + "\n"
	}
	p := w.system[r.Org] + "user: " + w.words(20)
	if r.Class == world.Review {
		p += "\n" + w.words(1000+w.rng.IntN(2000))
	}
	p += "\nassistant: "
	w.talks = append(w.talks, talk{r.Caller, r.Class, p, r.At + 2*time.Second + seconds(w.rng.Float64()*2)})
	return p
}

// poison adds requests that crash engines, each sent again by several callers.
func (w *writer) poison(n int) {
	for i := range n {
		prompt := fmt.Sprintf("%s %d %s", poisonMarker, i, w.words(100))
		for try := range 5 {
			at := part(w.in.load, 0.2+0.1*float64(try)) + time.Duration(i)*200*time.Millisecond
			c := w.caller("")
			w.in.requests = append(w.in.requests, request{
				At: at, Caller: c, Org: w.in.callers[c].org, Class: world.Lookup, Prompt: prompt, MaxTokens: 20, Stream: true, Poison: true,
			})
		}
	}
}

var vocabulary = strings.Fields(`plinth deck rebar load beam survey footing barn pour slab joist schedule span
	girder column mortar lintel truss anchor bolt shear moment grade cover drain level crack repair drawing sheet`)

func (w *writer) words(n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[w.rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// declaration is in force in every scenario.
func declaration() (decl.Declaration, error) {
	return parseDeclaration(usualServices(), []string{fmt.Sprintf(`{"service": %q, "min": 1, "max": %d}`, service, engineCount)}, "")
}

func usualServices() []string {
	return []string{
		fmt.Sprintf(`{"name": %q, "kind": "model", "versions": [%q], "version": %q, "machineClass": "m", "slots": %d}`, service, version, version, engineSlots),
		fmt.Sprintf(`{"name": "orders", "kind": "plain", "versions": ["v1"], "version": "v1", "machineClass": "s", "path": %q, "timeoutSeconds": 5}`, orderPath),
	}
}
