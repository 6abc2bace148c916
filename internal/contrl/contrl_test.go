package contrl_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/oprcli"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/world"
)

// The ignored goroutines belong to fasthttp: the worker pool of a server and the
// cleaner of a client end some seconds after they are closed, and the date and
// address cache goroutines run for the lifetime of the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const declaration = `{
	// a comment
	"services": [{"name": "m", "kind": "model", "version": "v1", "versions": ["v1", "v2"]}],
	"presets": [{"name": "calm"}, {"name": "peak"}]
}`

// memoryLog is an in-memory replicated log whose leader can change and whose
// responses can get lost.
type memoryLog struct {
	mu       sync.Mutex
	index    uint64
	term     uint64
	leader   *replica
	lossRand *rand.Rand // if set, drops some commands and responses at random
	stores   []*store.Store
}

type replica struct {
	g     *memoryLog
	store *store.Store
	addr  string
}

func (r *replica) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.leader != r {
		e := &contrl.NotLeader{}
		if r.g.leader != nil {
			e.Address = r.g.leader.addr
		}
		return nil, e
	}
	if r.g.lossRand != nil && r.g.lossRand.IntN(3) == 0 {
		return nil, errors.New("command lost")
	}
	r.g.index++
	var out []byte
	for _, st := range r.g.stores {
		out = st.Apply(r.g.index, cmd)
	}
	if r.g.lossRand != nil && r.g.lossRand.IntN(3) == 0 {
		return nil, errors.New("response lost")
	}
	return out, nil
}

func (r *replica) Barrier(context.Context) (uint64, error) { return r.store.Applied(), nil }

func (r *replica) Status() contrl.Status {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return contrl.Status{Term: r.g.term, Leads: r.g.leader == r, Members: []contrl.MemberStatus{{Node: "c0", Address: r.addr, Voter: true}}}
}

func (g *memoryLog) setLeader(r *replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = r
	g.term++
}

// startServers returns a log, its replicas and the operator addresses of their servers.
func startServers(t *testing.T, n int, operators map[string]string) (*memoryLog, []*replica, []string) {
	t.Helper()
	g := &memoryLog{}
	var replicas []*replica
	var addrs []string
	for i := range n {
		node, err := link.Listen(link.Config{Node: fmt.Sprint("c", i), Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close() })
		r := &replica{g: g, store: store.New(), addr: node.Addr()}
		g.stores = append(g.stores, r.store)
		s, err := contrl.NewServer(contrl.Config{
			Node: fmt.Sprint("c", i), Listen: "127.0.0.1:0", Operators: operators, Net: node, Log: r, Store: r.store,
			Events: func(_ context.Context, f event.Filter) ([]event.Event, error) {
				return f.Apply([]event.Event{{Kind: "a"}, {Kind: "b", Move: "x"}}), nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		})
		replicas, addrs = append(replicas, r), append(addrs, s.Addr())
	}
	g.setLeader(replicas[0])
	return g, replicas, addrs
}

func newClient(t *testing.T, token string, addrs ...string) *oprcli.Client {
	c := oprcli.New(addrs, token)
	t.Cleanup(c.Close)
	return c
}

func errorCode(err error) string {
	var refusal *oprcli.Refused
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return fmt.Sprint(err)
}

// Guards against a follower that loses or repeats a command, and against a
// client and a server that implement the API differently.
func TestOperatorsThroughAFollower(t *testing.T) {
	_, _, addrs := startServers(t, 2, nil)
	ctx, c := context.Background(), newClient(t, "", addrs[1])
	c.Operator = "anna"
	first, err := c.Apply(ctx, "1", 0, "d.json", []byte(declaration))
	if err != nil {
		t.Fatal(err)
	}
	if again, err := c.Apply(ctx, "1", 0, "d.json", []byte(declaration)); err != nil || again != first {
		t.Fatalf("the repeat got %+v, %v, want %+v", again, err, first)
	}
	var refusal *oprcli.Refused
	if _, err := c.Apply(ctx, "2", 0, "d.json", []byte(declaration)); !errors.As(err, &refusal) || refusal.Code != "conflict" ||
		refusal.By != "anna" || refusal.Version != first.Version || refusal.At.IsZero() {
		t.Fatalf("got %+v, want a conflict that names the winner", err)
	}
	next := strings.Replace(declaration, `["v1", "v2"]`, `["v1", "v2", "v3"]`, 1)
	d, err := c.Diff(ctx, "d.json", []byte(next))
	if err != nil || len(d.Changes) != 1 || d.Changes[0].Path != "services.m.versions" || d.Version != first.Version {
		t.Fatalf("got %+v, %v", d, err)
	}
	if _, err := c.SetPreset(ctx, "3", "peak", 0); err != nil {
		t.Fatal(err)
	}
	move, err := c.StartMove(ctx, "4", "m", "v2", time.Now().Add(time.Hour))
	if err != nil || move.Move == nil || move.Move.ID != "anna.4" {
		t.Fatalf("got %+v, %v", move, err)
	}
	s, err := c.Status(ctx)
	if err != nil || s.Preset != "peak" || s.Services[0].Move == nil || s.Services[0].Shares["v1"] != 1 {
		t.Fatalf("got %+v, %v", s, err)
	}
	if _, err := c.TakeBack(ctx, "5", "anna.4", "slow"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.TakeBack(ctx, "6", "anna.4", "slow"); errorCode(err) != "moveEnded" {
		t.Fatalf("got %v, want moveEnded", err)
	}
	finalMove, err := c.Move(ctx, "anna.4")
	if all, lerr := c.Moves(ctx); err != nil || lerr != nil || len(all) != 1 || finalMove.Outcome != "takenBack" || finalMove.EndedBy != "anna" {
		t.Fatalf("got %+v, %+v, %v, %v", finalMove, all, err, lerr)
	}
	if ev, err := c.Events(ctx, oprcli.EventFilter{Move: "x"}); err != nil || len(ev) != 1 || ev[0].Kind != "b" {
		t.Fatalf("got %+v, %v", ev, err)
	}
	if m, err := c.Members(ctx); err != nil || len(m.Members) != 1 || m.Leads {
		t.Fatalf("got %+v, %v", m, err)
	}
	if got, err := c.Declaration(ctx); err != nil || got.Version != first.Version || !strings.Contains(string(got.Declaration), `"v2"`) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// Guards against commands that run twice or not at all while responses are lost
// and the leader changes.
func TestLostAnswers(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	g, replicas, addrs := startServers(t, 2, nil)
	g.lossRand = rand.New(rand.NewPCG(seed, 0))
	c, ctx := newClient(t, "", addrs...), context.Background()
	if _, err := c.Apply(ctx, "a", 0, "", []byte(declaration)); err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		id := fmt.Sprint("m", i)
		if _, err := c.StartMove(ctx, id, "m", "v2", time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		g.setLeader(replicas[i%2])
		if _, err := c.TakeBack(ctx, "t"+id, "local."+id, ""); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(replicas[1].store.View().Moves); got != 6 {
		t.Fatalf("%d moves, want 6", got)
	}
}

// Guards against accepting unauthorized requests, requests without a command ID,
// and invalid requests.
func TestRefusals(t *testing.T) {
	_, _, noTokens := startServers(t, 1, nil)
	_, _, withTokens := startServers(t, 1, map[string]string{"anna": "secret", "bert": ""})
	tests := []struct {
		name, addr, method, path string
		header                   [2]string
		host, body               string
		status                   int
		code                     string
	}{
		{"no token", withTokens[0], "GET", "/v1/status", [2]string{}, "", "", 401, "unauthorized"},
		{"wrong token", withTokens[0], "GET", "/v1/status", [2]string{"Authorization", "Bearer x"}, "", "", 401, "unauthorized"},
		{"empty token", withTokens[0], "GET", "/v1/status", [2]string{"Authorization", "Bearer "}, "", "", 401, "unauthorized"},
		{"right token", withTokens[0], "GET", "/v1/status", [2]string{"Authorization", "Bearer secret"}, "", "", 200, ""},
		{"foreign host", noTokens[0], "GET", "/v1/status", [2]string{}, "evil.example", "", 403, "forbidden"},
		{"no command id", noTokens[0], "PUT", "/v1/preset", [2]string{}, "", `{"preset":"calm"}`, 400, "commandId"},
		{"bad command id", noTokens[0], "PUT", "/v1/preset", [2]string{"Command-Id", "a/b"}, "", `{}`, 400, "commandId"},
		{"unknown key", noTokens[0], "PUT", "/v1/preset", [2]string{"Command-Id", "a"}, "", `{"presets":"calm"}`, 400, "body"},
		{"unknown preset", noTokens[0], "PUT", "/v1/preset", [2]string{"Command-Id", "a"}, "", `{"preset":"x"}`, 404, "unknown"},
		{"no expect", noTokens[0], "PUT", "/v1/declaration", [2]string{"Command-Id", "b"}, "", declaration, 400, "expect"},
		{"bad declaration", noTokens[0], "PUT", "/v1/declaration?expect=0", [2]string{"Command-Id", "b"}, "", `{"x":1}`, 422, "invalid"},
		{"unknown move", noTokens[0], "GET", "/v1/moves/x", [2]string{}, "", "", 404, "unknown"},
		{"unknown path", noTokens[0], "GET", "/v2/status", [2]string{}, "", "", 404, "path"},
		{"wrong method", noTokens[0], "DELETE", "/v1/status", [2]string{}, "", "", 405, "method"},
		{"bad time", noTokens[0], "GET", "/v1/events?from=today", [2]string{}, "", "", 400, "from"},
		{"long header", noTokens[0], "GET", "/v1/status", [2]string{"X", strings.Repeat("x", 20<<10)}, "", "", 431, "header"},
	}
	tr := &http.Transport{DisableKeepAlives: true}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, "http://"+tt.addr+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			if tt.header[0] != "" {
				req.Header.Set(tt.header[0], tt.header[1])
			}
			req.Host = tt.host
			resp, err := (&http.Client{Transport: tr}).Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var buf [4096]byte
			n, _ := resp.Body.Read(buf[:])
			if resp.StatusCode != tt.status || !strings.Contains(string(buf[:n]), `"code":"`+tt.code) == (tt.code != "") {
				t.Fatalf("got %d %s, want %d %q", resp.StatusCode, buf[:n], tt.status, tt.code)
			}
		})
	}
}

