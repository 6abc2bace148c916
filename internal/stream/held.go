package stream

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// heldCopy is one copy of an owner's stream.
type heldCopy struct {
	a     *Answer
	epoch uint64
}

// ownerStream is the keeper's end of a pair.
type ownerStream struct {
	r     *Registry
	owner string
	open  map[uint32]heldCopy // by the owner's numbers
}

// serveCopies keeps the copies of one owner until its stream ends.
func (r *Registry) serveCopies(owner string, s wire, clock func() time.Time) error {
	o := &ownerStream{r: r, owner: owner, open: map[uint32]heldCopy{}}
	defer o.end()
	var m strmpb.Copies
	for {
		if err := s.Recv(&m); err != nil {
			return Error.Wrap(err)
		}
		acks := o.receive(&m, clock())
		if len(acks.Acks) == 0 {
			continue
		}
		if err := s.Send(acks); err != nil {
			return Error.Wrap(err)
		}
	}
}

// end records that the owner is no longer connected.
func (o *ownerStream) end() {
	for n := range o.open {
		o.close(n)
	}
}

func (o *ownerStream) close(n uint32) {
	if h, ok := o.open[n]; ok {
		o.r.unlink(h.a)
		delete(o.open, n)
	}
}

// receive handles one message. What is refused for one answer does not concern the others.
func (o *ownerStream) receive(m *strmpb.Copies, now time.Time) *strmpb.CopyAcks {
	acks := &strmpb.CopyAcks{Acks: make([]*strmpb.CopyAck, 0, len(m.Items))}
	for _, it := range m.Items {
		if it.Close {
			o.close(it.Answer)
			continue
		}
		ack, err := o.item(it, now)
		if err != nil {
			ack.Code, ack.Message = codeOf(err), err.Error()
		}
		ack.Answer = it.Answer
		acks.Acks = append(acks.Acks, ack)
	}
	return acks
}

func (o *ownerStream) item(it *strmpb.CopyItem, now time.Time) (*strmpb.CopyAck, error) {
	if it.Begin != nil {
		next, err := o.begin(it.Answer, it.Begin, now)
		return &strmpb.CopyAck{Kind: strmpb.CopyAck_BEGIN, Next: next}, err
	}
	h, ok := o.open[it.Answer]
	if !ok {
		return &strmpb.CopyAck{}, ErrUnknown
	}
	o.r.heard(h.a, now)
	if it.End != nil {
		e := End{Pos: it.End.GetPos(), Reason: it.End.GetReason(), Broken: it.End.GetBroken()}
		return &strmpb.CopyAck{Kind: strmpb.CopyAck_END, Next: e.Pos}, h.a.endCopy(h.epoch, e)
	}
	next, err := h.a.appendCopy(h.epoch, it.Pos, stringsOf(it.Tokens))
	return &strmpb.CopyAck{Next: next}, err
}

func (o *ownerStream) begin(n uint32, m *strmpb.Begin, now time.Time) (uint64, error) {
	if h, ok := o.open[n]; ok {
		if h.a.req.ID != m.GetRequest().GetId() || h.epoch != m.GetEpoch() {
			return 0, ErrMismatch
		}
		return h.a.Position(), nil
	}
	a, err := o.r.Begin(Head{Request: requestFrom(m.GetRequest()), Epoch: m.GetEpoch()}, o.owner, now)
	if err != nil {
		return 0, err
	}
	o.open[n] = heldCopy{a: a, epoch: m.GetEpoch()}
	return a.Position(), nil
}

// appendCopy records tokens that the owner sent to its keeper.
func (a *Answer) appendCopy(epoch, pos uint64, tokens []string) (uint64, error) {
	size := sizeOf(tokens)
	reserved := a.room(tokens, size)
	if !a.budget.take(reserved) {
		return 0, ErrFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), reserved)
	if err := a.fromOwner(epoch); err != nil {
		return 0, err
	}
	if pos > uint64(len(a.ends)) {
		return 0, ErrGap
	}
	_, err := a.add(pos, tokens)
	return uint64(len(a.ends)), err
}

func (a *Answer) endCopy(epoch uint64, e End) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.settle(a.memory(), 0)
	if a.end != nil && *a.end == e {
		return nil
	}
	if err := a.fromOwner(epoch); err != nil {
		return err
	}
	if e.Pos != uint64(len(a.ends)) {
		return ErrMismatch
	}
	a.finish(e)
	return nil
}

func (a *Answer) fromOwner(epoch uint64) error {
	if !a.copy.held || epoch != a.epoch || a.taken {
		return ErrTakenOver
	}
	if a.end != nil {
		return ErrEnded
	}
	return nil
}
