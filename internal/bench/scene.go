package bench

import (
	"math/rand/v2"
	"time"
)

// The deployment of every scenario: today's size of four data centres, with
// fewer entry instances, because they share one machine.
const (
	entriesPer  = 2
	controls    = 3
	enginesPer  = 3
	desksPer    = 1
	engineSlots = 8
	// cacheBlocks holds the prompts of about eight reviews.
	cacheBlocks = 2000
)

var dataCentres = []string{"dc1", "dc2", "dc3", "dc4"}

const (
	nodeCount   = 4 * entriesPer
	engineCount = 4 * enginesPer
	deskCount   = 4 * desksPer
)

// mix describes the load of a scenario. Weights are relative.
type mix struct {
	lookups, reviews, orders float64
	// turns is the share of model requests that continue a conversation.
	turns float64
	// flood multiplies the arrivals of one organisation in the middle of the run.
	flood float64
	// poison is the number of distinct requests that crash engines.
	poison int
}

var usual = mix{lookups: 0.6, reviews: 0.2, orders: 0.2, turns: 0.5}

// faultKind is what happens to the deployment.
type faultKind string

const (
	reclaimEngine faultKind = "reclaimEngine" // with notice For; replaced if Back is set
	reclaimDesk   faultKind = "reclaimDesk"
	crashEngine   faultKind = "crashEngine" // back after Back
	desksFail     faultKind = "desksFail"   // desks crash and drop connections for For
	stopNode      faultKind = "stopNode"    // planned, within For; back after Back
	crashNode     faultKind = "crashNode"   // back after Back
	// reclaimWave reclaims 60% of the rented servers with notice For; only the data
	// centre Target starts new ones.
	reclaimWave faultKind = "reclaimWave"
	cutNode     faultKind = "cutNode"    // links to all nodes are silent for For
	cutFromLog  faultKind = "cutFromLog" // links to the control nodes are silent for For
)

// fault is one event of a scenario. Times are relative to the start of the load.
type fault struct {
	At     time.Duration
	Kind   faultKind
	Target int // number of the node, engine or desk
	For    time.Duration
	Back   time.Duration // after its end; zero for never
}

// scene is one scenario.
type scene struct {
	name, summary string
	mix           mix
	// faults returns the faults of a load of the given length.
	faults func(rng *rand.Rand, load time.Duration) []fault
	// rented lets the system's fleet controller buy the servers at a simulated cloud.
	rented bool
	// moves are the version moves of the scenario, each of a service of its own.
	moves []moveCase
	rate  float64 // arrivals per second; DefaultRate if zero
}

// policies returns the names of the policies that the scenario compares.
func (s scene) policies() []string {
	if len(s.moves) > 0 {
		return MovePolicies()
	}
	return Policies()
}

func scenes() []scene {
	prefix, flood, poison := usual, usual, usual
	prefix.turns, prefix.reviews, prefix.lookups = 0.85, 0.35, 0.5
	flood.flood = 6
	poison.poison = 2
	return []scene{
		{name: "steady", summary: "mixed load without faults", mix: usual, faults: noFaults},
		{name: "prefix", summary: "long prompts that share their beginnings", mix: prefix, faults: noFaults},
		{name: "flood", summary: "one large organisation sends six times its load", mix: flood, faults: noFaults},
		{name: "reclaim", summary: "one engine after the other is reclaimed with notice and replaced", mix: usual, faults: reclaimFaults},
		{name: "dataCentre", summary: "all of one data centre is reclaimed at once", mix: usual, faults: dataCentreFaults},
		{name: "wave", summary: "60% of the servers are reclaimed, three of four data centres refuse starts", mix: usual, faults: waveFaults, rented: true},
		{name: "cutControl", summary: "one control instance is silently cut off for long", mix: usual, faults: cutControlFaults},
		{name: "cutEntry", summary: "an entry instance is cut off from the control instances", mix: usual, faults: cutEntryFaults},
		{name: "poison", summary: "requests that crash engines are sent again and again", mix: poison, faults: noFaults},
		{name: "rolling", summary: "planned restart of all entry and control instances", mix: usual, faults: rollingFaults},
		{name: "crash", summary: "engines, desks and an entry instance crash without notice", mix: usual, faults: crashFaults},
		{name: "badVersionFails", summary: "version moves to versions that fail or crash", rented: true, moves: failingMoves(), rate: failRate, faults: noFaults},
		{name: "badVersionSlows", summary: "version moves to versions that slow down", rented: true, moves: slowMoves(), rate: slowRate, faults: noFaults},
		{name: "goodVersion", summary: "version moves to good versions", rented: true, moves: goodMoves(), rate: goodRate, faults: noFaults},
	}
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenes() {
		out = append(out, s.name)
	}
	return out
}

