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

// step is what a server does with one attempt.
type step struct {
	err    error
	status int
	notRun bool
	other  bool
	events bool
	body   string
	cut    bool // the body ends with an error instead of its end
	hang   bool // nothing comes until the attempt is cancelled
}

var (
	errNotSent = &backnd.CallError{Outcome: backnd.NotRun, Err: errors.New("refused connection")}
	errReset   = &backnd.CallError{Outcome: backnd.Unknown, Err: errors.New("reset")}
)

// script is a Sender that plays steps in order and records the attempts.
type script struct {
	mu    sync.Mutex
	steps []step
	sent  []Attempt
}

func (s *script) Send(ctx context.Context, _ *Request, a Attempt) (*Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) == len(s.steps) {
		return nil, fmt.Errorf("attempt %d was not expected", len(s.sent)+1)
	}
	x := s.steps[len(s.sent)]
	s.sent = append(s.sent, a)
	if x.err != nil {
		return nil, x.err
	}
	if x.hang {
		<-ctx.Done()
		return nil, &backnd.CallError{Outcome: backnd.Unknown, Err: ctx.Err()}
	}
	body := io.Reader(strings.NewReader(x.body))
	if x.cut {
		body = io.MultiReader(body, broken{})
	}
	return &Response{
		Status: x.status, Header: http.Header{"Signature": {a.Server.ID}}, Length: -1, Body: io.NopCloser(body),
		NotRun: x.notRun, Other: x.other, Events: x.events,
	}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func testConfig(t *testing.T) *routes.Config {
	t.Helper()
	r := func(name string, k routes.Kind, resume bool) routes.Route {
		return routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: k, Timeout: 5 * time.Second, Target: time.Second, Attempts: 2,
			Resume: resume, Shares: []routes.Share{{Service: "s", Weight: 1}},
		}
	}
	c, err := routes.New(routes.Config{
		Version:  1,
		Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 8, MemoryTokens: 10_000}}},
		Routes: []routes.Route{
			r("safe", routes.Safe, false), r("unsafe", routes.Unsafe, false), r("stream", routes.Stream, false), r("resume", routes.Stream, true),
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
		p.begun = now.Add(-startTime) // it knows that there are none
	}
	var all []roster.Server
	for i := range servers {
		all = append(all, roster.Server{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 8, State: world.Ready})
	}
	p.SetServers(all, now)
	return p
}

func request(path string) *Request {
	return &Request{ID: "r1", Key: "k", Method: "POST", Host: "h", Path: path, Target: path, Arrived: time.Now(), Patience: 5 * time.Second}
}

const (
	one   = "id: 1\ndata: a\n\n"
	two   = "id: 2\ndata: b\n\n"
	three = "id: 3\ndata: c\n\n"
)

