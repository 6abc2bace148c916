package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is a deployment on loopback addresses and the record of what happens in it.
type world struct {
	program string // path of the project's program
	trouble bool   // whether the case brings its disruption
	dir     string // temporary folder
	network string // first three numbers of the addresses
	started time.Time

	nodes   []*node
	engines []*engine
	cloud   *cloud

	mu  sync.Mutex
	log *os.File
}

// networks is the number of loopback networks from which a run takes a free one.
const networks = 200

func newWorld(program, recordPath string, trouble bool) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, started: time.Now()}
	if w.log, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	for i := range networks {
		n := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%networks, 1+i%250)
		w.network = n
		// The platform's address keeps other runs out of the network.
		if w.cloud, err = newCloud(w, w.address(200)); err != nil {
			continue
		}
		if isFree(w.address(10) + ":" + controlPort) {
			return w, nil
		}
		w.cloud.close()
	}
	return nil, fmt.Errorf("no free loopback network")
}

func isFree(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// close ends all processes that the run started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, e := range w.engines {
		e.close()
	}
	w.cloud.close()
	_ = w.log.Close()
	_ = os.RemoveAll(w.dir)
}

// record writes a line with the seconds since the start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.log, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// address returns the nth address of the run's network.
func (w *world) address(n int) string { return fmt.Sprintf("%s.%d", w.network, n) }
