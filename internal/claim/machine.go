package claim

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
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
	// indexBytes is what the index and replaced entries cost beside a claim's entry.
	indexBytes = 72
	// pendingBytes are counted for a pending claim until its answer is known.
	pendingBytes = 1 << 10
	// idBytes is the length of a command id.
	idBytes = 16
)

// Machine holds the claims of one group. It implements raft.Machine. Its clock is
// the latest time that any command has carried, so that all members forget a
// claim at the same command. Nor does it decide by its own memory: the bound comes
// with the command, and what counts against it is the same on all members.
type Machine struct {
	retention int64 // in milliseconds

	mu      sync.Mutex
	now     int64
	all     *entries
	pending int // number of pending claims
}

// NewMachine returns a machine without claims. The retention must be the same
// on all members and never change; 0 means DefaultRetention.
func NewMachine(retention time.Duration) *Machine {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &Machine{retention: retention.Milliseconds(), all: newEntries(0)}
}

// Usage is what a machine holds.
type Usage struct {
	Claims, Pending int
	Bytes           int // as counted against the bound
}

// Usage returns what the machine holds.
func (m *Machine) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{Claims: len(m.all.index), Pending: m.pending, Bytes: m.bytes()}
}

// Len returns the number of claims held.
func (m *Machine) Len() int { return m.Usage().Claims }

func (m *Machine) bytes() int {
	return m.all.live + len(m.all.index)*indexBytes + m.pending*pendingBytes
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
	r := m.get(digestOf(c.Org, c.Key))
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
// never granted again. A group that holds as much as it may grants none, since to
// make room it would have to forget a call that could then run twice.
func (m *Machine) take(r *clmpb.Record, c *clmpb.Command) *clmpb.Result {
	switch {
	case r == nil, r.Phase == clmpb.Phase_PHASE_RELEASED:
	case r.BodyHash != c.BodyHash:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_OTHER_BODY}
	case r.Phase == clmpb.Phase_PHASE_PENDING:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_PENDING, Attempt: r.Attempt, Owner: r.Owner}
	case r.Phase == clmpb.Phase_PHASE_DONE:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_DONE, Attempt: r.Attempt, Owner: r.Owner, Answer: r.Answer}
	default:
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_UNKNOWN, Attempt: r.Attempt, Owner: r.Owner}
	}
	if len(r.GetSeen()) >= maxSeen {
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	}
	if c.LimitBytes > 0 && uint64(m.bytes()+pendingBytes) > c.LimitBytes {
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_FULL, RetryMs: m.roomIn()}
	}
	if r == nil {
		r = &clmpb.Record{}
	}
	r.Phase, r.Owner, r.BodyHash = clmpb.Phase_PHASE_PENDING, c.Owner, c.BodyHash
	r.Attempt++
	return m.note(r, c, clmpb.Outcome_OUTCOME_GRANTED)
}

// roomIn returns the milliseconds until the oldest claim is forgotten.
func (m *Machine) roomIn() int64 {
	e, ok := m.all.oldest()
	if !ok {
		return 0
	}
	return max(e.changed+m.retention-m.now, 0)
}

// settle ends an attempt. An owner that was reported lost may still tell what
// became of its attempt: it alone knows.
func (m *Machine) settle(r *clmpb.Record, c *clmpb.Command) *clmpb.Result {
	stale := &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	if r == nil || r.Attempt != c.Attempt {
		return stale
	}
	open := r.Phase == clmpb.Phase_PHASE_PENDING || r.Phase == clmpb.Phase_PHASE_UNKNOWN
	switch {
	case c.Op == clmpb.Op_OP_FINISH && open:
		r.Phase, r.Answer = clmpb.Phase_PHASE_DONE, m.kept(c)
	case c.Op == clmpb.Op_OP_RELEASE && open:
		r.Phase = clmpb.Phase_PHASE_RELEASED
	case c.Op == clmpb.Op_OP_LOST && open:
		r.Phase = clmpb.Phase_PHASE_UNKNOWN
	default:
		return stale
	}
	return m.note(r, c, clmpb.Outcome_OUTCOME_OK)
}

