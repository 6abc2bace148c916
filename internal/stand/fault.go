package stand

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// VersionFault is a fault of one version. It affects requests that meet all of its
// conditions.
type VersionFault struct {
	Version string
	// Route, if set, limits the fault to a request class ("lookup", "call" or
	// "review") or an adapter on engines, or to a path prefix on desks.
	Route        string
	After        time.Duration // delay until the fault takes effect, in real time
	AboveRunning int           // only with more running requests than this; 0 means always
	Share        float64       // share of requests affected; 0 means all
	Fail         bool          // the request fails
	Crash        bool          // the server crashes; engines only
	Slow         float64       // slowdown factor; 0 means none
}

// StreamFaults configures faults in the response streams of an engine.
type StreamFaults struct {
	Cut       float64 // share of streams cut at a random token
	CutAfter  int     // every stream is cut after this many tokens; 0 means never
	Duplicate float64 // share of events sent twice
	Late      float64 // share of events sent after their successor
	NoFinal   float64 // share of streams that end without a last event
}

type timedFault struct {
	VersionFault
	setAt time.Time
}

type faultList []timedFault

func newFaultList(faults []VersionFault, now time.Time) faultList {
	var out faultList
	for _, f := range faults {
		out = append(out, timedFault{f, now})
	}
	return out
}

// effect is the combined effect of faults on one request.
type effect struct {
	fails, crashes bool
	slowdown       float64 // factor, at least 1
}

// effectOn combines all faults that apply to a request; the largest slowdown wins.
func (l faultList) effectOn(version string, routes []string, path string, running int, now time.Time, rng *rand.Rand) effect {
	eff := effect{slowdown: 1}
	for _, f := range l {
		switch {
		case f.Version != version,
			f.Route != "" && !slices.Contains(routes, f.Route) && (path == "" || !strings.HasPrefix(path, f.Route)),
			now.Sub(f.setAt) < f.After,
			running <= f.AboveRunning && f.AboveRunning > 0,
			f.Share > 0 && rng.Float64() >= f.Share:
			continue
		}
		eff.fails, eff.crashes = eff.fails || f.Fail, eff.crashes || f.Crash
		eff.slowdown = max(eff.slowdown, f.Slow)
	}
	return eff
}

// Ledger tracks how many tokens of each request any engine has computed, so that
// engines that share it count recomputed tokens exactly.
type Ledger struct {
	mu       sync.Mutex
	progress map[string]int // prompt and answer tokens computed, by request id
}

// NewLedger returns an empty Ledger, which several engines can share.
func NewLedger() *Ledger {
	return &Ledger{progress: map[string]int{}}
}

// markComputed records that the tokens in [from, to) were computed and returns how many of
// them had been computed before.
func (l *Ledger) markComputed(id string, from, to int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.progress[id]
	l.progress[id] = max(known, to)
	return max(0, min(known, to)-from)
}
