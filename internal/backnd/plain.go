package backnd

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Headers of the backend protocol.
const (
	headerNotRun    = "X-Not-Run"
	headerRequestID = "X-Request-Id"
	headerAttempt   = "X-Attempt"
)

// Header is an HTTP header field.
type Header struct{ Name, Value string }

// Call is a request to a plain service.
type Call struct {
	RequestID string
	Attempt   uint64 // from 1
	Method    string
	Path      string // with the query, unchanged
	Header    []Header
	Body      []byte
}

// Answer is the response to a Call. The outcome is known only after the body has
// been read to EOF. The answer must be closed.
type Answer struct {
	Status int
	Header []Header // without hop-by-hop headers
	Length int64    // of the body in bytes; -1 if unknown
	ctx    context.Context
	x      *exchange
}

// Call forwards a call to a server of a plain service. A response with any status
// is an Answer, unless the server guarantees that the call was not executed.
func (c *Client) Call(ctx context.Context, b world.Backend, call Call) (*Answer, error) {
	if !validTarget(call.Method, call.Path) {
		return nil, &CallError{Outcome: NotRun, Code: "badRequest", Err: Error.New("malformed method or path")}
	}
	x, err := c.roundTrip(ctx, b.Address, call.request(b.Address), c.cfg.MaxResponseBytes)
	if err != nil {
		return nil, err
	}
	if x.promisesNotRun() {
		return nil, x.statusError(ctx)
	}
	a := &Answer{Status: x.status, ctx: ctx, x: x, Length: int64(x.resp.Header.ContentLength())}
	for k, v := range x.resp.Header.All() {
		a.Header = append(a.Header, Header{string(k), string(v)})
	}
	a.Header = endToEndHeaders(a.Header, headerNotRun, headerRequestID, headerAttempt)
	return a, nil
}

// Read reads the body. An error other than io.EOF is a *CallError with outcome
// Unknown, because the answer is incomplete.
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
	for _, h := range endToEndHeaders(call.Header, headerRequestID, headerAttempt, "Expect") {
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

// validTarget prevents request smuggling: a method or path that ends the request
// line early could add a second request on a connection that other callers share.
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

// hopByHopHeaders apply to a single connection and are not forwarded. The length
// is computed again.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns the headers to forward, without those named in also.
func endToEndHeaders(all []Header, also ...string) []Header {
	drop := map[string]bool{}
	for _, n := range append(also, hopByHopHeaders...) {
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
