package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against calls that may not be repeated, are passed on late in a planned stop and end
// without their response.
func TestLateCallsOfAPlannedStop(t *testing.T) {
	t.Parallel()
	const (
		takes  = 2 * time.Second // of a call at the server
		bodyAt = 3 * time.Second // after the stop begins; the head is sent before
		drain  = 5 * time.Second
		node   = 4
	)
	s := startSixInstances(t, rand.Uint64()>>32, 0, stand.EngineConfig{})
	d, err := s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
		ID: "desk", Service: "orders", Versions: []string{"v1"}, DataCentre: "dc1", Zone: "dc1-a", MachineClass: "m", Slots: 8,
		AnnounceInterval: 100 * time.Millisecond,
	}, Path: "/orders", ServiceTime: takes})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := s.WaitForBackends(ctx, 1); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", s.Settings(node).Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"item":"x"}`
	if _, err := fmt.Fprintf(conn, "POST /orders/late HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer acme-key\r\nX-Request-Id: late\r\nIdempotency-Key: late\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:4]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		stopped <- s.StopInstance(ctx, node, true)
	}()
	time.Sleep(bodyAt)
	if _, err := io.WriteString(conn, body[4:]); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%v; executed %d times", err, d.Store().Executions("late"))
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v, %q, %v, want a refusal as not run", resp.StatusCode, resp.Header, b, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if n := d.Store().Executions("late"); n != 0 {
		t.Errorf("executed %d times", n)
	}
}
