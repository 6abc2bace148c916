// Package lines writes the log of a process as JSON lines without ever holding up
// the work that it tells of. Lines wait in a bounded queue for one writer. Beyond
// a budget of lines a second the ordinary ones are left out first, so that
// failures stay in the log under load; what was left out is counted and said.
package lines

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// Config sets up a Log.
type Config struct {
	Out io.Writer
	// Lines is the budget a second. A burst may use that of burstSeconds.
	Lines int
	// Queue is how many lines wait for the writer at most.
	Queue int
	Clock func() time.Time
}

const (
	// burstSeconds is how much of an unused budget is kept.
	burstSeconds = 4
	// reserve is the part of the budget that lines of level info may not use: it is
	// kept for warnings and errors.
	reserve = 0.5
	// reportInterval is how often left out lines are said.
	reportInterval = time.Second
)

// Log is a log.Handler. It is safe for concurrent use.
type Log struct {
	cfg     Config
	out     log.Handler
	queue   chan *log.Entry
	dropped atomic.Uint64
	wg      sync.WaitGroup

	mu     sync.Mutex
	closed bool
	tokens float64
	at     time.Time
	said   uint64
	sayAt  time.Time
}

// New returns a log and starts its writer. Close ends it.
func New(cfg Config) *Log {
	l := &Log{
		cfg: cfg, out: json.New(cfg.Out), queue: make(chan *log.Entry, cfg.Queue),
		tokens: float64(cfg.Lines * burstSeconds), at: cfg.Clock(),
	}
	l.wg.Go(func() {
		for e := range l.queue {
			if l.out.HandleLog(e) != nil {
				l.dropped.Add(1) // nobody reads any more
			}
		}
	})
	return l
}

// HandleLog implements log.Handler. It never waits for the writer.
func (l *Log) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.admit(e.Level, l.cfg.Clock()) {
		l.dropped.Add(1)
		return nil
	}
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
	l.report(e)
	return nil
}

// admit spends from the budget. mu is held.
func (l *Log) admit(level log.Level, now time.Time) bool {
	most := float64(l.cfg.Lines * burstSeconds)
	l.tokens = min(l.tokens+max(now.Sub(l.at).Seconds(), 0)*float64(l.cfg.Lines), most)
	l.at = now
	least := 1.0
	if level < log.WarnLevel {
		least += reserve * most
	}
	if l.tokens < least {
		return false
	}
	l.tokens--
	return true
}

// report says how many lines were left out since it last did. mu is held.
func (l *Log) report(e *log.Entry) {
	n := l.dropped.Load()
	if n == l.said || e.Timestamp.Sub(l.sayAt) < reportInterval {
		return
	}
	f := log.Fields{"event": "log.dropped", "lines": n - l.said, "total": n}
	select {
	case l.queue <- &log.Entry{Logger: e.Logger, Fields: f, Level: log.WarnLevel, Timestamp: e.Timestamp, Message: "lines were left out of the log"}:
		l.said, l.sayAt = n, e.Timestamp
	default: // said with a later line
	}
}

// Dropped returns how many lines were left out since the start.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes what waits, at most for the given time.
func (l *Log) Close(most time.Duration) {
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
	case <-time.After(most):
	}
}
