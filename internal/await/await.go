// Package await bounds how long the parts of a process may take to stop.
package await

import (
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("await")

// ErrNotStopped means that a part had not stopped in time and was left running.
var ErrNotStopped = Error.New("not stopped in time")

// Stop calls stop and returns its error, or ErrNotStopped after timeout, with a log line that
// names the part. A part that hangs must not keep the others, or the process, from stopping.
func Stop(part string, timeout time.Duration, l log.Interface, stop func() error) error {
	done := make(chan error, 1)
	go func() { done <- stop() }()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		l.WithFields(log.Fields{"event": "stop.stuck", "part": part, "waitedMs": timeout.Milliseconds()}).
			Error("a part of the process did not stop in time; it is left behind")
		return ErrNotStopped
	}
}
