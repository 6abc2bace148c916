package backnd

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Headers of the contract.
const (
	headerNotRun    = "X-Not-Run"
	headerRequestID = "X-Request-Id"
	headerAttempt   = "X-Attempt"
)

// Header is one header line.
type Header struct{ Name, Value string }

// Call is a call of a plain service.
type Call struct {
	RequestID string
	Attempt   uint64 // from 1
	Method    string
	Path      string // with query, as the caller sent it
	Header    []Header
	Body      []byte
}

// Answer is the response to a Call. Its body must be read to the end before the
// outcome is known, and closed.
type Answer struct {
	Status int
	Header []Header // without hop-by-hop headers
	Length int64    // of the body in bytes; -1 if unknown
	ctx    context.Context
	x      *exchange
}

// Call forwards a call to a plain server. Every status is an answer, except a
// refusal that promises that the call did not run.
func (c *Client) Call(ctx context.Context, b world.Backend, call Call) (*Answer, error) {
	if !validTarget(call.Method, call.Path) {
		return nil, &CallError{Outcome: NotRun, Code: "badRequest", Err: Error.New("malformed method or path")}
	}
	x, err := c.roundTrip(ctx, b.Address, call.request(b.Address), c.cfg.MaxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if x.refusal() {
		return nil, x.refused(ctx)
	}
	a := &Answer{Status: x.status, ctx: ctx, x: x, Length: int64(x.resp.Header.ContentLength())}
	for k, v := range x.resp.Header.All() {
		a.Header = append(a.Header, Header{string(k), string(v)})
	}
	a.Header = endToEnd(a.Header, headerNotRun, headerRequestID, headerAttempt)
	return a, nil
}

// Read reads the body. An error other than io.EOF is a *CallError whose outcome
// is Unknown: the answer is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.x.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, a.x.fail(a.ctx, err)
}

// Close releases the connection.
func (a *Answer) Close() error { return a.x.Close() }

func (call Call) request(addr string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(call.Method)
	req.Header.SetRequestURI(call.Path)
	host := addr
	for _, h := range endToEnd(call.Header, headerRequestID, headerAttempt, "Expect") {
		if strings.EqualFold(h.Name, "Host") {
			host = h.Value
			continue
		}
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.SetHost(host)
	req.Header.Set(headerRequestID, call.RequestID)
	req.Header.Set(headerAttempt, strconv.FormatUint(call.Attempt, 10))
	req.SetBodyRaw(call.Body)
	return req
}

// validTarget keeps a caller from ending the request line early, which would
// let it send a second request on a connection that other callers use.
func validTarget(method, path string) bool {
	if method == "" || !strings.HasPrefix(path, "/") || method == fasthttp.MethodConnect {
		return false
	}
	for _, s := range []string{method, path} {
		for i := range len(s) {
			if s[i] <= ' ' || s[i] == 0x7f {
				return false
			}
		}
	}
	return true
}

// hopByHop are the headers that belong to one connection; lengths are set anew.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEnd(all []Header, also ...string) []Header {
	drop := map[string]bool{}
	for _, n := range append(also, hopByHop...) {
		drop[strings.ToLower(n)] = true
	}
	for _, h := range all {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for n := range strings.SplitSeq(h.Value, ",") {
			drop[strings.ToLower(strings.TrimSpace(n))] = true
		}
	}
	out := make([]Header, 0, len(all))
	for _, h := range all {
		if !drop[strings.ToLower(h.Name)] {
			out = append(out, h)
		}
	}
	return out
}

func headerValue(h *fasthttp.ResponseHeader, name string) string {
	for k, v := range h.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}
