package stream

import (
	"sync"
	"time"
)

// Config of a Registry.
type Config struct {
	Node        string
	AnswerBytes int64 // limit of one answer, in bytes, below 2 GiB; DefaultAnswerBytes if 0
	TotalBytes  int64 // limit of all answers and copies, in bytes
	// Keep is how long a finished answer, or a copy whose owner is silent, is
	// kept for readers that come back.
	Keep time.Duration
}

// Registry holds the answers that this instance owns and the copies that it
// keeps for other owners.
type Registry struct {
	cfg    Config
	budget *budget

	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	a     *Answer
	owner string
	links int       // copy streams of the owner that are open
	heard time.Time // last message of the owner
	ended time.Time // when a sweep first saw the end; zero before
}

// Info describes one record of a Registry.
type Info struct {
	ID     string
	Owner  string
	Held   bool // a copy for another owner
	Epoch  uint64
	Pos    uint64
	Ended  bool
	Heard  time.Time // last message of the owner of a copy
	Linked bool      // the owner's copy stream is open
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

// Bytes returns the memory that all records are charged for.
func (r *Registry) Bytes() int64 { return r.budget.used.Load() }

// Accept makes the record of a new answer that this instance owns. It returns
// ErrExists for an id in use, ErrTooLarge or ErrFull.
func (r *Registry) Accept(req Request, now time.Time) (*Answer, error) {
	size := req.bytes()
	if size > r.cfg.AnswerBytes {
		return nil, ErrTooLarge
	}
	if !r.budget.take(size) {
		return nil, ErrFull
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[req.ID] != nil {
		r.budget.give(size)
		return nil, ErrExists
	}
	a := newAnswer(req, r.cfg.AnswerBytes, r.budget, now)
	r.entries[req.ID] = &entry{a: a, owner: r.cfg.Node, heard: now}
	return a, nil
}

// Get returns the record of an answer, owned or held as a copy.
func (r *Registry) Get(id string) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return nil, false
	}
	return e.a, true
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

// List describes all records, in no order. A stopping instance hands over those
// that are neither Held nor Ended.
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
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	return Info{
		ID: id, Owner: e.owner, Held: e.a.copy.held, Epoch: e.a.epoch, Pos: uint64(len(e.a.ends)),
		Ended: e.a.end != nil, Heard: e.heard, Linked: e.links > 0,
	}
}

// Begin opens the copy of an answer for its owner, or reopens it after the owner
// lost the link. An owner of a lower epoch, or a second owner of the same one,
// receives ErrTakenOver. A higher epoch replaces the copy.
func (r *Registry) Begin(h Head, owner string, now time.Time) (*Answer, error) {
	size := h.Request.bytes()
	if size > r.cfg.AnswerBytes {
		return nil, ErrTooLarge
	}
	if !r.budget.take(size) {
		return nil, ErrFull
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[h.Request.ID]; e != nil {
		info := e.info(h.Request.ID)
		switch {
		case h.Epoch < info.Epoch, h.Epoch == info.Epoch && (!info.Held || info.Owner != owner):
			r.budget.give(size)
			return nil, ErrTakenOver
		case h.Epoch == info.Epoch:
			r.budget.give(size)
			e.links, e.heard = e.links+1, now
			return e.a, nil
		}
		r.remove(h.Request.ID, e, ErrTakenOver.Error(), true)
	}
	a := newAnswer(h.Request, r.cfg.AnswerBytes, r.budget, now)
	a.epoch, a.copy.held = h.Epoch, true
	r.entries[h.Request.ID] = &entry{a: a, owner: owner, links: 1, heard: now}
	return a, nil
}

// heard records a message of the owner.
func (r *Registry) heard(a *Answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[a.req.ID]; e != nil && e.a == a {
		e.heard = now
	}
}

// unlink records that a copy stream of the owner closed.
func (r *Registry) unlink(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[a.req.ID]; e != nil && e.a == a {
		e.links--
	}
}

// Takeover makes this instance the owner of a copy. It raises the epoch, after
// which messages of the old owner are refused and attempts have higher numbers
// than all of its attempts. It returns ErrOwned while the owner's copy stream is
// open, unless the owner hands the answer over. Taking over an answer that this
// instance owns returns it unchanged.
func (r *Registry) Takeover(id string, handover bool, now time.Time) (*Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return nil, ErrUnknown
	}
	a := e.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.copy.held || a.end != nil {
		return a, nil
	}
	if e.links > 0 && !handover {
		return nil, ErrOwned
	}
	a.epoch++
	a.attempt, a.copy.held = 0, false
	e.owner, e.heard = r.cfg.Node, now
	return a, nil
}

// Orphans returns the unfinished copies whose owner's copy stream is closed and
// that were last heard of before a time.
func (r *Registry) Orphans(before time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, e := range r.entries {
		if e.links > 0 || !e.heard.Before(before) {
			continue
		}
		if i := e.info(id); i.Held && !i.Ended {
			out = append(out, id)
		}
	}
	return out
}

// Sweep drops answers that ended Keep ago and copies whose owner has been gone
// for as long. Call it about once a second. It returns how many it dropped.
func (r *Registry) Sweep(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, e := range r.entries {
		i := e.info(id)
		if i.Ended && e.ended.IsZero() {
			e.ended = now
		}
		ended := i.Ended && now.Sub(e.ended) >= r.cfg.Keep
		gone := i.Held && !i.Linked && now.Sub(e.heard) >= r.cfg.Keep
		if ended || gone {
			r.remove(id, e, "its owner has gone", false)
			n++
		}
	}
	return n
}

// remove drops a record; r.mu is held. Readers that hold it still reach its end.
func (r *Registry) remove(id string, e *entry, reason string, taken bool) {
	delete(r.entries, id)
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	before := e.a.memory()
	e.a.breakOff(reason, taken)
	e.a.bytes -= e.a.memory()
	r.budget.give(before)
}

// evict drops finished answers, those that ended first, until need bytes are free.
func (r *Registry) evict(need int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.budget.used.Load()+need > r.budget.max {
		var oldest *entry
		var seq uint64
		for _, e := range r.entries {
			e.a.mu.Lock()
			ended, s := e.a.end != nil, e.a.seq
			e.a.mu.Unlock()
			if ended && (oldest == nil || s < seq) {
				oldest, seq = e, s
			}
		}
		if oldest == nil {
			return
		}
		r.remove(oldest.a.req.ID, oldest, "", false)
	}
}
