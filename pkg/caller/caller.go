// Package caller is a client for callers of a deployment. A usual model client
// works too; this one also asks which addresses to use, continues a broken
// stream at another entry instance and never sends a call again that may have run.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

const (
	// maxErrorBytes bounds the error bodies that are read.
	maxErrorBytes = 64 << 10
	// askTimeout bounds the question for addresses at one instance.
	askTimeout = 2 * time.Second
	// defaultTries is how many instances are tried for one request.
	defaultTries = 8
	// firstPause is the pause before the second try; it doubles up to maxPause.
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Outcomes of a request, from the contract with callers.
const (
	Answered = "answer"
	NotRun   = "not-run" // safe to send again
	Unknown  = "unknown" // may have run
)

// Failure is an error response.
type Failure struct {
	Status     int
	Code       string
	Message    string
	Outcome    string
	RetryAfter time.Duration // zero if a new try makes no sense
}

func (f *Failure) Error() string {
	return "status " + strconv.Itoa(f.Status) + " " + f.Code + " (" + f.Outcome + "): " + f.Message
}

// Config sets up a Client.
type Config struct {
	// Seeds are callers' addresses of some entry instances (IP and port).
	Seeds []string
	Key   string // of the caller's organisation
	// DataCentre of the caller, so that near instances come first; optional.
	DataCentre string
	// Tries bounds the instances tried for one request; 8 if zero.
	Tries int
	// HTTP replaces the HTTP client. Its timeout must be longer than a stream.
	HTTP *http.Client
}

// Client sends requests to a deployment. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu    sync.Mutex
	addrs []string
	until time.Time // when the addresses must be asked for again
	next  int       // index of the address to use
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
	}
	c := &Client{cfg: cfg, http: cfg.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// address returns the address to use now.
func (c *Client) address(ctx context.Context, now time.Time) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && now.Before(c.until) {
		return c.addrs[c.next%len(c.addrs)], nil
	}
	var last error
	for _, seed := range append(append([]string{}, c.addrs...), c.cfg.Seeds...) {
		addrs, keep, err := c.ask(ctx, seed)
		if err != nil {
			last = err
			continue
		}
		c.addrs, c.until, c.next = addrs, now.Add(keep), 0
		return addrs[0], nil
	}
	if len(c.addrs) > 0 {
		return c.addrs[c.next%len(c.addrs)], nil
	}
	return "", Error.New("no entry instance told its addresses: %v", last)
}

func (c *Client) ask(ctx context.Context, seed string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodGet, seed, "/v1/addresses?dataCentre="+url.QueryEscape(c.cfg.DataCentre), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		KeepSeconds int `json:"keepSeconds"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	var out []string
	for _, a := range body.Addresses {
		out = append(out, a.Address)
	}
	if len(out) == 0 {
		return nil, 0, Error.New("%s named no addresses", seed)
	}
	return out, time.Duration(body.KeepSeconds) * time.Second, nil
}

// failed notes that an address did not serve, so that the next try uses another.
func (c *Client) failed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.next%len(c.addrs)] == addr {
		c.next++
	}
	if c.next >= len(c.addrs) {
		c.until = time.Time{} // all have failed; ask again
	}
}

func (c *Client) request(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = strings.NewReader(string(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Without GetBody the transport cannot send the request a second time by itself.
	req.GetBody = nil
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	return req, nil
}

// failureOf reads an error response.
func failureOf(resp *http.Response) *Failure {
	f := &Failure{Status: resp.StatusCode, Outcome: resp.Header.Get("X-Outcome")}
	if f.Outcome == "" {
		f.Outcome = Unknown
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.RetryAfter = time.Duration(n) * time.Second
	}
	var body struct {
		Error struct{ Code, Message string }
	}
	if json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body) == nil {
		f.Code, f.Message = body.Error.Code, body.Error.Message
	}
	return f
}

// wait pauses between tries: as long as the deployment asked, or a growing pause.
func wait(ctx context.Context, try int, f *Failure) error {
	d := min(firstPause<<min(try, 10), maxPause)
	if f != nil {
		d = max(d, f.RetryAfter)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Response is the answer of a plain service.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // the answer of an earlier run of the same key
}

// Call sends a call to a plain service. key is the idempotency key; with one,
// the call is repeated until its answer is known, since the deployment runs it
// at most once. Without one it is repeated only while it has not run. The error
// is a *Failure if the deployment refused the call.
func (c *Client) Call(ctx context.Context, method, path, key string, body []byte) (Response, error) {
	var last error
	for try := range c.cfg.Tries {
		addr, err := c.address(ctx, time.Now())
		if err != nil {
			return Response{}, err
		}
		resp, err := c.call(ctx, method, addr, path, key, body)
		if err == nil {
			return resp, nil
		}
		last = err
		f, refused := err.(*Failure)
		again := key != "" && (!refused || f.Code == "inProgress")
		if refused && f.Outcome == NotRun && f.RetryAfter > 0 {
			again = true
		}
		if !again || ctx.Err() != nil {
			return Response{}, err
		}
		c.failed(addr)
		if err := wait(ctx, try, f); err != nil {
			return Response{}, last
		}
	}
	return Response{}, last
}

func (c *Client) call(ctx context.Context, method, addr, path, key string, body []byte) (Response, error) {
	req, err := c.request(ctx, method, addr, path, body)
	if err != nil {
		return Response{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get("X-Outcome") != Answered {
		return Response{}, failureOf(resp)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	return Response{
		Status: resp.StatusCode, Header: resp.Header, Body: b, Replayed: resp.Header.Get("X-Replayed") == "true",
	}, nil
}
