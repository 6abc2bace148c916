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
	// ownPaths is the prefix that no plain service can have.
	ownPaths = "/v1/"
)

// call is one request of a caller with what every handler needs.
type call struct {
	http *fasthttp.RequestCtx
	body []byte
	now  time.Time
	view *store.View
	org  decl.Organisation
	id   string // of the request
	// named is set if the caller chose the id and may send it again.
	named bool
	// hop is set if another cell has forwarded the request.
	hop bool
}

// handle serves every request on the callers' listener.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.server.draining.Load() {
		ctx.SetConnectionClose()
	}
	body, release, f := e.readBody(ctx)
	defer release()
	unread := f != nil
	if !unread {
		f = e.dispatch(ctx, body)
	}
	if f == nil {
		return
	}
	e.count(f)
	f.write(ctx)
	if unread || e.server.draining.Load() {
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
	case strings.HasPrefix(path, ownPaths):
		return notFound("unknownPath", "there is no "+path)
	}
	return e.servePlain(c, path)
}

// newCall checks who calls and whether this instance may take requests.
func (e *Entry) newCall(ctx *fasthttp.RequestCtx, body []byte) (*call, *failure) {
	now := e.cfg.Now()
	c := &call{http: ctx, now: now, body: body}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if !validID(id) {
		return nil, badRequest("badHeader", "X-Request-Id must have 1 to 128 visible ASCII characters")
	}
	c.id, c.named = id, id != ""
	c.hop = len(ctx.Request.Header.Peek(headerForwarded)) > 0
	if id == "" {
		c.id = newRequestID()
	}
	ctx.Response.Header.Set(headerRequestID, c.id)
	view, err := e.cfg.Configuration.Current(now)
	if err != nil {
		return nil, e.elsewhere(unavailable("notConfirmed", "this instance cannot confirm the configuration in force: "+err.Error()))
	}
	c.view = view
	org, f := authenticate(&view.Declaration, &ctx.Request.Header)
	if f != nil {
		return nil, f
	}
	c.org = org
	return c, nil
}

// elsewhere adds to a refusal that other addresses may take the request.
func (e *Entry) elsewhere(f *failure) *failure {
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
	refused := &failure{
		status: fasthttp.StatusUnauthorized, kind: "authentication_error", code: "unknownKey",
		message: "send the key of a declared organisation as a bearer token", outcome: notRun,
	}
	if key, ok := strings.CutPrefix(string(h.Peek(fasthttp.HeaderAuthorization)), "Bearer "); ok {
		if org, ok := d.OrganisationForKey(key); ok {
			return org, nil
		}
	}
	if name := string(h.Peek(headerOrganisation)); name != "" {
		if org, ok := d.Organisation(name); ok && len(org.Keys) == 0 {
			return org, nil
		}
	}
	return decl.Organisation{}, refused
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"` // the name that model clients expect
}

func serveModels(c *call) *failure {
	if f := wantMethod(c.http, fasthttp.MethodGet); f != nil {
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

func wantMethod(ctx *fasthttp.RequestCtx, method string) *failure {
	if string(ctx.Method()) == method {
		return nil
	}
	return &failure{
		status: fasthttp.StatusMethodNotAllowed, kind: "invalid_request_error", code: "badMethod",
		message: "use " + method, outcome: notRun,
	}
}

// lastEvent reads the position up to which the caller has the answer.
func lastEvent(ctx *fasthttp.RequestCtx) (uint64, *failure) {
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
	ctx.Response.Header.Set(headerOutcome, string(answered))
	ctx.SetBody(b)
}

// requestContext bounds the time that a handler may work on a request. It does
// not end with the caller's connection, because an accepted request runs on.
func (e *Entry) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, seconds(e.cfg.Settings.Limits.RequestSeconds))
}
