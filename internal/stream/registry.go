package stream

import (
	"sync"
	"time"
)

// Config configures a Registry.
type Config struct {
	Instance    string
	AnswerBytes int64 // limit of one answer, below 2 GiB; DefaultAnswerBytes if 0
	TotalBytes  int64 // limit of all answers and replicas
	// Retention is how long a finished answer, or a replica whose owner is gone, is
	// retained for readers that reconnect.
	Retention time.Duration
}

// Registry holds the answers that this instance owns and the replicas that it
// stores for other owners.
type Registry struct {
	cfg    Config
	budget *budget

	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	answer      *Answer
	owner       string
	openStreams int       // number of open replica streams of the owner
	lastContact time.Time // time of the last message of the owner
	endSeenAt   time.Time // when Sweep first found the answer ended; zero before
}

// Info describes a record of a Registry.
type Info struct {
	ID             string
	Owner          string
	IsReplica      bool // a replica of another owner's answer
	Epoch          uint64
	Pos            uint64
	Ended          bool
	LastContact    time.Time // time of the last message of the owner of a replica
	OwnerConnected bool      // the owner's replica stream is open
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	if cfg.AnswerBytes == 0 {
		cfg.AnswerBytes = DefaultAnswerBytes
	}
	// Texts are indexed by 32-bit offsets.
	cfg.AnswerBytes = min(cfg.AnswerBytes, 1<<31-1)
	r := &Registry{cfg: cfg, budget: &budget{max: cfg.TotalBytes}, entries: map[string]*entry{}}
	r.budget.evict = r.evict
	return r
}

// Bytes returns the memory charged for all records.
func (r *Registry) Bytes() int64 { return r.budget.used.Load() }

// Accept creates the record of a new answer that this instance owns. It returns
// ErrExists for an ID in use, ErrTooLarge or ErrFull.
func (r *Registry) Accept(req Request, now time.Time) (*Answer, error) {
	size := req.bytes()
	if size > r.cfg.AnswerBytes {
		return nil, ErrTooLarge
	}
	if !r.budget.reserve(size) {
		return nil, ErrFull
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[req.ID] != nil {
		r.budget.release(size)
		return nil, ErrExists
	}
	a := newAnswer(req, r.cfg.AnswerBytes, r.budget, now)
	r.entries[req.ID] = &entry{answer: a, owner: r.cfg.Instance, lastContact: now}
	return a, nil
}

// Get returns the record of an answer, which may be a replica.
func (r *Registry) Get(id string) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return nil, false
	}
	return e.answer, true
}

// Info describes a record.
func (r *Registry) Info(id string) (Info, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return Info{}, false
	}
	return e.info(id), true
}

// List describes all records in no particular order. On shutdown an instance
// hands over those that are neither IsReplica nor Ended.
func (r *Registry) List() []Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Info, 0, len(r.entries))
	for id, e := range r.entries {
		out = append(out, e.info(id))
	}
	return out
}

func (e *entry) info(id string) Info {
	e.answer.mu.Lock()
	defer e.answer.mu.Unlock()
	return Info{
		ID: id, Owner: e.owner, IsReplica: e.answer.replication.isReplica, Epoch: e.answer.epoch, Pos: uint64(len(e.answer.endOffsets)),
		Ended: e.answer.end != nil, LastContact: e.lastContact, OwnerConnected: e.openStreams > 0,
	}
}

