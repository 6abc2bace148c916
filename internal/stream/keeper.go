package stream

import (
	"context"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// Copier returns the copier of one answer to the keeper at addr. Copiers of one
// Client to the same keeper share a stream.
func (c *Client) Copier(addr string) Copier {
	return &keeper{client: c, addr: addr, done: make(chan error, 1)}
}

// join adds a copy to the pair with the keeper at addr, which it opens if there is none.
func (c *Client) join(addr string) (*pair, uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pairs[addr]; p != nil {
		if n, ok := p.join(); ok {
			return p, n
		}
	}
	p := &pair{timeout: c.AckTimeout, wake: make(chan struct{}, 1)}
	if p.timeout == 0 {
		p.timeout = DefaultAckTimeout
	}
	p.open = func(ctx context.Context) (wire, error) { return c.open(ctx, addr) }
	if c.pairs == nil {
		c.pairs = map[string]*pair{}
	}
	c.pairs[addr] = p
	n, _ := p.join()
	go func() {
		p.run()
		c.forget(addr, p)
	}()
	return p, n
}

func (c *Client) open(ctx context.Context, addr string) (wire, error) {
	if c.dial != nil {
		return c.dial(ctx, addr)
	}
	s, err := c.Net.Open(ctx, addr, copyStream)
	if err != nil {
		return nil, Error.Wrap(err) // a nil *link.Stream would be a wire that is not nil
	}
	return s, nil
}

// forget drops a pair that has ended.
func (c *Client) forget(addr string, p *pair) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pairs[addr] == p {
		delete(c.pairs, addr)
	}
}

// keeper is the owner's end of the copy of one answer.
type keeper struct {
	client *Client
	addr   string
	p      *pair
	answer uint32
	done   chan error
}

func (k *keeper) Begin(ctx context.Context, h Head) error {
	k.p, k.answer = k.client.join(k.addr)
	m := &strmpb.CopyItem{Begin: &strmpb.Begin{Request: requestTo(h.Request), Epoch: h.Epoch}}
	return k.send(ctx, item{m: m, size: int(h.Request.bytes()), ack: strmpb.CopyAck_BEGIN})
}

func (k *keeper) Append(ctx context.Context, pos uint64, tokens []string) error {
	m := &strmpb.CopyItem{Pos: pos, Tokens: bytesOf(tokens)}
	return k.send(ctx, item{m: m, size: int(sizeOf(tokens)), next: pos + uint64(len(tokens))})
}

func (k *keeper) End(ctx context.Context, e End) error {
	m := &strmpb.CopyItem{End: &strmpb.End{Pos: e.Pos, Reason: e.Reason, Broken: e.Broken}}
	return k.send(ctx, item{m: m, ack: strmpb.CopyAck_END, next: e.Pos})
}

// send returns when the item is acknowledged. After an error only Close may follow.
func (k *keeper) send(ctx context.Context, it item) error {
	it.m.Answer, it.done = k.answer, k.done
	k.p.add(&it)
	select {
	case err := <-k.done:
		return err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (k *keeper) Close() error {
	if k.p == nil {
		return nil
	}
	k.p.leave(k.answer)
	k.p = nil
	return nil
}
