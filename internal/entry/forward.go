package entry

import (
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cells"
	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/poison"
)

const (
	// headerForwarded marks a request that another cell has forwarded, by that
	// cell's name. It is not forwarded again, so two full cells cannot pass it to
	// and fro. A caller that sets it only renounces forwarding.
	headerForwarded = "X-Forwarded-Cell"
	// forwardCells is how many cells are asked to take one request. Digests are
	// up to a few seconds old, so the first one may have filled up.
	forwardCells = 2
	// forwardTries is how many instances of one cell are tried.
	forwardTries = 3
	// headerWait bounds the wait for the header of a streamed answer, which is
	// sent when the request is accepted. It covers a reservation of the id.
	headerWait = 2 * reserveWait
)

// wanted is what a request needs that this cell may not have.
type wanted struct {
	service, version string
	fingerprint      poison.Fingerprint
	limit            time.Duration // of the whole request
	// done is called when the other cell no longer works on the request; it may
	// be nil.
	done func()
	// model requests may be computed twice; of a plain call it is not known.
	model  bool
	stream bool
}

func (e *Entry) wantedModel(m modelRequest, version string, acc *entrpb.Accepted) wanted {
	return wanted{
		service: m.Service, version: version, fingerprint: poison.Of(m.Service, version, requestText(acc)),
		limit: seconds(e.cfg.Settings.Limits.RequestSeconds), model: true, stream: m.Stream,
	}
}

// isFull reports whether a request was refused for lack of capacity, without
// having run.
func isFull(f *failure) bool {
	return f != nil && f.outcome == notRun && (f.code == "noCapacity" || f.code == "overShare")
}

// forward lets another cell take a request that this cell has refused with f.
// It returns f if no cell takes it, and nil if an answer is on its way. The
// request keeps its id and its key, so that answers are found and claims hold as
// if the caller had sent it there.
func (e *Entry) forward(c *call, w wanted, f *failure) *failure {
	// A request that is suspected to crash servers stays with the cell that
	// counts its crashes.
	if c.hop || !isFull(f) || e.suspect(w.fingerprint, c.now) {
		return f
	}
	id := answerID(c.org.Name, c.id)
	for _, cell := range e.cells.Choose(w.service, w.version, id, forwardCells, e.cfg.Now()) {
		w.done = e.cells.Sent(cell.Name, w.service, w.version)
		if w.model {
			e.recordForwarded(e.ctx, id, cell.Name, e.cfg.Now())
		}
		taken, other := e.send(c, cell, w)
		if taken {
			e.tally.forwarded.Add(1)
			e.event(event.Of("request.forwarded").WithRequest(id).With("cell", cell.Name))
			return other
		}
		if w.model {
			e.running.Go(func() { e.recordForwarded(e.runs, id, "", e.cfg.Now()) })
		}
	}
	return f
}

// again sends a request to the cell that has taken it before. It reports
// whether that cell answered.
func (e *Entry) again(c *call, name string, w wanted) (bool, *failure) {
	cell, ok := e.cells.Known(name, answerID(c.org.Name, c.id))
	if c.hop || !ok {
		return false, nil
	}
	return e.send(c, cell, w)
}

// continueAt fetches an answer that another cell computes.
func (e *Entry) continueAt(c *call, cell string) *failure {
	w := wanted{limit: seconds(e.cfg.Settings.Limits.RequestSeconds), model: true, stream: true}
	if done, f := e.again(c, cell, w); done {
		return f
	}
	f := outcomeUnknown("cell " + cell + ", which computes the answer, cannot be reached")
	return f.withRetryAfter(time.Second)
}

// send sends a request to a cell and relays the response. It reports false if
// the cell did not run the request and may never do so: no instance was
// reached, or all refused for lack of capacity.
func (e *Entry) send(c *call, cell cells.Cell, w wanted) (taken bool, f *failure) {
	var maybe error // of an attempt that may have run
	for _, to := range cell.Instances[:min(len(cell.Instances), forwardTries)] {
		r, err := e.open(to.Callers, e.outgoing(c), w)
		if err == nil && r.refusal != "" {
			if r.refusal == "notConfirmed" {
				continue
			}
			break
		}
		if err == nil {
			err = r.write(c, cell)
		}
		if err == nil {
			return true, nil
		}
		if backnd.OutcomeOf(err) == backnd.NotRun {
			continue
		}
		maybe = err
		if !w.model {
			break
		}
	}
	if maybe != nil {
		return true, outcomeUnknown("cell " + cell.Name + " gave no complete answer: " + maybe.Error())
	}
	return false, nil
}

// outgoing is the request as the other cell gets it.
func (e *Entry) outgoing(c *call) backnd.Call {
	out := backnd.Call{
		RequestID: c.id, Attempt: 1, Method: string(c.http.Method()), Path: string(c.http.RequestURI()), Body: c.body,
	}
	for k, v := range c.http.Request.Header.All() {
		if !strings.EqualFold(string(k), headerForwarded) {
			out.Header = append(out.Header, backnd.Header{Name: string(k), Value: string(v)})
		}
	}
	out.Header = append(out.Header, backnd.Header{Name: headerForwarded, Value: e.cfg.Settings.Cell})
	return out
}
