package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/stand"
)

const (
	// orderTimeout bounds one send of an order; the service's own limit is 5 s.
	orderTimeout = 6 * time.Second
	orderTries   = 8
	// noResponse stands for the code of a response that did not arrive.
	noResponse = "noResponse"
)

// orderCall is one order of a caller, sent again under its key until its outcome
// is known. Each send has its own request id, by which the book tells which send
// was executed.
type orderCall struct {
	r      request
	c      *caller
	sends  int
	notRun []string // request ids of the sends that were said not to have run
}

// order places an order and returns its outcome.
func (p *player) order(ctx context.Context, r request) outcome {
	o := &orderCall{r: r, c: p.callers[r.Caller]}
	out := outcome{ID: r.ID, Org: r.Org, Class: r.Class, Kind: "unfinished"}
	misses, unknown := 0, false
	for ctx.Err() == nil && o.sends < orderTries {
		addr, err := o.c.address(ctx, time.Now())
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		a := o.send(ctx, addr)
		status, said, code := a.status, a.said, a.code
		if code != "" {
			out.Codes = append(out.Codes, code)
		}
		if said == "not-run" {
			o.notRun = append(o.notRun, o.sendID())
		}
		switch {
		case status == http.StatusCreated && said == "answer":
			out.Kind, out.First = "answered", time.Since(p.began.Add(r.At))
			out.Met = out.First <= targetFirst
			out = o.checkAnswer(ctx, out, a.body)
		case code == "keyReused":
			out.Kind = "wrong"
			out = out.with(promiseWrong, "order refused as another body under the same key")
		case code == "outcomeUnknown":
			out.Kind = "unknown" // the key never runs again
		case status == http.StatusTooManyRequests && !unknown:
			out.Kind = "refused"
		case said == "not-run" && !unknown:
			if misses++; misses >= notRunTries {
				out.Kind = "notRun"
			}
		case said == "answer":
			out.Kind = "wrong"
			out = out.with(promiseWrong, fmt.Sprintf("order answered with status %d: %s", status, a.body))
		case said == "unknown", status == 0:
			unknown = true
		}
		if out.Kind != "unfinished" {
			break
		}
		if code == "inProgress" {
			pause(ctx, a.after)
			continue
		}
		o.c.failed(addr)
		pause(ctx, retryPause)
	}
	if out.Kind == "unfinished" && unknown {
		out.Kind = "unknown"
	}
	p.orders.add(r.Key, out.Kind == "answered", o.notRun)
	return out
}

func (o *orderCall) sendID() string { return fmt.Sprintf("%s-s%d", o.r.ID, o.sends) }

// orderReply is the response to one send; its status is 0 if none arrived.
type orderReply struct {
	status     int
	said, code string // outcome and error code
	after      time.Duration
	body       []byte
}

func (o *orderCall) send(ctx context.Context, addr string) orderReply {
	o.sends++
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+orderPath, strings.NewReader(o.r.Body))
	if err != nil {
		return orderReply{code: noResponse}
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(o.r.Org))
	req.Header.Set("Idempotency-Key", o.r.Key)
	req.Header.Set("X-Request-Id", o.sendID())
	return o.do(req)
}

func (o *orderCall) do(req *http.Request) orderReply {
	resp, err := o.c.client.Do(req)
	if err != nil {
		return orderReply{code: noResponse}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return orderReply{code: noResponse}
	}
	a := orderReply{status: resp.StatusCode, said: resp.Header.Get("X-Outcome"), after: retryPause, body: body}
	if a.status >= 400 {
		a.code, _ = errorOf(bytes.NewReader(body))
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.after = time.Duration(n) * time.Second
	}
	return a
}

// checkAnswer checks that the answer is the booking of this order and, if the
// order is read back, that the status is the same booking.
func (o *orderCall) checkAnswer(ctx context.Context, out outcome, body []byte) outcome {
	if err := o.matches(body); err != nil {
		return out.with(promiseWrong, err.Error())
	}
	if !o.r.ReadBack {
		return out
	}
	addr, err := o.c.address(ctx, time.Now())
	if err != nil {
		return out
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+orderPath+"/"+o.r.Key, nil)
	if err != nil {
		return out
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(o.r.Org))
	a := o.do(req)
	if a.said != "answer" {
		return out // refused or broken; a read can be repeated
	}
	if err := o.matches(a.body); a.status != http.StatusOK || err != nil {
		return out.with(promiseWrong, fmt.Sprintf("status %d of order %s: %s", a.status, o.r.Key, a.body))
	}
	return out
}

func (o *orderCall) matches(body []byte) error {
	var b stand.Booking
	if err := json.Unmarshal(body, &b); err != nil || b.Key != o.r.Key || b.Body != o.r.Body {
		return Error.New("order %s got the answer %s", o.r.Key, body)
	}
	return nil
}