// Guards against requests that run twice though they may not, refusals that are
// not true, and answers that are joined wrongly or look complete when they are not.
func TestAttempts(t *testing.T) {
	ok := step{status: 200, body: "x"}
	for _, c := range []struct {
		name   string
		path   string
		steps  []step
		status int // 0 for a refusal or a broken answer
		body   string
		cause  Cause
		broken bool
	}{
		{"answer", "/safe/", []step{ok}, 200, "x", 0, false},
		{"not sent goes elsewhere", "/unsafe/", []step{{err: errNotSent}, ok}, 200, "x", 0, false},
		{"refused goes elsewhere", "/unsafe/", []step{{status: 503, notRun: true}, ok}, 200, "x", 0, false},
		{"another server at the address", "/unsafe/", []step{{status: 421, other: true}, ok}, 200, "x", 0, false},
		{"all refuse", "/unsafe/", []step{{status: 503, notRun: true}, {status: 503, notRun: true}, {status: 503, notRun: true}}, 0, "", Full, false},
		{"lost unsafe request", "/unsafe/", []step{{err: errReset}}, 0, "", Lost, false},
		{"lost safe request", "/safe/", []step{{err: errReset}, ok}, 200, "x", 0, false},
		{"safe request lost twice", "/safe/", []step{{err: errReset}, {err: errReset}}, 0, "", Lost, false},
		{"lost, then all refuse", "/safe/", []step{{err: errReset}, {status: 503, notRun: true}, {status: 503, notRun: true}}, 0, "", Lost, false},
		{"cut answer of an unsafe request", "/unsafe/", []step{{status: 200, body: "x", cut: true}}, 0, "", Lost, false},
		{"cut answer of a safe request", "/safe/", []step{{status: 200, body: "x", cut: true}, ok}, 200, "x", 0, false},
		{"failure of a safe request", "/safe/", []step{{status: 500, body: "f"}, ok}, 200, "x", 0, false},
		{"failure of an unsafe request", "/unsafe/", []step{{status: 500, body: "f"}}, 500, "f", 0, false},
		{"a refusal without the promise may have run", "/unsafe/", []step{{status: 503, body: "f"}}, 0, "", Lost, false},
		{"stream", "/stream/", []step{{status: 200, events: true, body: one + two}}, 200, one + two, 0, false},
		{"cut stream", "/stream/", []step{{status: 200, events: true, body: one, cut: true}}, 200, one, 0, true},
		{"stream that ends within an event", "/stream/", []step{{status: 200, events: true, body: one + "id: 2\n"}}, 200, one, 0, true},
		{"cut before the first event", "/stream/", []step{{status: 200, events: true, body: "id: 1\n", cut: true}}, 0, "", Lost, false},
		{"resumed stream", "/resume/", []step{{status: 200, events: true, body: one + "id: 2\nda", cut: true}, {status: 200, events: true, body: two + three}}, 200, one + two + three, 0, false},
		{"resumed stream that repeats an event", "/resume/", []step{{status: 200, events: true, body: one + two, cut: true}, {status: 200, events: true, body: two + three}}, 200, one + two + three, 0, false},
		{"resumed stream that fails", "/resume/", []step{{status: 200, events: true, body: one, cut: true}, {status: 500, body: "f"}}, 200, one, 0, true},
		{"not more attempts than allowed", "/resume/", []step{{status: 200, events: true, body: one, cut: true}, {status: 200, events: true, body: two, cut: true}}, 200, one + two, 0, true},
	} {
		s := &script{steps: c.steps}
		p := newProxy(t, s, 3)
		w := httptest.NewRecorder()
		err := p.Serve(context.Background(), w, request(c.path))
		var refusal *Refusal
		switch {
		case c.status == 0:
			if !errors.As(err, &refusal) || refusal.Cause != c.cause {
				t.Errorf("%s: error %v, want %v", c.name, err, c.cause)
			}
			if w.Body.Len() > 0 {
				t.Errorf("%s: %q was written before the refusal", c.name, w.Body)
			}
		case c.broken != errors.Is(err, ErrBroken) || !c.broken && err != nil:
			t.Errorf("%s: error %v, want broken %v", c.name, err, c.broken)
		case w.Code != c.status || w.Body.String() != c.body:
			t.Errorf("%s: %d %q, want %d %q", c.name, w.Code, w.Body, c.status, c.body)
		}
		if len(s.sent) != len(c.steps) {
			t.Errorf("%s: %d attempts, want %d", c.name, len(s.sent), len(c.steps))
		}
	}
}

// Guards against a stream that goes on from the wrong event or with the headers of
// another server.
func TestResumedStreamGoesOn(t *testing.T) {
	s := &script{steps: []step{
		{status: 200, events: true, body: one + two, cut: true}, {status: 200, events: true, body: three},
	}}
	p := newProxy(t, s, 2)
	w := httptest.NewRecorder()
	if err := p.Serve(context.Background(), w, request("/resume/")); err != nil {
		t.Fatal(err)
	}
	if s.sent[1].LastEvent != "2" || s.sent[0].Server.ID == s.sent[1].Server.ID {
		t.Errorf("resumed after %q at %s, first at %s", s.sent[1].LastEvent, s.sent[1].Server.ID, s.sent[0].Server.ID)
	}
	if got := w.Header().Get("Signature"); got != s.sent[0].Server.ID {
		t.Errorf("headers of %q, want those of %q", got, s.sent[0].Server.ID)
	}
}

// Guards against requests that are served although nothing allows them, and
// against ones that are sent although no server can run them.
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
		{"larger than a server's memory", func(r *Request) { r.HasTokens, r.Prompt = true, 20_000 }, 1, NoServer},
		{"time is over", func(r *Request) { r.Arrived = r.Arrived.Add(-time.Minute) }, 1, NoTime},
	} {
		p := newProxy(t, &script{}, c.servers)
		r := request("/safe/")
		c.change(r)
		var refusal *Refusal
		if err := p.Serve(context.Background(), httptest.NewRecorder(), r); !errors.As(err, &refusal) || refusal.Cause != c.cause {
			t.Errorf("%s: %v, want %v", c.name, err, c.cause)
		}
	}
}

