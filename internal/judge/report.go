package judge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/judge/judgpb"
)

// Load levels. Results are compared only within a level, because a new version with few
// servers often has a different load than the old one.
const (
	levels = 4

	mediumLoad = 0.5 // lower bounds of the levels, in requests per slot
	highLoad   = 0.9
	overload   = 1.2
)

// crashWindow is the time within which requests lost on one server count as one crash: a
// crash ends all running requests of the server, which are not independent observations.
const crashWindow = 5 * time.Second

// Result is the outcome of one request.
type Result struct {
	Service, Version, Route string
	Server                  string        // backend server that ran it
	Load                    float64       // running and waiting requests per slot when it was sent
	Failed                  bool          // the server responded with an error
	Crashed                 bool          // the server crashed while it ran the request
	TimeToFirstToken        time.Duration // time to first token or response; zero if none
	TimeBetweenTokens       time.Duration // mean time between tokens; zero for fewer than two tokens
	Tokens                  int
	// Poison marks a request that is known to crash any server. Such requests are not
	// counted.
	Poison bool
	// Leaving marks a server with a reclaim notice, whose crashes are not counted.
	Leaving bool
}

// Cell identifies a set of comparable results.
type Cell struct {
	Service, Version, Route string
	Level                   uint8
}

// Counts are sums of results, which are merged by addition.
type Counts struct {
	Requests, Errors, Tokens uint64
	First, Between           Hist // one time per request
}

// Merge adds o.
func (c *Counts) Merge(o *Counts) {
	c.Requests += o.Requests
	c.Errors += o.Errors
	c.Tokens += o.Tokens
	c.First.Merge(&o.First)
	c.Between.Merge(&o.Between)
}

// Crash is the crash of one server that ran requests.
type Crash struct {
	Cell
	Server string
}

// Report holds what one entry instance counted since its previous report.
type Report struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Cells       map[Cell]*Counts
	Crashes     []Crash
}

// Recorder counts the results of one entry instance. It is safe for concurrent use.
type Recorder struct {
	instance    string
	incarnation uint64

	mu        sync.Mutex
	sequence  uint64
	cells     map[Cell]*Counts
	crashes   []Crash
	crashedAt map[string]time.Time
}

// NewRecorder returns an empty recorder. incarnation must be unique among all processes
// that ever run under the name of the entry instance.
func NewRecorder(node string, incarnation uint64) *Recorder {
	return &Recorder{instance: node, incarnation: incarnation, cells: map[Cell]*Counts{}, crashedAt: map[string]time.Time{}}
}

