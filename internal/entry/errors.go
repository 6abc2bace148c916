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

// outcome tells a caller whether its request may have run.
type outcome string

const (
	outcomeAnswered outcome = "answer"  // the response is the backend server's answer
	outcomeNotRun   outcome = "not-run" // safe to send again
	outcomeUnknown  outcome = "unknown" // may have run
)

// Headers of the callers' API.
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

// failure is an error response to a caller.
type failure struct {
	status     int
	errorType  string // "type" of the error object
	code       string
	message    string
	outcome    outcome
	retryAfter time.Duration // zero if retrying does not help
}

func (f *failure) Error() string { return f.code + ": " + f.message }

// withRetryAfter returns a copy that tells the caller when to retry.
func (f *failure) withRetryAfter(d time.Duration) *failure {
	c := *f
	c.retryAfter = d
	return &c
}

func badRequest(code, message string) *failure {
	return &failure{status: fasthttp.StatusBadRequest, errorType: "invalid_request_error", code: code, message: message, outcome: outcomeNotRun}
}

func notFound(code, message string) *failure {
	return &failure{status: fasthttp.StatusNotFound, errorType: "not_found_error", code: code, message: message, outcome: outcomeNotRun}
}

func conflict(code, message string, o outcome) *failure {
	return &failure{status: fasthttp.StatusConflict, errorType: "conflict_error", code: code, message: message, outcome: o}
}

func unprocessable(code, message string) *failure {
	return &failure{status: fasthttp.StatusUnprocessableEntity, errorType: "invalid_request_error", code: code, message: message, outcome: outcomeNotRun}
}

func unavailable(code, message string) *failure {
	return &failure{
		status: fasthttp.StatusServiceUnavailable, errorType: "server_error", code: code, message: message,
		outcome: outcomeNotRun, retryAfter: time.Second,
	}
}

func unknownOutcome(message string) *failure {
	return &failure{status: fasthttp.StatusBadGateway, errorType: "server_error", code: "outcomeUnknown", message: message, outcome: outcomeUnknown}
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
	b, err := json.Marshal(errorBody{errorDetail{Message: f.message, Type: f.errorType, Code: f.code, Outcome: f.outcome}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error"}}`)
	}
	return b
}

// write sends the failure and discards everything that the handler has set on
// the response, except the request id.
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