// Guards against a request that waits for ever, or is refused at once, at an
// instance that has just started.
func TestWaitsForTheFirstConfiguration(t *testing.T) {
	p, err := New(Config{Sender: &script{steps: []step{{status: 200}}}, Quota: quota.NewBuckets(nil), Clock: time.Now, Log: &log.Logger{Handler: discard.New()}})
	if err != nil {
		t.Fatal(err)
	}
	r := request("/safe/")
	r.Patience = 30 * time.Millisecond
	var refusal *Refusal
	if err := p.Serve(context.Background(), httptest.NewRecorder(), r); !errors.As(err, &refusal) || refusal.Cause != NoConfig {
		t.Errorf("without a configuration: %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- p.Serve(context.Background(), httptest.NewRecorder(), request("/safe/")) }()
	now := time.Now()
	p.SetServers([]roster.Server{{ID: "e", Service: "s", Slots: 1, State: world.Ready}}, now)
	p.SetConfig(testConfig(t), now)
	if err := <-done; err != nil {
		t.Errorf("with a configuration: %v", err)
	}
}

// Guards against refusals at an instance that has just started and has not heard of
// the backend servers yet.
func TestWaitsForTheFirstServer(t *testing.T) {
	p := newProxy(t, &script{steps: []step{{status: 200}}}, 0)
	p.begun = time.Now()
	done := make(chan error, 1)
	go func() { done <- p.Serve(context.Background(), httptest.NewRecorder(), request("/safe/")) }()
	time.Sleep(2 * serverPause)
	p.SetServers([]roster.Server{{ID: "e", Service: "s", Slots: 1, State: world.Ready}}, time.Now())
	if err := <-done; err != nil {
		t.Errorf("with a server after a moment: %v", err)
	}
}

// Guards against retries that multiply the load when a service fails as a whole.
func TestRetryBudget(t *testing.T) {
	steps := make([]step, 400)
	for i := range steps {
		steps[i] = step{status: 500}
	}
	s := &script{steps: steps}
	p := newProxy(t, s, 3)
	p.cfg.Retry = RetryLimit{Window: 10 * time.Second, Share: 0.1, Slack: 5}
	for range 100 {
		_ = p.Serve(context.Background(), httptest.NewRecorder(), request("/safe/"))
	}
	if got := len(s.sent) - 100; got > 15 {
		t.Errorf("%d retries of 100 requests, want at most 15", got)
	}
}

// Guards against requests that are refused because many servers have crashed, although
// none of the sends before reached one.
func TestUnreachedServersCostNoRetries(t *testing.T) {
	var steps []step
	for range 50 {
		steps = append(steps, step{err: errNotSent}, step{status: 200})
	}
	p := newProxy(t, &script{steps: steps}, 8)
	p.cfg.Retry = RetryLimit{Window: 10 * time.Second, Share: 0.01, Slack: 0}
	for i := range 50 {
		if err := p.Serve(context.Background(), httptest.NewRecorder(), request("/unsafe/")); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// Guards against usage that leaves out requests which a server had begun when it
// crashed, counts those that did not run or still waited, or counts repeats.
func TestUsage(t *testing.T) {
	ok := step{status: 200, body: "x"}
	for _, c := range []struct {
		name  string
		path  string
		steps []step
		want  float64
	}{
		{"answered", "/safe/", []step{ok}, 1},
		{"answered with a failure", "/unsafe/", []step{{status: 500}}, 1},
		{"reset before the first byte", "/unsafe/", []step{{err: errReset}}, 1},
		{"reset and answered by another server", "/safe/", []step{{err: errReset}, ok}, 1},
		{"not sent", "/unsafe/", slices.Repeat([]step{{err: errNotSent}}, 50), 0},
		{"never answered", "/unsafe/", []step{{hang: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProxy(t, &script{steps: c.steps}, 3)
			p.cfg.UsageWindow = time.Hour // the counts stand in one window, or in two
			r := request(c.path)
			r.Patience = 200 * time.Millisecond
			_ = p.Serve(context.Background(), httptest.NewRecorder(), r)
			got := 0.0
			for _, w := range p.Windows(time.Now()) {
				got += w.Counts["o"]
			}
			if got != c.want {
				t.Errorf("%v requests are counted, want %v", got, c.want)
			}
		})
	}
}

// Guards against parts that are taken for the same although what stands before
// them differs.
func TestChain(t *testing.T) {
	a := chain([]Part{{"x", 300}, {"y", 300}, {"own", 10}})
	b := chain([]Part{{"z", 300}, {"y", 300}, {"own", 10}})
	if a[1].Hash == b[1].Hash {
		t.Error("the same part behind different ones has one hash")
	}
	if got := len(blocks(a)); got != 5 {
		t.Errorf("%d pieces, want 5", got)
	}
}
