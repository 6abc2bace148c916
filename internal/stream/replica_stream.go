package stream

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// receivedReplica is a replica that an owner's stream has open.
type receivedReplica struct {
	answer *Answer
	epoch  uint64
}

// replicaStream is the replica holder's end of a holderConn.
type replicaStream struct {
	registry *Registry
	owner    string
	replicas map[uint32]receivedReplica // by the owner's answer numbers
}

// serveReplicas stores the replicas of one owner until its stream ends.
func (r *Registry) serveReplicas(owner string, s messageStream, clock func() time.Time) error {
	rs := &replicaStream{registry: r, owner: owner, replicas: map[uint32]receivedReplica{}}
	defer rs.closeAll()
	var m strmpb.Copies
	for {
		if err := s.Recv(&m); err != nil {
			return Error.Wrap(err)
		}
		acks := rs.receive(&m, clock())
		if len(acks.Acks) == 0 {
			continue
		}
		if err := s.Send(acks); err != nil {
			return Error.Wrap(err)
		}
	}
}

// closeAll records that the owner is no longer connected.
func (rs *replicaStream) closeAll() {
	for n := range rs.replicas {
		rs.close(n)
	}
}

func (rs *replicaStream) close(n uint32) {
	if h, ok := rs.replicas[n]; ok {
		rs.registry.closeReplica(h.answer)
		delete(rs.replicas, n)
	}
}

// receive handles one message. A rejected item of one answer does not affect the others.
func (rs *replicaStream) receive(m *strmpb.Copies, now time.Time) *strmpb.CopyAcks {
	acks := &strmpb.CopyAcks{Acks: make([]*strmpb.CopyAck, 0, len(m.Items))}
	for _, it := range m.Items {
		if it.Close {
			rs.close(it.Answer)
			continue
		}
		ack, err := rs.receiveItem(it, now)
		if err != nil {
			ack.Code, ack.Message = codeOf(err), err.Error()
		}
		ack.Answer = it.Answer
		acks.Acks = append(acks.Acks, ack)
	}
	return acks
}

func (rs *replicaStream) receiveItem(it *strmpb.CopyItem, now time.Time) (*strmpb.CopyAck, error) {
	if it.Begin != nil {
		next, err := rs.begin(it.Answer, it.Begin, now)
		return &strmpb.CopyAck{Kind: strmpb.CopyAck_BEGIN, Next: next}, err
	}
	h, ok := rs.replicas[it.Answer]
	if !ok {
		return &strmpb.CopyAck{}, ErrUnknown
	}
	rs.registry.recordContact(h.answer, now)
	if it.End != nil {
		e := End{Pos: it.End.GetPos(), Reason: it.End.GetReason(), Broken: it.End.GetBroken()}
		return &strmpb.CopyAck{Kind: strmpb.CopyAck_END, Next: e.Pos}, h.answer.endReplica(h.epoch, e)
	}
	next, err := h.answer.appendReplica(h.epoch, it.Pos, stringsOf(it.Tokens))
	return &strmpb.CopyAck{Next: next}, err
}

func (rs *replicaStream) begin(n uint32, m *strmpb.Begin, now time.Time) (uint64, error) {
	if h, ok := rs.replicas[n]; ok {
		if h.answer.req.ID != m.GetRequest().GetId() || h.epoch != m.GetEpoch() {
			return 0, ErrMismatch
		}
		return h.answer.Position(), nil
	}
	a, err := rs.registry.OpenReplica(ReplicaHeader{Request: requestFromProto(m.GetRequest()), Epoch: m.GetEpoch()}, rs.owner, now)
	if err != nil {
		return 0, err
	}
	rs.replicas[n] = receivedReplica{answer: a, epoch: m.GetEpoch()}
	return a.Position(), nil
}

// appendReplica records tokens received from the owner.
func (a *Answer) appendReplica(epoch, pos uint64, tokens []string) (uint64, error) {
	size := tokensSize(tokens)
	reserved := a.maxGrowth(tokens, size)
	if !a.budget.reserve(reserved) {
		return 0, ErrFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), reserved)
	if err := a.checkOwner(epoch); err != nil {
		return 0, err
	}
	if pos > uint64(len(a.endOffsets)) {
		return 0, ErrGap
	}
	_, err := a.record(pos, tokens)
	return uint64(len(a.endOffsets)), err
}

func (a *Answer) endReplica(epoch uint64, e End) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.chargeChange(a.memory(), 0)
	if a.end != nil && *a.end == e {
		return nil
	}
	if err := a.checkOwner(epoch); err != nil {
		return err
	}
	if e.Pos != uint64(len(a.endOffsets)) {
		return ErrMismatch
	}
	a.setEnd(e)
	return nil
}

func (a *Answer) checkOwner(epoch uint64) error {
	if !a.replication.isReplica || epoch != a.epoch || a.takenOver {
		return ErrTakenOver
	}
	if a.end != nil {
		return ErrEnded
	}
	return nil
}