// Summary describes a scenario in one line; it is empty for an unknown name.
func Summary(name string) string {
	s, _ := sceneNamed(name)
	return s.summary
}

func sceneNamed(name string) (scene, bool) {
	for _, s := range scenes() {
		if s.name == name {
			return s, true
		}
	}
	return scene{}, false
}

func noFaults(*rand.Rand, time.Duration) []fault { return nil }

// part returns a share of the load's length.
func part(load time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(load))
}

func reclaimFaults(rng *rand.Rand, load time.Duration) []fault {
	var out []fault
	for i, e := range rng.Perm(engineCount) {
		at := part(load, 0.1) + time.Duration(i)*1200*time.Millisecond
		if at > part(load, 0.9) {
			break
		}
		// The notice exceeds the 3 s after which no new work may arrive.
		out = append(out, fault{At: at, Kind: reclaimEngine, Target: e, For: 4 * time.Second, Back: time.Second})
	}
	return out
}

func dataCentreFaults(rng *rand.Rand, load time.Duration) []fault {
	dc := rng.IntN(len(dataCentres))
	at := part(load, 0.4)
	const notice = 4 * time.Second
	var out []fault
	for i := dc; i < engineCount; i += len(dataCentres) {
		out = append(out, fault{At: at, Kind: reclaimEngine, Target: i, For: notice})
	}
	for i := dc; i < deskCount; i += len(dataCentres) {
		out = append(out, fault{At: at, Kind: reclaimDesk, Target: i, For: notice})
	}
	for i := dc; i < nodeCount; i += len(dataCentres) {
		out = append(out, fault{At: at, Kind: stopNode, Target: i, For: notice})
	}
	return out
}

func waveFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{At: part(load, 0.3), Kind: reclaimWave, Target: rng.IntN(len(dataCentres)), For: 4 * time.Second}}
}

func cutControlFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{At: part(load, 0.15), Kind: cutNode, Target: rng.IntN(controls), For: part(load, 0.75)}}
}

func cutEntryFaults(rng *rand.Rand, load time.Duration) []fault {
	return []fault{{At: part(load, 0.2), Kind: cutFromLog, Target: controls + rng.IntN(nodeCount-controls), For: part(load, 0.6)}}
}

// rollingFaults restarts one data centre after the other, so that only one
// member of the replicated log is away at a time.
func rollingFaults(_ *rand.Rand, load time.Duration) []fault {
	var out []fault
	for i := range nodeCount {
		at := part(load, 0.05) + part(load, 0.24)*time.Duration(i%len(dataCentres))
		out = append(out, fault{At: at, Kind: stopNode, Target: i, For: 1500 * time.Millisecond, Back: 50 * time.Millisecond})
	}
	return out
}

func crashFaults(rng *rand.Rand, load time.Duration) []fault {
	engines := rng.Perm(engineCount)
	entry := controls + rng.IntN(nodeCount-controls)
	const away = 2 * time.Second
	return []fault{
		{At: part(load, 0.1), Kind: desksFail, For: part(load, 0.7)},
		{At: part(load, 0.25), Kind: crashEngine, Target: engines[0], Back: away},
		{At: part(load, 0.3), Kind: crashEngine, Target: engines[1], Back: away},
		{At: part(load, 0.45), Kind: crashNode, Target: entry, Back: away},
		{At: part(load, 0.6), Kind: crashEngine, Target: engines[2], Back: away},
	}
}
