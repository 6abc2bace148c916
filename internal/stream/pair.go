package stream

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// copyMessageBytes bounds the items that are joined in one message, so that it
// stays below the link's frame limit. A single larger request travels alone.
const copyMessageBytes = 1 << 20

// errIdle ends a pair that carries no copy any more.
var errIdle = Error.New("no copy is open")

// wire is the part of link.Stream that both ends of a pair use.
type wire interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	SetDeadline(t time.Time) error
	Close() error
}

// pair carries the copies of all answers of this instance to one keeper. One
// message is on its way at a time, and what arrives meanwhile goes with the
// next one. A keeper that does not acknowledge in time is lost to all of them.
type pair struct {
	open    func(ctx context.Context) (wire, error)
	timeout time.Duration // for the opening and for each message
	wake    chan struct{}

	mu      sync.Mutex
	last    uint32 // number of the latest answer
	copies  int    // open ones
	waiting []*item
	err     error // why the pair ended
}

// item is one message of one answer. Each answer has one at most, apart from
// the one that closes its copy, which bounds what waits for a keeper.
type item struct {
	m    *strmpb.CopyItem
	size int
	ack  strmpb.CopyAck_Kind
	next uint64     // tokens that the keeper must hold
	done chan error // receives one value; nil if nobody waits
}

// join adds a copy and returns its number, or false if the pair has ended.
func (p *pair) join() (uint32, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return 0, false
	}
	p.last++
	p.copies++
	return p.last, true
}

// leave closes a copy. The last one ends the pair.
func (p *pair) leave(answer uint32) {
	p.mu.Lock()
	p.copies--
	if p.copies == 0 && p.err == nil {
		p.err = errIdle
	}
	p.mu.Unlock()
	p.add(&item{m: &strmpb.CopyItem{Answer: answer, Close: true}})
}

// add queues an item. If the pair has ended, the item fails at once.
func (p *pair) add(it *item) {
	p.mu.Lock()
	err := p.err
	if err == nil {
		p.waiting = append(p.waiting, it)
	}
	p.mu.Unlock()
	if err != nil && it.done != nil {
		it.done <- err
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run exchanges messages until the keeper is lost or no copy is open.
func (p *pair) run() {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	s, err := p.open(ctx)
	cancel()
	if err != nil {
		p.fail(nil, err)
		return
	}
	defer func() { _ = s.Close() }()
	for {
		sent, err := p.take()
		if err == nil {
			err = p.exchange(s, sent)
		}
		if err != nil {
			p.fail(sent, err)
			return
		}
	}
}

// take waits for items and returns those of the next message.
func (p *pair) take() ([]*item, error) {
	for {
		p.mu.Lock()
		n, size := 0, 0
		for n < len(p.waiting) && (n == 0 || size+p.waiting[n].size <= copyMessageBytes) {
			size += p.waiting[n].size
			n++
		}
		out, err := p.waiting[:n:n], p.err
		p.waiting = p.waiting[n:]
		p.mu.Unlock()
		if n > 0 || err != nil {
			return out, err
		}
		<-p.wake
	}
}

// exchange sends one message and returns when all its items are acknowledged.
func (p *pair) exchange(s wire, sent []*item) error {
	if err := s.SetDeadline(time.Now().Add(p.timeout)); err != nil {
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
			return errorOf(acks.Code, acks.Message)
		}
		for _, ack := range acks.Acks {
			if it := open[ack.Answer]; it != nil && it.settle(ack) {
				delete(open, ack.Answer)
			}
		}
	}
	return nil
}

// settle reports whether an acknowledgement decides an item. One that is late or
// repeated says less than the item needs.
func (it *item) settle(ack *strmpb.CopyAck) bool {
	switch {
	case ack.Code != "":
		it.done <- errorOf(ack.Code, ack.Message)
	case ack.Kind != it.ack || ack.Next < it.next:
		return false
	default:
		it.done <- nil
	}
	it.done = nil
	return true
}

// fail ends the pair and all items that wait or are on their way.
func (p *pair) fail(sent []*item, err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	err = p.err
	all := append(sent, p.waiting...)
	p.waiting = nil
	p.mu.Unlock()
	for _, it := range all {
		if it.done != nil {
			it.done <- err
		}
	}
}