// OpenReplica opens the replica of an answer for its owner, or reopens it after
// the connection was lost. An owner with a lower epoch, or a second owner with the
// same epoch, receives ErrTakenOver. A higher epoch replaces the replica.
func (r *Registry) OpenReplica(h ReplicaHeader, owner string, now time.Time) (*Answer, error) {
	size := h.Request.bytes()
	if size > r.cfg.AnswerBytes {
		return nil, ErrTooLarge
	}
	if !r.budget.reserve(size) {
		return nil, ErrFull
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[h.Request.ID]; e != nil {
		info := e.info(h.Request.ID)
		switch {
		case h.Epoch < info.Epoch, h.Epoch == info.Epoch && (!info.IsReplica || info.Owner != owner):
			r.budget.release(size)
			return nil, ErrTakenOver
		case h.Epoch == info.Epoch:
			r.budget.release(size)
			e.openStreams, e.lastContact = e.openStreams+1, now
			return e.answer, nil
		}
		r.remove(h.Request.ID, e, ErrTakenOver.Error(), true)
	}
	a := newAnswer(h.Request, r.cfg.AnswerBytes, r.budget, now)
	a.epoch, a.replication.isReplica = h.Epoch, true
	r.entries[h.Request.ID] = &entry{answer: a, owner: owner, openStreams: 1, lastContact: now}
	return a, nil
}

// recordContact records that a message of the owner arrived.
func (r *Registry) recordContact(a *Answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[a.req.ID]; e != nil && e.answer == a {
		e.lastContact = now
	}
}

// closeReplica records that a replica stream of the owner closed.
func (r *Registry) closeReplica(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[a.req.ID]; e != nil && e.answer == a {
		e.openStreams--
	}
}

// Takeover makes this instance the owner of a replica. It increments the epoch, so
// that messages of the old owner are rejected and new attempts have higher
// numbers than the old owner's. It returns ErrOwned while the owner's replica
// stream is open, unless the owner hands the answer over. An answer that has ended or
// that this instance owns already is returned unchanged, and taken is false.
func (r *Registry) Takeover(id string, handover bool, now time.Time) (a *Answer, taken bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return nil, false, ErrUnknown
	}
	a = e.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.replication.isReplica || a.end != nil {
		return a, false, nil
	}
	if e.openStreams > 0 && !handover {
		return nil, false, ErrOwned
	}
	a.epoch++
	a.attempt, a.replication.isReplica = 0, false
	e.owner, e.lastContact = r.cfg.Instance, now
	return a, true, nil
}

// Orphans returns the IDs of unfinished replicas whose owner is not connected and
// whose last message arrived before a time.
func (r *Registry) Orphans(before time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, e := range r.entries {
		if e.openStreams > 0 || !e.lastContact.Before(before) {
			continue
		}
		if i := e.info(id); i.IsReplica && !i.Ended {
			out = append(out, id)
		}
	}
	return out
}

// Sweep drops answers that ended at least Retention ago and replicas whose owner has
// been gone for at least Retention. It should be called about once a second. It
// returns the number of dropped records.
func (r *Registry) Sweep(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, e := range r.entries {
		i := e.info(id)
		if i.Ended && e.endSeenAt.IsZero() {
			e.endSeenAt = now
		}
		ended := i.Ended && now.Sub(e.endSeenAt) >= r.cfg.Retention
		ownerGone := i.IsReplica && !i.OwnerConnected && now.Sub(e.lastContact) >= r.cfg.Retention
		if ended || ownerGone {
			r.remove(id, e, "its owner has gone", false)
			n++
		}
	}
	return n
}

// remove drops a record. Readers that hold it still reach its end. The caller holds r.mu.
func (r *Registry) remove(id string, e *entry, reason string, takenOver bool) {
	delete(r.entries, id)
	e.answer.mu.Lock()
	defer e.answer.mu.Unlock()
	before := e.answer.memory()
	e.answer.abort(reason, takenOver)
	e.answer.bytes -= e.answer.memory()
	r.budget.release(before)
}

// evict drops finished answers, oldest end first, until need bytes are free.
func (r *Registry) evict(need int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.budget.used.Load()+need > r.budget.max {
		var oldest *entry
		var seq uint64
		for _, e := range r.entries {
			e.answer.mu.Lock()
			ended, s := e.answer.end != nil, e.answer.endSeq
			e.answer.mu.Unlock()
			if ended && (oldest == nil || s < seq) {
				oldest, seq = e, s
			}
		}
		if oldest == nil {
			return
		}
		r.remove(oldest.answer.req.ID, oldest, "", false)
	}
}
