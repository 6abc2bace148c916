package await_test

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"cranberrypath.example/cranberrypath/internal/await"
)

// Guards against a stop that waits for ever, or that hides which part it waits for.
func TestStop(t *testing.T) {
	h := memory.New()
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	failed := errors.New("failed")
	if err := await.Stop("listener", time.Minute, l, func() error { return failed }); !errors.Is(err, failed) {
		t.Errorf("got %v, want the error of the part", err)
	}
	if len(h.Entries) != 0 {
		t.Errorf("%d log lines for a part that stopped", len(h.Entries))
	}
	release := make(chan struct{})
	defer close(release)
	err := await.Stop("listener", time.Millisecond, l, func() error { <-release; return nil })
	if !errors.Is(err, await.ErrNotStopped) {
		t.Errorf("got %v, want ErrNotStopped", err)
	}
	if len(h.Entries) != 1 || h.Entries[0].Fields["part"] != "listener" {
		t.Errorf("log %v, want one line that names the part", h.Entries)
	}
}
