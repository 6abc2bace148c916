package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// addressTimeout bounds the question for addresses.
	addressTimeout = 500 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
)

// caller is a program that uses the system as the contract with callers says:
// it asks for addresses, keeps them for the given time and tries the next one
// after a failure.
type caller struct {
	place
	client *http.Client
	known  []string // addresses that the caller was configured with

	mu    sync.Mutex
	addrs []string
	until time.Time
}

// address returns the address to use now.
func (c *caller) address(ctx context.Context, now time.Time) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && now.Before(c.until) {
		return c.addrs[0], nil
	}
	for _, a := range append(slices.Clone(c.addrs), c.known...) {
		list, keep, err := c.ask(ctx, a)
		if err != nil || len(list) == 0 {
			continue
		}
		c.addrs, c.until = list, now.Add(keep)
		return c.addrs[0], nil
	}
	return "", Error.New("no entry instance answers")
}

// failed puts an address that did not serve at the end of the list. When each
// has failed the caller asks again.
func (c *caller) failed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs = slices.DeleteFunc(c.addrs, func(a string) bool { return a == addr })
}

func (c *caller) ask(ctx context.Context, addr string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/addresses?dataCentre="+c.dataCentre, nil)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(c.org))
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var b struct {
		Addresses   []struct{ Address string }
		KeepSeconds int
	}
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	var out []string
	for _, a := range b.Addresses {
		out = append(out, a.Address)
	}
	return out, time.Duration(b.KeepSeconds) * time.Second, nil
}
