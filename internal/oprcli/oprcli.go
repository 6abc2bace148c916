// Package oprcli is the client of the operators' HTTP interface, for the command
// line. It is written from the page docs/contract-operators.md and shares no
// types with the server, so that the page stays true.
package oprcli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("operator client")

const (
	// tryTimeout bounds one attempt. It is longer than a control member takes to
	// find the leader after an election.
	tryTimeout = 10 * time.Second
	// retryPause is the pause after every address has failed once.
	retryPause = 300 * time.Millisecond
	// callTimeout applies if the context has no deadline.
	callTimeout   = 30 * time.Second
	responseBytes = 64 << 20
)

// Client talks to the control members. It is safe for concurrent use.
type Client struct {
	// Addresses (IP and port) of operators' listeners, tried in order.
	Addresses []string
	Token     string // bearer token; empty on loopback
	Operator  string // name on loopback; optional

	http   fasthttp.Client
	scheme string
}

// WithTLS makes the client speak HTTPS with the given configuration.
func (c *Client) WithTLS(cfg *tls.Config) *Client {
	n := New(c.Addresses, c.Token)
	n.Operator, n.scheme, n.http.TLSConfig = c.Operator, "https", cfg
	return n
}

// New returns a client of the given addresses.
func New(addresses []string, token string) *Client {
	return &Client{
		Addresses: addresses, Token: token, scheme: "http",
		http: fasthttp.Client{MaxResponseBodySize: responseBytes, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Refused is an error that the control node returned.
type Refused struct {
	Status  int
	Code    string    `json:"code"` // as listed on the page
	Message string    `json:"message"`
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Move    *Move     `json:"move"`
}

func (e *Refused) Error() string { return e.Code + ": " + e.Message }

// SetBy says who put something in force.
type SetBy struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// Move is a version move.
type Move struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	Share    float64   `json:"share"` // 0 to 1
	ShareAt  time.Time `json:"shareAt"`
	Outcome  string    `json:"outcome"` // "done", "takenBack" or empty while it runs
	Reason   string    `json:"reason"`
	Ended    time.Time `json:"ended"`
	By       string    `json:"by"`
	EndedBy  string    `json:"endedBy"`
	Version  uint64    `json:"version"`
}

// Result answers a command.
type Result struct {
	Command string `json:"command"`
	Version uint64 `json:"version"`
	Move    *Move  `json:"move"`
}

// Service is the state of one service.
type Service struct {
	Name      string             `json:"name"`
	Serving   string             `json:"serving"`
	Shares    map[string]float64 `json:"shares"`
	Move      *Move              `json:"move"`
	Instances map[string]int     `json:"instances"` // by phase
}

// Status is the state of the deployment.
type Status struct {
	Node        string    `json:"node"`
	Leader      string    `json:"leader"`
	Term        uint64    `json:"term"`
	Version     uint64    `json:"version"`
	Declaration SetBy     `json:"declaration"`
	Preset      string    `json:"preset"`
	PresetSet   SetBy     `json:"presetSet"`
	Services    []Service `json:"services"`
}

// Declaration is the declaration in force.
type Declaration struct {
	SetBy
	Declaration json.RawMessage `json:"declaration"`
}

// Change is one difference between the declaration in force and another.
type Change struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old"` // absent if added
	New  json.RawMessage `json:"new"` // absent if removed
}

// Diff lists the differences from the declaration in force.
type Diff struct {
	SetBy
	Changes []Change `json:"changes"`
}

// Event is one entry of the time line.
type Event struct {
	Stamp    uint64            `json:"stamp"`
	Time     time.Time         `json:"time"`
	Node     string            `json:"node"`
	Kind     string            `json:"kind"`
	Request  string            `json:"request"`
	Move     string            `json:"move"`
	Instance string            `json:"instance"`
	Detail   map[string]string `json:"detail"`
}

// EventFilter selects events. Empty fields select everything.
type EventFilter struct {
	Request, Move, Instance, Kind string
	From, Until                   time.Time
}

// Member is one member of the replicated log.
type Member struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Voter      bool   `json:"voter"`
	Match      uint64 `json:"match"`
}

// Members is the replicated log as the answering member sees it.
type Members struct {
	Node    string   `json:"node"`
	Leader  string   `json:"leader"`
	Leads   bool     `json:"leads"`
	Term    uint64   `json:"term"`
	Members []Member `json:"members"`
}

// NewCommandID returns an id for one command. Use the same one to repeat it.
func NewCommandID() string { return rand.Text() }

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.do(ctx, call{method: "GET", path: "/v1/status", out: &out})
}

// Declaration returns the declaration in force.
func (c *Client) Declaration(ctx context.Context) (Declaration, error) {
	var out Declaration
	return out, c.do(ctx, call{method: "GET", path: "/v1/declaration", out: &out})
}

// Apply puts the declaration in a file's text in force if the present one has
// the version expect. An error of code "conflict" says who was first.
func (c *Client) Apply(ctx context.Context, id string, expect uint64, file string, text []byte) (Result, error) {
	var out Result
	path := "/v1/declaration?expect=" + strconv.FormatUint(expect, 10) + "&file=" + url.QueryEscape(file)
	return out, c.do(ctx, call{method: "PUT", path: path, id: id, body: text, out: &out})
}

