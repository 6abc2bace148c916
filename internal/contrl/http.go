package contrl

import (
	"bytes"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/guard"
	"cranberrypath.example/cranberrypath/internal/store"
)

const (
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is many times the size of a declaration at the design scale.
	maxBodyBytes   = 4 << 20
	readTimeout    = 15 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxConnections = 256
	// shutdownTimeout limits how long Close waits for requests in progress.
	shutdownTimeout = requestTimeout + time.Second

	commandIDHeader = "Command-Id"
	operatorHeader  = "Operator"
	// defaultOperator is the operator name if no tokens are configured and the
	// request has no Operator header.
	defaultOperator = "local"
)

// idPattern matches valid Command-Id headers and operator names. The store
// prefixes a command ID with the operator's name, so that IDs of different
// operators cannot collide.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Server is the HTTP API for operators.
type Server struct {
	cfg      Config
	proposer *proposer
	http     *fasthttp.Server
	ln       *trackedListener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewServer starts the operator listener and handles commands forwarded by other members.
func NewServer(cfg Config) (*Server, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.Default()
	}
	raw, err := cfg.Guard.Listen(cfg.Listen, maxConnections)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ln := &trackedListener{Listener: raw, conns: map[*trackedConn]struct{}{}}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cfg: cfg, proposer: newProposer(cfg.Net, cfg.Log), ln: ln, ctx: ctx, cancel: cancel}
	s.http = &fasthttp.Server{
		Handler: s.serve, ErrorHandler: handleProtocolError, Name: "cranberrypath",
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, Concurrency: maxConnections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: httpLogger{},
	}
	guard.BoundFast(s.http)
	var listener net.Listener = ln
	if cfg.TLS != nil {
		listener = tls.NewListener(ln, cfg.TLS)
	}
	s.wg.Go(func() {
		if err := s.http.Serve(listener); err != nil {
			log.WithError(err).Error("operator listener failed")
		}
	})
	return s, nil
}

// httpLogger logs messages of fasthttp, which concern individual connections, at debug level.
type httpLogger struct{}

func (httpLogger) Printf(format string, args ...any) { log.Debugf(format, args...) }

// Addr returns the address of the operator listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close closes the listener and waits for requests in progress. Requests that
// have not arrived completely are dropped.
func (s *Server) Close() error {
	// fasthttp does not know the listener before Serve has started. Serve then fails at once
	// instead of waiting for connections that nobody ends.
	lnErr := s.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	done := make(chan struct{})
	s.wg.Go(func() {
		for {
			s.ln.endReads()
			select {
			case <-done:
				return
			case <-time.After(endReadsInterval):
			}
		}
	})
	err := s.http.ShutdownWithContext(ctx)
	close(done)
	s.cancel()
	s.wg.Wait()
	if err == nil || errors.Is(err, net.ErrClosed) { // of the listener, which is closed
		err = lnErr
	}
	return Error.Wrap(err)
}

// httpError is an error with an HTTP status and the error code of the API.
type httpError struct {
	status  int
	code    string
	message string
}

func (e *httpError) Error() string { return e.code + ": " + e.message }

func newHTTPError(status int, code, message string) error { return &httpError{status, code, message} }

type handler func(ctx context.Context, r *request) (any, error)

// request is an authenticated operator request.
type request struct {
	*fasthttp.RequestCtx
	operator string
	param    string // variable part of the path, such as a move ID
	body     []byte
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	operator, err := s.authenticate(c)
	if err != nil {
		writeError(c, err)
		return
	}
	h, param, err := s.route(string(c.Method()), string(c.Path()))
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := s.cfg.Guard.ReadFastReserved(c, maxBodyBytes, time.Now().Add(readTimeout))
	if err != nil {
		writeBodyError(c, err)
		return
	}
	defer body.Release()
	out, err := h(ctx, &request{c, operator, param, body.Content()})
	if err != nil {
		writeError(c, err)
		return
	}
	writeJSON(c, fasthttp.StatusOK, out)
}

