package entry

import (
	"context"
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// maxFollowTries limits how often a reader looks for an answer again after
	// losing the instance that it read from.
	maxFollowTries   = 20
	followRetryPause = 250 * time.Millisecond
	// maxWholeReads limits how often an answer is read from the beginning.
	maxWholeReads = 3
)

// chunkHandler receives the tokens of an answer in order. An error stops the
// reader.
type chunkHandler func([]stream.Chunk) error

// errRolledBack ends a reader of an answer that another instance continues from
// an earlier token than the reader has reached. The tokens generated from there
// may differ, so the rest does not match what was read.
var errRolledBack = Error.New("another instance has continued the answer from an earlier token")

// callerError marks an error of the caller's connection.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

// follow reads an answer from a position to its end, wherever the answer is,
// and returns the end reason. If the instance that it reads from is lost,
// follow continues at the instance that took the answer over.
func (e *Entry) follow(ctx context.Context, id string, at location, from uint64, handle chunkHandler) (string, error) {
	pos := from
	counted := func(chunks []stream.Chunk) error {
		if err := handle(chunks); err != nil {
			return &callerError{err}
		}
		pos += uint64(len(chunks))
		return nil
	}
	var lastErr error
	for try := range maxFollowTries {
		if try > 0 {
			if !sleep(ctx, followRetryPause) {
				return "", Error.Wrap(ctx.Err())
			}
			var ok bool
			if at, ok = e.locate(ctx, id, e.cfg.Now()); !ok || at.found == nil {
				lastErr = stream.ErrUnknown
				continue
			}
		}
		reason, err := e.readFrom(ctx, id, at, pos, counted)
		if errors.Is(err, stream.ErrPosition) && pos > from {
			return "", errRolledBack
		}
		if err == nil || isFinalError(err) || ctx.Err() != nil {
			return reason, err
		}
		lastErr = err
	}
	return "", lastErr
}

func (e *Entry) readFrom(ctx context.Context, id string, l location, pos uint64, handle chunkHandler) (string, error) {
	if l.local == nil {
		return e.peers.Attach(ctx, l.peer.Address, id, pos, handle)
	}
	reason, err := readLocal(ctx, l.local, pos, handle)
	return reason, finalForLocalReaders(err)
}

func readLocal(ctx context.Context, a *stream.Answer, pos uint64, handle chunkHandler) (string, error) {
	for {
		chunks, done, err := a.Read(ctx, pos)
		if len(chunks) > 0 {
			if err := handle(chunks); err != nil {
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

// isFinalError reports whether reading at another instance cannot help after a
// reader's error.
func isFinalError(err error) bool {
	var caller *callerError
	var broken *stream.BrokenError
	switch {
	case errors.As(err, &caller), errors.Is(err, stream.ErrPosition):
		return true
	case errors.As(err, &broken):
		return !broken.TakenOver
	}
	return false
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
