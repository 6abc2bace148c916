package lines

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

// buffer is a writer that can be stopped.
type buffer struct {
	mu   sync.Mutex
	b    bytes.Buffer
	stop chan struct{}
}

func (w *buffer) Write(p []byte) (int, error) {
	if w.stop != nil {
		<-w.stop
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *buffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

var start = time.Unix(1_000_000, 0)

func fixed() time.Time { return start }

// Guards against a reader that stops reading and with it the requests.
func TestStoppedReader(t *testing.T) {
	w := &buffer{stop: make(chan struct{})}
	l := New(Config{Out: w, Lines: 10_000, Queue: 10, Clock: fixed})
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			logger.Info("x")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	if l.Dropped() < 900 {
		t.Errorf("%d lines dropped, want nearly all", l.Dropped())
	}
	close(w.stop)
	l.Close(10 * time.Second)
}

// Guards against a flood of ordinary lines that pushes out failures, and against
// lines that are left out without a word.
func TestFailuresStayUnderLoad(t *testing.T) {
	w := &buffer{}
	l := New(Config{Out: w, Lines: 100, Queue: 10_000, Clock: fixed})
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for range 1000 {
		logger.Info("ordinary")
	}
	for range 100 {
		logger.Warn("failure")
	}
	l.Close(10 * time.Second)
	if got := strings.Count(w.String(), `"failure"`); got != 100 {
		t.Errorf("%d of 100 failures are in the log", got)
	}
	if got := strings.Count(w.String(), `"ordinary"`); got > 400 {
		t.Errorf("%d ordinary lines, above the budget", got)
	}
	if !strings.Contains(w.String(), "log.dropped") {
		t.Error("the log does not say that lines are missing")
	}
	for _, line := range strings.Split(strings.TrimSpace(w.String()), "\n") {
		if !json.Valid([]byte(line)) {
			t.Fatalf("not JSON: %s", line)
		}
	}
}

func BenchmarkHandleLog(b *testing.B) {
	l := New(Config{Out: &buffer{}, Lines: 1 << 30, Queue: 1 << 16, Clock: time.Now})
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"event": "request.ended", "request": "9c41d07be2a35f68", "runs": 1}).Info("answered")
	}
	l.Close(10 * time.Second)
}