func (s *Server) route(method, path string) (handler, string, error) {
	routes := []struct {
		method, prefix, suffix string
		h                      handler
	}{
		{"GET", "/v1/status", "", s.status},
		{"GET", "/v1/declaration", "", s.declaration},
		{"PUT", "/v1/declaration", "", s.apply},
		{"POST", "/v1/diff", "", s.diff},
		{"PUT", "/v1/preset", "", s.setPreset},
		{"GET", "/v1/moves", "", s.moves},
		{"POST", "/v1/moves", "", s.startMove},
		{"GET", "/v1/moves/", "*", s.move},
		{"POST", "/v1/moves/", "/takeBack", s.rollBack},
		{"GET", "/v1/events", "", s.events},
		{"GET", "/v1/members", "", s.members},
		{"PUT", "/v1/members/", "*", s.addMember},
		{"DELETE", "/v1/members/", "*", s.removeMember},
	}
	pathKnown := false
	for _, r := range routes {
		param, ok := strings.CutPrefix(path, r.prefix)
		switch r.suffix {
		case "":
			ok = ok && param == ""
		case "*":
			ok = ok && param != "" && !strings.HasSuffix(param, "/takeBack")
		default:
			param, ok = strings.CutSuffix(param, r.suffix)
			ok = ok && strings.HasPrefix(path, r.prefix)
		}
		if ok && r.method == method {
			return r.h, param, nil
		}
		pathKnown = pathKnown || ok
	}
	if pathKnown {
		return nil, "", newHTTPError(fasthttp.StatusMethodNotAllowed, "method", "the path has no method "+method)
	}
	return nil, "", newHTTPError(fasthttp.StatusNotFound, "path", "there is no path "+path)
}

// authenticate returns the name of the operator.
func (s *Server) authenticate(c *fasthttp.RequestCtx) (string, error) {
	if name, ok := certificateName(c); ok {
		return name, nil
	}
	if len(s.cfg.Operators) == 0 {
		return localName(c)
	}
	token, ok := bytes.CutPrefix(c.Request.Header.Peek("Authorization"), []byte("Bearer "))
	found := ""
	for name, want := range s.cfg.Operators {
		if ok && want != "" && subtle.ConstantTimeCompare(token, []byte(want)) == 1 {
			found = name
		}
	}
	if found == "" {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		return "", newHTTPError(fasthttp.StatusUnauthorized, "unauthorized", "want the bearer token of an operator")
	}
	return found, nil
}

// certificateName returns the common name of a verified client certificate, if it
// is a valid operator name.
func certificateName(c *fasthttp.RequestCtx) (string, bool) {
	state := c.TLSConnectionState()
	if state == nil || len(state.VerifiedChains) == 0 {
		return "", false
	}
	name := state.PeerCertificates[0].Subject.CommonName
	return name, idPattern.MatchString(name)
}

// localName returns the operator name of a loopback request. The Host header must
// be loopback too, because a web page in the operator's browser could reach this
// listener through a DNS name of its own.
func localName(c *fasthttp.RequestCtx) (string, error) {
	host := string(c.Host())
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	ip := net.ParseIP(strings.Trim(host, "[]"))
	if !c.RemoteIP().IsLoopback() || (host != "localhost" && (ip == nil || !ip.IsLoopback())) {
		return "", newHTTPError(fasthttp.StatusForbidden, "forbidden", "no operator tokens are set, so only loopback is accepted")
	}
	name := string(c.Request.Header.Peek(operatorHeader))
	if name == "" {
		return defaultOperator, nil
	}
	if !idPattern.MatchString(name) {
		return "", newHTTPError(fasthttp.StatusBadRequest, "operator", "want an operator name of 1 to 64 letters, digits, '_' and '-'")
	}
	return name, nil
}

// commandOrigin returns the origin of a mutating request, with its command ID.
func (s *Server) commandOrigin(r *request) (store.Origin, error) {
	id := string(r.Request.Header.Peek(commandIDHeader))
	if !idPattern.MatchString(id) {
		return store.Origin{}, newHTTPError(fasthttp.StatusBadRequest, "commandId",
			"want the header Command-Id with 1 to 64 letters, digits, '_' and '-', the same for a repeat")
	}
	return store.Origin{ID: r.operator + "." + id, By: r.operator, At: s.cfg.Clock().UTC()}, nil
}

