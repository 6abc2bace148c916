package stand

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// VersionFault makes a version bad. All conditions must hold.
type VersionFault struct {
	Version string
	// Route limits the fault to one route: the name of a class ("lookup",
	// "call" or "review") or an adapter for engines, a path prefix for desks.
	Route        string
	After        time.Duration // since the fault was set, in real time
	AboveRunning int           // only with more than this many running requests
	Share        float64       // share of requests hit; 0 means all
	Fail         bool          // the request fails
	Crash        bool          // the server crashes; engines only
	Slow         float64       // factor by which the request is slower; 0 means not slower
}

// StreamFaults damage the streams of an engine.
type StreamFaults struct {
	Cut       float64 // share of streams cut at a random token
	CutAfter  int     // cut every stream after this many tokens; 0 for none
	Duplicate float64 // share of events sent twice
	Late      float64 // share of events sent after the one that follows
	NoFinal   float64 // share of streams that end without a last event
}

type setFault struct {
	VersionFault
	since time.Time
}

type faultList []setFault

func newFaults(all []VersionFault, now time.Time) faultList {
	var out faultList
	for _, f := range all {
		out = append(out, setFault{f, now})
	}
	return out
}

// effect is what faults do to one request.
type effect struct {
	fails, crashes bool
	slow           float64 // factor, at least 1
}

// hit returns the worst effect of the faults on a request.
func (l faultList) hit(version string, routes []string, path string, running int, now time.Time, rng *rand.Rand) effect {
	e := effect{slow: 1}
	for _, f := range l {
		switch {
		case f.Version != version,
			f.Route != "" && !slices.Contains(routes, f.Route) && (path == "" || !strings.HasPrefix(path, f.Route)),
			now.Sub(f.since) < f.After,
			running <= f.AboveRunning && f.AboveRunning > 0,
			f.Share > 0 && rng.Float64() >= f.Share:
			continue
		}
		e.fails, e.crashes = e.fails || f.Fail, e.crashes || f.Crash
		e.slow = max(e.slow, f.Slow)
	}
	return e
}

// Ledger knows how far each request has been computed on any engine, so that the
// engines of a test can count recomputed tokens exactly.
type Ledger struct {
	mu   sync.Mutex
	high map[string]int // by request id; prompt and answer tokens
}

// NewLedger returns an empty ledger, to be shared by engines.
func NewLedger() *Ledger {
	return &Ledger{high: map[string]int{}}
}

// computed records that the tokens from up to to were computed and returns how
// many of them had been computed before.
func (l *Ledger) computed(id string, from, to int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	high := l.high[id]
	l.high[id] = max(high, to)
	return max(0, min(high, to)-from)
}
