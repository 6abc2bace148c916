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

	"cranberrypath.example/cranberrypath/internal/store"
)

const (
	headerBytes = 16 << 10
	// bodyBytes holds a declaration of the design scale many times over.
	bodyBytes    = 4 << 20
	readTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	idleTimeout  = 60 * time.Second
	connections  = 256
	// stopTimeout bounds how long Close waits for requests that run.
	stopTimeout = commandTimeout + time.Second

	headerCommand  = "Command-Id"
	headerOperator = "Operator"
	// localOperator is the name of an operator who gives none where no tokens are set.
	localOperator = "local"
)

// commandID is what a Command-Id may be. The store keeps it after the operator's
// name, so that operators cannot answer for each other.
var commandID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Server is the operators' HTTP interface.
type Server struct {
	cfg      Config
	proposer *proposer
	http     *fasthttp.Server
	ln       *trackedListener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewServer listens for operators and takes the commands that other members forward.
func NewServer(cfg Config) (*Server, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	raw, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ln := &trackedListener{Listener: raw, conns: map[*trackedConn]struct{}{}}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cfg: cfg, proposer: newProposer(cfg.Net, cfg.Log), ln: ln, ctx: ctx, cancel: cancel}
	s.http = &fasthttp.Server{
		Handler: s.serve, ErrorHandler: badRequest, Name: "cranberrypath",
		ReadBufferSize: headerBytes, MaxRequestBodySize: bodyBytes, Concurrency: connections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: httpLog{},
	}
	var serve net.Listener = ln
	if cfg.TLS != nil {
		serve = tls.NewListener(ln, cfg.TLS)
	}
	s.wg.Go(func() {
		if err := s.http.Serve(serve); err != nil {
			log.WithError(err).Error("the operators' listener ended")
		}
	})
	return s, nil
}

// httpLog takes the messages of fasthttp, which are about single connections.
type httpLog struct{}

func (httpLog) Printf(format string, args ...any) { log.Debugf(format, args...) }

// Addr returns the address of the operators' listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close lets the requests that have arrived finish and ends the listener. Requests
// of which only a part has arrived are dropped.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	done := make(chan struct{})
	s.wg.Go(func() {
		for {
			s.ln.endReads()
			select {
			case <-done:
				return
			case <-time.After(hurryEvery):
			}
		}
	})
	err := s.http.ShutdownWithContext(ctx)
	close(done)
	s.cancel()
	s.wg.Wait()
	return Error.Wrap(err)
}

// httpError is an error with its HTTP status and its code in the contract.
type httpError struct {
	status  int
	code    string
	message string
}

func (e *httpError) Error() string { return e.code + ": " + e.message }

func fail(status int, code, message string) error { return &httpError{status, code, message} }

type handler func(ctx context.Context, r *request) (any, error)

// request is one operator request after its sender is known.
type request struct {
	*fasthttp.RequestCtx
	operator string
	rest     string // of the path after the route
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(s.ctx, commandTimeout)
	defer cancel()
	operator, err := s.authenticate(c)
	if err != nil {
		writeError(c, err)
		return
	}
	h, rest, err := s.route(string(c.Method()), string(c.Path()))
	if err != nil {
		writeError(c, err)
		return
	}
	out, err := h(ctx, &request{c, operator, rest})
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
		{"POST", "/v1/moves/", "/takeBack", s.takeBack},
		{"GET", "/v1/events", "", s.events},
		{"GET", "/v1/members", "", s.members},
		{"PUT", "/v1/members/", "*", s.addMember},
		{"DELETE", "/v1/members/", "*", s.removeMember},
	}
	known := false
	for _, r := range routes {
		rest, ok := strings.CutPrefix(path, r.prefix)
		switch r.suffix {
		case "":
			ok = ok && rest == ""
		case "*":
			ok = ok && rest != "" && !strings.HasSuffix(rest, "/takeBack")
		default:
			rest, ok = strings.CutSuffix(rest, r.suffix)
			ok = ok && strings.HasPrefix(path, r.prefix)
		}
		if ok && r.method == method {
			return r.h, rest, nil
		}
		known = known || ok
	}
	if known {
		return nil, "", fail(fasthttp.StatusMethodNotAllowed, "method", "the path has no method "+method)
	}
	return nil, "", fail(fasthttp.StatusNotFound, "path", "there is no path "+path)
}