// Diff compares a declaration with the one in force.
func (c *Client) Diff(ctx context.Context, file string, text []byte) (Diff, error) {
	var out Diff
	return out, c.do(ctx, call{method: "POST", path: "/v1/diff?file=" + url.QueryEscape(file), body: text, out: &out})
}

// SetPreset puts a preset in force. expect is the version of the preset that the
// operator saw; 0 replaces any.
func (c *Client) SetPreset(ctx context.Context, id, preset string, expect uint64) (Result, error) {
	var out Result
	in := struct {
		Preset string `json:"preset"`
		Expect uint64 `json:"expect"`
	}{preset, expect}
	return out, c.do(ctx, call{method: "PUT", path: "/v1/preset", id: id, body: encode(in), out: &out})
}

// StartMove starts a version move that must end by the deadline.
func (c *Client) StartMove(ctx context.Context, id, service, to string, deadline time.Time) (Result, error) {
	var out Result
	in := struct {
		Service  string    `json:"service"`
		To       string    `json:"to"`
		Deadline time.Time `json:"deadline"`
	}{service, to, deadline}
	return out, c.do(ctx, call{method: "POST", path: "/v1/moves", id: id, body: encode(in), out: &out})
}

// Moves returns the running moves and the newest ended ones, oldest first.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	var out struct {
		Moves []Move `json:"moves"`
	}
	err := c.do(ctx, call{method: "GET", path: "/v1/moves", out: &out})
	return out.Moves, err
}

// Move returns one move.
func (c *Client) Move(ctx context.Context, move string) (Move, error) {
	var out Move
	return out, c.do(ctx, call{method: "GET", path: "/v1/moves/" + url.PathEscape(move), out: &out})
}

// TakeBack ends a move by taking it back.
func (c *Client) TakeBack(ctx context.Context, id, move, reason string) (Result, error) {
	var out Result
	in := struct {
		Reason string `json:"reason"`
	}{reason}
	return out, c.do(ctx, call{method: "POST", path: "/v1/moves/" + url.PathEscape(move) + "/takeBack", id: id, body: encode(in), out: &out})
}

// Events returns the part of the time line that passes f, oldest first.
func (c *Client) Events(ctx context.Context, f EventFilter) ([]Event, error) {
	q := url.Values{}
	args := []struct{ name, value string }{{"request", f.Request}, {"move", f.Move}, {"instance", f.Instance}, {"kind", f.Kind}}
	for _, a := range args {
		if a.value != "" {
			q.Set(a.name, a.value)
		}
	}
	if !f.From.IsZero() {
		q.Set("from", f.From.UTC().Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		q.Set("until", f.Until.UTC().Format(time.RFC3339Nano))
	}
	var out struct {
		Events []Event `json:"events"`
	}
	err := c.do(ctx, call{method: "GET", path: "/v1/events?" + q.Encode(), out: &out})
	return out.Events, err
}

// Members returns the members of the replicated log.
func (c *Client) Members(ctx context.Context) (Members, error) {
	var out Members
	return out, c.do(ctx, call{method: "GET", path: "/v1/members", out: &out})
}

// AddMember makes a node a member of the replicated log. It can be repeated.
func (c *Client) AddMember(ctx context.Context, node string) (Members, error) {
	var out Members
	return out, c.do(ctx, call{method: "PUT", path: "/v1/members/" + url.PathEscape(node), out: &out})
}

// RemoveMember ends the membership of a node. It can be repeated.
func (c *Client) RemoveMember(ctx context.Context, node string) (Members, error) {
	var out Members
	return out, c.do(ctx, call{method: "DELETE", path: "/v1/members/" + url.PathEscape(node), out: &out})
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

type call struct {
	method, path string
	id           string // of a command
	body         []byte
	out          any
}

// do sends the call until a member answers it for good or ctx ends. Repeats are
// safe because they carry the same command id.
func (c *Client) do(ctx context.Context, r call) error {
	if len(c.Addresses) == 0 {
		return Error.New("no address of a control member is set")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		var last error
		for _, addr := range c.Addresses {
			err := c.try(ctx, addr, r)
			var refused *Refused
			if err == nil || (errors.As(err, &refused) && refused.Status != fasthttp.StatusServiceUnavailable) {
				return err
			}
			last = err
			if ctx.Err() != nil {
				break
			}
		}
		t := time.NewTimer(retryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return last
		}
	}
}

func (c *Client) try(ctx context.Context, addr string, r call) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + "://" + addr + r.path)
	req.Header.SetMethod(r.method)
	req.SetBody(r.body)
	if r.body != nil {
		req.Header.SetContentType("application/json")
	}
	if r.id != "" {
		req.Header.Set("Command-Id", r.id)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" {
		req.Header.Set("Operator", c.Operator)
	}
	deadline := time.Now().Add(tryTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return Error.New("%s: %v", addr, err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return Error.Wrap(json.Unmarshal(resp.Body(), r.out))
	}
	var in struct {
		Error Refused `json:"error"`
	}
	if err := json.Unmarshal(resp.Body(), &in); err != nil || in.Error.Code == "" {
		return Error.New("%s: status %d without an error body", addr, resp.StatusCode())
	}
	in.Error.Status = resp.StatusCode()
	return Error.Wrap(&in.Error)
}
