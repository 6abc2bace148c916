package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

const (
	maxRequestIDBytes = 128
	// reservedPrefix is the path prefix that plain services cannot use.
	reservedPrefix = "/v1/"
)

// call is one request of a caller, with the data that all handlers need.
type call struct {
	http *fasthttp.RequestCtx
	body []byte
	now  time.Time
	view *store.View
	org  decl.Organisation
	id   string // of the request
	// callerSetID is set if the caller chose the id and may send the request
	// again.
	callerSetID bool
	// forwarded is set if another cell has forwarded the request.
	forwarded bool
}

// handle serves all requests on the callers' listener.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.server.draining.Load() {
		ctx.SetConnectionClose()
	}
	body, f := e.readBody(ctx)
	defer body.Release()
	bodyUnread := f != nil
	if !bodyUnread {
		f = e.dispatch(ctx, body.Content())
	}
	if f == nil {
		return
	}
	e.count(f)
	f.write(ctx)
	if bodyUnread || e.server.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (e *Entry) dispatch(ctx *fasthttp.RequestCtx, body []byte) *failure {
	path := string(ctx.Path())
	switch path {
	case "/v1/addresses":
		return e.serveAddresses(ctx)
	case "/v1/backends/announce":
		return e.serveAnnounce(ctx, body)
	}
	c, f := e.newCall(ctx, body)
	if f != nil {
		return f
	}
	switch {
	case path == "/v1/completions":
		return e.servePost(c, false)
	case path == "/v1/chat/completions":
		return e.servePost(c, true)
	case path == "/v1/models":
		return serveModels(c)
	case strings.HasPrefix(path, "/v1/requests/"):
		return e.serveContinue(c, strings.TrimPrefix(path, "/v1/requests/"))
	case strings.HasPrefix(path, reservedPrefix):
		return notFound("unknownPath", "there is no "+path)
	}
	return e.servePlain(c, path)
}

// newCall authenticates the caller and checks that this instance may accept
// requests.
func (e *Entry) newCall(ctx *fasthttp.RequestCtx, body []byte) (*call, *failure) {
	now := e.cfg.Now()
	c := &call{http: ctx, now: now, body: body}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if !validID(id) {
		return nil, badRequest("badHeader", "X-Request-Id must have 1 to 128 visible ASCII characters")
	}
	c.id, c.callerSetID = id, id != ""
	c.forwarded = len(ctx.Request.Header.Peek(headerForwarded)) > 0
	if id == "" {
		c.id = newRequestID()
	}
	ctx.Response.Header.Set(headerRequestID, c.id)
	view, err := e.cfg.Configuration.Current(now)
	if err != nil {
		return nil, e.suggestOtherInstance(unavailable("notConfirmed", "this instance cannot confirm the configuration in force: "+err.Error()))
	}
	c.view = view
	org, f := authenticate(&view.Declaration, &ctx.Request.Header)
	if f != nil {
		return nil, f
	}
	c.org = org
	return c, nil
}

// suggestOtherInstance adds to a failure message that other instances may
// accept the request.
func (e *Entry) suggestOtherInstance(f *failure) *failure {
	f.message += "; ask /v1/addresses for another instance"
	return f
}

func validID(id string) bool {
	if len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return true
}

func newRequestID() string { return "req-" + strings.ToLower(rand.Text()) }

func authenticate(d *decl.Declaration, h *fasthttp.RequestHeader) (decl.Organisation, *failure) {
	unauthorized := &failure{
		status: fasthttp.StatusUnauthorized, errorType: "authentication_error", code: "unknownKey",
		message: "send the key of a declared organisation as a bearer token", outcome: outcomeNotRun,
	}
	if key, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer "); ok {
		if org, ok := d.OrganisationForKey(key); ok {
			return org, nil
		}
		return decl.Organisation{}, unauthorized // not a request without a key
	}
	if name := string(h.Peek(headerOrganisation)); name != "" {
		if org, ok := d.Organisation(name); ok && len(org.Keys) == 0 {
			return org, nil
		}
	}
	return decl.Organisation{}, unauthorized
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"` // field name that model clients expect
}

func serveModels(c *call) *failure {
	if f := requireMethod(c.http, fasthttp.MethodGet); f != nil {
		return f
	}
	b := modelsBody{Object: "list", Data: []modelBody{}}
	for _, s := range c.view.Declaration.Services {
		if s.Kind == decl.Model {
			b.Data = append(b.Data, modelBody{ID: s.Name, Object: "model", OwnedBy: "cranberrypath"})
		}
	}
	writeJSON(c.http, b)
	return nil
}

func requireMethod(ctx *fasthttp.RequestCtx, method string) *failure {
	if string(ctx.Method()) == method {
		return nil
	}
	return &failure{
		status: fasthttp.StatusMethodNotAllowed, errorType: "invalid_request_error", code: "badMethod",
		message: "use " + method, outcome: outcomeNotRun,
	}
}

// lastEventPosition returns the position up to which the caller has the answer.
func lastEventPosition(ctx *fasthttp.RequestCtx) (uint64, *failure) {
	h := string(ctx.Request.Header.Peek(headerLastEvent))
	if h == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(h, 10, 40)
	if err != nil {
		return 0, badRequest("badHeader", "Last-Event-ID must be a position, a whole number from 0")
	}
	return n, nil
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerOutcome, string(outcomeAnswered))
	ctx.SetBody(b)
}

// requestContext limits the time that a handler may spend on a request. The
// context does not end with the caller's connection, because an accepted
// request keeps running.
func (e *Entry) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.serveCtx, seconds(e.cfg.Settings.Limits.RequestSeconds))
}