// Guards against controllers that run on two members in one term, that are not
// stopped, whose commands are accepted after a newer leader has started, and that
// send orders while the previous leader may still do so.
func TestLoopsFollowTheLeader(t *testing.T) {
	g, replicas, _ := startServers(t, 2, nil)
	type controllerStart struct {
		node int
		l    contrl.Leadership
	}
	started, stopped := make(chan controllerStart, 10), make(chan int, 10)
	now := time.Unix(1e9, 0)
	for i, r := range replicas {
		runner := contrl.NewRunner(contrl.LeadConfig{
			Node: fmt.Sprint("c", i), Log: r, Clock: func() time.Time { return now }, Lease: time.Second,
			Loops: []contrl.Loop{{Name: "fleet", Run: func(ctx context.Context, l contrl.Leadership) error {
				started <- controllerStart{i, l}
				<-ctx.Done()
				stopped <- i
				return nil
			}}},
		})
		defer runner.Close()
	}
	oldLeader := <-started
	if want := now.Add(1010 * time.Millisecond); oldLeader.node != 0 || oldLeader.l.Index == 0 || !oldLeader.l.OrdersAllowedAt.Equal(want) {
		t.Fatalf("got %+v, want node 0 and orders from %v", oldLeader, want)
	}
	g.setLeader(replicas[1])
	if n := <-stopped; n != 0 {
		t.Fatalf("controller of node %d ended, want node 0", n)
	}
	newLeader := <-started
	if newLeader.node != 1 || !oldLeader.l.Fencing.Less(newLeader.l.Fencing) {
		t.Fatalf("got %+v after %+v", newLeader, oldLeader)
	}
	staleCmd := store.Record(store.Controller{Origin: store.Origin{ID: "late", At: now}, Term: oldLeader.l.Term}, world.Instance{RequestID: "r"})
	_, err := newLeader.l.Propose(context.Background(), staleCmd)
	var refusal *store.Refusal
	if !errors.As(err, &refusal) || refusal.Code != store.Fenced {
		t.Fatalf("got %v, want the old leader's command to be fenced", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if oldLeader.l.Await(ctx, now) == nil || oldLeader.l.Await(context.Background(), now.Add(2*time.Second)) != nil {
		t.Fatal("want Await to fail with its context and to return once the time has come")
	}
}

// Guards against reading an oversized body to its end, and against an incomplete
// request that prevents the listener from closing.
func TestRawConnections(t *testing.T) {
	var conns []net.Conn
	t.Cleanup(func() { // after the server has closed
		for _, c := range conns {
			_ = c.Close()
		}
	})
	_, _, addrs := startServers(t, 1, nil)
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		return c
	}
	send("GET /v1/status HTTP/1.1\r\n")
	c := send("POST /v1/diff HTTP/1.1\r\nHost: localhost\r\nContent-Length: 5000000\r\n\r\n")
	var buf [200]byte
	n, err := c.Read(buf[:])
	if err != nil || !strings.HasPrefix(string(buf[:n]), "HTTP/1.1 413 ") {
		t.Fatalf("got %q, %v, want status 413", buf[:n], err)
	}
}
