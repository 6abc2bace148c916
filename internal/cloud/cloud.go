// Package cloud is the client for the platform (docs/contract-platform.md): the
// cloud API, which rents out instances, and the weight store. All calls are
// idempotent: Start may be retried with the same request id if its response is
// lost. So errors need not say whether a call was executed.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"cranberrypath.example/cranberrypath/internal/intact"
)

// Error is the class of this package's errors.
var Error = errs.Class("cloud")

const (
	maxJSONBytes   = 8 << 20  // limit of the platform API
	maxHeaderBytes = 64 << 10 // of a response
)

// Error codes of the platform.
const (
	CodeNoCapacity      = "noCapacity"
	CodeOtherRequest    = "otherRequest"
	CodeUnknownInstance = "unknownInstance"
	CodeUnknownWeights  = "unknownWeights"
)

// ErrorResponse is an error response of the platform.
type ErrorResponse struct {
	Status     int
	Code       string
	Message    string
	RetryAfter time.Duration // 0 if the response has no Retry-After header
}

func (r *ErrorResponse) Error() string {
	return fmt.Sprintf("status %d %s: %s", r.Status, r.Code, r.Message)
}

// NoCapacity reports whether the cloud rejected a start for lack of capacity. No
// instance was started.
func NoCapacity(err error) bool {
	var r *ErrorResponse
	return errors.As(err, &r) && r.Code == CodeNoCapacity
}

// RetryAfter returns the delay that the platform asked for, or 0.
func RetryAfter(err error) time.Duration {
	var r *ErrorResponse
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}

// StartRequest is a request for one instance. Repeating a RequestID starts no other one.
type StartRequest struct {
	RequestID    string `json:"requestId"`
	DataCentre   string `json:"dataCentre"`
	Zone         string `json:"zone,omitempty"` // if empty, the cloud chooses
	MachineClass string `json:"machineClass"`
	Reclaimable  bool   `json:"reclaimable"`
	Service      string `json:"service"`
	Version      string `json:"version"`
}

// States of an instance.
const (
	Starting = "starting"
	Running  = "running"
	Stopping = "stopping"
	Gone     = "gone"
)

// Instance is a rented machine.
type Instance struct {
	ID           string    `json:"id"`
	RequestID    string    `json:"requestId"`
	DataCentre   string    `json:"dataCentre"`
	Zone         string    `json:"zone"`
	MachineClass string    `json:"machineClass"`
	Reclaimable  bool      `json:"reclaimable"`
	Service      string    `json:"service"`
	Version      string    `json:"version"`
	State        string    `json:"state"`
	Started      time.Time `json:"started"`
	LeaveBy      time.Time `json:"leaveBy"` // reclaim deadline; zero if there is no notice
	Price        float64   `json:"price"`   // currency units per hour at the time of the start
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Number     uint64    `json:"number"` // consecutive, from 1
	Instance   string    `json:"instance"`
	LeaveBy    time.Time `json:"leaveBy"`
	DataCentre string    `json:"dataCentre"`
	Zone       string    `json:"zone"`
}

// Price is the current price of a machine class in a zone.
type Price struct {
	DataCentre   string  `json:"dataCentre"`
	Zone         string  `json:"zone"`
	MachineClass string  `json:"machineClass"`
	Reclaimable  bool    `json:"reclaimable"`
	Price        float64 `json:"price"` // currency units per hour
}

// Rate is the bandwidth of the weight store, shared by all readers.
type Rate struct {
	BytesPerSecond float64 `json:"bytesPerSecond"`
	AvailableBytes float64 `json:"availableBytes"` // can be read now without waiting
}

// Config configures a Client.
type Config struct {
	Cloud       string // URL without path
	WeightStore string // URL without path
	Token       string // bearer token; optional
	// HTTP replaces the HTTP client. The default is a client of the standard library,
	// which suffices for the low rate of calls. It rejects malformed responses.
	HTTP *http.Client
}

// Client sends calls to the platform. It is safe for concurrent use.
type Client struct {
	cfg          Config
	http         *http.Client
	ownTransport *http.Transport
}

// New returns a client.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, http: cfg.HTTP}
	if c.http == nil {
		c.ownTransport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}
		c.http = &http.Client{Transport: intact.NewTransport(c.ownTransport)}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
	return nil
}

// Start starts an instance.
func (c *Client) Start(ctx context.Context, s StartRequest) (Instance, error) {
	var i Instance
	err := c.call(ctx, http.MethodPost, c.cfg.Cloud+"/cloud/instances", s, &i)
	if err == nil && i.ID == "" {
		return Instance{}, Error.New("started instance has no id")
	}
	return i, err
}

// Instances returns the instances that are not gone.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out struct {
		Instances []Instance `json:"instances"`
	}
	err := c.call(ctx, http.MethodGet, c.cfg.Cloud+"/cloud/instances", nil, &out)
	return out.Instances, err
}

// Stop stops an instance immediately. It succeeds if the instance is already gone.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, c.cfg.Cloud+"/cloud/instances/"+url.PathEscape(id), nil, &struct{}{})
}

// Notices returns the notices with a number greater than after, and the highest
// number issued.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, uint64, error) {
	var out struct {
		Notices []Notice `json:"notices"`
		Last    uint64   `json:"last"`
	}
	err := c.call(ctx, http.MethodGet, c.cfg.Cloud+"/cloud/notices?after="+strconv.FormatUint(after, 10), nil, &out)
	return out.Notices, out.Last, err
}

// Prices returns the current prices.
func (c *Client) Prices(ctx context.Context) ([]Price, error) {
	var out struct {
		Prices []Price `json:"prices"`
	}
	err := c.call(ctx, http.MethodGet, c.cfg.Cloud+"/cloud/prices", nil, &out)
	return out.Prices, err
}

// WeightRate returns the bandwidth of the weight store.
func (c *Client) WeightRate(ctx context.Context) (Rate, error) {
	var r Rate
	err := c.call(ctx, http.MethodGet, c.cfg.WeightStore+"/weights/rate", nil, &r)
	return r, err
}

// Weights opens the weights of a version and returns their length in bytes. The
// caller must close the reader. Truncated weights end with io.ErrUnexpectedEOF.
func (c *Client) Weights(ctx context.Context, service, version string) (io.ReadCloser, int64, error) {
	resp, err := c.do(ctx, http.MethodGet, c.cfg.WeightStore+"/weights/"+url.PathEscape(service)+"/"+url.PathEscape(version), nil)
	if err != nil {
		return nil, 0, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close()
		return nil, 0, Error.New("weights without a length") // a cut could not be told from their end
	}
	return resp.Body, resp.ContentLength, nil
}

func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	resp, err := c.do(ctx, method, target, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxJSONBytes+1))
	switch {
	case err != nil:
		return Error.Wrap(err)
	case len(b) > maxJSONBytes:
		return Error.New("response is larger than %d bytes", maxJSONBytes)
	}
	return Error.Wrap(json.Unmarshal(b, out))
}

// do sends a request. It returns an error unless the status is 200 or 201.
func (c *Client) do(ctx context.Context, method, target string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		body = strings.NewReader(string(b))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, Error.Wrap(decodeRefusal(resp))
}

func decodeRefusal(resp *http.Response) *ErrorResponse {
	r := &ErrorResponse{Status: resp.StatusCode}
	if n, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 20); err == nil {
		r.RetryAfter = time.Duration(n) * time.Second
	}
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	// The body is optional, since the status suffices, but an incomplete one states no code.
	if b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10)); err == nil {
		_ = json.Unmarshal(b, &body)
	}
	r.Code, r.Message = body.Error.Code, body.Error.Message
	return r
}
