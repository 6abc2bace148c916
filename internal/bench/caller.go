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
	// addressTimeout is the timeout for fetching the addresses.
	addressTimeout = 500 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
)

// caller is a client that follows the contract with callers: it fetches addresses,
// caches them for the given time and tries the next address after a failure.
type caller struct {
	callerLocation
	client *http.Client
	seeds  []string // configured addresses

	mu        sync.Mutex
	addrs     []string
	refreshAt time.Time
}

// address returns the current address, and fetches the addresses if they have expired.
func (c *caller) address(ctx context.Context, now time.Time) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && now.Before(c.refreshAt) {
		return c.addrs[0], nil
	}
	for _, addr := range append(slices.Clone(c.addrs), c.seeds...) {
		addrs, validFor, err := c.fetchAddresses(ctx, addr)
		if err != nil || len(addrs) == 0 {
			continue
		}
		c.addrs, c.refreshAt = addrs, now.Add(validFor)
		return c.addrs[0], nil
	}
	return "", Error.New("no entry instance returned addresses")
}

// markFailed removes an address after a failure. When all have been removed, the caller
// fetches the addresses again.
func (c *caller) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs = slices.DeleteFunc(c.addrs, func(a string) bool { return a == addr })
}

func (c *caller) fetchAddresses(ctx context.Context, addr string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/addresses?dataCentre="+c.dataCentre, nil)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey(c.org))
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
