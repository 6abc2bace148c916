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
	// maxForwarded bounds one of two generations of records of forwarded
	// requests, together about 20 MB.
	maxForwarded = 1 << 16
	// recordTries is how many peers are asked to keep the record of a forwarded request.
	recordTries = 2
)

// forwardedIDs are the answers that other cells compute for callers of this
// one, so that a caller can continue its answer at any instance of this cell.
type forwardedIDs struct {
	mu    sync.Mutex
	byID  map[string]forwardedID
	older map[string]forwardedID
}

type forwardedID struct {
	cell string
	at   time.Time
}

func (f *forwardedIDs) cell(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.byID[id]; ok {
		return r.cell
	}
	return f.older[id].cell
}

// set records the cell of an answer; an empty cell removes the record.
func (f *forwardedIDs) set(id, cell string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cell == "" {
		delete(f.byID, id)
		delete(f.older, id)
		return
	}
	if f.byID == nil || len(f.byID) >= maxForwarded {
		f.byID, f.older = map[string]forwardedID{}, f.byID
	}
	f.byID[id] = forwardedID{cell, now}
}

// sweep drops the records that are older than keep.
func (f *forwardedIDs) sweep(keep time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := func(_ string, r forwardedID) bool { return now.Sub(r.at) >= keep }
	maps.DeleteFunc(f.byID, old)
	maps.DeleteFunc(f.older, old)
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
