package backnd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
	"cranberrypath.example/cranberrypath/internal/world"
)

var testTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const announcementJSON = `{"id":"e1","incarnation":2,"seq":9,"address":"127.0.0.1:4000","service":"plans","kind":"model",
"versions":["v1"],"adapters":["steel"],"role":"decode","dataCentre":"dc1","zone":"z1","machineClass":"big","reclaimable":true,
"price":1.5,"slots":8,"cacheBlocks":1000,"state":"leaving","leaveBy":"2026-03-01T08:00:30Z","later":"ignored",
"load":{"running":3,"waiting":1,"cacheUsed":0.5,"tokensPerSecond":90.5,"prefillMicrosPerToken":60,"ageMillis":400},
"cacheEvents":{"from":17,"full":false,"added":["00000000000000ff"],"removed":["fedcba9876543210"]}}`

// Guards against losing or misreading a field of an announcement.
func TestDecodeAnnouncement(t *testing.T) {
	a, err := DecodeAnnouncement([]byte(announcementJSON), testTime)
	if err != nil {
		t.Fatal(err)
	}
	b := a.Backend
	if b.ID != "e1" || b.Incarnation != 2 || b.State != world.Leaving || !b.LeaveBy.Equal(testTime.Add(30*time.Second)) ||
		!b.Runs("v1") || b.Slots != 8 || b.CacheBlocks != 1000 || b.Role != "decode" || !b.Reclaimable || a.Seq != 9 {
		t.Fatalf("backend %+v", a)
	}
	if l := a.Load; l.Running != 3 || l.PrefillPerToken != 60*time.Microsecond || !l.MeasuredAt.Equal(testTime.Add(-400*time.Millisecond)) {
		t.Fatalf("load %+v", l)
	}
	if a.CacheEvents.From != 17 || a.CacheEvents.Added[0] != 255 || a.CacheEvents.Removed[0] != 0xfedcba9876543210 || a.CacheEvents.Next() != 19 {
		t.Fatalf("cache events %+v", a.CacheEvents)
	}
}

// Guards against accepting an announcement with an invalid value.
func TestDecodeAnnouncementRefuses(t *testing.T) {
	tests := []struct{ old, new string }{
		{`"e1"`, `""`},
		{"127.0.0.1:4000", "host:4000"},
		{"leaving", "gone"},
		{`"model"`, `"modal"`},
		{`"slots":8`, `"slots":-8`},
		{`"cacheUsed":0.5`, `"cacheUsed":5`},
		{`"ageMillis":400`, `"ageMillis":-1`},
		{"00000000000000ff", "ff"},
		{"00000000000000ff", "+0000000000000ff"},
		{`"full":false`, `"full":true`},
	}
	for _, tt := range tests {
		if _, err := DecodeAnnouncement([]byte(strings.Replace(announcementJSON, tt.old, tt.new, 1)), testTime); err == nil {
			t.Errorf("%s instead of %s was accepted", tt.new, tt.old)
		}
	}
}

