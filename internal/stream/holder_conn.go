package stream

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// maxReplicaMessageBytes limits the items that are combined in one message, so
// that it stays below the frame limit of package link. A larger request is sent
// in a message of its own.
const maxReplicaMessageBytes = 1 << 20

// errIdle ends a connection without open replicas.
var errIdle = Error.New("no replica is open")

// messageStream is the subset of link.Stream that both ends of the replication use.
type messageStream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	SetDeadline(t time.Time) error
	Close() error
}

// holderConn carries the replicas of all answers of this instance to one replica
// holder. One message is in flight at a time, and items queued meanwhile are sent
// in the next one. If the holder does not acknowledge in time, replication fails
// for all of these answers.
type holderConn struct {
	dial    func(ctx context.Context) (messageStream, error)
	timeout time.Duration // of the connection setup and of each message
	wake    chan struct{}

	mu         sync.Mutex
	lastNumber uint32 // number of the last answer added
	replicas   int    // number of open replicas
	queue      []*item
	err        error // why the connection ended
}

// item is a queued message of one answer. Each answer has at most one item
// besides the one that closes its replica, which limits the length of the queue.
type item struct {
	m    *strmpb.CopyItem
	size int
	ack  strmpb.CopyAck_Kind
	next uint64     // number of tokens that the replica holder must have
	done chan error // receives one value; nil without a waiter
}

// addReplica adds a replica and returns its number, or false if the connection has ended.
func (c *holderConn) addReplica() (uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, false
	}
	c.lastNumber++
	c.replicas++
	return c.lastNumber, true
}

// removeReplica closes a replica. Closing the last one ends the connection.
func (c *holderConn) removeReplica(answer uint32) {
	c.mu.Lock()
	c.replicas--
	if c.replicas == 0 && c.err == nil {
		c.err = errIdle
	}
	c.mu.Unlock()
	c.enqueue(&item{m: &strmpb.CopyItem{Answer: answer, Close: true}})
}

// enqueue queues an item. If the connection has ended, the item fails at once.
func (c *holderConn) enqueue(it *item) {
	c.mu.Lock()
	err := c.err
	if err == nil {
		c.queue = append(c.queue, it)
	}
	c.mu.Unlock()
	if err != nil && it.done != nil {
		it.done <- err
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run exchanges messages until the replica holder fails or no replica is open.
func (c *holderConn) run() {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	s, err := c.dial(ctx)
	cancel()
	if err != nil {
		c.fail(nil, err)
		return
	}
	defer func() { _ = s.Close() }()
	for {
		sent, err := c.nextBatch()
		if err == nil {
			err = c.exchange(s, sent)
		}
		if err != nil {
			c.fail(sent, err)
			return
		}
	}
}

// nextBatch waits for items and returns those of the next message.
func (c *holderConn) nextBatch() ([]*item, error) {
	for {
		c.mu.Lock()
		n, size := 0, 0
		for n < len(c.queue) && (n == 0 || size+c.queue[n].size <= maxReplicaMessageBytes) {
			size += c.queue[n].size
			n++
		}
		out, err := c.queue[:n:n], c.err
		c.queue = c.queue[n:]
		c.mu.Unlock()
		if n > 0 || err != nil {
			return out, err
		}
		<-c.wake
	}
}

// exchange sends one message and returns when all its items are acknowledged.
func (c *holderConn) exchange(s messageStream, sent []*item) error {
	if err := s.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return Error.Wrap(err)
	}
	m := &strmpb.Copies{Items: make([]*strmpb.CopyItem, len(sent))}
	open := make(map[uint32]*item, len(sent))
	for i, it := range sent {
		m.Items[i] = it.m
		if it.done != nil {
			open[it.m.Answer] = it
		}
	}
	if err := s.Send(m); err != nil {
		return Error.Wrap(err)
	}
	var acks strmpb.CopyAcks
	for len(open) > 0 {
		if err := s.Recv(&acks); err != nil {
			return Error.Wrap(err)
		}
		if acks.Code != "" {
			return errorFromCode(acks.Code, acks.Message)
		}
		for _, ack := range acks.Acks {
			if it := open[ack.Answer]; it != nil && it.resolve(ack) {
				delete(open, ack.Answer)
			}
		}
	}
	return nil
}

// resolve reports whether an acknowledgement completes the item. A late or
// repeated acknowledgement confirms less than the item needs and is ignored.
func (it *item) resolve(ack *strmpb.CopyAck) bool {
	switch {
	case ack.Code != "":
		it.done <- errorFromCode(ack.Code, ack.Message)
	case ack.Kind != it.ack || ack.Next < it.next:
		return false
	default:
		it.done <- nil
	}
	it.done = nil
	return true
}

// fail ends the connection and fails all items that are queued or in flight.
func (c *holderConn) fail(sent []*item, err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	err = c.err
	all := append(sent, c.queue...)
	c.queue = nil
	c.mu.Unlock()
	for _, it := range all {
		if it.done != nil {
			it.done <- err
		}
	}
}
