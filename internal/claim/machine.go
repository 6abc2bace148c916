package claim

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/claim/clmpb"
)

const (
	// DefaultRetention of a claim after its last change. A caller that sends a
	// call again later than that is not recognized.
	DefaultRetention = 24 * time.Hour
	// maxSeen bounds the command ids kept with one claim. A claim that is
	// granted, released and granted again for more than that many commands refuses
	// further ones.
	maxSeen = 64
	// maxNameBytes bounds organisation, key and owner.
	maxNameBytes = 1024
	// idBytes is the length of a command id.
	idBytes = 16
)

type entryKey struct{ org, key string }

// record is one claim.
type record struct {
	*clmpb.Record
	at int // position in the queue
}

// Machine holds the claims of one group. It implements raft.Machine. Its clock is
// the latest time that any command has carried, so that all members forget a
// claim at the same command.
type Machine struct {
	retention int64 // in milliseconds

	mu    sync.Mutex
	now   int64
	all   map[entryKey]*record
	queue queue // oldest change first
}

// NewMachine returns a machine without claims. The retention must be the same
// on all members and never change; 0 means DefaultRetention.
func NewMachine(retention time.Duration) *Machine {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &Machine{retention: retention.Milliseconds(), all: map[entryKey]*record{}}
}

// Len returns the number of claims held.
func (m *Machine) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all)
}

// Apply implements raft.Machine.
func (m *Machine) Apply(_ uint64, cmd []byte) []byte {
	var c clmpb.Command
	res := &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_MALFORMED}
	if proto.Unmarshal(cmd, &c) == nil && valid(&c) {
		m.mu.Lock()
		res = m.run(&c)
		m.mu.Unlock()
	}
	b, err := proto.Marshal(res)
	if err != nil {
		return nil
	}
	return b
}

func valid(c *clmpb.Command) bool {
	size := 0
	for _, h := range c.Answer.GetHeaders() {
		size += len(h.Name) + len(h.Value)
	}
	return len(c.Id) == idBytes && len(c.Org) <= maxNameBytes && len(c.Key) <= maxNameBytes &&
		len(c.Owner) <= maxNameBytes && len(c.Answer.GetBody()) <= MaxBodyBytes && size <= maxHeaderBytes
}

func (m *Machine) run(c *clmpb.Command) *clmpb.Result {
	m.now = max(m.now, c.NowMs)
	m.expire()
	if c.NowMs <= m.now-m.retention {
		// What this command may have done earlier is forgotten.
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_EXPIRED}
	}
	r := m.all[entryKey{c.Org, c.Key}]
	if r != nil {
		for _, s := range r.Seen {
			if bytes.Equal(s.Id, c.Id) {
				return &clmpb.Result{Outcome: s.Outcome, Attempt: s.Attempt, Owner: c.Owner}
			}
		}
	}
	switch c.Op {
	case clmpb.Op_OP_TAKE:
		return m.take(r, c)
	case clmpb.Op_OP_FINISH, clmpb.Op_OP_RELEASE, clmpb.Op_OP_LOST:
		return m.settle(r, c)
	}
	return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_MALFORMED}
}

// take grants the claim if nobody holds it. A claim whose outcome is unknown is
// never granted again.
func (m *Machine) take(r *record, c *clmpb.Command) *clmpb.Result {
	switch {
	case r == nil:
		r = &record{Record: &clmpb.Record{Org: c.Org, Key: c.Key}}
		m.all[entryKey{c.Org, c.Key}] = r
		heap.Push(&m.queue, r)
	case r.Phase == clmpb.Phase_PHASE_RELEASED:
	case r.BodyHash != c.BodyHash:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_OTHER_BODY}
	case r.Phase == clmpb.Phase_PHASE_PENDING:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_PENDING, Attempt: r.Attempt, Owner: r.Owner}
	case r.Phase == clmpb.Phase_PHASE_DONE:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_DONE, Attempt: r.Attempt, Owner: r.Owner, Answer: r.Answer}
	default:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_UNKNOWN, Attempt: r.Attempt, Owner: r.Owner}
	}
	if len(r.Seen) >= maxSeen {
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	}
	r.Phase, r.Owner, r.BodyHash = clmpb.Phase_PHASE_PENDING, c.Owner, c.BodyHash
	r.Attempt++
	return m.note(r, c, clmpb.Outcome_OUTCOME_GRANTED)
}

// settle ends an attempt. An owner that was reported lost may still tell what
// became of its attempt: it alone knows.
func (m *Machine) settle(r *record, c *clmpb.Command) *clmpb.Result {
	stale := &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	if r == nil || r.Attempt != c.Attempt {
		return stale
	}
	open := r.Phase == clmpb.Phase_PHASE_PENDING || r.Phase == clmpb.Phase_PHASE_UNKNOWN
	switch {
	case c.Op == clmpb.Op_OP_FINISH && open:
		r.Phase, r.Answer = clmpb.Phase_PHASE_DONE, c.Answer
		if r.Answer == nil {
			r.Answer = &clmpb.Answer{}
		}
	case c.Op == clmpb.Op_OP_RELEASE && open:
		r.Phase = clmpb.Phase_PHASE_RELEASED
	case c.Op == clmpb.Op_OP_LOST && open:
		r.Phase = clmpb.Phase_PHASE_UNKNOWN
	default:
		return stale
	}
	return m.note(r, c, clmpb.Outcome_OUTCOME_OK)
}

// note remembers a command that took effect.
func (m *Machine) note(r *record, c *clmpb.Command, o clmpb.Outcome) *clmpb.Result {
	r.ChangedMs = m.now
	heap.Fix(&m.queue, r.at)
	r.Seen = append(r.Seen, &clmpb.Seen{Id: c.Id, Outcome: o, Attempt: r.Attempt})
	return &clmpb.Result{Outcome: o, Attempt: r.Attempt, Owner: r.Owner}
}

// expire forgets claims whose last change is older than the retention. One that
// is still pending becomes unknown first and is kept for another retention.
func (m *Machine) expire() {
	for len(m.queue) > 0 && m.queue[0].ChangedMs <= m.now-m.retention {
		r := m.queue[0]
		if r.Phase == clmpb.Phase_PHASE_PENDING {
			r.Phase, r.ChangedMs = clmpb.Phase_PHASE_UNKNOWN, m.now
			heap.Fix(&m.queue, r.at)
			continue
		}
		heap.Pop(&m.queue)
		delete(m.all, entryKey{r.Org, r.Key})
	}
}

// Snapshot implements raft.Machine. Equal machines give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &clmpb.State{NowMs: m.now}
	for _, r := range m.all {
		s.Records = append(s.Records, r.Record)
	}
	slices.SortFunc(s.Records, func(a, b *clmpb.Record) int {
		return cmp.Or(cmp.Compare(a.Org, b.Org), cmp.Compare(a.Key, b.Key))
	})
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return b, Error.Wrap(err)
}

// Restore implements raft.Machine.
func (m *Machine) Restore(b []byte) error {
	var s clmpb.State
	if err := proto.Unmarshal(b, &s); err != nil {
		return Error.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.all, m.queue = s.NowMs, make(map[entryKey]*record, len(s.Records)), nil
	for _, p := range s.Records {
		r := &record{Record: p}
		m.all[entryKey{p.Org, p.Key}] = r
		heap.Push(&m.queue, r)
	}
	return nil
}

// queue orders claims by their last change; it implements heap.Interface.
type queue []*record

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(a.ChangedMs, b.ChangedMs), cmp.Compare(a.Org, b.Org), cmp.Compare(a.Key, b.Key)) < 0
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*record)
	r.at = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}
