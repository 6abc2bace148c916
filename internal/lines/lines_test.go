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

// blockingBuffer is a writer that blocks until unblock is closed, if set.
type blockingBuffer struct {
	mu      sync.Mutex
	b       bytes.Buffer
	unblock chan struct{}
}

func (w *blockingBuffer) Write(p []byte) (int, error) {
	if w.unblock != nil {
		<-w.unblock
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *blockingBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

var testTime = time.Unix(1_000_000, 0)

func fixedClock() time.Time { return testTime }

// Guards against blocking requests when the reader of the log stops reading.
func TestStoppedReader(t *testing.T) {
	w := &blockingBuffer{unblock: make(chan struct{})}
	l := New(Config{Out: w, Lines: 10_000, Queue: 10, Clock: fixedClock})
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
		t.Fatal("logging blocks on the reader")
	}
	if l.Dropped() < 900 {
		t.Errorf("%d lines dropped, want nearly all", l.Dropped())
	}
	close(w.unblock)
	l.Close(10 * time.Second)
}

// Guards against dropping failures because of many informational lines, and against
// dropping lines without reporting it.
func TestFailuresStayUnderLoad(t *testing.T) {
	w := &blockingBuffer{}
	l := New(Config{Out: w, Lines: 100, Queue: 10_000, Clock: fixedClock})
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
		t.Errorf("%d ordinary lines, above the limit", got)
	}
	if !strings.Contains(w.String(), "log.dropped") {
		t.Error("the log does not report the dropped lines")
	}
	for _, line := range strings.Split(strings.TrimSpace(w.String()), "\n") {
		if !json.Valid([]byte(line)) {
			t.Fatalf("not JSON: %s", line)
		}
	}
}

func BenchmarkHandleLog(b *testing.B) {
	l := New(Config{Out: &blockingBuffer{}, Lines: 1 << 30, Queue: 1 << 16, Clock: time.Now})
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"event": "request.ended", "request": "9c41d07be2a35f68", "runs": 1}).Info("answered")
	}
	l.Close(10 * time.Second)
}
