package contrl_test

import (
	"runtime"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
)

// Guards against a Close that waits for ever: fasthttp does not know the listener before
// Serve has begun, so a shutdown before that left it open and Serve waited for connections.
// With one processor the new goroutine of Serve has not run when Close is called.
func TestCloseBeforeServe(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	node, err := link.Listen(link.Config{Node: "c0", Listen: "127.0.0.1:0", AllowUnauthenticated: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.Close() }()
	for range 50 {
		s, err := contrl.NewServer(contrl.Config{Listen: "127.0.0.1:0", Net: node, Store: store.New()})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- s.Close() }()
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("Close has not returned")
		}
	}
}
