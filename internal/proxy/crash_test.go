package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against logs that do not tell which requests a server held when it crashed, or a
// crashed server from a broken connection.
func TestBrokenConnectionsAreLogged(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		p := newProxy(t, &scriptedSender{responses: []scriptedResponse{{err: errReset}}}, 1)
		logged := memory.New()
		p.cfg.Log = &log.Logger{Handler: logged}
		p.cfg.Accepts = func(context.Context, roster.Server) bool { return !crashed }
		r := newRequest("/unsafe/")
		r.Parts = []Part{{"a", 1}, {"b", 1}, {"own", 1}}
		_ = p.Serve(context.Background(), httptest.NewRecorder(), r)
		i := slices.IndexFunc(logged.Entries, func(e *log.Entry) bool { return e.Fields["event"] == "server.broke" })
		if i < 0 {
			t.Fatal("the broken connection is not logged")
		}
		f := logged.Entries[i].Fields
		if f["server"] != "e0" || f["request"] != "r1" || f["crashed"] != crashed || !slices.Equal(f["parts"].([]string), []string{"a", "b"}) {
			t.Errorf("logged %v", f)
		}
	}
}

// crashingSender is a Sender whose servers crash under requests with the part "deadly", and
// complete all others.
type crashingSender struct {
	mu      sync.Mutex
	crashed map[string]bool // servers
	sends   int             // of requests with the part
}

func (s *crashingSender) Send(_ context.Context, r *Request, a Attempt) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed[a.Server.ID] {
		return nil, &backnd.CallError{Outcome: backnd.NotRun, Err: errors.New("connection refused")}
	}
	if slices.ContainsFunc(r.Parts, func(p Part) bool { return p.ID == "deadly" }) {
		s.sends++
		s.crashed[a.Server.ID] = true
		return nil, &backnd.CallError{Outcome: backnd.Unknown, Err: io.ErrUnexpectedEOF}
	}
	return &Response{
		Status: 200, Header: http.Header{}, Length: -1, Body: io.NopCloser(strings.NewReader("x")),
	}, nil
}

func (s *crashingSender) accepts(_ context.Context, server roster.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.crashed[server.ID]
}

// Guards against a prompt part that crashes server after server: requests with it must be
// refused before a server is chosen, while those that share the caller and the other parts
// are served.
func TestPartThatCrashesServers(t *testing.T) {
	s := &crashingSender{crashed: map[string]bool{}}
	p := newProxy(t, s, 40)
	p.cfg.Accepts = s.accepts
	serve := func(n int, parts ...string) error {
		r := newRequest("/safe/")
		r.Body = fmt.Append(nil, n)
		for _, id := range append(parts, fmt.Sprint("own", n)) {
			r.Parts = append(r.Parts, Part{ID: id, Tokens: 1})
		}
		return p.Serve(context.Background(), httptest.NewRecorder(), r)
	}
	for n := range 20 {
		if err := serve(n, "system", "rare"+fmt.Sprint(n%7)); err != nil {
			t.Fatalf("sound request %d: %v", n, err)
		}
	}
	for n := range 20 {
		err := serve(100+n, "system", "deadly", "rare"+fmt.Sprint(n%7))
		var refusal *Refusal
		if n >= 4 && (!errors.As(err, &refusal) || refusal.Cause > NoTime || refusal.RetryAfter < 10*time.Second) {
			t.Errorf("deadly request %d: %v, want a refusal that says that it has not run and invites no retry", n, err)
		}
		if err := serve(200+n, "system", "rare"+fmt.Sprint(n%7)); err != nil {
			t.Errorf("sound request %d: %v", n, err)
		}
	}
	if s.sends > 4 {
		t.Errorf("%d requests with the part reached servers, want at most 4", s.sends)
	}
}

