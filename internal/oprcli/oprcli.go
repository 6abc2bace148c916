// Package oprcli implements a client of the operators' HTTP API for the command line.
// It follows the page docs/contract-operators.md and shares no types with the server,
// so that a difference between the server and the page shows up.
package oprcli

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/intact"
)

// Error is the class of this package's errors.
var Error = errs.Class("operator client")

const (
	// attemptTimeout is the timeout of one attempt. It is longer than a control member
	// takes to find the leader after an election.
	attemptTimeout = 10 * time.Second
	// dialTimeout leaves time for other members if one does not answer at all.
	dialTimeout = 3 * time.Second
	// retryDelay is the delay after an attempt failed at every address.
	retryDelay = 300 * time.Millisecond
	// requestTimeout is the longest time for one request with all its attempts.
	requestTimeout = 30 * time.Second
	// idleTimeout closes connections before members do.
	idleTimeout      = 10 * time.Second
	maxHeaderBytes   = 64 << 10 // of a response
	maxResponseBytes = 64 << 20
)

// Client sends requests to the control members. It is safe for concurrent use.
type Client struct {
	// Addresses holds the addresses (IP and port) of operators' listeners, tried in order.
	Addresses []string
	Token     string // bearer token; not needed on loopback
	Operator  string // operator's name on loopback; optional

	http   *http.Client
	scheme string
}

// WithTLS returns a copy of the client that uses HTTPS with the given configuration.
func (c *Client) WithTLS(cfg *tls.Config) *Client {
	return &Client{Addresses: c.Addresses, Token: c.Token, Operator: c.Operator, scheme: "https", http: newHTTPClient(cfg)}
}

// New returns a client for the given addresses.
func New(addresses []string, token string) *Client {
	return &Client{Addresses: addresses, Token: token, scheme: "http", http: newHTTPClient(nil)}
}

func newHTTPClient(cfg *tls.Config) *http.Client {
	return &http.Client{
		Transport: intact.NewTransport(&http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: cfg, DisableCompression: true,
			IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // members never redirect
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ResponseError is an error response of a control member.
type ResponseError struct {
	Status  int
	Code    string    `json:"code"` // see docs/contract-operators.md
	Message string    `json:"message"`
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Move    *Move     `json:"move"`
}

func (e *ResponseError) Error() string { return e.Code + ": " + e.Message }

// SetBy says who activated a version, and when.
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

// Result is the response to a command.
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

// Declaration is the active declaration.
type Declaration struct {
	SetBy
	Declaration json.RawMessage `json:"declaration"`
}

// Change is one difference between the active declaration and another one.
type Change struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old"` // absent if added
	New  json.RawMessage `json:"new"` // absent if removed
}

// Diff lists the differences from the active declaration.
type Diff struct {
	SetBy
	Changes []Change `json:"changes"`
}

// Event is one event of the time line.
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

// EventFilter selects events. Empty fields match all events.
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

// Members lists the members of the replicated log as known to the member that
// answered.
type Members struct {
	Node    string   `json:"node"`
	Leader  string   `json:"leader"`
	Leads   bool     `json:"leads"`
	Term    uint64   `json:"term"`
	Members []Member `json:"members"`
}

// NewCommandID returns an id for a new command. Repeat a command with the same id.
func NewCommandID() string { return rand.Text() }

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.send(ctx, request{method: "GET", path: "/v1/status", out: &out})
}

// Declaration returns the active declaration.
func (c *Client) Declaration(ctx context.Context) (Declaration, error) {
	var out Declaration
	return out, c.send(ctx, request{method: "GET", path: "/v1/declaration", out: &out})
}

// Apply activates the declaration in text if the active one has the version expect.
// An error with code "conflict" names the operator of the conflicting change.
func (c *Client) Apply(ctx context.Context, commandID string, expect uint64, file string, text []byte) (Result, error) {
	var out Result
	path := "/v1/declaration?expect=" + strconv.FormatUint(expect, 10) + "&file=" + url.QueryEscape(file)
	return out, c.send(ctx, request{method: "PUT", path: path, commandID: commandID, body: text, out: &out})
}

// Diff compares a declaration with the active one.
func (c *Client) Diff(ctx context.Context, file string, text []byte) (Diff, error) {
	var out Diff
	return out, c.send(ctx, request{method: "POST", path: "/v1/diff?file=" + url.QueryEscape(file), body: text, out: &out})
}

// SetPreset activates a preset if the active one has the version expect; 0 replaces
// any version.
func (c *Client) SetPreset(ctx context.Context, commandID, preset string, expect uint64) (Result, error) {
	var out Result
	in := struct {
		Preset string `json:"preset"`
		Expect uint64 `json:"expect"`
	}{preset, expect}
	return out, c.send(ctx, request{method: "PUT", path: "/v1/preset", commandID: commandID, body: mustMarshal(in), out: &out})
}

// StartMove starts a version move that must end by the deadline.
func (c *Client) StartMove(ctx context.Context, commandID, service, to string, deadline time.Time) (Result, error) {
	var out Result
	in := struct {
		Service  string    `json:"service"`
		To       string    `json:"to"`
		Deadline time.Time `json:"deadline"`
	}{service, to, deadline}
	return out, c.send(ctx, request{method: "POST", path: "/v1/moves", commandID: commandID, body: mustMarshal(in), out: &out})
}

// Moves returns the running moves and the most recently ended ones, oldest first.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	var out struct {
		Moves []Move `json:"moves"`
	}
	err := c.send(ctx, request{method: "GET", path: "/v1/moves", out: &out})
	return out.Moves, err
}

