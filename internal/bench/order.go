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
	// orderTimeout is the timeout of one send of an order. It exceeds the timeout of the
	// service, 5 s.
	orderTimeout  = 6 * time.Second
	maxOrderSends = 8
	// noResponse is the error code that the benchmark uses if no response arrived.
	noResponse = "noResponse"
)

// orderClient sends one order of a caller, repeatedly with the same idempotency key,
// until its outcome is known. Each send has its own request id, so that the order book
// shows which send was executed.
type orderClient struct {
	request request
	caller  *caller
	sends   int
	notRun  []string // request ids of the sends with the response "not-run"
}

// runOrder sends an order until its outcome is known.
func (p *policyRun) runOrder(ctx context.Context, r request) outcome {
	o := &orderClient{request: r, caller: p.callers[r.Caller]}
	out := outcome{ID: r.ID, Org: r.Org, Class: r.Class, Kind: "unfinished"}
	notRunCount, maybeRun := 0, false
	for ctx.Err() == nil && o.sends < maxOrderSends {
		addr, err := o.caller.address(ctx, time.Now())
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		reply := o.send(ctx, addr)
		status, outcomeHeader, code := reply.status, reply.outcome, reply.code
		if code != "" {
			out.Codes = append(out.Codes, code)
		}
		if outcomeHeader == "not-run" {
			o.notRun = append(o.notRun, o.sendID())
		}
		switch {
		case status == http.StatusCreated && outcomeHeader == "answer":
			out.Kind, out.FirstLatency = "answered", time.Since(p.began.Add(r.Arrival))
			out.WithinTarget = out.FirstLatency <= firstTokenTarget
			out = o.checkAnswer(ctx, out, reply.body)
		case code == "keyReused":
			out.Kind = "wrong"
			out = out.withBreach(promiseWrong, "order refused as a different body with the same key")
		case code == "outcomeUnknown":
			out.Kind = "unknown" // the system never runs this key again
		case status == http.StatusTooManyRequests && !maybeRun:
			out.Kind = "refused"
		case outcomeHeader == "not-run" && !maybeRun:
			if notRunCount++; notRunCount >= maxNotRun {
				out.Kind = "notRun"
			}
		case outcomeHeader == "answer":
			out.Kind = "wrong"
			out = out.withBreach(promiseWrong, fmt.Sprintf("order answered with status %d: %s", status, reply.body))
		case outcomeHeader == "unknown", status == 0:
			maybeRun = true
		}
		if out.Kind != "unfinished" {
			break
		}
		if code == "inProgress" {
			sleep(ctx, reply.retryAfter)
			continue
		}
		o.caller.markFailed(addr)
		sleep(ctx, retryDelay)
	}
	if out.Kind == "unfinished" && maybeRun {
		out.Kind = "unknown"
	}
	p.orderReplies.add(r.Key, out.Kind == "answered", o.notRun)
	return out
}

func (o *orderClient) sendID() string { return fmt.Sprintf("%s-s%d", o.request.ID, o.sends) }

// orderReply is the response to one send. The status is 0 if no response arrived.
type orderReply struct {
	status        int
	outcome, code string // X-Outcome header and error code
	retryAfter    time.Duration
	body          []byte
}

func (o *orderClient) send(ctx context.Context, addr string) orderReply {
	o.sends++
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+orderPath, strings.NewReader(o.request.Body))
	if err != nil {
		return orderReply{code: noResponse}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey(o.request.Org))
	req.Header.Set("Idempotency-Key", o.request.Key)
	req.Header.Set("X-Request-Id", o.sendID())
	return o.roundTrip(req)
}

func (o *orderClient) roundTrip(req *http.Request) orderReply {
	resp, err := o.caller.client.Do(req)
	if err != nil {
		return orderReply{code: noResponse}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return orderReply{code: noResponse}
	}
	reply := orderReply{status: resp.StatusCode, outcome: resp.Header.Get("X-Outcome"), retryAfter: retryDelay, body: body}
	if reply.status >= 400 {
		reply.code, _ = decodeError(bytes.NewReader(body))
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		reply.retryAfter = time.Duration(n) * time.Second
	}
	return reply
}

// checkAnswer checks that the answer is the booking of this order. If ReadBack is set, it
// reads the status of the order and checks that it is the same booking.
func (o *orderClient) checkAnswer(ctx context.Context, out outcome, body []byte) outcome {
	if err := o.matches(body); err != nil {
		return out.withBreach(promiseWrong, err.Error())
	}
	if !o.request.ReadBack {
		return out
	}
	addr, err := o.caller.address(ctx, time.Now())
	if err != nil {
		return out
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+orderPath+"/"+o.request.Key, nil)
	if err != nil {
		return out
	}
	req.Header.Set("Authorization", "Bearer "+callerKey(o.request.Org))
	reply := o.roundTrip(req)
	if reply.outcome != "answer" {
		return out // refused or broken; callers can retry reads
	}
	if err := o.matches(reply.body); reply.status != http.StatusOK || err != nil {
		return out.withBreach(promiseWrong, fmt.Sprintf("status %d of order %s: %s", reply.status, o.request.Key, reply.body))
	}
	return out
}

func (o *orderClient) matches(body []byte) error {
	var b stand.Booking
	if err := json.Unmarshal(body, &b); err != nil || b.Key != o.request.Key || b.Body != o.request.Body {
		return Error.New("order %s got the answer %s", o.request.Key, body)
	}
	return nil
}
