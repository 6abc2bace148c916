package route

import (
	"cmp"
	"slices"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Action is the handling of a running stream whose server is reclaimed.
type Action uint8

// The actions, cheapest first.
const (
	Finish Action = iota // the stream ends before the server leaves
	Export               // its KV cache moves to another server
	Replay               // another server recomputes the KV cache from the tokens
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"finish", "export", "replay"}[a] }

const (
	// finishSafetyFactor multiplies the estimated number of remaining tokens.
	finishSafetyFactor = 1.5
	// departureMargin is reserved before the server leaves for the delivery of the
	// last tokens and of the cancellation.
	departureMargin = 500 * time.Millisecond
	// exportOverhead is the time of an export besides the transfer: two calls and
	// the import into the cache.
	exportOverhead = 50 * time.Millisecond
)

// Stream is one stream on a server that has a reclaim notice.
type Stream struct {
	ID        string
	Class     world.Class
	Prompt    int       // tokens
	Generated int       // tokens
	Remaining int       // estimated tokens
	KVBytes   int64     // size of its KV cache; 0 if it cannot be exported
	Deadline  time.Time // for the next token; zero takes the default of the class
}

// Source is the server that is reclaimed.
type Source struct {
	DecodePerToken time.Duration
	LeaveBy        time.Time
	BytesPerSecond float64 // export rate; 0 if the server cannot export
}

// Target is a server that could continue the stream.
type Target struct {
	PrefillPerToken time.Duration
	QueueDelay      time.Duration // delay before the stream could start, as Choice.Expected
	Cached          int           // tokens of prompt and answer in its cache
	CanImport       bool
}

// Plan is the decision for one stream.
type Plan struct {
	ID     string
	Action Action
	Pause  time.Duration // expected time without tokens for the caller
	Work   time.Duration // prefill time on the target
}

// Decide selects the cheapest action for one stream whose export could start
// after wait. Finish is free. Of export and replay, the one with the shorter pause
// wins, where prefill counts twice because it also delays the target's other streams.
func Decide(r Stream, src Source, dst Target, wait time.Duration, now time.Time) Plan {
	remaining := src.LeaveBy.Sub(now) - departureMargin
	if time.Duration(finishSafetyFactor*float64(r.Remaining))*src.DecodePerToken <= remaining {
		return Plan{ID: r.ID, Action: Finish}
	}
	work := time.Duration(max(r.Prompt+r.Generated-dst.Cached, 0)) * dst.PrefillPerToken
	replay := Plan{ID: r.ID, Action: Replay, Pause: dst.QueueDelay + work, Work: work}
	if r.KVBytes <= 0 || src.BytesPerSecond <= 0 || !dst.CanImport {
		return replay
	}
	transfer := transferTime(r, src)
	if wait+transfer > remaining {
		return replay
	}
	// The stream continues on its source while the export waits for the link.
	export := Plan{ID: r.ID, Action: Export, Pause: transfer + exportOverhead}
	if export.Pause > replay.Pause+replay.Work {
		return replay
	}
	return export
}

func transferTime(r Stream, src Source) time.Duration {
	return time.Duration(float64(r.KVBytes) / src.BytesPerSecond * float64(time.Second))
}

// DecideAll decides for all streams of one server. Exports share the server's link
// one after the other, so those that save the most prefill per second of transfer go
// first, and those that no longer fit are replayed. target returns the server that
// would continue a stream.
func DecideAll(streams []Stream, src Source, target func(Stream) Target, now time.Time) []Plan {
	type option struct {
		r          Stream
		dst        Target
		savingRate float64
	}
	candidates := make([]option, 0, len(streams))
	for _, r := range streams {
		dst := target(r)
		work := float64(max(r.Prompt+r.Generated-dst.Cached, 0)) * dst.PrefillPerToken.Seconds()
		savingRate := 0.0
		if r.KVBytes > 0 && src.BytesPerSecond > 0 {
			savingRate = work / transferTime(r, src).Seconds()
		}
		candidates = append(candidates, option{r, dst, savingRate})
	}
	slices.SortStableFunc(candidates, func(a, b option) int { return cmp.Compare(b.savingRate, a.savingRate) })
	out := make([]Plan, 0, len(candidates))
	var linkBusy time.Duration
	for _, o := range candidates {
		p := Decide(o.r, src, o.dst, linkBusy, now)
		if p.Action == Export {
			linkBusy += transferTime(o.r, src)
		}
		out = append(out, p)
	}
	return out
}

const (
	// replayShare is the share of the remaining servers' prefill capacity that
	// replays may take, so that new prompts keep their latency target.
	replayShare = 0.5
	// replayBurst is the prefill time that may start at once per server.
	replayBurst = 250 * time.Millisecond
)

// defaultTokenWait is how long the caller of a class waits for the next token if the
// stream sets no deadline.
var defaultTokenWait = [...]time.Duration{world.Lookup: time.Second, world.Call: 2 * time.Second, world.Review: 30 * time.Second}

// Pacer limits the rate of replays to what the remaining servers can take, with a
// token bucket. Replays start in order of their deadlines and none is dropped. Pacer is
// not safe for concurrent use.
type Pacer struct {
	waiting    []pendingReplay
	credit     time.Duration // prefill time
	refilledAt time.Time
}

type pendingReplay struct {
	id       string
	class    world.Class
	deadline time.Time
	work     time.Duration
}

// Add queues the replay of a stream; work is its prefill time.
func (p *Pacer) Add(r Stream, work time.Duration, now time.Time) {
	e := pendingReplay{id: r.ID, class: r.Class, deadline: r.Deadline, work: work}
	if e.deadline.IsZero() {
		e.deadline = now.Add(defaultTokenWait[min(int(r.Class), len(defaultTokenWait)-1)])
	}
	// The prefill must be complete by the deadline.
	e.deadline = e.deadline.Add(-work)
	i, _ := slices.BinarySearchFunc(p.waiting, e, func(a, b pendingReplay) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.class, b.class), cmp.Compare(a.id, b.id))
	})
	p.waiting = slices.Insert(p.waiting, i, e)
}

// Next returns the streams to replay now; servers is the number that remain. It is to
// be called whenever a replay is added and every few milliseconds while any wait.
func (p *Pacer) Next(servers int, now time.Time) []string {
	if p.refilledAt.IsZero() {
		p.credit = time.Duration(servers) * replayBurst
	} else if passed := now.Sub(p.refilledAt); passed > 0 {
		p.credit += time.Duration(replayShare * float64(servers) * float64(passed))
	}
	p.refilledAt = now
	p.credit = min(p.credit, time.Duration(servers)*replayBurst)
	n := 0
	// The last replay may overdraw the credit, as a replay larger than the burst
	// could not start otherwise. Later replays wait until the credit is positive.
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

// Waiting returns the number of queued replays.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// Remove removes a stream from the queue, for example because its caller cancelled.
func (p *Pacer) Remove(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r pendingReplay) bool { return r.id == id })
}
