package site

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against an instance that serves callers before it is complete: the race detector
// reports it, and without it the process ends.
func TestRequestsWhileAnInstanceStarts(t *testing.T) {
	t.Parallel()
	s := startThreeInstances(t, 1)
	addr := s.Settings(2).Listen.Callers
	for range 3 {
		stopNode(t, s, 2, 0)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.Dial("tcp", addr)
					if err != nil {
						time.Sleep(50 * time.Microsecond)
						continue
					}
					_, _ = c.Write([]byte("GET /v1/addresses HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) // it may stop again
					_, _ = c.Read(make([]byte, 1<<10))
					_ = c.Close()
				}
			})
		}
		if err := s.StartInstance(2); err != nil {
			t.Error(err)
		}
		close(stop)
		wg.Wait()
	}
}
