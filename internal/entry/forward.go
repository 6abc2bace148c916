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
	// headerForwarded marks a request forwarded by another cell; the value is
	// the name of that cell. The request is not forwarded again, so that two
	// full cells do not pass it back and forth. A caller that sets the header
	// only gives up forwarding.
	headerForwarded = "X-Forwarded-Cell"
	// maxForwardCells is how many cells are asked to take a request. Digests
	// are up to a few seconds old, so the first cell may be full by now.
	maxForwardCells = 2
	// maxForwardInstances is how many instances of a cell are tried.
	maxForwardInstances = 3
	// headerTimeout limits the wait for the response header of a streamed
	// answer, which is sent when the request is accepted. It covers a
	// reservation of the id.
	headerTimeout = 2 * reserveTimeout
)

// forwardSpec describes a request for forwarding to another cell.
type forwardSpec struct {
	service, version string
	fingerprint      poison.Fingerprint
	timeout          time.Duration // of the whole request
	// release is called when the other cell no longer works on the request; it
	// may be nil.
	release func()
	// repeatable is set for model requests, which may be computed twice. Plain
	// calls are assumed not to be repeatable.
	repeatable bool
	streamed   bool
}

func (e *Entry) modelForwardSpec(m modelRequest, version string, acc *entrpb.Accepted) forwardSpec {
	return forwardSpec{
		service: m.Service, version: version, fingerprint: poison.NewFingerprint(m.Service, version, fingerprintInput(acc)),
		timeout: seconds(e.cfg.Settings.Limits.RequestSeconds), repeatable: true, streamed: m.Stream,
	}
}

// refusedForCapacity reports whether a request was refused for lack of capacity
// and did not run.
func refusedForCapacity(f *failure) bool {
	return f != nil && f.outcome == outcomeNotRun && (f.code == "noCapacity" || f.code == "overShare")
}

// forward offers other cells a request that this cell has refused with f. It
// returns f if no cell takes the request, and nil if a response is being
// relayed. The request keeps its id and idempotency key, so that answers are
// found and claims apply as if the caller had sent it there.
func (e *Entry) forward(c *call, spec forwardSpec, f *failure) *failure {
	// A request suspected of crashing servers stays in the cell that counts its
	// crashes.
	if c.forwarded || !refusedForCapacity(f) || e.isSuspect(spec.fingerprint, c.now) {
		return f
	}
	id := answerID(c.org.Name, c.id)
	for _, cell := range e.cells.Choose(spec.service, spec.version, id, maxForwardCells, e.cfg.Now()) {
		spec.release = e.cells.Sent(cell.Name, spec.service, spec.version)
		if spec.repeatable {
			e.recordForwarded(e.serveCtx, id, cell.Name, e.cfg.Now())
		}
		taken, response := e.sendToCell(c, cell, spec)
		if taken {
			e.counters.forwarded.Add(1)
			e.recordEvent(event.Of("request.forwarded").WithRequest(id).With("cell", cell.Name))
			return response
		}
		if spec.repeatable {
			e.background.Go(func() { e.recordForwarded(e.runCtx, id, "", e.cfg.Now()) })
		}
	}
	return f
}

// resend sends a request to the cell that took it before, and reports whether
// that cell answered.
func (e *Entry) resend(c *call, name string, spec forwardSpec) (bool, *failure) {
	cell, ok := e.cells.Known(name, answerID(c.org.Name, c.id))
	if c.forwarded || !ok {
		return false, nil
	}
	return e.sendToCell(c, cell, spec)
}

// continueInCell fetches an answer that another cell computes.
func (e *Entry) continueInCell(c *call, cell string) *failure {
	spec := forwardSpec{timeout: seconds(e.cfg.Settings.Limits.RequestSeconds), repeatable: true, streamed: true}
	if done, f := e.resend(c, cell, spec); done {
		return f
	}
	f := unknownOutcome("cell " + cell + ", which computes the answer, cannot be reached")
	return f.withRetryAfter(time.Second)
}

// sendToCell sends a request to a cell and relays the response. It returns
// false if the cell did not run the request and will not run it: no instance
// could be reached, or the instances refused for lack of capacity.
func (e *Entry) sendToCell(c *call, cell cells.Cell, spec forwardSpec) (taken bool, f *failure) {
	var unknownErr error // from an attempt that may have run
	for _, instance := range cell.Instances[:min(len(cell.Instances), maxForwardInstances)] {
		r, err := e.openRemote(instance.Callers, e.outgoingCall(c), spec)
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
		unknownErr = err
		if !spec.repeatable {
			break
		}
	}
	if unknownErr != nil {
		return true, unknownOutcome("cell " + cell.Name + " gave no complete answer: " + unknownErr.Error())
	}
	return false, nil
}

// outgoingCall returns the request as sent to another cell.
func (e *Entry) outgoingCall(c *call) backnd.Call {
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
