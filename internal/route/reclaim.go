package route

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Action says what happens to a running stream when its server is reclaimed.
type Action uint8

// The actions, cheapest first.
const (
	Finish Action = iota // it ends before the server is gone
	Export               // its KV cache moves to another server
	Replay               // another server computes it again from the tokens
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"finish", "export", "replay"}[a] }

const (
	// finishFactor is the safety factor on the remaining tokens, which are an estimate.
	finishFactor = 1.5
	// stopMargin is kept free before the server is gone for the last tokens and
	// the cancellation to travel.
	stopMargin = 500 * time.Millisecond
	// exportFixed is the time of an export besides the transfer: two calls and
	// the import into the cache.
	exportFixed = 50 * time.Millisecond
)

// Running is one stream on a server that has a reclaim notice.
type Running struct {
	ID        string
	Class     world.Class
	Prompt    int       // tokens
	Generated int       // tokens
	Remaining int       // estimated tokens
	KVBytes   int64     // size of its KV cache; 0 if it cannot be exported
	Deadline  time.Time // latest moment for the next token; zero takes the default of its class
}

// Source is the server that is reclaimed.
type Source struct {
	DecodePerToken time.Duration
	LeaveBy        time.Time
	BytesPerSecond float64 // rate at which it exports; 0 if it cannot
}

// Target is the server that would continue the stream.
type Target struct {
	PrefillPerToken time.Duration
	Queue           time.Duration // delay before it could start, as Choice.Expected
	Cached          int           // tokens of prompt and answer in its cache
	CanImport       bool
}

// Plan says what happens to one stream.
type Plan struct {
	ID     string
	Action Action
	Pause  time.Duration // expected time without tokens for the caller
	Work   time.Duration // time of the target's prefill that it costs
}

// Decide selects the cheapest action for one stream whose export could start
// after wait. Finishing costs nothing; between export and replay the shorter
// pause wins, where prefill counts twice, because it also delays the target's
// other streams.
func Decide(r Running, src Source, dst Target, wait time.Duration, now time.Time) Plan {
	left := src.LeaveBy.Sub(now) - stopMargin
	if time.Duration(finishFactor*float64(r.Remaining))*src.DecodePerToken <= left {
		return Plan{ID: r.ID, Action: Finish}
	}
	work := time.Duration(max(r.Prompt+r.Generated-dst.Cached, 0)) * dst.PrefillPerToken
	replay := Plan{ID: r.ID, Action: Replay, Pause: dst.Queue + work, Work: work}
	if r.KVBytes <= 0 || src.BytesPerSecond <= 0 || !dst.CanImport {
		return replay
	}
	move := transfer(r, src)
	if wait+move > left {
		return replay
	}
	// While an export waits for the link, the stream goes on at its source.
	export := Plan{ID: r.ID, Action: Export, Pause: move + exportFixed}
	if export.Pause > replay.Pause+replay.Work {
		return replay
	}
	return export
}

func transfer(r Running, src Source) time.Duration {
	return time.Duration(float64(r.KVBytes) / src.BytesPerSecond * float64(time.Second))
}

// DecideAll decides for all streams of one server. Its link carries one export
// after the other, so those that save the most prefill for each second of the
// link go first, and those that no longer fit are replayed. Target gives the
// server that would continue a stream.
func DecideAll(streams []Running, src Source, target func(Running) Target, now time.Time) []Plan {
	type option struct {
		r    Running
		dst  Target
		gain float64
	}
	options := make([]option, 0, len(streams))
	for _, r := range streams {
		dst := target(r)
		work := float64(max(r.Prompt+r.Generated-dst.Cached, 0)) * dst.PrefillPerToken.Seconds()
		gain := 0.0
		if r.KVBytes > 0 && src.BytesPerSecond > 0 {
			gain = work / transfer(r, src).Seconds()
		}
		options = append(options, option{r, dst, gain})
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.gain, a.gain) })
	out := make([]Plan, 0, len(options))
	var link time.Duration
	for _, o := range options {
		p := Decide(o.r, src, o.dst, link, now)
		if p.Action == Export {
			link += transfer(o.r, src)
		}
		out = append(out, p)
	}
	return out
}

const (
	// replayShare is the share of the remaining servers' prefill that replays
	// may take, so that new prompts keep their latency target.
	replayShare = 0.5
	// replayBurst is the prefill that may start at once on each server.
	replayBurst = 250 * time.Millisecond
)

// patience is how long the caller of a class waits for the next token when the
// stream sets no deadline.
var patience = [...]time.Duration{world.Lookup: time.Second, world.Call: 2 * time.Second, world.Review: 30 * time.Second}

// Pacer starts replays at a rate that the remaining servers bear. Of the waiting
// ones the most urgent starts first; none is dropped. It is not safe for
// concurrent use.
type Pacer struct {
	waiting []replay
	credit  time.Duration // of prefill
	at      time.Time
}

type replay struct {
	id       string
	class    world.Class
	deadline time.Time
	work     time.Duration
}

// Add queues the replay of a stream that costs work of prefill.
func (p *Pacer) Add(r Running, work time.Duration, now time.Time) {
	e := replay{id: r.ID, class: r.Class, deadline: r.Deadline, work: work}
	if e.deadline.IsZero() {
		e.deadline = now.Add(patience[min(int(r.Class), len(patience)-1)])
	}
	// The prefill must be done by the deadline.
	e.deadline = e.deadline.Add(-work)
	i, _ := slices.BinarySearchFunc(p.waiting, e, func(a, b replay) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.class, b.class), cmp.Compare(a.id, b.id))
	})
	p.waiting = slices.Insert(p.waiting, i, e)
}

// Next returns the streams to replay now, given how many servers remain. Call
// it whenever a replay is added and every few milliseconds while some wait.
func (p *Pacer) Next(servers int, now time.Time) []string {
	if p.at.IsZero() {
		p.credit = time.Duration(servers) * replayBurst
	} else if passed := now.Sub(p.at); passed > 0 {
		p.credit += time.Duration(replayShare * float64(servers) * float64(passed))
	}
	p.at = now
	p.credit = min(p.credit, time.Duration(servers)*replayBurst)
	n := 0
	// The last one may overdraw the credit: a replay longer than the burst must
	// start some time, and later ones wait until the debt is paid.
	for n < len(p.waiting) && p.credit > 0 {
		p.credit -= p.waiting[n].work
		n++
	}
	out := make([]string, 0, n)
	for _, w := range p.waiting[:n] {
		out = append(out, w.id)
	}
	p.waiting = slices.Delete(p.waiting, 0, n)
	return out
}

// Waiting returns how many replays have not started.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// Remove takes a stream out, for example because its caller cancelled.
func (p *Pacer) Remove(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r replay) bool { return r.id == id })
}