// kept returns what is kept of an answer. Calls that run when the bound is
// reached still have to be finished; at twice the bound only their status is kept,
// so that the snapshot stays below the limit of the replicated log.
func (m *Machine) kept(c *clmpb.Command) *clmpb.Answer {
	switch {
	case c.Answer == nil:
		return &clmpb.Answer{}
	case c.LimitBytes > 0 && uint64(m.bytes()+proto.Size(c.Answer)) > 2*c.LimitBytes:
		return &clmpb.Answer{Status: c.Answer.Status, Truncated: true}
	}
	return c.Answer
}

// note remembers a command that took effect.
func (m *Machine) note(r *clmpb.Record, c *clmpb.Command, o clmpb.Outcome) *clmpb.Result {
	r.Seen = append(r.Seen, &clmpb.Seen{Id: c.Id, Outcome: o, Attempt: r.Attempt})
	m.put(digestOf(c.Org, c.Key), r, m.now)
	return &clmpb.Result{Outcome: o, Attempt: r.Attempt, Owner: r.Owner}
}

// get returns the claim, or nil if there is none.
func (m *Machine) get(d digest) *clmpb.Record {
	e, ok := m.all.get(d)
	if !ok {
		return nil
	}
	return decode(e)
}

// decode returns the claim in e. What the machine has encoded can be decoded.
func decode(e entry) *clmpb.Record {
	r := &clmpb.Record{}
	_ = proto.Unmarshal(e.content, r)
	return r
}

func (m *Machine) put(d digest, r *clmpb.Record, changed int64) {
	m.drop(d)
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	e := entry{digest: d, changed: changed, pending: r.Phase == clmpb.Phase_PHASE_PENDING, content: b}
	if e.pending {
		m.pending++
	}
	m.all.put(e)
}

func (m *Machine) drop(d digest) {
	if e, ok := m.all.get(d); ok && e.pending {
		m.pending--
	}
	m.all.remove(d)
}

// expire forgets claims whose last change is older than the retention. One that
// is still pending becomes unknown first and is kept for another retention.
func (m *Machine) expire() {
	for {
		e, ok := m.all.oldest()
		if !ok || e.changed > m.now-m.retention {
			return
		}
		if !e.pending {
			m.drop(e.digest)
			continue
		}
		r := decode(e)
		r.Phase = clmpb.Phase_PHASE_UNKNOWN
		m.put(e.digest, r, m.now)
	}
}

// Fields of clmpb.State and clmpb.Record, which Snapshot writes without decoding
// the claims.
const (
	fieldNow     = protowire.Number(1)
	fieldRecords = protowire.Number(2)
	fieldChanged = protowire.Number(8)
	fieldDigest  = protowire.Number(10)
)

// Snapshot implements raft.Machine. Equal machines give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := make([]byte, 0, m.all.live+len(m.all.index)*headerBytes)
	b = protowire.AppendTag(b, fieldNow, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(m.now))
	var rest []byte
	m.all.each(func(e entry) {
		rest = protowire.AppendTag(rest[:0], fieldChanged, protowire.VarintType)
		rest = protowire.AppendVarint(rest, uint64(e.changed))
		rest = protowire.AppendTag(rest, fieldDigest, protowire.BytesType)
		rest = protowire.AppendBytes(rest, e.digest[:])
		b = protowire.AppendTag(b, fieldRecords, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(len(e.content)+len(rest)))
		b = append(append(b, e.content...), rest...)
	})
	return b, nil
}

// Restore implements raft.Machine.
func (m *Machine) Restore(b []byte) error {
	var s clmpb.State
	if err := proto.Unmarshal(b, &s); err != nil {
		return Error.Wrap(err)
	}
	slices.SortStableFunc(s.Records, func(a, b *clmpb.Record) int { return cmp.Compare(a.ChangedMs, b.ChangedMs) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.all, m.pending = s.NowMs, newEntries(len(s.Records)), 0
	for _, r := range s.Records {
		d, changed := digestOf(r.Org, r.Key), r.ChangedMs
		if len(r.Digest) == digestBytes {
			d = digest(r.Digest)
		}
		r.Org, r.Key, r.Digest, r.ChangedMs = "", "", nil, 0
		m.put(d, r, changed)
	}
	return nil
}
