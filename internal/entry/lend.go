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
	// lendAfter is how long an accepted request finds no server in its own cell
	// before another cell is asked. It is longer than a restart of one server
	// that is known to come back.
	lendAfter = time.Second
	// lendTimeout bounds the call that asks; it carries the tokens so far.
	lendTimeout = 2 * time.Second
)

// lend has another cell compute the rest of an answer while this instance keeps
// its record, so that callers and keepers notice nothing. It reports whether
// the answer has ended. A request that was lent or forwarded here stays. What is
// known of crashes goes with a suspect, whose permits are held here meanwhile.
func (r *runner) lend(ctx context.Context, now time.Time) bool {
	if r.acc.Lender != "" || r.acc.Hop {
		return false
	}
	for _, cell := range r.e.cells.Choose(r.req.Service, r.using, r.req.ID, forwardCells, now) {
		done := r.e.cells.Sent(cell.Name, r.req.Service, r.using)
		taken, ended := r.lendTo(ctx, cell)
		done()
		if taken {
			return ended
		}
	}
	return false
}

// lendTo reads the answer from a cell until it ends or no instance of the cell
// goes on with it. Its name there is that of the attempt, because the record of
// an earlier one may have gone on with other tokens.
func (r *runner) lendTo(ctx context.Context, cell cells.Cell) (taken, ended bool) {
	n := r.a.Attempt()
	msg := &entrpb.Lend{
		Id: fmt.Sprintf("%s %d", r.req.ID, n), Org: r.req.Org, Service: r.req.Service, Version: r.req.Version, Class: uint32(r.req.Class),
		Records: r.e.ledger.Of(r.fingerprint, r.e.cfg.Now()),
	}
	acc := proto.CloneOf(r.acc)
	acc.Lender = r.e.cfg.Settings.Cell
	msg.Body = mustMarshal(acc)
	for _, to := range cell.Instances[:min(len(cell.Instances), forwardTries)] {
		msg.Tokens = r.a.Tokens(0)
		peer, err := r.e.askLend(ctx, to.Peer, msg)
		if err == nil && peer == "" {
			break // no room
		}
		if err != nil {
			continue
		}
		if !taken {
			r.e.event(event.Of("answer.lent").WithRequest(r.req.ID).With("cell", cell.Name))
		}
		taken = true
		if r.readLent(ctx, peer, msg.Id, n) {
			return true, true
		}
	}
	return taken, false
}

func (e *Entry) askLend(ctx context.Context, addr string, msg *entrpb.Lend) (peer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	resp := &entrpb.Lent{}
	err = e.cfg.Net.Call(ctx, addr, lendCall, msg, resp)
	return resp.Peer, Error.Wrap(err)
}

// readLent copies the answer of another cell into the record and reports
// whether it has ended.
func (r *runner) readLent(ctx context.Context, peer, id string, n uint64) bool {
	pos := r.a.Position()
	reason, err := r.e.peers.Attach(ctx, peer, id, pos, func(chunks []stream.Chunk) error {
		tokens := make([]string, len(chunks))
		for i, c := range chunks {
			tokens[i] = c.Text
		}
		at := pos
		pos += uint64(len(tokens))
		_, err := r.a.Append(n, at, tokens)
		return err
	})
	var broken *stream.BrokenError
	switch {
	case err == nil && r.a.End(n, pos, reason) == nil:
		r.e.event(event.Of("answer.done").WithRequest(r.req.ID))
	case errors.As(err, &broken) && !broken.TakenOver:
		r.finish(broken.Reason)
	}
	return r.ended()
}

// handleLend runs the rest of an answer of another cell, within the share that
// its organisation has here.
func (e *Entry) handleLend(ctx context.Context, _ link.Peer, body []byte) (proto.Message, error) {
	var msg entrpb.Lend
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, Error.Wrap(err)
	}
	now := e.cfg.Now()
	if l, ok := e.locate(ctx, msg.Id, now); ok && l.found != nil {
		return &entrpb.Lent{Peer: l.peerOr(e.member.Self()).Address}, nil
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
	e.refresh(now)
	probe := route.Query{Service: req.Service, Version: req.Version, DataCenter: e.cfg.Settings.DataCentre}
	if view.Shares[req.Service][req.Version] == 0 {
		probe.Version = view.Serving[req.Service]
	}
	if _, err := e.table.Pick(probe, now); err != nil {
		return &entrpb.Lent{}, nil
	}
	limits, cost := e.limitsOf(req.Service, view, now), limit.Cost{Class: req.Class}
	if !limits.Admit(req.Org, req.Class, cost, now).Admit {
		return &entrpb.Lent{}, nil
	}
	release := func() { limits.Done(req.Org, cost, e.cfg.Now()) }
	if err := e.borrow(req, msg.Tokens, release, now); err != nil {
		release()
		return nil, err
	}
	return &entrpb.Lent{Peer: e.member.Self().Address}, nil
}

// borrow makes a record that begins with the tokens of the other cell, and runs it.
func (e *Entry) borrow(req stream.Request, tokens []string, release func(), now time.Time) error {
	a, err := e.answers.Accept(req, now)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := a.Append(a.Attempt(), 0, tokens); err != nil {
		a.Break("noMemory")
		return Error.Wrap(err)
	}
	lent, _, _ := strings.Cut(req.ID, " ") // the request of the caller
	e.event(event.Of("answer.borrowed").WithRequest(lent).With("id", req.ID))
	e.running.Go(func() {
		e.copyToKeeper(a)
		e.start(a, release)
	})
	return nil
}
