package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

// outcome says what a caller may conclude about its call.
type outcome string

const (
	answered outcome = "answer"  // this is the backend server's answer
	notRun   outcome = "not-run" // safe to send again
	unknown  outcome = "unknown" // may have run
)

// Names of the headers that the contract with callers defines.
const (
	headerRequestID    = "X-Request-Id"
	headerOutcome      = "X-Outcome"
	headerClass        = "X-Class"
	headerOrganisation = "X-Organisation"
	headerLastEvent    = "Last-Event-ID"
	headerKey          = "Idempotency-Key"
	headerReplayed     = "X-Replayed"
	headerAttempt      = "X-Attempt"
)

// failure is the response to a request that got no answer.
type failure struct {
	status     int
	kind       string // "type" of the error object
	code       string
	message    string
	outcome    outcome
	retryAfter time.Duration // zero if a new try makes no sense
}

func (f *failure) Error() string { return f.code + ": " + f.message }

// withRetryAfter returns a copy that tells the caller when to come back.
func (f *failure) withRetryAfter(d time.Duration) *failure {
	c := *f
	c.retryAfter = d
	return &c
}

func badRequest(code, message string) *failure {
	return &failure{status: fasthttp.StatusBadRequest, kind: "invalid_request_error", code: code, message: message, outcome: notRun}
}

func notFound(code, message string) *failure {
	return &failure{status: fasthttp.StatusNotFound, kind: "not_found_error", code: code, message: message, outcome: notRun}
}

func conflict(code, message string, o outcome) *failure {
	return &failure{status: fasthttp.StatusConflict, kind: "conflict_error", code: code, message: message, outcome: o}
}

func unprocessable(code, message string) *failure {
	return &failure{status: fasthttp.StatusUnprocessableEntity, kind: "invalid_request_error", code: code, message: message, outcome: notRun}
}

func unavailable(code, message string) *failure {
	return &failure{
		status: fasthttp.StatusServiceUnavailable, kind: "server_error", code: code, message: message,
		outcome: notRun, retryAfter: time.Second,
	}
}

func outcomeUnknown(message string) *failure {
	return &failure{status: fasthttp.StatusBadGateway, kind: "server_error", code: "outcomeUnknown", message: message, outcome: unknown}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Outcome outcome `json:"outcome"`
}

func (f *failure) body() []byte {
	b, err := json.Marshal(errorBody{errorDetail{Message: f.message, Type: f.kind, Code: f.code, Outcome: f.outcome}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error"}}`)
	}
	return b
}

// write sends the failure. Whatever the handler had set on the response is dropped.
func (f *failure) write(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Response.Header.Peek(headerRequestID))
	ctx.Response.Reset()
	if id != "" {
		ctx.Response.Header.Set(headerRequestID, id)
	}
	ctx.SetStatusCode(f.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	ctx.SetBody(f.body())
}
