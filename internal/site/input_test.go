package site

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against invalid input that gets no error in the documented form, blocks other
// callers or uses unbounded memory.
func TestBadInput(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64() >> 32
	s := startSixNodes(t, seed, 3, stand.EngineConfig{Speed: 20})
	addr := s.CallerAddrs()[3]
	good := `{"model": "drafts", "prompt": "x", "max_tokens": 2}`
	long := strings.Repeat("x", 20<<10)
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"malformed JSON", "/v1/completions", `{"model": `, nil, 400, "badJson"},
		{"empty body", "/v1/completions", ``, nil, 400, "badJson"},
		{"array", "/v1/completions", `[1]`, nil, 400, "badJson"},
		{"two objects", "/v1/completions", good + good, nil, 400, "badJson"},
		{"wrong type", "/v1/completions", `{"model": "drafts", "prompt": "x", "max_tokens": "many"}`, nil, 400, "badJson"},
		{"number as model", "/v1/completions", `{"model": 4}`, nil, 400, "badJson"},
		{"null", "/v1/completions", `null`, nil, 400, "badField"},
		{"no prompt", "/v1/completions", `{"model": "drafts"}`, nil, 400, "badField"},
		{"negative length", "/v1/completions", `{"model": "drafts", "prompt": "x", "max_tokens": -1}`, nil, 400, "badField"},
		{"two answers", "/v1/completions", `{"model": "drafts", "prompt": "x", "n": 2}`, nil, 400, "badField"},
		{"message without role", "/v1/chat/completions", `{"model": "drafts", "messages": [{"content": "x"}]}`, nil, 400, "badField"},
		{"unknown model", "/v1/completions", `{"model": "plans", "prompt": "x"}`, nil, 404, "unknownModel"},
		{"plain service as model", "/v1/completions", `{"model": "orders", "prompt": "x"}`, nil, 404, "unknownModel"},
		{"unknown adapter", "/v1/completions", `{"model": "drafts:none", "prompt": "x"}`, nil, 503, "noCapacity"},
		{"unknown path", "/nothing", good, nil, 404, "unknownPath"},
		{"unknown own path", "/v1/nothing", good, nil, 404, "unknownPath"},
		{"unknown key", "/v1/completions", good, []string{"Authorization", "Bearer none"}, 401, "unknownKey"},
		{"organisation with keys by name", "/v1/completions", good, []string{"Authorization", "", "X-Organisation", "acme"}, 401, "unknownKey"},
		{"bad id", "/v1/completions", good, []string{"X-Request-Id", "a b"}, 400, "badHeader"},
		{"long id", "/v1/completions", good, []string{"X-Request-Id", long[:200]}, 400, "badHeader"},
		{"bad class", "/v1/completions", good, []string{"X-Class", "urgent"}, 400, "badHeader"},
		{"bad position", "/v1/completions", good, []string{"Last-Event-ID", "-1"}, 400, "badHeader"},
		{"bad key", "/orders", good, []string{"Idempotency-Key", "a b"}, 400, "badHeader"},
		{"large header", "/v1/completions", good, []string{"X-Long", long}, 431, "headersTooLarge"},
		{"large body", "/v1/completions", strings.Repeat(long, 500), nil, 413, "bodyTooLarge"},
		{"announcement", "/v1/backends/announce", `{"id": 4}`, nil, 400, "badJson"},
	} {
		status, h, body := tryPost(addr, c.path, c.body, c.headers...)
		var e struct {
			Error struct{ Message, Type, Code, Outcome string }
		}
		err := json.Unmarshal([]byte(body), &e)
		if status != c.status || e.Error.Code != c.code || h.Get("X-Outcome") != "not-run" || e.Error.Outcome != "not-run" || err != nil || e.Error.Type == "" {
			t.Errorf("%s: status %d, outcome %q: %.300s; want %d %s", c.name, status, h.Get("X-Outcome"), body, c.status, c.code)
		}
	}
	for _, c := range []struct{ name, raw, want string }{
		{"not HTTP", "hello\r\n\r\n", "400"},
		{"bad length", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n", "400"},
		{"both lengths", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "4"},
		{"bad chunk", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "4"},
		{"wrong method", "DELETE /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme-key\r\n\r\n", "405"},
	} {
		conn := dial(t, addr)
		_, _ = io.WriteString(conn, c.raw)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		if !strings.HasPrefix(resp.Status, c.want) || !json.Valid(b) || resp.Header.Get("X-Outcome") != "not-run" {
			t.Errorf("%s: %s: %s", c.name, resp.Status, b)
		}
	}
	t.Run("pipelined and half closed", func(t *testing.T) {
		conn := dial(t, addr)
		for i := range 3 {
			_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme-key\r\nX-Request-Id: pipe-%d\r\nContent-Length: %d\r\n\r\n%s", i, len(good), good)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		r := bufio.NewReader(conn)
		for i := range 3 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("response %d: %v", i, err)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			if id := resp.Header.Get("X-Request-Id"); err != nil || resp.StatusCode != 200 || id != fmt.Sprintf("pipe-%d", i) {
				t.Errorf("response %d: %s, id %q, %v", i, resp.Status, id, err)
			}
		}
	})
	t.Run("slow callers", func(t *testing.T) {
		for i := range 200 { // half of the callers send slowly, half do not read
			conn := dial(t, addr)
			if i%2 == 0 {
				_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n{")
				continue
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			_, _ = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme-key\r\n\r\n")
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		before := m.HeapAlloc
		for range 20 {
			if status, _, body := tryPost(addr, "/v1/completions", good); status != 200 {
				t.Errorf("status %d: %s", status, body)
			}
		}
		runtime.ReadMemStats(&m)
		if growth := int64(m.HeapAlloc) - int64(before); growth > 200<<20 {
			t.Errorf("200 slow callers use %d MB", growth>>20)
		}
	})
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// tryPost is like post, for requests that may be refused before they are fully read.
func tryPost(addr, path, body string, headers ...string) (int, http.Header, string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer acme-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	go func() { _ = req.Write(conn) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b)
}
