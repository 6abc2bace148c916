package bench

import (
	"math/rand/v2"
	"time"
)

// The deployment of every scenario has four data centres, as production has. It has
// fewer entry instances than production, because all of them share one machine.
const (
	entriesPerDataCentre = 2
	controlNodes         = 3
	enginesPerDataCentre = 3
	desksPerDataCentre   = 1
	engineSlots          = 8
	// cacheBlocks is the size of an engine's prefix cache: the prompts of about eight
	// reviews.
	cacheBlocks = 2000
)

var dataCentres = []string{"dc1", "dc2", "dc3", "dc4"}

const (
	nodeCount   = 4 * entriesPerDataCentre
	engineCount = 4 * enginesPerDataCentre
	deskCount   = 4 * desksPerDataCentre
)

// loadMix describes the load of a scenario. lookups, reviews and orders are relative
// weights.
type loadMix struct {
	lookups, reviews, orders float64
	// turns is the share of model requests that continue a conversation.
	turns float64
	// flood is the factor by which one organisation increases its arrivals in the middle
	// of the run.
	flood float64
	// poison is the number of distinct requests that crash engines.
	poison int
}

var defaultLoad = loadMix{lookups: 0.6, reviews: 0.2, orders: 0.2, turns: 0.5}

// faultKind is the kind of a fault.
type faultKind string

const (
	reclaimEngine faultKind = "reclaimEngine" // with notice Duration; replaced if RestartDelay is set
	reclaimDesk   faultKind = "reclaimDesk"
	crashEngine   faultKind = "crashEngine" // restarted after RestartDelay
	desksFail     faultKind = "desksFail"   // desks crash and drop connections for Duration
	stopNode      faultKind = "stopNode"    // drained within Duration; restarted after RestartDelay
	crashNode     faultKind = "crashNode"   // restarted after RestartDelay
	// reclaimWave reclaims 60% of the cloud's servers with notice Duration; only the data
	// centre Target starts new ones.
	reclaimWave faultKind = "reclaimWave"
	cutNode     faultKind = "cutNode"    // drop traffic to and from all nodes for Duration
	cutFromLog  faultKind = "cutFromLog" // drop traffic to and from the control nodes for Duration
)

// fault is one fault of a scenario. Start is relative to the start of the load.
type fault struct {
	Start        time.Duration
	Kind         faultKind
	Target       int // index of the node, engine, desk or data centre
	Duration     time.Duration
	RestartDelay time.Duration // from the end of the fault to the restart; zero for no restart
}

// scenario is a load with faults or version moves.
type scenario struct {
	name, summary string
	mix           loadMix
	// faults returns the faults for a load of the given duration.
	faults func(rng *rand.Rand, load time.Duration) []fault
	// hasCloud lets the system's fleet controller start the servers in a simulated cloud.
	hasCloud bool
	// moves holds the version moves of the scenario, each of a separate service.
	moves []moveCase
	rate  float64 // arrivals per second; DefaultRate if zero
}

// policies returns the names of the policies that the scenario compares.
func (s scenario) policies() []string {
	if len(s.moves) > 0 {
		return MovePolicies()
	}
	return Policies()
}

func scenarios() []scenario {
	prefixLoad, floodLoad, poisonLoad := defaultLoad, defaultLoad, defaultLoad
	prefixLoad.turns, prefixLoad.reviews, prefixLoad.lookups = 0.85, 0.35, 0.5
	floodLoad.flood = 6
	poisonLoad.poison = 2
	return []scenario{
		{name: "steady", summary: "mixed load, no faults", mix: defaultLoad, faults: noFaults},
		{name: "prefix", summary: "long prompts with shared prefixes", mix: prefixLoad, faults: noFaults},
		{name: "flood", summary: "one large organisation sends six times its load", mix: floodLoad, faults: noFaults},
		{name: "reclaim", summary: "engines are reclaimed with notice and replaced, one after the other", mix: defaultLoad, faults: reclaimFaults},
		{name: "dataCentre", summary: "all of one data centre is reclaimed at once", mix: defaultLoad, faults: dataCentreFaults},
		{name: "wave", summary: "60% of the servers are reclaimed, three of four data centres refuse starts", mix: defaultLoad, faults: waveFaults, hasCloud: true},
		{name: "cutControl", summary: "one control instance is partitioned from all others for most of the run", mix: defaultLoad, faults: cutControlFaults},
		{name: "cutEntry", summary: "an entry instance is partitioned from the control instances", mix: defaultLoad, faults: cutEntryFaults},
		{name: "poison", summary: "requests that crash engines are sent repeatedly", mix: poisonLoad, faults: noFaults},
		{name: "rolling", summary: "planned restart of all entry and control instances", mix: defaultLoad, faults: rollingFaults},
		{name: "crash", summary: "engines, desks and an entry instance crash without notice", mix: defaultLoad, faults: crashFaults},
		{name: "badVersionFails", summary: "version moves to versions that fail or crash", hasCloud: true, moves: failingMoves(), rate: failingRate, faults: noFaults},
		{name: "badVersionSlows", summary: "version moves to versions that slow down", hasCloud: true, moves: slowMoves(), rate: slowRate, faults: noFaults},
		{name: "goodVersion", summary: "version moves to good versions", hasCloud: true, moves: goodMoves(), rate: goodRate, faults: noFaults},
	}
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

// Summary returns a one-line description of a scenario, or "" for an unknown name.
func Summary(name string) string {
	s, _ := findScenario(name)
	return s.summary
}

func findScenario(name string) (scenario, bool) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, true
		}
	}
	return scenario{}, false
}

