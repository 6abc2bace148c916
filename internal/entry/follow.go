package entry

import (
	"context"
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// followTries bounds how often a reader looks for an answer again after the
	// instance that it read from was lost.
	followTries = 20
	followPause = 250 * time.Millisecond
	// wholeTries bounds how often a whole answer is read from its beginning.
	wholeTries = 3
)

// emit receives the tokens of an answer in order. An error stops the reader.
type emit func([]stream.Chunk) error

// errBehind ends a reader whose answer goes on elsewhere from fewer tokens than it
// has read. Others may be produced for them, so the rest does not fit.
var errBehind = Error.New("another instance has continued the answer from an earlier token")

// errReader marks an error of the caller's connection.
type errReader struct{ err error }

func (e *errReader) Error() string { return "caller: " + e.err.Error() }
func (e *errReader) Unwrap() error { return e.err }

// follow reads an answer from a position to its end, wherever it is, and
// returns the reason of the final mark. If the instance that it reads from is
// lost, it continues at the one that took the answer over.
func (e *Entry) follow(ctx context.Context, id string, l located, from uint64, each emit) (string, error) {
	pos := from
	count := func(chunks []stream.Chunk) error {
		if err := each(chunks); err != nil {
			return &errReader{err}
		}
		pos += uint64(len(chunks))
		return nil
	}
	var last error
	for try := range followTries {
		if try > 0 {
			if !pause(ctx, followPause) {
				return "", Error.Wrap(ctx.Err())
			}
			var ok bool
			if l, ok = e.locate(ctx, id, e.cfg.Now()); !ok || l.found == nil {
				last = stream.ErrUnknown
				continue
			}
		}
		reason, err := e.read(ctx, id, l, pos, count)
		if errors.Is(err, stream.ErrPosition) && pos > from {
			return "", errBehind
		}
		if err == nil || final(err) || ctx.Err() != nil {
			return reason, err
		}
		last = err
	}
	return "", last
}

func (e *Entry) read(ctx context.Context, id string, l located, pos uint64, each emit) (string, error) {
	if l.local == nil {
		return e.peers.Attach(ctx, l.peer.Address, id, pos, each)
	}
	reason, err := readLocal(ctx, l.local, pos, each)
	return reason, endHere(err)
}

func readLocal(ctx context.Context, a *stream.Answer, pos uint64, each emit) (string, error) {
	for {
		chunks, done, err := a.Read(ctx, pos)
		if len(chunks) > 0 {
			if err := each(chunks); err != nil {
				return "", err
			}
			pos += uint64(len(chunks))
		}
		if err != nil {
			return "", err
		}
		if done {
			end, _ := a.Ended()
			return end.Reason, nil
		}
	}
}

// final reports whether an error of a reader cannot be repaired by reading elsewhere.
func final(err error) bool {
	var caller *errReader
	var broken *stream.BrokenError
	switch {
	case errors.As(err, &caller), errors.Is(err, stream.ErrPosition):
		return true
	case errors.As(err, &broken):
		return !broken.TakenOver
	}
	return false
}

// pause waits for d and reports whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