// Guards against a request that crashes server after server although none of its prompt
// parts is known: it comes again, the same in all.
func TestRequestThatCrashesServers(t *testing.T) {
	s := &crashingSender{crashed: map[string]bool{}}
	p := newProxy(t, s, 40)
	p.cfg.Accepts = s.accepts
	for n := range 20 {
		r := newRequest("/unsafe/")
		r.Body, r.Parts = []byte("the same"), []Part{{ID: "deadly", Tokens: 1}} // the last part is the request's own
		_ = p.Serve(context.Background(), httptest.NewRecorder(), r)
		sound := newRequest("/unsafe/")
		sound.Body = fmt.Append(nil, n)
		if err := p.Serve(context.Background(), httptest.NewRecorder(), sound); err != nil {
			t.Errorf("sound request %d: %v", n, err)
		}
	}
	if s.sends > 4 {
		t.Errorf("the request reached servers %d times, want at most 4", s.sends)
	}
}

// Guards against refusals because of connections that break at servers that are up.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	var responses []scriptedResponse
	for range 10 {
		responses = append(responses, scriptedResponse{err: errReset})
	}
	s := &scriptedSender{responses: append(responses, scriptedResponse{status: 200, body: "x"})}
	p := newProxy(t, s, 40)
	p.cfg.Accepts = func(context.Context, roster.Server) bool { return true }
	for range 10 {
		_ = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/"))
	}
	if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/")); err != nil {
		t.Errorf("after ten resets: %v", err)
	}
}

// Guards against a part that crashes servers which are back before their crash can be seen: a
// later incarnation shows it.
func TestRestartedServersHaveCrashed(t *testing.T) {
	for _, c := range []struct {
		name   string
		next   func(s roster.Server) roster.Server // after the break
		blamed bool
	}{
		{"restarted", func(s roster.Server) roster.Server { s.Incarnation++; return s }, true},
		{"still there", func(s roster.Server) roster.Server { return s }, false},
		{"left as planned, then restarted", func(s roster.Server) roster.Server { s.State = world.Leaving; return s }, false},
	} {
		now := time.Now()
		sender := &scriptedSender{}
		p := newProxy(t, sender, 0)
		p.cfg.Accepts = func(context.Context, roster.Server) bool { return true }
		p.cfg.Clock = func() time.Time { return now }
		recorded := 0
		p.cfg.CrashRecorded = func() { recorded++ }
		request := func() *Request {
			r := newRequest("/unsafe/")
			r.Arrived, r.Parts = now, []Part{{ID: "deadly", Tokens: 1}, {ID: "own", Tokens: 1}}
			return r
		}
		for i := range 3 {
			server := roster.Server{ID: fmt.Sprint("e", i), Service: "s", Address: "10.0.0.1:1", Slots: 8, State: world.Ready, Incarnation: 1}
			p.SetServers([]roster.Server{server}, now)
			sender.responses = append(sender.responses, scriptedResponse{err: errReset})
			_ = p.Serve(context.Background(), httptest.NewRecorder(), request())
			now = now.Add(500 * time.Millisecond)
			p.SetServers(nil, now) // unknown for a moment
			p.SetServers([]roster.Server{c.next(server)}, now)
			server.Incarnation = 2
			if c.blamed || i > 0 {
				continue
			}
			now = now.Add(restartTime) // a restart long after the break
			p.SetServers([]roster.Server{server}, now)
		}
		sender.responses = append(sender.responses, scriptedResponse{status: 200, body: "x"})
		p.SetServers([]roster.Server{{ID: "new", Service: "s", Address: "10.0.0.2:1", Slots: 8, State: world.Ready, Incarnation: 1}}, now)
		err := p.Serve(context.Background(), httptest.NewRecorder(), request())
		var refusal *Refusal
		if blamed := errors.As(err, &refusal) && refusal.Cause == CrashesServers; blamed != c.blamed {
			t.Errorf("%s: %v, want a refusal: %v", c.name, err, c.blamed)
		}
		if want := map[bool]int{true: 3}[c.blamed]; recorded != want {
			t.Errorf("%s: %d crashes recorded, want %d", c.name, recorded, want)
		}
	}
}
