package stream

import "context"

const (
	// maxReadTokens limits the number of tokens returned by one Read.
	maxReadTokens = 1024
	// maxReadBytes limits the text returned by one Read, so that a message to a
	// remote reader stays below the frame limit of package link. A single token
	// may exceed the limit.
	maxReadBytes = 1 << 20
)

// Read waits for visible tokens starting at a position and returns them. The
// second result reports whether they reach the end of the answer. An aborted
// answer yields a *AbortedError after its last visible token, another one ErrPosition
// if the record does not reach the position. Readers hold no lock
// and have no queue, so a slow reader does not block others.
func (a *Answer) Read(ctx context.Context, from uint64) ([]Chunk, bool, error) {
	for {
		a.mu.Lock()
		out, done, err := a.read(from)
		if len(out) > 0 || done || err != nil {
			a.mu.Unlock()
			return out, done, err
		}
		wait := a.nextChange()
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, Error.Wrap(ctx.Err())
		case <-wait:
		}
	}
}

func (a *Answer) read(from uint64) ([]Chunk, bool, error) {
	if from > uint64(len(a.endOffsets)) && (a.end == nil || !a.end.Aborted) {
		return nil, false, ErrPosition
	}
	to := min(uint64(a.visible), from+maxReadTokens)
	for to > from+1 && a.endOffsets[to-1]-a.endOffsets[from] > maxReadBytes {
		to = from + (to-from)/2
	}
	var out []Chunk
	if from < to {
		out = make([]Chunk, 0, to-from)
		for i, t := range a.tokens(from, to) {
			out = append(out, Chunk{Pos: from + uint64(i), Text: t})
		}
	}
	switch {
	case a.end == nil:
		return out, false, nil
	case !a.end.Aborted:
		return out, max(from, to) == a.end.Pos && uint64(a.visible) == a.end.Pos, nil
	case len(out) > 0:
		return out, false, nil
	default:
		return nil, false, &AbortedError{ID: a.req.ID, Reason: a.end.Reason, TakenOver: a.takenOver}
	}
}

func (a *Answer) token(i uint64) []byte {
	start := uint32(0)
	if i > 0 {
		start = a.endOffsets[i-1]
	}
	return a.text[start:a.endOffsets[i]]
}

// tokens returns tokens as substrings of one string, so that the texts need one allocation.
func (a *Answer) tokens(from, to uint64) []string {
	if from >= to {
		return nil
	}
	base := uint32(0)
	if from > 0 {
		base = a.endOffsets[from-1]
	}
	all := string(a.text[base:a.endOffsets[to-1]])
	out := make([]string, 0, to-from)
	start := uint32(0)
	for _, e := range a.endOffsets[from:to] {
		out = append(out, all[start:e-base])
		start = e - base
	}
	return out
}

// nextChange returns a channel that is closed at the next change. The caller holds a.mu.
func (a *Answer) nextChange() <-chan struct{} {
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
