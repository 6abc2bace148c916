// Package lines writes the log of a process as JSON lines without blocking the
// code that logs. A bounded queue feeds a single writer. A token bucket limits the
// lines per second; informational lines are dropped first, so that failures are
// still logged under load. Dropped lines are counted and reported in the log.
package lines

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Config configures a Log.
type Config struct {
	Out io.Writer
	// Lines is the limit per second. A burst may use the tokens of burstSeconds.
	Lines int
	// Queue is the maximum number of lines waiting for the writer.
	Queue int
	Clock func() time.Time
}

const (
	// burstSeconds is the capacity of the token bucket, in seconds of the limit.
	burstSeconds = 4
	// warningReserve is the fraction of the bucket that is reserved for warnings and
	// errors.
	warningReserve = 0.5
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = time.Second
)

// Log implements log.Handler. It is safe for concurrent use.
type Log struct {
	cfg     Config
	handler log.Handler
	queue   chan *log.Entry
	dropped atomic.Uint64
	wg      sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	tokens        float64
	refilledAt    time.Time
	reportedDrops uint64
	reportedAt    time.Time
}

// New returns a log and starts its writer. Close stops the writer.
func New(cfg Config) *Log {
	l := &Log{
		cfg: cfg, handler: json.New(cfg.Out), queue: make(chan *log.Entry, cfg.Queue),
		tokens: float64(cfg.Lines * burstSeconds), refilledAt: cfg.Clock(),
	}
	l.wg.Go(func() {
		for e := range l.queue {
			if l.handler.HandleLog(e) != nil {
				l.dropped.Add(1) // the output has failed
			}
		}
	})
	return l
}

// HandleLog implements log.Handler. It never waits for the writer.
func (l *Log) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.takeToken(e.Level, l.cfg.Clock()) {
		l.dropped.Add(1)
		return nil
	}
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
	l.reportDrops(e)
	return nil
}

// takeToken refills the bucket and takes a token from it. The caller must hold mu.
func (l *Log) takeToken(level log.Level, now time.Time) bool {
	capacity := float64(l.cfg.Lines * burstSeconds)
	l.tokens = min(l.tokens+max(now.Sub(l.refilledAt).Seconds(), 0)*float64(l.cfg.Lines), capacity)
	l.refilledAt = now
	required := 1.0
	if level < log.WarnLevel {
		required += warningReserve * capacity
	}
	if l.tokens < required {
		return false
	}
	l.tokens--
	return true
}

// reportDrops logs the number of lines dropped since the last report. The caller
// must hold mu.
func (l *Log) reportDrops(e *log.Entry) {
	n := l.dropped.Load()
	if n == l.reportedDrops || e.Timestamp.Sub(l.reportedAt) < reportInterval {
		return
	}
	f := log.Fields{"event": "log.dropped", "lines": n - l.reportedDrops, "total": n}
	select {
	case l.queue <- &log.Entry{Logger: e.Logger, Fields: f, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: "log lines were dropped"}:
		l.reportedDrops, l.reportedAt = n, e.Timestamp
	default: // the queue is full; reported with a later line
	}
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close waits until the queue is written, but at most for timeout.
func (l *Log) Close(timeout time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