// authenticate returns the operator's name.
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
		return "", fail(fasthttp.StatusUnauthorized, "unauthorized", "want the bearer token of an operator")
	}
	return found, nil
}

// certificateName returns the common name of a verified client certificate.
func certificateName(c *fasthttp.RequestCtx) (string, bool) {
	state := c.TLSConnectionState()
	if state == nil || len(state.VerifiedChains) == 0 {
		return "", false
	}
	name := state.PeerCertificates[0].Subject.CommonName
	return name, commandID.MatchString(name)
}

// localName accepts loopback only, also in the Host header: a web page that the
// operator's browser shows could reach this listener under a name of its own.
func localName(c *fasthttp.RequestCtx) (string, error) {
	host := string(c.Host())
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	ip := net.ParseIP(strings.Trim(host, "[]"))
	if !c.RemoteIP().IsLoopback() || (host != "localhost" && (ip == nil || !ip.IsLoopback())) {
		return "", fail(fasthttp.StatusForbidden, "forbidden", "no operator tokens are set, so only loopback is accepted")
	}
	name := string(c.Request.Header.Peek(headerOperator))
	if name == "" {
		return localOperator, nil
	}
	if !commandID.MatchString(name) {
		return "", fail(fasthttp.StatusBadRequest, "operator", "want an operator name of 1 to 64 letters, digits, '_' and '-'")
	}
	return name, nil
}

// origin reads the command id of a request that changes something.
func (s *Server) origin(r *request) (store.Origin, error) {
	id := string(r.Request.Header.Peek(headerCommand))
	if !commandID.MatchString(id) {
		return store.Origin{}, fail(fasthttp.StatusBadRequest, "commandId",
			"want the header Command-Id with 1 to 64 letters, digits, '_' and '-', the same for a repeat")
	}
	return store.Origin{ID: r.operator + "." + id, By: r.operator, At: s.cfg.Clock().UTC()}, nil
}

// decode reads a JSON body strictly.
func decode(r *request, v any) error {
	d := json.NewDecoder(bytes.NewReader(r.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fail(fasthttp.StatusBadRequest, "body", err.Error())
	}
	return nil
}

func number(r *request, name string) (uint64, error) {
	n, err := strconv.ParseUint(string(r.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		return 0, fail(fasthttp.StatusBadRequest, name, "want a whole number in the query parameter "+name)
	}
	return n, nil
}

// wireError is the form of every error.
type wireError struct {
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
	var he *httpError
	var refused *store.Refusal
	var unknown *outcomeUnknown
	var none *noLeader
	switch {
	case errors.As(err, &he):
		writeJSON(c, he.status, wireError{errorBody{Code: he.code, Message: he.message}})
	case errors.As(err, &refused):
		body := errorBody{Code: refused.Code, Message: refused.Message, Version: refused.Version, By: refused.By, Move: refused.Move}
		if !refused.At.IsZero() {
			body.At = &refused.At
		}
		writeJSON(c, refusalStatus(refused.Code), wireError{body})
	case errors.As(err, &unknown):
		writeJSON(c, fasthttp.StatusServiceUnavailable, wireError{errorBody{Code: "outcomeUnknown", Message: err.Error()}})
	case errors.As(err, &none):
		writeJSON(c, fasthttp.StatusServiceUnavailable, wireError{errorBody{Code: "notRun", Message: err.Error()}})
	default:
		writeJSON(c, fasthttp.StatusInternalServerError, wireError{errorBody{Code: "internal", Message: err.Error()}})
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

// badRequest answers what fasthttp could not read.
func badRequest(c *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(err, &small):
		err = fail(fasthttp.StatusRequestHeaderFieldsTooLarge, "header", "the header exceeds "+strconv.Itoa(headerBytes)+" bytes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		err = fail(fasthttp.StatusRequestEntityTooLarge, "body", "the body exceeds "+strconv.Itoa(bodyBytes)+" bytes")
	case errors.As(err, &ne) && ne.Timeout():
		err = fail(fasthttp.StatusRequestTimeout, "timeout", "the request did not arrive in time")
	default:
		err = fail(fasthttp.StatusBadRequest, "request", err.Error())
	}
	writeError(c, err)
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		log.WithError(err).Error("an answer cannot be encoded")
		status, b = fasthttp.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"the answer cannot be encoded"}}`)
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}