// Move returns one move.
func (c *Client) Move(ctx context.Context, move string) (Move, error) {
	var out Move
	return out, c.send(ctx, request{method: "GET", path: "/v1/moves/" + url.PathEscape(move), out: &out})
}

// RollBack ends a move by rolling it back.
func (c *Client) RollBack(ctx context.Context, commandID, move, reason string) (Result, error) {
	var out Result
	in := struct {
		Reason string `json:"reason"`
	}{reason}
	return out, c.send(ctx, request{method: "POST", path: "/v1/moves/" + url.PathEscape(move) + "/takeBack", commandID: commandID, body: mustMarshal(in), out: &out})
}

// Events returns the events of the time line that match f, oldest first.
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
	err := c.send(ctx, request{method: "GET", path: "/v1/events?" + q.Encode(), out: &out})
	return out.Events, err
}

// Members returns the members of the replicated log.
func (c *Client) Members(ctx context.Context) (Members, error) {
	var out Members
	return out, c.send(ctx, request{method: "GET", path: "/v1/members", out: &out})
}

// AddMember makes a node a member of the replicated log. The call is idempotent.
func (c *Client) AddMember(ctx context.Context, node string) (Members, error) {
	var out Members
	return out, c.send(ctx, request{method: "PUT", path: "/v1/members/" + url.PathEscape(node), out: &out})
}

// RemoveMember removes a node from the replicated log. The call is idempotent.
func (c *Client) RemoveMember(ctx context.Context, node string) (Members, error) {
	var out Members
	return out, c.send(ctx, request{method: "DELETE", path: "/v1/members/" + url.PathEscape(node), out: &out})
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: the types marshal without error
	}
	return b
}

type request struct {
	method, path string
	commandID    string // empty if the request is not a command
	body         []byte
	out          any
}

// send repeats the request until a member gives a final answer or ctx ends. Retries
// are safe because they carry the same command id.
func (c *Client) send(ctx context.Context, r request) error {
	if len(c.Addresses) == 0 {
		return Error.New("no address of a control member is set")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		var lastErr error
		for _, addr := range c.Addresses {
			err := c.attempt(ctx, addr, r)
			var respErr *ResponseError
			if err == nil || (errors.As(err, &respErr) && respErr.Status != http.StatusServiceUnavailable) {
				return err
			}
			lastErr = err
			if ctx.Err() != nil {
				break
			}
		}
		t := time.NewTimer(retryDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return lastErr
		}
	}
}

func (c *Client) attempt(ctx context.Context, addr string, r request) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.scheme+"://"+addr+r.path, bytes.NewReader(r.body))
	if err != nil {
		return Error.Wrap(err)
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.commandID != "" {
		req.Header.Set("Command-Id", r.commandID)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" {
		req.Header.Set("Operator", c.Operator)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.New("%s: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return Error.New("%s: %v", addr, err)
	case len(body) > maxResponseBytes:
		return Error.New("%s: response is larger than %d bytes", addr, maxResponseBytes)
	case resp.StatusCode == http.StatusOK:
		return Error.Wrap(json.Unmarshal(body, r.out))
	}
	var in struct {
		Error ResponseError `json:"error"`
	}
	if err := json.Unmarshal(body, &in); err != nil || in.Error.Code == "" {
		return Error.New("%s: status %d without an error body", addr, resp.StatusCode)
	}
	in.Error.Status = resp.StatusCode
	return Error.Wrap(&in.Error)
}
