package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/stream"
)

const (
	// maxFollowTries limits how often a reader looks for an answer again after
	// losing the instance that it read from.
	maxFollowTries   = 20
	followRetryPause = 250 * time.Millisecond
	// maxWholeReads limits how often an answer is read from the beginning.
	maxWholeReads = 3
	// reachTimeout limits the wait for a record that reaches a reader's position. It is longer
	// than an instance that is gone counts as a member.
	reachTimeout = 5 * time.Second
	reachPause   = 50 * time.Millisecond
)

// chunkHandler receives the tokens of an answer in order. An error stops the
// reader.
type chunkHandler func([]stream.Chunk) error

// errRolledBack ends a reader of an answer that another instance continues from
// an earlier token than the reader has reached. The tokens generated from there
// may differ, so the rest does not match what was read.
var errRolledBack = Error.New("another instance has continued the answer from an earlier token; read it again from its beginning")

// errBehind ends a reader whose position no record is known to reach, while instances that
// may have one do not reply.
var errBehind = Error.New("the instances that may know the answer up to the position did not reply")

// positionError ends a reader at a position that no instance has reached.
type positionError struct {
	pos, tokens uint64
	ended       bool // tokens is the length of the finished answer
}

func (e *positionError) Error() string {
	if e.ended {
		return fmt.Sprintf("Last-Event-ID is %d, but the answer ended with %d", e.pos, e.tokens)
	}
	return fmt.Sprintf("Last-Event-ID is %d, but the answer has only reached %d", e.pos, e.tokens)
}

// callerError marks an error of the caller's connection.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

// follow reads an answer from a position to its end, wherever the answer is,
// and returns the end reason. If the instance that it reads from is lost,
// follow continues at the instance that took the answer over. If its record is
// behind the reader, follow continues at one that is not.
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
	located := true
	for range maxFollowTries {
		if !located {
			if !sleep(ctx, followRetryPause) {
				return "", Error.Wrap(ctx.Err())
			}
			if at, located = e.locate(ctx, id, pos, e.cfg.Now()); !located || at.found == nil {
				lastErr, located = stream.ErrUnknown, false
				continue
			}
		}
		reason, err := e.readFrom(ctx, id, at, pos, counted)
		if located = errors.Is(err, stream.ErrPosition); located {
			if at, err = e.reach(ctx, id, pos); err != nil {
				return "", readError(err, pos > from)
			}
			lastErr = errBehind
			continue
		}
		if err == nil || isFinalError(err) || ctx.Err() != nil {
			return reason, err
		}
		lastErr = err
	}
	return "", lastErr
}

// readError returns the error of a reader that no record reaches. A position up to which it
// has read was certainly reached.
func readError(err error, hasRead bool) error {
	var beyond *positionError
	if hasRead && errors.As(err, &beyond) {
		return errRolledBack
	}
	return err
}

// reach looks for a record of an answer that reaches a position. Copies are often behind for a
// moment, so it waits as long as an instance may know more.
func (e *Entry) reach(ctx context.Context, id string, pos uint64) (location, error) {
	for deadline := e.cfg.Now().Add(reachTimeout); ; {
		now := e.cfg.Now()
		l, _ := e.search(ctx, &entrpb.Find{Id: id}, pos, now)
		if l.found != nil && l.reaches(pos) {
			return l, nil
		}
		if err := l.whyBehind(pos); err != nil {
			return location{}, err
		}
		switch {
		case now.Before(deadline):
		case l.found == nil && l.silent == 0:
			return location{}, stream.ErrUnknown
		default:
			return location{}, errBehind
		}
		if !sleep(ctx, reachPause) {
			return location{}, Error.Wrap(ctx.Err())
		}
	}
}

// reaches reports whether the record reaches a position, or says why it will not.
func (l location) reaches(pos uint64) bool {
	return l.found.Position >= pos || l.found.Ended && l.found.Broken
}

// whyBehind returns why no record reaches a position, or nil if that may change.
func (l location) whyBehind(pos uint64) error {
	switch f := l.found; {
	case f == nil:
		return nil
	case f.Ended:
		return &positionError{pos: pos, tokens: f.Position, ended: true}
	case l.silent > 0 || f.Held:
		return nil
	case l.takeovers == 0:
		return &positionError{pos: pos, tokens: f.Position}
	}
	return errRolledBack // an owner before may have reached it
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
	var broken *stream.AbortedError
	switch {
	case errors.As(err, &caller):
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
