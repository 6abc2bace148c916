package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stream"
	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	lendCall = "entry.lend"
	// delegateAfter is how long no server in this cell must be available for an
	// accepted request before another cell is asked. It is longer than the
	// restart of a server that is known to come back.
	delegateAfter = time.Second
	// delegateTimeout limits a Lend call, which carries the tokens generated so
	// far.
	delegateTimeout = 2 * time.Second
)

// delegate has another cell compute the rest of an answer. This instance keeps
// the record, so that callers and replica holders are not affected. It reports
// whether the answer has ended. A request that came from another cell is not
// delegated again. The crash records of a suspect request are sent along, while
// its permits stay held here.
func (r *runner) delegate(ctx context.Context, now time.Time) bool {
	if r.acc.Lender != "" || r.acc.Hop {
		return false
	}
	for _, cell := range r.e.cells.Choose(r.req.Service, r.currentVersion, r.req.ID, maxForwardCells, now) {
		sendDone := r.e.cells.TrackRequest(cell.Name, r.req.Service, r.currentVersion)
		accepted, ended := r.delegateTo(ctx, cell)
		sendDone()
		if accepted {
			return ended
		}
	}
	return false
}

// delegateTo reads the answer from a cell until the answer ends or no instance
// of the cell continues it. Its id in that cell includes the attempt number,
// because the record of an earlier attempt may contain different tokens.
func (r *runner) delegateTo(ctx context.Context, cell cells.Cell) (accepted, ended bool) {
	n := r.answer.Attempt()
	msg := &entrpb.Lend{
		Id: fmt.Sprintf("%s %d", r.req.ID, n), Org: r.req.Org, Service: r.req.Service, Version: r.req.Version, Class: uint32(r.req.Class),
		Records: r.e.ledger.RecordsOf(r.fingerprint, r.e.cfg.Now()),
	}
	acc := proto.CloneOf(r.acc)
	acc.Lender = r.e.cfg.Settings.Cell
	msg.Body = mustMarshal(acc)
	for _, instance := range cell.Instances[:min(len(cell.Instances), maxForwardInstances)] {
		msg.Tokens = r.answer.Tokens(0)
		peer, err := r.e.callLend(ctx, instance.PeerAddr, msg)
		if err == nil && peer == "" {
			break // no capacity
		}
		if err != nil {
			continue
		}
		if !accepted {
			r.e.recordEvent(event.Of("answer.lent").WithRequest(r.req.ID).With("cell", cell.Name))
		}
		accepted = true
		if r.readDelegated(ctx, peer, msg.Id, n) {
			return true, true
		}
	}
	return accepted, false
}

func (e *Entry) callLend(ctx context.Context, addr string, msg *entrpb.Lend) (peer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	resp := &entrpb.Lent{}
	err = e.cfg.Net.Call(ctx, addr, lendCall, msg, resp)
	return resp.Peer, Error.Wrap(err)
}

// readDelegated copies the answer computed by another cell into the local
// record and reports whether the answer has ended.
func (r *runner) readDelegated(ctx context.Context, peer, id string, n uint64) bool {
	pos := r.answer.Position()
	reason, err := r.e.peers.Attach(ctx, peer, id, pos, func(chunks []stream.Chunk) error {
		tokens := make([]string, len(chunks))
		for i, c := range chunks {
			tokens[i] = c.Text
		}
		start := pos
		pos += uint64(len(tokens))
		_, err := r.answer.Append(n, start, tokens)
		return err
	})
	var broken *stream.AbortedError
	switch {
	case err == nil && r.answer.End(n, pos, reason) == nil:
		r.e.recordEvent(event.Of("answer.done").WithRequest(r.req.ID))
	case errors.As(err, &broken) && !broken.TakenOver:
		r.breakOff(broken.Reason)
	}
	return r.ended()
}

// handleLend runs the rest of an answer for another cell, within the share of
// its organisation in this cell.
func (e *Entry) handleLend(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var msg entrpb.Lend
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	now := e.cfg.Now()
	if l, ok := e.locate(ctx, msg.Id, 0, now); ok && l.found != nil {
		return &entrpb.Lent{Peer: l.holder(e.member.Self()).Address}, nil
	}
	view, err := e.cfg.Configuration.Current(now)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req := stream.Request{
		ID: msg.Id, Org: msg.Org, Service: msg.Service, Version: msg.Version,
		Class: world.Class(min(msg.Class, uint32(world.Review))), Body: msg.Body,
	}
	if err := e.ledger.Merge(msg.Records, now); err != nil {
		return nil, Error.Wrap(err)
	}
	e.refreshRouter(now)
	probe := route.Query{Service: req.Service, Version: req.Version, DataCentre: e.cfg.Settings.DataCentre}
	if view.Shares[req.Service][req.Version] == 0 {
		probe.Version = view.Serving[req.Service]
	}
	if _, err := e.router.Pick(probe, now); err != nil {
		return &entrpb.Lent{}, nil
	}
	limits, cost := e.limitsFor(req.Service, view, now), limit.Cost{Class: req.Class}
	if !limits.Admit(req.Org, req.Class, cost, now).Admit {
		return &entrpb.Lent{}, nil
	}
	release := func() { limits.Done(req.Org, cost, e.cfg.Now()) }
	if err := e.runDelegated(req, msg.Tokens, release, now); err != nil {
		release()
		return nil, err
	}
	return &entrpb.Lent{Peer: e.member.Self().Address}, nil
}

// runDelegated creates a record that starts with the tokens from the other
// cell, and runs it.
func (e *Entry) runDelegated(req stream.Request, tokens []string, release func(), now time.Time) error {
	a, err := e.answers.Accept(req, now)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := a.Append(a.Attempt(), 0, tokens); err != nil {
		a.Abort("noMemory")
		return Error.Wrap(err)
	}
	requestID, _, _ := strings.Cut(req.ID, " ") // the caller's request, without the attempt number
	e.recordEvent(event.Of("answer.borrowed").WithRequest(requestID).With("id", req.ID))
	e.background.Go(func() {
		e.replicate(a)
		e.startRun(a, release)
	})
	return nil
}
