package stream

import (
	"context"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// Copier returns a Replicator that sends one answer to the replica holder at
// addr. Replicators of one Client with the same replica holder share a stream.
func (c *Client) Copier(addr string) Replicator {
	return &answerReplicator{client: c, addr: addr, done: make(chan error, 1)}
}

// openReplica adds a replica to the connection with the holder at addr and connects if necessary.
func (c *Client) openReplica(addr string) (*holderConn, uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[addr]; conn != nil {
		if n, ok := conn.addReplica(); ok {
			return conn, n
		}
	}
	conn := &holderConn{timeout: c.AckTimeout, wake: make(chan struct{}, 1)}
	if conn.timeout == 0 {
		conn.timeout = DefaultAckTimeout
	}
	conn.dial = func(ctx context.Context) (messageStream, error) { return c.open(ctx, addr) }
	if c.conns == nil {
		c.conns = map[string]*holderConn{}
	}
	c.conns[addr] = conn
	n, _ := conn.addReplica()
	go func() {
		conn.run()
		c.forget(addr, conn)
	}()
	return conn, n
}

func (c *Client) open(ctx context.Context, addr string) (messageStream, error) {
	if c.dial != nil {
		return c.dial(ctx, addr)
	}
	s, err := c.Net.Open(ctx, addr, replicaStreamName)
	if err != nil {
		return nil, Error.Wrap(err) // a nil *link.Stream would be a non-nil messageStream
	}
	return s, nil
}

// forget removes a connection that has ended.
func (c *Client) forget(addr string, conn *holderConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}

// answerReplicator is the owner's end of the replica of one answer.
type answerReplicator struct {
	client *Client
	addr   string
	conn   *holderConn
	answer uint32
	done   chan error
}

func (r *answerReplicator) Begin(ctx context.Context, h ReplicaHeader) error {
	r.conn, r.answer = r.client.openReplica(r.addr)
	m := &strmpb.CopyItem{Begin: &strmpb.Begin{Request: requestToProto(h.Request), Epoch: h.Epoch}}
	return r.send(ctx, item{m: m, size: int(h.Request.bytes()), ack: strmpb.CopyAck_BEGIN})
}

func (r *answerReplicator) Append(ctx context.Context, pos uint64, tokens []string) error {
	m := &strmpb.CopyItem{Pos: pos, Tokens: bytesOf(tokens)}
	return r.send(ctx, item{m: m, size: int(tokensSize(tokens)), next: pos + uint64(len(tokens))})
}

func (r *answerReplicator) End(ctx context.Context, e End) error {
	m := &strmpb.CopyItem{End: &strmpb.End{Pos: e.Pos, Reason: e.Reason, Broken: e.Broken}}
	return r.send(ctx, item{m: m, ack: strmpb.CopyAck_END, next: e.Pos})
}

// send returns when the item is acknowledged. After an error only Close may be called.
func (r *answerReplicator) send(ctx context.Context, it item) error {
	it.m.Answer, it.done = r.answer, r.done
	r.conn.enqueue(&it)
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (r *answerReplicator) Close() error {
	if r.conn == nil {
		return nil
	}
	r.conn.removeReplica(r.answer)
	r.conn = nil
	return nil
}