// decode parses a JSON body and rejects unknown fields.
func decode(r *request, v any) error {
	d := json.NewDecoder(bytes.NewReader(r.body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return newHTTPError(fasthttp.StatusBadRequest, "body", err.Error())
	}
	return nil
}

func uintQueryParam(r *request, name string) (uint64, error) {
	n, err := strconv.ParseUint(string(r.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		return 0, newHTTPError(fasthttp.StatusBadRequest, name, "want a whole number in the query parameter "+name)
	}
	return n, nil
}

// errorResponse is the body of every error response.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    string      `json:"code"`
	Message string      `json:"message"`
	Version uint64      `json:"version,omitempty"`
	By      string      `json:"by,omitempty"`
	At      *time.Time  `json:"at,omitempty"`
	Move    *store.Move `json:"move,omitempty"`
}

func writeError(c *fasthttp.RequestCtx, err error) {
	var httpErr *httpError
	var refusal *store.RefusedError
	var unknownErr *outcomeUnknownError
	var noLeaderErr *noLeaderError
	switch {
	case errors.As(err, &httpErr):
		writeJSON(c, httpErr.status, errorResponse{errorBody{Code: httpErr.code, Message: httpErr.message}})
	case errors.As(err, &refusal):
		body := errorBody{Code: refusal.Code, Message: refusal.Message, Version: refusal.Version, By: refusal.By, Move: refusal.Move}
		if !refusal.At.IsZero() {
			body.At = &refusal.At
		}
		writeJSON(c, refusalStatus(refusal.Code), errorResponse{body})
	case errors.As(err, &unknownErr):
		writeJSON(c, fasthttp.StatusServiceUnavailable, errorResponse{errorBody{Code: "outcomeUnknown", Message: err.Error()}})
	case errors.As(err, &noLeaderErr):
		writeJSON(c, fasthttp.StatusServiceUnavailable, errorResponse{errorBody{Code: "notRun", Message: err.Error()}})
	default:
		writeJSON(c, fasthttp.StatusInternalServerError, errorResponse{errorBody{Code: "internal", Message: err.Error()}})
	}
}

func refusalStatus(code string) int {
	switch code {
	case store.Unknown:
		return fasthttp.StatusNotFound
	case store.Invalid:
		return fasthttp.StatusUnprocessableEntity
	}
	return fasthttp.StatusConflict
}

// writeBodyError answers a request whose body could not be read, which has had no effect.
func writeBodyError(c *fasthttp.RequestCtx, err error) {
	if guard.ErrFull.Has(err) {
		writeError(c, newHTTPError(fasthttp.StatusServiceUnavailable, "notRun", "this instance has no memory for the body"))
	} else {
		handleProtocolError(c, err)
	}
	c.SetConnectionClose()
}

// handleProtocolError answers requests that fasthttp could not read.
func handleProtocolError(c *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &smallBuffer):
		err = newHTTPError(fasthttp.StatusRequestHeaderFieldsTooLarge, "header", "the header exceeds "+strconv.Itoa(maxHeaderBytes)+" bytes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge), guard.ErrTooLarge.Has(err):
		err = newHTTPError(fasthttp.StatusRequestEntityTooLarge, "body", "the body exceeds "+strconv.Itoa(maxBodyBytes)+" bytes")
	case guard.ErrTooSlow.Has(err), errors.As(err, &netErr) && netErr.Timeout():
		err = newHTTPError(fasthttp.StatusRequestTimeout, "timeout", "the request did not arrive in time")
	default:
		err = newHTTPError(fasthttp.StatusBadRequest, "request", err.Error())
	}
	writeError(c, err)
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		log.WithError(err).Error("cannot encode response")
		status, b = fasthttp.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"the answer cannot be encoded"}}`)
	}
	// fasthttp keeps the response until the operator has read it. Only what changes nothing may
	// be refused now.
	if conn := guard.Of(c.Conn()); conn != nil && c.IsGet() && !conn.Charge(len(b)) {
		status, b = fasthttp.StatusServiceUnavailable, []byte(`{"error":{"code":"notRun","message":"this instance has no memory for the answer"}}`)
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}
