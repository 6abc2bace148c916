package backnd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// wholeResponse reports what a client took for a whole response.
type wholeResponse struct {
	status int
	body   string
}

// callers are the calls of the client that return a response of a server.
var callers = []struct {
	name string
	do   func(ctx context.Context, cl *Client, addr string) (wholeResponse, error)
}{
	{"Forward", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		resp, err := cl.Forward(ctx, addr, opaque("r1"))
		if err != nil {
			return wholeResponse{}, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return wholeResponse{resp.Status, string(b)}, err
	}},
	{"Call", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		resp, err := cl.Call(ctx, world.Backend{Address: addr}, Call{RequestID: "r1", Attempt: 1, Method: "POST", Path: "/"})
		if err != nil {
			return wholeResponse{}, err
		}
		defer resp.Close()
		b, err := io.ReadAll(resp)
		return wholeResponse{resp.Status, string(b)}, err
	}},
	{"Export", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		b, _, err := cl.Export(ctx, world.Backend{Address: addr}, "r1")
		return wholeResponse{200, string(b)}, err
	}},
	{"Cancel", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		_, err := cl.Cancel(ctx, world.Backend{Address: addr}, "r1", 1)
		return wholeResponse{200, ""}, err
	}},
	{"Order", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		_, err := cl.Order(ctx, world.Backend{Address: addr}, Order{ID: "r1"})
		return wholeResponse{200, ""}, err
	}},
	{"Generate", func(ctx context.Context, cl *Client, addr string) (wholeResponse, error) {
		s, err := cl.Generate(ctx, world.Backend{Address: addr}, GenerateRequest{RequestID: "r1"})
		if err != nil {
			return wholeResponse{}, err
		}
		defer s.Close()
		out := wholeResponse{status: 200}
		for {
			ev, err := s.Recv()
			if err != nil {
				return out, err
			}
			if out.body += strings.Join(ev.Tokens, ""); ev.Done {
				return out, nil
			}
		}
	}},
}

// Guards against responses that are taken for whole although the server stopped in them: in
// the head, in the body, in its framing, or after an interim response.
func TestResponsesThatStop(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Request-Id: r1\r\nX-Position: 3\r\n"
	const events = `{"pos":0,"tokens":["a","b"]}` + "\n" + `{"pos":2,"done":true,"reason":"stop"}` + "\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for _, r := range []struct{ name, text string }{
		{"length", head + "Content-Length: 5\r\n\r\nwhole"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("who") + chunk("le") + "0\r\n\r\n"},
		{"trailer", head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + chunk("whole") + "0\r\nX-T: a\r\n\r\n"},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole"},
		{"continue", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole"},
		{"bare line feeds", strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 5\n\nwhole"},
		{"no content", strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n"},
		{"JSON", head + "Content-Type: application/json\r\nContent-Length: 17\r\n\r\n" + `{"repeated":true}`},
		{"events", head + "Content-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events) + "0\r\n\r\n"},
	} {
		for _, call := range callers {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%v", r.name, call.name, reset), func(t *testing.T) {
					t.Parallel()
					answer := func(text string) (wholeResponse, error) {
						s := newConnServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
							if _, err := readRequest(br); err != nil {
								return
							}
							_, _ = io.WriteString(conn, text)
							if reset && len(text) < len(r.text) {
								_ = conn.(*net.TCPConn).SetLinger(0)
							}
							_ = conn.Close()
						})
						cl := New(Config{})
						defer cl.Close()
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						defer cancel()
						return call.do(ctx, cl, s.ln.Addr().String())
					}
					want, wantErr := answer(r.text)
					if want.status == 103 || want.status == 100 {
						t.Errorf("an interim response was taken for the response: %+v", want)
					}
					for n := range len(r.text) {
						// The end of the last event is known before that of its framing.
						if call.name == "Generate" && wantErr == nil && strings.Contains(r.text[:n], `"stop"}`) {
							continue
						}
						if got, err := answer(r.text[:n]); err == nil {
							t.Fatalf("%q was taken for the response %+v", r.text[:n], got)
						}
					}
				})
			}
		}
	}
}