func noFaults(*rand.Rand, time.Duration) []fault { return nil }

// fractionOf returns a fraction of a duration.
func fractionOf(load time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(load))
}

func reclaimFaults(rng *rand.Rand, load time.Duration) []fault {
	var out []fault
	for i, e := range rng.Perm(engineCount) {
		at := fractionOf(load, 0.1) + time.Duration(i)*1200*time.Millisecond
		if at > fractionOf(load, 0.9) {
			break
		}
		// The notice is longer than the 3 s after which no new requests may arrive.
		out = append(out, fault{Start: at, Kind: reclaimEngine, Target: e, Duration: 4 * time.Second, RestartDelay: time.Second})
	}
	return out
}

func dataCentreFaults(rng *rand.Rand, load time.Duration) []fault {
	dc := rng.IntN(len(dataCentres))
	at := fractionOf(load, 0.4)
	const notice = 4 * time.Second
	var out []fault
	for i := dc; i < engineCount; i += len(dataCentres) {
		out = append(out, fault{Start: at, Kind: reclaimEngine, Target: i, Duration: notice})
	}
	for i := dc; i < deskCount; i += len(dataCentres) {
		out = append(out, fault{Start: at, Kind: reclaimDesk, Target: i, Duration: notice})
	}
	for i := dc; i < nodeCount; i += len(dataCentres) {
		out = append(out, fault{Start: at, Kind: stopNode, Target: i, Duration: notice})
	}
	return out
}

func waveFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{Start: fractionOf(load, 0.3), Kind: reclaimWave, Target: rng.IntN(len(dataCentres)), Duration: 4 * time.Second}}
}

func cutControlFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{Start: fractionOf(load, 0.15), Kind: cutNode, Target: rng.IntN(controlNodes), Duration: fractionOf(load, 0.75)}}
}

func cutEntryFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{Start: fractionOf(load, 0.2), Kind: cutFromLog, Target: controlNodes + rng.IntN(nodeCount-controlNodes), Duration: fractionOf(load, 0.6)}}
}

// rollingFaults restarts the data centres in turn, so that only one member of the
// replicated log is down at a time.
func rollingFaults(_ *rand.Rand, load time.Duration) []fault {
	var out []fault
	for i := range nodeCount {
		at := fractionOf(load, 0.05) + fractionOf(load, 0.24)*time.Duration(i%len(dataCentres))
		out = append(out, fault{Start: at, Kind: stopNode, Target: i, Duration: 1500 * time.Millisecond, RestartDelay: 50 * time.Millisecond})
	}
	return out
}

func crashFaults(rng *rand.Rand, load time.Duration) []fault {
	engines := rng.Perm(engineCount)
	entry := controlNodes + rng.IntN(nodeCount-controlNodes)
	const downtime = 2 * time.Second
	return []fault{
		{Start: fractionOf(load, 0.1), Kind: desksFail, Duration: fractionOf(load, 0.7)},
		{Start: fractionOf(load, 0.25), Kind: crashEngine, Target: engines[0], RestartDelay: downtime},
		{Start: fractionOf(load, 0.3), Kind: crashEngine, Target: engines[1], RestartDelay: downtime},
		{Start: fractionOf(load, 0.45), Kind: crashNode, Target: entry, RestartDelay: downtime},
		{Start: fractionOf(load, 0.6), Kind: crashEngine, Target: engines[2], RestartDelay: downtime},
	}
}
