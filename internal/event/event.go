// Package event records the events of a process and merges the events of several
// processes into one timeline. Operators use the timeline to find the cause of an
// outcome, so an event can name the request, version move or instance that it
// belongs to.
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

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Event is an entry of the timeline.
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

// With returns a copy of e with a detail added or replaced.
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

// Log keeps the most recent events of a process in a ring buffer and, if a writer
// is set, also writes each event as a JSON line.
type Log struct {
	node  string
	clock *clock.Clock

	mu        sync.Mutex
	ring      []Event
	nextIndex int
	wrapped   bool
	w         io.Writer
}

// NewLog returns a log that keeps the most recent capacity events. w may be nil.
func NewLog(node string, c *clock.Clock, capacity int, w io.Writer) *Log {
	return &Log{node: node, clock: c, ring: make([]Event, max(capacity, 1)), w: w}
}

// Clock returns the clock that stamps the events. Messages to other processes
// are stamped with it too.
func (l *Log) Clock() *clock.Clock { return l.clock }

// Add stamps and records e. If the writer fails, the event is still kept in memory.
func (l *Log) Add(e Event, now time.Time) {
	if l == nil {
		return
	}
	e.Node, e.Time, e.Stamp = l.node, now.UTC(), l.clock.Now(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.nextIndex] = e
	l.nextIndex = (l.nextIndex + 1) % len(l.ring)
	l.wrapped = l.wrapped || l.nextIndex == 0
	if l.w == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, _ = l.w.Write(append(line, '\n'))
	}
}

// Events returns the events in memory that match f, oldest first.
func (l *Log) Events(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Event
	if l.wrapped {
		all = append(all, l.ring[l.nextIndex:]...)
	}
	all = append(all, l.ring[:l.nextIndex]...)
	return f.Apply(all)
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request, Move, Instance, Kind string
	From, Until                   time.Time
}

// Match reports whether e matches the filter.
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

// Apply returns the events that match the filter.
func (f Filter) Apply(all []Event) []Event {
	var out []Event
	for _, e := range all {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge combines the events of several processes into one list ordered by stamp.
// Duplicates of an event are removed.
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

// Read reads JSON lines written by a Log, or the log lines of a process. The node
// of a log line is, in this order, the last word before the opening brace (a
// prefix added by a log collector), the node named by the last process.started
// line, or the argument node. An incomplete last line, as left by a crash, is
// skipped; any other malformed line is an error.
func Read(r io.Reader, node string) ([]Event, error) {
	var out []Event
	var lineErr error
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if lineErr != nil {
			return nil, lineErr
		}
		e, err := parseLine(s.Bytes(), &node)
		if err != nil {
			lineErr = Error.New("line %d: %v", len(out)+1, err)
			continue
		}
		out = append(out, e)
	}
	return out, Error.Wrap(s.Err())
}
