package comand

import (
	"io"
	"os"
	"os/signal"
	"syscall"
)

// maxFileBytes bounds a declaration read from a file or a pipe.
const maxFileBytes = 4 << 20

// secondSignal calls f at the next signal to stop. The returned function ends the watch.
func secondSignal(f func()) (stop func()) {
	c := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-c:
			f()
		case <-done:
		}
	}()
	return func() {
		signal.Stop(c)
		close(done)
	}
}

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > maxFileBytes {
		return nil, Error.New("the input exceeds %d bytes", maxFileBytes)
	}
	return b, nil
}
