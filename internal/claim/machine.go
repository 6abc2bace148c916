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
	// DefaultRetention is how long a claim is kept after its last change. A repeated
	// call is not detected after that time.
	DefaultRetention = 24 * time.Hour
	// maxCommandIDs limits the command IDs kept with a claim. A claim that was
	// granted and released so often that it holds this many is not granted again.
	maxCommandIDs = 64
	// maxNameBytes limits the length of the organisation, the key and the owner.
	maxNameBytes = 1024
	// overheadBytes is the memory per claim for the index and for replaced entries.
	overheadBytes = 72
	// pendingReserveBytes is reserved for the answer of each pending claim.
	pendingReserveBytes = 1 << 10
	// commandIDBytes is the length of a command ID.
	commandIDBytes = 16
)

// Machine is the state machine of one claim group. It implements raft.Machine and is
// deterministic: its clock is the latest timestamp of any command, so that a claim
// expires at the same command on all members. The size limit is part of each
// command, and the counted size depends on the commands only, not on the memory in
// use by a process.
type Machine struct {
	retentionMs int64

	mu      sync.Mutex
	nowMs   int64 // latest timestamp of any command
	store   *entryStore
	pending int // number of pending claims
}

// NewMachine returns an empty machine. The retention must be the same on all
// members and must never change; 0 means DefaultRetention.
func NewMachine(retention time.Duration) *Machine {
	if retention == 0 {
		retention = DefaultRetention
	}
	return &Machine{retentionMs: retention.Milliseconds(), store: newEntryStore(0)}
}

// Usage is the size of a machine's state.
type Usage struct {
	Claims, Pending int
	Bytes           int // as counted against the limit
}

// Usage returns the number of claims and their counted size.
func (m *Machine) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{Claims: len(m.store.index), Pending: m.pending, Bytes: m.usedBytes()}
}

// Len returns the number of claims.
func (m *Machine) Len() int { return m.Usage().Claims }

func (m *Machine) usedBytes() int {
	return m.store.liveBytes + len(m.store.index)*overheadBytes + m.pending*pendingReserveBytes
}

// Apply implements raft.Machine.
func (m *Machine) Apply(_ uint64, cmd []byte) []byte {
	var c clmpb.Command
	res := &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_MALFORMED}
	if proto.Unmarshal(cmd, &c) == nil && validCommand(&c) {
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

func validCommand(c *clmpb.Command) bool {
	headerSize := 0
	for _, h := range c.Answer.GetHeaders() {
		headerSize += len(h.Name) + len(h.Value)
	}
	return len(c.Id) == commandIDBytes && len(c.Org) <= maxNameBytes && len(c.Key) <= maxNameBytes &&
		len(c.Owner) <= maxNameBytes && len(c.Answer.GetBody()) <= MaxBodyBytes && headerSize <= maxHeaderBytes
}

func (m *Machine) run(c *clmpb.Command) *clmpb.Result {
	m.nowMs = max(m.nowMs, c.NowMs)
	m.expire()
	if c.NowMs <= m.nowMs-m.retentionMs {
		// The result of an earlier copy of this command may have expired.
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
		return m.endAttempt(r, c)
	}
	return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_MALFORMED}
}

// take grants the claim if there is none yet or it was released. A claim whose
// outcome is unknown is never granted again. A full group grants no claim: evicting
// an older claim to free space would allow its call to run twice.
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
	if len(r.GetSeen()) >= maxCommandIDs {
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	}
	if c.LimitBytes > 0 && uint64(m.usedBytes()+pendingReserveBytes) > c.LimitBytes {
		return &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_FULL, RetryMs: m.oldestExpiresInMs()}
	}
	if r == nil {
		r = &clmpb.Record{}
	}
	r.Phase, r.Owner, r.BodyHash = clmpb.Phase_PHASE_PENDING, c.Owner, c.BodyHash
	r.Attempt++
	return m.recordCommand(r, c, clmpb.Outcome_OUTCOME_GRANTED)
}

// oldestExpiresInMs returns the time until the oldest claim expires.
func (m *Machine) oldestExpiresInMs() int64 {
	e, ok := m.store.oldest()
	if !ok {
		return 0
	}
	return max(e.changedMs+m.retentionMs-m.nowMs, 0)
}

