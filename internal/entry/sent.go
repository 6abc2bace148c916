package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/link"
)

const (
	forwardedCall = "entry.forwarded"
	// maxForwarded bounds the records of forwarded requests, about 10 MB. A
	// request beyond it is forwarded but cannot be continued at this cell.
	maxForwarded = 1 << 16
	// recordTries is how many peers are asked to keep the record of a forwarded request.
	recordTries = 2
)

// forwardedIDs are the answers that other cells compute for callers of this
// one, so that a caller can continue its answer at any instance of this cell.
type forwardedIDs struct {
	mu   sync.Mutex
	byID map[string]forwardedID
}

type forwardedID struct {
	cell string
	at   time.Time
}

func (f *forwardedIDs) cell(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id].cell
}

// set records the cell of an answer; an empty cell removes the record.
func (f *forwardedIDs) set(id, cell string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cell == "" {
		delete(f.byID, id)
		return
	}
	if f.byID == nil {
		f.byID = map[string]forwardedID{}
	}
	if len(f.byID) < maxForwarded {
		f.byID[id] = forwardedID{cell, now}
	}
}

// sweep drops the records that are older than keep.
func (f *forwardedIDs) sweep(keep time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.byID {
		if now.Sub(r.at) >= keep {
			delete(f.byID, id)
		}
	}
}

// keepForwarded is how long the record of a forwarded request may be needed.
func (e *Entry) keepForwarded() time.Duration {
	return seconds(e.cfg.Settings.Limits.RequestSeconds + e.cfg.Settings.Limits.KeepSeconds)
}

// recordForwarded records here and at a peer in another data centre which cell
// computes an answer, or removes that record if cell is empty.
func (e *Entry) recordForwarded(ctx context.Context, id, cell string, now time.Time) {
	e.sent.set(id, cell, now)
	peers := e.keepers(id, now)
	for _, p := range peers[:min(len(peers), recordTries)] {
		call, cancel := context.WithTimeout(ctx, findTimeout)
		err := e.cfg.Net.Call(call, p.Address, forwardedCall, &entrpb.Forwarded{Id: id, Cell: cell}, &entrpb.Empty{})
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
	e.sent.set(msg.Id, msg.Cell, e.cfg.Now())
	return &entrpb.Empty{}, nil
}
