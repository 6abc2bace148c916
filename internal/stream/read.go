package stream

import "context"

const (
	// readTokens bounds the tokens returned by one Read.
	readTokens = 1024
	// readBytes bounds their text, so that a remote reader's message stays below
	// the link's frame limit; a single token may exceed it.
	readBytes = 1 << 20
)

// Read returns tokens from a position on, waiting until there are some. done
// reports that they reach the end of the answer. A broken-off answer yields a
// *BrokenError after its last visible token. A reader holds no lock and no queue,
// so a slow one blocks nobody.
func (a *Answer) Read(ctx context.Context, from uint64) ([]Chunk, bool, error) {
	for {
		a.mu.Lock()
		out, done, err := a.read(from)
		if len(out) > 0 || done || err != nil {
			a.mu.Unlock()
			return out, done, err
		}
		wait := a.wait()
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, Error.Wrap(ctx.Err())
		case <-wait:
		}
	}
}

func (a *Answer) read(from uint64) ([]Chunk, bool, error) {
	if from > uint64(len(a.ends)) {
		return nil, false, ErrPosition
	}
	to := min(uint64(a.visible), from+readTokens)
	for to > from+1 && a.ends[to-1]-a.ends[from] > readBytes {
		to = from + (to-from)/2
	}
	var out []Chunk
	if from < to {
		out = make([]Chunk, 0, to-from)
		for i, t := range a.slice(from, to) {
			out = append(out, Chunk{Pos: from + uint64(i), Text: t})
		}
	}
	switch {
	case a.end == nil:
		return out, false, nil
	case !a.end.Broken:
		return out, max(from, to) == a.end.Pos && uint64(a.visible) == a.end.Pos, nil
	case len(out) > 0:
		return out, false, nil
	default:
		return nil, false, &BrokenError{ID: a.req.ID, Reason: a.end.Reason, TakenOver: a.taken}
	}
}

func (a *Answer) token(i uint64) []byte {
	start := uint32(0)
	if i > 0 {
		start = a.ends[i-1]
	}
	return a.text[start:a.ends[i]]
}

// slice returns tokens as parts of one string, which costs one allocation for all texts.
func (a *Answer) slice(from, to uint64) []string {
	if from >= to {
		return nil
	}
	base := uint32(0)
	if from > 0 {
		base = a.ends[from-1]
	}
	all := string(a.text[base:a.ends[to-1]])
	out := make([]string, 0, to-from)
	start := uint32(0)
	for _, e := range a.ends[from:to] {
		out = append(out, all[start:e-base])
		start = e - base
	}
	return out
}

// wait returns a channel that is closed at the next change. a.mu is held.
func (a *Answer) wait() <-chan struct{} {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

func (a *Answer) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
