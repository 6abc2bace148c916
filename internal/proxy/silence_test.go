package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against requests that wait for their whole time at a server which hangs or is
// dark: 79 of them got a final answer after 7.5 s on a recorded day. Those that may run
// twice go to another server, the others must not.
func TestSilentServer(t *testing.T) {
	for _, c := range []struct {
		path string
		want int // attempts
	}{{"/safe/", 2}, {"/resume/", 2}, {"/unsafe/", 1}, {"/stream/", 1}} {
		t.Run(c.path[1:], func(t *testing.T) {
			t.Parallel()
			s := &script{steps: []step{{hang: true}, {status: 200, events: true, body: one + two}}}
			p := newProxy(t, s, 4)
			r := request(c.path)
			r.Patience = 3 * time.Second
			err := p.Serve(context.Background(), httptest.NewRecorder(), r)
			if len(s.sent) != c.want {
				t.Fatalf("%d attempts, want %d", len(s.sent), c.want)
			}
			var refusal *Refusal
			switch {
			case c.want == 2 && err != nil:
				t.Errorf("%v instead of the second server's answer", err)
			case c.want == 1 && (!errors.As(err, &refusal) || refusal.Cause != TimedOut):
				t.Errorf("%v, want that the time ended", err)
			}
			now := time.Now()
			first := s.sent[0].Server.ID
			for range 50 {
				if got, err := p.table.Pick((&run{p: p, r: r, cfg: p.Config(), route: p.Config().Match("h", c.path), service: "s"}).query(now), now); err != nil || got.Backend.ID == first {
					t.Fatalf("picked the silent server %q, %v", first, err)
				}
			}
		})
	}
}

// Guards against servers that are taken for silent because one long prompt waits while
// others of this instance are answered, or because this process was frozen.
func TestSilentAfter(t *testing.T) {
	for _, c := range []struct{ target, expected, want time.Duration }{
		{100 * time.Millisecond, 0, 200 * time.Millisecond},
		{2 * time.Second, 0, 1500 * time.Millisecond},
		{time.Second, 900 * time.Millisecond, 3600 * time.Millisecond},
	} {
		if got := silentAfter(c.target, c.expected); got != c.want {
			t.Errorf("target %v, expected %v: silent after %v, want %v", c.target, c.expected, got, c.want)
		}
	}
	const after = time.Second
	sent := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name            string
		heard, due, now int // ms after the request was sent
		silent          bool
		next            time.Duration
	}{
		{"nothing came", 0, 1000, 1000, true, after},
		{"another request was answered", 700, 1000, 1010, false, 690 * time.Millisecond},
		{"this process stood still", 0, 1000, 7000, false, after},
	} {
		if silent, next := look(at(c.heard), at(c.due), at(c.now), after); silent != c.silent || next != c.next {
			t.Errorf("%s: silent %v, next look after %v, want %v and %v", c.name, silent, next, c.silent, c.next)
		}
	}
	p := newProxy(t, &script{}, 1)
	tr := &trial{sent: sent, heard: p.heardOf("e0")}
	p.heardOf("e0").Store(at(1000).UnixNano())
	if got := tr.lastHeard(); !got.Equal(at(1000)) {
		t.Errorf("last heard %v after the request, want 1s", got.Sub(sent))
	}
}