// Add counts one result.
func (r *Recorder) Add(res Result, now time.Time) {
	if res.Poison || res.Crashed && res.Leaving {
		return
	}
	cell := Cell{res.Service, res.Version, res.Route, levelOf(res.Load)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.Crashed {
		if last, ok := r.crashedAt[res.Server]; !ok || now.Sub(last) >= crashWindow {
			r.crashedAt[res.Server] = now
			r.crashes = append(r.crashes, Crash{cell, res.Server})
		}
		return
	}
	c := r.cells[cell]
	if c == nil {
		c = &Counts{}
		r.cells[cell] = c
	}
	c.Requests++
	c.Tokens += uint64(max(res.Tokens, 0))
	if res.Failed {
		c.Errors++
		return
	}
	if res.TimeToFirstToken > 0 {
		c.First.Add(res.TimeToFirstToken)
	}
	if res.TimeBetweenTokens > 0 {
		c.Between.Add(res.TimeBetweenTokens)
	}
}

// Take returns the counts since the previous call and resets them.
func (r *Recorder) Take(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	out := Report{Instance: r.instance, Incarnation: r.incarnation, Sequence: r.sequence, Cells: r.cells, Crashes: r.crashes}
	r.cells, r.crashes = map[Cell]*Counts{}, nil
	for server, at := range r.crashedAt {
		if now.Sub(at) >= crashWindow {
			delete(r.crashedAt, server)
		}
	}
	return out
}

func levelOf(load float64) uint8 {
	switch {
	case load < mediumLoad:
		return 0
	case load < highLoad:
		return 1
	case load < overload:
		return 2
	}
	return 3
}

type nameTable struct {
	names   []string
	indexes map[string]uint32
}

func (t *nameTable) index(name string) uint32 {
	if i, ok := t.indexes[name]; ok {
		return i
	}
	i := uint32(len(t.names))
	t.indexes[name] = i
	t.names = append(t.names, name)
	return i
}

// Encode returns the report as a judgpb.Report in protobuf form.
func (r Report) Encode() ([]byte, error) {
	names := nameTable{indexes: map[string]uint32{}}
	m := &judgpb.Report{Node: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, cell := range sortedCells(r.Cells) {
		c := r.Cells[cell]
		m.Cells = append(m.Cells, &judgpb.Cell{
			Service: names.index(cell.Service), Version: names.index(cell.Version), Route: names.index(cell.Route),
			Level: uint32(cell.Level), Requests: c.Requests, Errors: c.Errors, Tokens: c.Tokens,
			First: c.First.pack(), Between: c.Between.pack(),
		})
	}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &judgpb.Crash{
			Service: names.index(c.Service), Version: names.index(c.Version), Route: names.index(c.Route),
			Level: uint32(c.Level), Server: c.Server,
		})
	}
	m.Names = names.names
	b, err := proto.Marshal(m)
	return b, Error.Wrap(err)
}

// Decode decodes the output of Encode.
func Decode(b []byte) (Report, error) {
	var m judgpb.Report
	if err := proto.Unmarshal(b, &m); err != nil {
		return Report{}, Error.Wrap(err)
	}
	r := Report{Instance: m.Node, Incarnation: m.Incarnation, Sequence: m.Sequence, Cells: map[Cell]*Counts{}}
	for _, pc := range m.Cells {
		cell, err := cellOf(m.Names, pc.Service, pc.Version, pc.Route, pc.Level)
		if err != nil {
			return Report{}, err
		}
		first, err := unpack(pc.First)
		if err != nil {
			return Report{}, err
		}
		between, err := unpack(pc.Between)
		if err != nil {
			return Report{}, err
		}
		c := &Counts{Requests: pc.Requests, Errors: pc.Errors, Tokens: pc.Tokens, First: first, Between: between}
		if err := c.check(); err != nil {
			return Report{}, err
		}
		r.Cells[cell] = c
	}
	for _, pc := range m.Crashes {
		cell, err := cellOf(m.Names, pc.Service, pc.Version, pc.Route, pc.Level)
		if err != nil {
			return Report{}, err
		}
		r.Crashes = append(r.Crashes, Crash{cell, pc.Server})
	}
	return r, nil
}

// maxCellRequests bounds the requests of one cell of a report, so that sums cannot
// overflow.
const maxCellRequests = 1 << 24

func (c *Counts) check() error {
	if c.Requests > maxCellRequests || c.Errors > c.Requests {
		return Error.New("%d errors of %d requests; want at most %d requests and no more errors than requests", c.Errors, c.Requests, maxCellRequests)
	}
	ok := c.Requests - c.Errors
	if uint64(c.First.Total()) > ok || uint64(c.Between.Total()) > ok {
		return Error.New("a histogram counts more times than requests succeeded")
	}
	return nil
}

func cellOf(names []string, service, version, route, level uint32) (Cell, error) {
	n := uint32(len(names))
	if service >= n || version >= n || route >= n || level >= levels {
		return Cell{}, Error.New("a cell refers to a name or load level that does not exist")
	}
	return Cell{names[service], names[version], names[route], uint8(level)}, nil
}

func sortedCells(cells map[Cell]*Counts) []Cell {
	out := make([]Cell, 0, len(cells))
	for c := range cells {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Level, b.Level))
	})
	return out
}