// endAttempt records the end of an attempt. An owner that was reported as lost may
// still report the outcome of its attempt, because no other process knows it.
func (m *Machine) endAttempt(r *clmpb.Record, c *clmpb.Command) *clmpb.Result {
	stale := &clmpb.Result{Outcome: clmpb.Outcome_OUTCOME_STALE}
	if r == nil || r.Attempt != c.Attempt {
		return stale
	}
	active := r.Phase == clmpb.Phase_PHASE_PENDING || r.Phase == clmpb.Phase_PHASE_UNKNOWN
	switch {
	case c.Op == clmpb.Op_OP_FINISH && active:
		r.Phase, r.Answer = clmpb.Phase_PHASE_DONE, m.answerToStore(c)
	case c.Op == clmpb.Op_OP_RELEASE && active:
		r.Phase = clmpb.Phase_PHASE_RELEASED
	case c.Op == clmpb.Op_OP_LOST && active:
		r.Phase = clmpb.Phase_PHASE_UNKNOWN
	default:
		return stale
	}
	return m.recordCommand(r, c, clmpb.Outcome_OUTCOME_OK)
}

// answerToStore returns the part of the command's answer that is stored. Calls that
// are in flight when the limit is reached can still finish. Above twice the limit,
// only their status is stored, so that the snapshot stays below the size limit of
// the replicated log.
func (m *Machine) answerToStore(c *clmpb.Command) *clmpb.Answer {
	switch {
	case c.Answer == nil:
		return &clmpb.Answer{}
	case c.LimitBytes > 0 && uint64(m.usedBytes()+proto.Size(c.Answer)) > 2*c.LimitBytes:
		return &clmpb.Answer{Status: c.Answer.Status, Truncated: true}
	}
	return c.Answer
}

// recordCommand stores the claim with the ID and result of the command that changed
// it, so that a repeated command receives the same result.
func (m *Machine) recordCommand(r *clmpb.Record, c *clmpb.Command, o clmpb.Outcome) *clmpb.Result {
	r.Seen = append(r.Seen, &clmpb.Seen{Id: c.Id, Outcome: o, Attempt: r.Attempt})
	m.put(digestOf(c.Org, c.Key), r, m.nowMs)
	return &clmpb.Result{Outcome: o, Attempt: r.Attempt, Owner: r.Owner}
}

// get returns the claim, or nil if there is none.
func (m *Machine) get(d digest) *clmpb.Record {
	e, ok := m.store.get(d)
	if !ok {
		return nil
	}
	return decodeRecord(e)
}

// decodeRecord decodes a claim. Decoding can't fail, because the machine has encoded
// the entry itself.
func decodeRecord(e entry) *clmpb.Record {
	r := &clmpb.Record{}
	_ = proto.Unmarshal(e.encoded, r)
	return r
}

func (m *Machine) put(d digest, r *clmpb.Record, changedMs int64) {
	m.remove(d)
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	e := entry{digest: d, changedMs: changedMs, pending: r.Phase == clmpb.Phase_PHASE_PENDING, encoded: b}
	if e.pending {
		m.pending++
	}
	m.store.put(e)
}

func (m *Machine) remove(d digest) {
	if e, ok := m.store.get(d); ok && e.pending {
		m.pending--
	}
	m.store.remove(d)
}

// expire removes claims whose last change is older than the retention. A claim that
// is still pending becomes unknown instead and is kept for another retention period.
func (m *Machine) expire() {
	for {
		e, ok := m.store.oldest()
		if !ok || e.changedMs > m.nowMs-m.retentionMs {
			return
		}
		if !e.pending {
			m.remove(e.digest)
			continue
		}
		r := decodeRecord(e)
		r.Phase = clmpb.Phase_PHASE_UNKNOWN
		m.put(e.digest, r, m.nowMs)
	}
}

// Field numbers of clmpb.State and clmpb.Record. Snapshot writes these fields
// directly, to avoid decoding the claims.
const (
	fieldNowMs     = protowire.Number(1)
	fieldRecords   = protowire.Number(2)
	fieldChangedMs = protowire.Number(8)
	fieldDigest    = protowire.Number(10)
)

// Snapshot implements raft.Machine. Machines in the same state return the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := make([]byte, 0, m.store.liveBytes+len(m.store.index)*headerBytes)
	b = protowire.AppendTag(b, fieldNowMs, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(m.nowMs))
	var extra []byte
	m.store.each(func(e entry) {
		extra = protowire.AppendTag(extra[:0], fieldChangedMs, protowire.VarintType)
		extra = protowire.AppendVarint(extra, uint64(e.changedMs))
		extra = protowire.AppendTag(extra, fieldDigest, protowire.BytesType)
		extra = protowire.AppendBytes(extra, e.digest[:])
		b = protowire.AppendTag(b, fieldRecords, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(len(e.encoded)+len(extra)))
		b = append(append(b, e.encoded...), extra...)
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
	m.nowMs, m.store, m.pending = s.NowMs, newEntryStore(len(s.Records)), 0
	for _, r := range s.Records {
		d, changedMs := digestOf(r.Org, r.Key), r.ChangedMs
		if len(r.Digest) == digestBytes {
			d = digest(r.Digest)
		}
		r.Org, r.Key, r.Digest, r.ChangedMs = "", "", nil, 0
		m.put(d, r, changedMs)
	}
	return nil
}