// Guards against numbers that change or overflow when other instances get them, and
// addresses that nobody can connect to.
func TestAnnouncementOutOfRange(t *testing.T) {
	for _, tt := range []struct{ old, new string }{
		{`"slots":8`, `"slots":4294967297`},
		{`"slots":8`, `"slots":1e300`},
		{`"cacheBlocks":1000`, `"cacheBlocks":4294967297`},
		{`"price":1.5`, `"price":1e300`},
		{`"running":3`, `"running":4294967297`},
		{`"waiting":1`, `"waiting":9223372036854775807`},
		{`"tokensPerSecond":90.5`, `"tokensPerSecond":1e300`},
		{`"prefillMicrosPerToken":60`, `"prefillMicrosPerToken":1e300`},
		{`"ageMillis":400`, `"ageMillis":9223372036854775807`},
		{`"from":17`, `"from":18446744073709551615`},
		{`"incarnation":2`, `"incarnation":18446744073709551615`},
		{`"seq":9`, `"seq":18446744073709551615`},
		{`:4000"`, `:0"`},
		{`:4000"`, `:65536"`},
		{`127.0.0.1:4000`, `0.0.0.0:4000`},
		{`127.0.0.1:4000`, `[fe80::1%eth0]:4000`},
		{`"later":"ignored"`, `"later":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000)},
		{`"plans"`, `"` + strings.Repeat("p", 300) + `"`},
		{`"v1"`, `"` + strings.Repeat("v", 300) + `"`},
	} {
		body := strings.Replace(announcementJSON, tt.old, tt.new, 1)
		if body == announcementJSON {
			t.Fatalf("%s is not part of the announcement", tt.old)
		}
		if a, err := DecodeAnnouncement([]byte(body), testTime); err == nil {
			t.Errorf("%.60s was accepted as %+v", tt.new, a)
		}
	}
}

func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(announcementJSON))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := DecodeAnnouncement(b, testTime)
		if err == nil && (a.Backend.ID == "" || a.Load.MeasuredAt.After(testTime) || a.Load.PrefillPerToken < 0 ||
			max(a.Backend.Slots, a.Backend.CacheBlocks, a.Load.Running, a.Load.Waiting) > maxCount || a.Seq > maxNumber || a.CacheEvents != nil && a.CacheEvents.Next() < a.CacheEvents.From) {
			t.Fatalf("accepted %+v", a)
		}
	})
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte(`{"pos":12,"tokens":["ab ","cd "]}`))
	f.Add([]byte(`{"pos":40,"done":true,"reason":"stop","usage":{"promptTokens":9}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := decodeEvent(b)
		if err == nil && (w.Pos < 0 || (!w.Done && w.Error == nil && len(w.Tokens) == 0)) {
			t.Fatalf("accepted %+v", w)
		}
	})
}

// cannedConn is a connection that returns a fixed response.
type cannedConn struct {
	net.Conn
	r io.Reader
}

func (c *cannedConn) Read(b []byte) (int, error)       { return c.r.Read(b) }
func (c *cannedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *cannedConn) Close() error                     { return nil }
func (c *cannedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *cannedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *cannedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *cannedConn) SetDeadline(time.Time) error      { return nil }
func (c *cannedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse checks that, for any response bytes, a stream's tokens have
// consecutive positions and a sent call is reported as not run only if the
// response has the X-Not-Run header.
func FuzzResponse(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"
	f.Add([]byte(head + `{"pos":0,"tokens":["a"]}` + "\n" + `{"pos":2,"tokens":["c"]}` + "\n" + `{"pos":1,"tokens":["b"]}` + "\n" + `{"pos":3,"done":true}` + "\n"))
	f.Add([]byte("HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := New(Config{Dial: func(context.Context, string) (net.Conn, error) { return &cannedConn{r: bytes.NewReader(b)}, nil }})
		defer func() { _ = c.Close() }()
		notRunHeader := bytes.Contains(bytes.ToLower(b), []byte("x-not-run"))
		s, err := c.Generate(context.Background(), world.Backend{Address: "x"}, GenerateRequest{RequestID: "r"})
		for next := 0; err == nil; {
			var ev Event
			if ev, err = s.Recv(); err == nil && ev.Pos != next {
				t.Fatalf("position %d after %d", ev.Pos, next)
			}
			next += len(ev.Tokens)
		}
		if OutcomeOf(err) == NotRun && !notRunHeader {
			t.Fatalf("not run without X-Not-Run: %v", err)
		}
		a, err := c.Call(context.Background(), world.Backend{Address: "x"}, Call{Method: "GET", Path: "/"})
		if err == nil {
			_, err = io.Copy(io.Discard, a)
			_ = a.Close()
		}
		if OutcomeOf(err) == NotRun && !notRunHeader {
			t.Fatalf("not run without X-Not-Run: %v", err)
		}
	})
}

// FuzzRequest checks that no method, path or header of a caller can turn a call
// into more than one request.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/a?b", "X-A", "1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
	f.Add("GET", "/a HTTP/1.1\r\n\r\nGET /b", "Transfer-Encoding", "chunked")
	f.Fuzz(func(t *testing.T, method, path, name, value string) {
		if !validTarget(method, path) {
			return
		}
		var out bytes.Buffer
		call := Call{RequestID: "r", Attempt: 1, Method: method, Path: path, Header: []Header{{name, value}}, Body: []byte("body")}
		if _, err := call.request("x").WriteTo(&out); err != nil {
			return
		}
		head, body, _ := strings.Cut(out.String(), "\r\n\r\n")
		if body != "body" || strings.Contains(strings.ToLower(head), "\r\ntransfer-encoding:") {
			t.Fatalf("request %q", out.String())
		}
	})
}

func benchmarkAnnouncement(b *testing.B, prompts int) {
	e, err := stand.NewEngine(stand.EngineConfig{Spec: stand.Spec{ID: "engine-17", Service: "plans", Versions: []string{"v1"}, DataCentre: "dc1"}, CacheBlocks: 10_000})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = e.Close() }()
	e.WarmCache(strings.Repeat("0123456789abcdef", 4*prompts), time.Now())
	body := e.NextAnnouncement(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeAnnouncement(body, testTime); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "wire-bytes")
}

func BenchmarkDecodeAnnouncement(b *testing.B)           { benchmarkAnnouncement(b, 0) }
func BenchmarkDecodeAnnouncement100Blocks(b *testing.B)  { benchmarkAnnouncement(b, 100) }
func BenchmarkDecodeAnnouncement1000Blocks(b *testing.B) { benchmarkAnnouncement(b, 1000) }

func BenchmarkEncodeReply(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		EncodeReply(AnnounceReply{AnnounceTo: "127.0.0.1:4000", Interval: time.Second})
	}
}

func BenchmarkDecodeEvent(b *testing.B) {
	line := []byte(`{"pos":1234,"tokens":["kalo4f "]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeEvent(line); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(line)+1), "wire-bytes")
}

// Measures the cost per event of a stream of single-token events, without a
// network.
func BenchmarkStreamEvent(b *testing.B) {
	const events = 1000
	var resp bytes.Buffer
	resp.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := range events {
		line := fmt.Sprintf("{\"pos\":%d,\"tokens\":[\"kalo4f \"]}\n", i)
		fmt.Fprintf(&resp, "%x\r\n%s\r\n", len(line), line)
	}
	b.ReportMetric(float64(resp.Len())/events, "wire-bytes")
	c := New(Config{Dial: func(context.Context, string) (net.Conn, error) {
		return &cannedConn{r: bytes.NewReader(resp.Bytes())}, nil
	}})
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	for n := 0; n < b.N; n += events {
		s, err := c.Generate(context.Background(), world.Backend{Address: "x"}, GenerateRequest{RequestID: "r"})
		if err != nil {
			b.Fatal(err)
		}
		for range events {
			if _, err := s.Recv(); err != nil {
				b.Fatal(err)
			}
		}
		_ = s.Close()
	}
}

// Guards against modifying the caller's header list.
func TestEndToEndKeepsTheInput(t *testing.T) {
	in := []Header{{"Connection", "a, B"}, {"A", "1"}, {"b", "2"}, {"C", "3"}, {"te", "x"}}
	kept := slices.Clone(in)
	if out := endToEndHeaders(in); len(out) != 1 || out[0] != (Header{"C", "3"}) || !slices.Equal(in, kept) {
		t.Fatalf("kept %v of %v", out, in)
	}
}
