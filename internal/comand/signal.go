package comand

import (
	"io"
	"os"
	"os/signal"
	"syscall"
)

// maxInputBytes is the maximum size of the data read from standard input.
const maxInputBytes = 4 << 20

// onNextSignal calls f at the next SIGINT or SIGTERM. The returned function stops
// waiting for the signal.
func onNextSignal(f func()) (stop func()) {
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

func readLimited(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxInputBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > maxInputBytes {
		return nil, Error.New("the input exceeds %d bytes", maxInputBytes)
	}
	return b, nil
}
