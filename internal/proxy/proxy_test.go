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
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// scriptedResponse is a server's response to one attempt.
type scriptedResponse struct {
	err           error
	status        int
	notRun        bool
	wrongServer   bool
	isEventStream bool
	body          string
	truncated     bool // reading the body ends with an error instead of io.EOF
	hang          bool // no response until the attempt is cancelled
	onlyComments  bool // the body is comments until the attempt is cancelled
	leaving       bool
	retryAfter    time.Duration
	limit         roster.Limit
	load          ServerLoad
	coldFor       time.Duration
}

var (
	errNotSent = &backnd.CallError{Outcome: backnd.NotRun, Err: errors.New("refused connection")}
	errReset   = &backnd.CallError{Outcome: backnd.Unknown, Err: errors.New("reset")}
)

// scriptedSender is a Sender that returns scripted responses in order and records the
// attempts.
type scriptedSender struct {
	mu        sync.Mutex
	responses []scriptedResponse
	attempts  []Attempt
}

func (s *scriptedSender) Send(ctx context.Context, _ *Request, a Attempt) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.attempts) == len(s.responses) {
		return nil, fmt.Errorf("attempt %d was not expected", len(s.attempts)+1)
	}
	resp := s.responses[len(s.attempts)]
	s.attempts = append(s.attempts, a)
	if resp.err != nil {
		return nil, resp.err
	}
	if resp.hang {
		<-ctx.Done()
		return nil, &backnd.CallError{Outcome: backnd.Unknown, Err: ctx.Err()}
	}
	body := io.Reader(strings.NewReader(resp.body))
	if resp.truncated {
		body = io.MultiReader(body, truncatedReader{})
	}
	if resp.onlyComments {
		body = commentReader{ctx}
	}
	return &Response{
		Status: resp.status, Header: http.Header{"Signature": {a.Server.ID}}, Length: -1, Body: io.NopCloser(body),
		NotRun: resp.notRun, WrongServer: resp.wrongServer, IsEventStream: resp.isEventStream, Leaving: resp.leaving, RetryAfter: resp.retryAfter,
		Limit: resp.limit, Load: resp.load, ColdFor: resp.coldFor,
	}, nil
}

// commentReader is the body of a stalled stream that sends a comment now and then.
type commentReader struct{ ctx context.Context }

