package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, begin: time.Now()}, nil
}

// line writes one line with the time since the start of the script.
func (r *record) line(format string, args ...any) {
	r.lineAt(time.Now(), format, args...)
}

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
