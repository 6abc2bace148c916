// Package caller implements a client for callers of a deployment. Ordinary model
// clients work too; this client also discovers entry instances, resumes a broken
// stream at another entry instance, and never repeats a call that may have run unless
// the call has an idempotency key.
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

	"cranberrypath.example/cranberrypath/internal/intact"
)

// Error is the class of this package's errors.
var Error = errs.Class("caller")

const (
	// maxErrorBytes is the maximum number of bytes read of an error body or an address
	// list.
	maxErrorBytes = 64 << 10
	// addressTimeout is the timeout for fetching the addresses from one instance.
	addressTimeout = 2 * time.Second
	// defaultMaxAttempts is the default of Config.MaxAttempts.
	defaultMaxAttempts = 8
	// initialBackoff is the delay before the first retry; it doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Outcomes of a request, as defined in the contract with callers.
const (
	Answered = "answer"
	NotRun   = "not-run" // safe to retry
	Unknown  = "unknown" // may have run
)

// Failure is an error response.
type Failure struct {
	Status     int
	Code       string
	Message    string
	Outcome    string
	RetryAfter time.Duration // zero if a retry is pointless
}

func (f *Failure) Error() string {
	return "status " + strconv.Itoa(f.Status) + " " + f.Code + " (" + f.Outcome + "): " + f.Message
}

// Config configures a Client.
type Config struct {
	// Seeds holds the addresses (IP and port) of some entry instances for callers.
	Seeds []string
	Key   string // API key of the caller's organisation
	// DataCentre of the caller, to prefer near instances; optional.
	DataCentre string
	// MaxAttempts is the maximum number of attempts for one request; 8 if zero.
	MaxAttempts int
	// HTTP replaces the default HTTP client, which rejects malformed responses. Its
	// timeout must exceed the duration of any stream.
	HTTP *http.Client
}

// Client sends requests to a deployment. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu        sync.Mutex
	addrs     []string
	refreshAt time.Time // when to fetch the addresses again
	current   int       // index in addrs of the address to use
}

// New returns a client with the given configuration.
func New(cfg Config) *Client {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	c := &Client{cfg: cfg, http: cfg.HTTP}
	if c.http == nil {
		c.http = &http.Client{Transport: intact.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second})}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// address returns the current address, and fetches the addresses if they have expired.
func (c *Client) address(ctx context.Context, now time.Time) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && now.Before(c.refreshAt) {
		return c.addrs[c.current%len(c.addrs)], nil
	}
	var lastErr error
	for _, seed := range append(append([]string{}, c.addrs...), c.cfg.Seeds...) {
		addrs, validFor, err := c.fetchAddresses(ctx, seed)
		if err != nil {
			lastErr = err
			continue
		}
		c.addrs, c.refreshAt, c.current = addrs, now.Add(validFor), 0
		return addrs[0], nil
	}
	if len(c.addrs) > 0 {
		return c.addrs[c.current%len(c.addrs)], nil
	}
	return "", Error.New("no entry instance returned addresses: %v", lastErr)
}

func (c *Client) fetchAddresses(ctx context.Context, seed string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodGet, seed, "/v1/addresses?dataCentre="+url.QueryEscape(c.cfg.DataCentre), nil)
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
	if err := decodeBody(resp, &body); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	var out []string
	for _, a := range body.Addresses {
		out = append(out, a.Address)
	}
	if len(out) == 0 {
		return nil, 0, Error.New("%s returned no addresses", seed)
	}
	return out, time.Duration(body.KeepSeconds) * time.Second, nil
}

// markFailed records a failed attempt at an address, so that the next attempt uses
// another one.
func (c *Client) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.current%len(c.addrs)] == addr {
		c.current++
	}
	if c.current >= len(c.addrs) {
		c.refreshAt = time.Time{} // all addresses have failed; fetch them again
	}
}

func (c *Client) newRequest(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = strings.NewReader(string(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	return req, nil
}

// preventRetry keeps the transport from sending a request without a body a second time by itself.
// It would do so for the methods below, which HTTP calls safe, if a connection that was used before
// ends without a response, although the service may have run the call.
func preventRetry(req *http.Request) {
	if req.Body != nil && req.Body != http.NoBody {
		return // cannot be read a second time
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// The transport does not know that this body is empty until it reads it.
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

// decodeBody decodes a JSON body, which must be complete.
func decodeBody(resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// parseFailure decodes an error response.
func parseFailure(resp *http.Response) *Failure {
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
	if decodeBody(resp, &body) == nil {
		f.Code, f.Message = body.Error.Code, body.Error.Message
	}
	return f
}

// backOff waits before a retry: an exponential delay, or the Retry-After of the
// failure if that is longer.
func backOff(ctx context.Context, attempt int, f *Failure) error {
	d := min(initialBackoff<<min(attempt, 10), maxBackoff)
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

// Response is a response of a plain service.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // the answer of an earlier run with the same idempotency key
}

// Call sends a call to a plain service. With an idempotency key the call is retried
// until its answer is known, because the deployment runs each key at most once. With
// an empty key the call is retried only if it has not run. The error is a *Failure if
// the deployment refused the call.
func (c *Client) Call(ctx context.Context, method, path, key string, body []byte) (Response, error) {
	var lastErr error
	for attempt := range c.cfg.MaxAttempts {
		addr, err := c.address(ctx, time.Now())
		if err != nil {
			return Response{}, err
		}
		resp, err := c.callOnce(ctx, method, addr, path, key, body)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		f, refused := err.(*Failure)
		retry := key != "" && (!refused || f.Code == "inProgress")
		if refused && f.Outcome == NotRun && f.RetryAfter > 0 {
			retry = true
		}
		if !retry || ctx.Err() != nil {
			return Response{}, err
		}
		c.markFailed(addr)
		if err := backOff(ctx, attempt, f); err != nil {
			return Response{}, lastErr
		}
	}
	return Response{}, lastErr
}

func (c *Client) callOnce(ctx context.Context, method, addr, path, key string, body []byte) (Response, error) {
	req, err := c.newRequest(ctx, method, addr, path, body)
	if err != nil {
		return Response{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	} else {
		preventRetry(req)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get("X-Outcome") != Answered {
		return Response{}, parseFailure(resp)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	return Response{
		Status: resp.StatusCode, Header: resp.Header, Body: b, Replayed: resp.Header.Get("X-Replayed") == "true",
	}, nil
}