func (r commentReader) Read(b []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(50 * time.Millisecond):
		return copy(b, ": wait\n\n"), nil
	}
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func testConfig(t *testing.T) *routes.Config {
	t.Helper()
	newRoute := func(name string, k routes.Kind, resume bool) routes.Route {
		return routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: k, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
			Resumable: resume, Shares: []routes.Share{{Service: "s", Weight: 1}},
		}
	}
	c, err := routes.New(routes.Config{
		Version:  1,
		Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 8, MemoryTokens: 10_000}}},
		Routes: []routes.Route{
			newRoute("safe", routes.Safe, false), newRoute("unsafe", routes.Unsafe, false), newRoute("stream", routes.Stream, false), newRoute("resume", routes.Stream, true),
		},
		Organisations: []routes.Organisation{{Name: "o", Keys: []string{"k"}, Priority: routes.NoPriority, Rate: 1000, Burst: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newProxy(t *testing.T, s Sender, servers int) *Proxy {
	t.Helper()
	p, err := New(Config{
		Sender: s, Quota: quota.NewBuckets(nil), Clock: time.Now, Log: &log.Logger{Handler: discard.New()},
		Retry: RetryLimit{Window: 10 * time.Second, Share: 0.1, Slack: 100}, UsageWindow: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	p.SetConfig(testConfig(t), now)
	if servers == 0 {
		p.configuredAt = now.Add(-discoveryTime) // the time to discover servers is over
	}
	var all []roster.Server
	for i := range servers {
		all = append(all, roster.Server{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 8, State: world.Ready})
	}
	p.SetServers(all, now)
	return p
}

func newRequest(path string) *Request {
	return &Request{ID: "r1", HasKey: true, Key: "k", Method: "POST", Host: "h", Path: path, URI: path, Arrived: time.Now(), CallerTimeout: 5 * time.Second}
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	thirdEvent  = "id: 3\ndata: c\n\n"
)

// Guards against requests that run twice although their route forbids it, refusals
// with a wrong cause, and responses that are resumed wrongly or look complete although
// they are truncated.
func TestAttempts(t *testing.T) {
	ok := scriptedResponse{status: 200, body: "x"}
	for _, c := range []struct {
		name      string
		path      string
		steps     []scriptedResponse
		status    int // 0 for a refusal
		body      string
		cause     Cause
		truncated bool
	}{
		{"answer", "/safe/", []scriptedResponse{ok}, 200, "x", 0, false},
		{"retry after an unsent request", "/unsafe/", []scriptedResponse{{err: errNotSent}, ok}, 200, "x", 0, false},
		{"retry after a rejection", "/unsafe/", []scriptedResponse{{status: 503, notRun: true}, ok}, 200, "x", 0, false},
		{"retry after another server answered", "/unsafe/", []scriptedResponse{{status: 421, wrongServer: true}, ok}, 200, "x", 0, false},
		{"all servers reject", "/unsafe/", []scriptedResponse{{status: 503, notRun: true}, {status: 503, notRun: true}, {status: 503, notRun: true}}, 0, "", Full, false},
		{"no retry of a lost unsafe request", "/unsafe/", []scriptedResponse{{err: errReset}}, 0, "", Lost, false},
		{"retry of a lost safe request", "/safe/", []scriptedResponse{{err: errReset}, ok}, 200, "x", 0, false},
		{"safe request lost twice", "/safe/", []scriptedResponse{{err: errReset}, {err: errReset}}, 0, "", Lost, false},
		{"lost, then rejected by all servers", "/safe/", []scriptedResponse{{err: errReset}, {status: 503, notRun: true}, {status: 503, notRun: true}}, 0, "", Lost, false},
		{"truncated response to an unsafe request", "/unsafe/", []scriptedResponse{{status: 200, body: "x", truncated: true}}, 0, "", Lost, false},
		{"truncated response to a safe request", "/safe/", []scriptedResponse{{status: 200, body: "x", truncated: true}, ok}, 200, "x", 0, false},
		{"error status for a safe request", "/safe/", []scriptedResponse{{status: 500, body: "f"}, ok}, 200, "x", 0, false},
		{"error status for an unsafe request", "/unsafe/", []scriptedResponse{{status: 500, body: "f"}}, 500, "f", 0, false},
		{"a 503 without the NotRun statement may have run", "/unsafe/", []scriptedResponse{{status: 503, body: "f"}}, 0, "", Lost, false},
		{"stream", "/stream/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent + secondEvent}}, 200, firstEvent + secondEvent, 0, false},
		{"truncated stream", "/stream/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent, truncated: true}}, 200, firstEvent, 0, true},
		{"stream that ends within an event", "/stream/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent + "id: 2\n"}}, 200, firstEvent, 0, true},
		{"truncated before the first event", "/stream/", []scriptedResponse{{status: 200, isEventStream: true, body: "id: 1\n", truncated: true}}, 0, "", Lost, false},
		{"resumed stream", "/resume/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent + "id: 2\nda", truncated: true}, {status: 200, isEventStream: true, body: secondEvent + thirdEvent}}, 200, firstEvent + secondEvent + thirdEvent, 0, false},
		{"resumed stream that repeats an event", "/resume/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent + secondEvent, truncated: true}, {status: 200, isEventStream: true, body: secondEvent + thirdEvent}}, 200, firstEvent + secondEvent + thirdEvent, 0, false},
		{"resumed stream that fails", "/resume/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent, truncated: true}, {status: 500, body: "f"}}, 200, firstEvent, 0, true},
		{"attempt limit of the route", "/resume/", []scriptedResponse{{status: 200, isEventStream: true, body: firstEvent, truncated: true}, {status: 200, isEventStream: true, body: secondEvent, truncated: true}}, 200, firstEvent + secondEvent, 0, true},
	} {
		s := &scriptedSender{responses: c.steps}
		p := newProxy(t, s, 3)
		w := httptest.NewRecorder()
		err := p.Serve(context.Background(), w, newRequest(c.path))
		var refusal *Refusal
		switch {
		case c.status == 0:
			if !errors.As(err, &refusal) || refusal.Cause != c.cause {
				t.Errorf("%s: error %v, want %v", c.name, err, c.cause)
			}
			if w.Body.Len() > 0 {
				t.Errorf("%s: %q was written before the refusal", c.name, w.Body)
			}
		case c.truncated != errors.Is(err, ErrTruncated) || !c.truncated && err != nil:
			t.Errorf("%s: error %v, want truncated %v", c.name, err, c.truncated)
		case w.Code != c.status || w.Body.String() != c.body:
			t.Errorf("%s: %d %q, want %d %q", c.name, w.Code, w.Body, c.status, c.body)
		}
		if len(s.attempts) != len(c.steps) {
			t.Errorf("%s: %d attempts, want %d", c.name, len(s.attempts), len(c.steps))
		}
	}
}

// Guards against a stream that is resumed after the wrong event or that gets the headers
// of the second server.
func TestResumedStreamGoesOn(t *testing.T) {
	s := &scriptedSender{responses: []scriptedResponse{
		{status: 200, isEventStream: true, body: firstEvent + secondEvent, truncated: true}, {status: 200, isEventStream: true, body: thirdEvent},
	}}
	p := newProxy(t, s, 2)
	w := httptest.NewRecorder()
	if err := p.Serve(context.Background(), w, newRequest("/resume/")); err != nil {
		t.Fatal(err)
	}
	if s.attempts[1].LastEventID != "2" || s.attempts[0].Server.ID == s.attempts[1].Server.ID {
		t.Errorf("resumed after %q at %s, first at %s", s.attempts[1].LastEventID, s.attempts[1].Server.ID, s.attempts[0].Server.ID)
	}
	if got := w.Header().Get("Signature"); got != s.attempts[0].Server.ID {
		t.Errorf("headers of %q, want those of %q", got, s.attempts[0].Server.ID)
	}
}

// Guards against serving unauthorised requests, and against sending requests that no
// server can run.
func TestRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*Request)
		servers int
		cause   Cause
	}{
		{"no route", func(r *Request) { r.Path = "/x/" }, 1, NoRoute},
		{"no key", func(r *Request) { r.Key = "" }, 1, NoKey},
		{"unknown key", func(r *Request) { r.Key = "z" }, 1, NoKey},
		{"no server", func(*Request) {}, 0, NoServer},
		{"larger than a server's memory", func(r *Request) { r.HasTokens, r.PromptTokens = true, 20_000 }, 1, NoServer},
		{"deadline has passed", func(r *Request) { r.Arrived = r.Arrived.Add(-time.Minute) }, 1, NoTime},
	} {
		p := newProxy(t, &scriptedSender{}, c.servers)
		r := newRequest("/safe/")
		c.change(r)
		var refusal *Refusal
		if err := p.Serve(context.Background(), httptest.NewRecorder(), r); !errors.As(err, &refusal) || refusal.Cause != c.cause {
			t.Errorf("%s: %v, want %v", c.name, err, c.cause)
		}
	}
}

// Guards against a request that waits without limit, or is refused at once, on a
// freshly started instance.
func TestWaitsForTheFirstConfiguration(t *testing.T) {
	p, err := New(Config{Sender: &scriptedSender{responses: []scriptedResponse{{status: 200}}}, Quota: quota.NewBuckets(nil), Clock: time.Now, Log: &log.Logger{Handler: discard.New()}})
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("/safe/")
	r.CallerTimeout = 30 * time.Millisecond
	var refusal *Refusal
	if err := p.Serve(context.Background(), httptest.NewRecorder(), r); !errors.As(err, &refusal) || refusal.Cause != NoConfig {
		t.Errorf("without a configuration: error %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")) }()
	now := time.Now()
	p.SetServers([]roster.Server{{ID: "e", Service: "s", Slots: 1, State: world.Ready}}, now)
	p.SetConfig(testConfig(t), now)
	if err := <-done; err != nil {
		t.Errorf("with a configuration: error %v", err)
	}
}

// Guards against refusals by a freshly started instance that does not know the backend
// servers yet.
func TestWaitsForTheFirstServer(t *testing.T) {
	p := newProxy(t, &scriptedSender{responses: []scriptedResponse{{status: 200}}}, 0)
	p.configuredAt = time.Now()
	done := make(chan error, 1)
	go func() { done <- p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")) }()
	time.Sleep(2 * serverPollInterval)
	p.SetServers([]roster.Server{{ID: "e", Service: "s", Slots: 1, State: world.Ready}}, time.Now())
	if err := <-done; err != nil {
		t.Errorf("with a server after a short wait: %v", err)
	}
}

// Guards against retries that multiply the load when all servers of a service fail.
func TestRetryBudget(t *testing.T) {
	steps := make([]scriptedResponse, 400)
	for i := range steps {
		steps[i] = scriptedResponse{status: 500}
	}
	s := &scriptedSender{responses: steps}
	p := newProxy(t, s, 3)
	p.cfg.Retry = RetryLimit{Window: 10 * time.Second, Share: 0.1, Slack: 5}
	for range 100 {
		_ = p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/"))
	}
	if got := len(s.attempts) - 100; got > 15 {
		t.Errorf("%d retries of 100 requests, want at most 15", got)
	}
}

// Guards against charging the retry budget for sends that reached no server: requests
// would be refused when many servers have crashed.
func TestUnreachedServersCostNoRetries(t *testing.T) {
	var steps []scriptedResponse
	for range 50 {
		steps = append(steps, scriptedResponse{err: errNotSent}, scriptedResponse{status: 200})
	}
	p := newProxy(t, &scriptedSender{responses: steps}, 8)
	p.cfg.Retry = RetryLimit{Window: 10 * time.Second, Share: 0.01, Slack: 0}
	for i := range 50 {
		if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/unsafe/")); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// Guards against usage that omits requests which a server had started when it crashed,
// or that counts requests which did not run or were still queued, or counts retries.
func TestUsage(t *testing.T) {
	ok := scriptedResponse{status: 200, body: "x"}
	for _, c := range []struct {
		name  string
		path  string
		steps []scriptedResponse
		want  float64
	}{
		{"answered", "/safe/", []scriptedResponse{ok}, 1},
		{"answered with a failure", "/unsafe/", []scriptedResponse{{status: 500}}, 1},
		{"reset before the first byte", "/unsafe/", []scriptedResponse{{err: errReset}}, 1},
		{"reset and answered by another server", "/safe/", []scriptedResponse{{err: errReset}, ok}, 1},
		{"not sent", "/unsafe/", slices.Repeat([]scriptedResponse{{err: errNotSent}}, 50), 0},
		{"never answered", "/unsafe/", []scriptedResponse{{hang: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProxy(t, &scriptedSender{responses: c.steps}, 3)
			p.cfg.UsageWindow = time.Hour // the requests fall into one or two windows
			r := newRequest(c.path)
			r.CallerTimeout = 200 * time.Millisecond
			_ = p.Serve(context.Background(), httptest.NewRecorder(), r)
			got := 0.0
			for _, w := range p.UsageWindows(time.Now()) {
				got += w.Counts["o"]
			}
			if got != c.want {
				t.Errorf("%v requests counted, want %v", got, c.want)
			}
		})
	}
}

// Guards against equal hashes of a part that follows different parts.
func TestChain(t *testing.T) {
	a := chainHashes([]Part{{"x", 300}, {"y", 300}, {"own", 10}})
	b := chainHashes([]Part{{"z", 300}, {"y", 300}, {"own", 10}})
	if a[1].Hash == b[1].Hash {
		t.Error("a part has the same hash after different parts")
	}
	if got := len(blocks(a)); got != 5 {
		t.Errorf("%d blocks, want 5", got)
	}
}

// Guards against one request that declares a huge prompt and thereby keeps a backend
// server from getting others for hours.
func TestHugePromptDoesNotBlockAServer(t *testing.T) {
	s := &scriptedSender{}
	for range 41 {
		s.responses = append(s.responses, scriptedResponse{status: 200, body: "ok"})
	}
	p := newProxy(t, s, 2)
	c := testConfig(t)
	c.Services[0].Engine = nil
	p.SetConfig(c, time.Now())
	now := time.Now()
	for i := range 41 {
		r := &Request{ID: fmt.Sprint(i), Method: "GET", Host: "h", Path: "/safe/", URI: "/safe/", Arrived: now, CallerTimeout: 5 * time.Second, HasKey: true, Key: "k"}
		if i == 0 {
			r.HasTokens, r.PromptTokens = true, 1<<30
		}
		if err := p.Serve(context.Background(), httptest.NewRecorder(), r); err != nil {
			t.Fatal(i, err)
		}
	}
	first, n := s.attempts[0].Server.ID, 0
	for _, a := range s.attempts[1:] {
		if a.Server.ID == first {
			n++
		}
	}
	if n < 5 {
		t.Errorf("%d of 40 requests reached the server of the huge one", n)
	}
}
