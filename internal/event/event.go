// Package event records what happens in a process and merges the records of
// many processes into one time line. Operators read the time line to see what
// led to an outcome, so each event names the request, version move or instance
// that it belongs to.
package event

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("event")

// maxLineBytes bounds one line of an event file that Read accepts.
const maxLineBytes = 1 << 20

// Event is one entry of the time line.
type Event struct {
	Stamp    clock.Stamp       `json:"stamp"`
	Time     time.Time         `json:"time"`
	Node     string            `json:"node"`
	Kind     string            `json:"kind"`
	Request  string            `json:"request,omitempty"`
	Move     string            `json:"move,omitempty"`
	Instance string            `json:"instance,omitempty"`
	Detail   map[string]string `json:"detail,omitempty"`
}

// WithRequest returns a copy of e that belongs to a request.
func (e Event) WithRequest(id string) Event { e.Request = id; return e }

// WithMove returns a copy of e that belongs to a version move.
func (e Event) WithMove(id string) Event { e.Move = id; return e }

// WithInstance returns a copy of e that belongs to an instance.
func (e Event) WithInstance(id string) Event { e.Instance = id; return e }

// With returns a copy of e with one more detail.
func (e Event) With(key, value string) Event {
	detail := make(map[string]string, len(e.Detail)+1)
	for k, v := range e.Detail {
		detail[k] = v
	}
	detail[key] = value
	e.Detail = detail
	return e
}

// Of returns an event of the given kind, to be completed with the With methods.
func Of(kind string) Event { return Event{Kind: kind} }

// Log keeps the newest events of one process in memory and, if a writer is
// set, writes each as a JSON line.
type Log struct {
	node  string
	clock *clock.Clock

	mu   sync.Mutex
	ring []Event
	next int
	full bool
	w    io.Writer
}

// NewLog returns a log that keeps the newest keep events. w may be nil.
func NewLog(node string, c *clock.Clock, keep int, w io.Writer) *Log {
	return &Log{node: node, clock: c, ring: make([]Event, max(keep, 1)), w: w}
}

// Clock returns the clock that stamps the events, for use on messages.
func (l *Log) Clock() *clock.Clock { return l.clock }

// Add stamps e and records it. A failing writer does not lose the event from memory.
func (l *Log) Add(e Event, now time.Time) {
	if l == nil {
		return
	}
	e.Node, e.Time, e.Stamp = l.node, now.UTC(), l.clock.Now(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
	l.full = l.full || l.next == 0
	if l.w == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, _ = l.w.Write(append(line, '\n'))
	}
}

// Events returns the events in memory that pass f, oldest first.
func (l *Log) Events(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Event
	if l.full {
		all = append(all, l.ring[l.next:]...)
	}
	all = append(all, l.ring[:l.next]...)
	return f.Apply(all)
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	Request, Move, Instance, Kind string
	From, Until                   time.Time
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Event) bool {
	switch {
	case f.Request != "" && f.Request != e.Request,
		f.Move != "" && f.Move != e.Move,
		f.Instance != "" && f.Instance != e.Instance,
		f.Kind != "" && f.Kind != e.Kind,
		!f.From.IsZero() && e.Time.Before(f.From),
		!f.Until.IsZero() && !e.Time.Before(f.Until):
		return false
	}
	return true
}

// Apply returns the events that pass the filter.
func (f Filter) Apply(all []Event) []Event {
	var out []Event
	for _, e := range all {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge joins the events of several processes into one list ordered by stamp.
// An event that arrives from two sources is kept once.
func Merge(lists ...[]Event) []Event {
	var out []Event
	for _, l := range lists {
		out = append(out, l...)
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Request, b.Request))
	})
	return slices.CompactFunc(out, func(a, b Event) bool {
		return a.Stamp == b.Stamp && a.Node == b.Node && a.Kind == b.Kind && a.Time.Equal(b.Time) && a.Request == b.Request
	})
}

// Read reads JSON lines written by a Log, or the log lines of a process. node is
// the process of log lines that follow no other statement of it: those after
// process.started belong to the node named there, and the last word before the
// brace names the node in logs that a collector has joined. A last line that was
// cut off by a crash is skipped; any other malformed line is an error.
func Read(r io.Reader, node string) ([]Event, error) {
	var out []Event
	var bad error
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if bad != nil {
			return nil, bad
		}
		e, err := parseLine(s.Bytes(), &node)
		if err != nil {
			bad = Error.New("line %d: %v", len(out)+1, err)
			continue
		}
		out = append(out, e)
	}
	return out, Error.Wrap(s.Err())
}
