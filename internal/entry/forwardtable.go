package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/link"
)

const (
	forwardedCall = "entry.forwarded"
	// maxForwardRecords limits each of the two generations of forward records,
	// together about 20 MB.
	maxForwardRecords = 1 << 16
	// maxForwardRecordPeers is how many peers are asked to store a forward
	// record.
	maxForwardRecordPeers = 2
)

// forwardTable records which cell computes the answer of each forwarded
// request, so that a caller can continue its answer at any instance of this
// cell.
type forwardTable struct {
	mu       sync.Mutex
	current  map[string]forwardRecord
	previous map[string]forwardRecord
}

type forwardRecord struct {
	cell       string
	recordedAt time.Time
}

func (f *forwardTable) cell(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.current[id]; ok {
		return r.cell
	}
	return f.previous[id].cell
}

// set records the cell of an answer; an empty cell deletes the record.
func (f *forwardTable) set(id, cell string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cell == "" {
		delete(f.current, id)
		delete(f.previous, id)
		return
	}
	if f.current == nil || len(f.current) >= maxForwardRecords {
		f.current, f.previous = map[string]forwardRecord{}, f.current
	}
	f.current[id] = forwardRecord{cell, now}
}

// sweep removes records older than keep.
func (f *forwardTable) sweep(keep time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := func(_ string, r forwardRecord) bool { return now.Sub(r.recordedAt) >= keep }
	maps.DeleteFunc(f.current, expired)
	maps.DeleteFunc(f.previous, expired)
}

// forwardRecordTTL returns how long the record of a forwarded request may be
// needed.
func (e *Entry) forwardRecordTTL() time.Duration {
	return seconds(e.cfg.Settings.Limits.RequestSeconds + e.cfg.Settings.Limits.KeepSeconds)
}

// recordForwarded records at this instance and at one peer, preferably in
// another data centre, which cell computes an answer. An empty cell deletes the
// record.
func (e *Entry) recordForwarded(ctx context.Context, id, cell string, now time.Time) {
	e.forwardTable.set(id, cell, now)
	peers := e.replicaCandidates(id, now)
	for _, p := range peers[:min(len(peers), maxForwardRecordPeers)] {
		callCtx, cancel := context.WithTimeout(ctx, findTimeout)
		err := e.cfg.Net.Call(callCtx, p.Address, forwardedCall, &entrpb.Forwarded{Id: id, Cell: cell}, &entrpb.Empty{})
		cancel()
		if err == nil {
			return
		}
	}
}

func (e *Entry) handleForwarded(_ context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var msg entrpb.Forwarded
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	e.forwardTable.set(msg.Id, msg.Cell, e.cfg.Now())
	return &entrpb.Empty{}, nil
}
