package caller

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxEventBytes is the maximum length of a line of a server-sent event.
const maxEventBytes = 1 << 20

// Request is a completion request.
type Request struct {
	ID        string // generated if empty
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	Class     string // "lookup", "review" or empty
}

// Event is one event of a streamed answer.
type Event struct {
	Position int    // number of tokens of the answer up to the end of Text
	Text     string // may be empty in the last event
	Reason   string // finish reason, set in the last event
}

// Stream reads a streamed answer. If the connection breaks or the entry instance
// stops, the stream resumes at another instance. It is not safe for concurrent use.
type Stream struct {
	client *Client
	ctx    context.Context
	id     string
	body   []byte
	class  string

	position int
	resp     *http.Response
	scanner  *bufio.Scanner
	address  string
	attempts int
	done     bool
	// Reconnects counts the attempts to resume the stream.
	Reconnects int
}

// errIncomplete means that the answer was not finished on this connection.
var errIncomplete = errors.New("the connection ended before the answer did")

// Complete starts a completion and returns its stream once an instance has accepted
// the request. The error is a *Failure if the deployment refused the request.
func (c *Client) Complete(ctx context.Context, r Request) (*Stream, error) {
	if r.ID == "" {
		r.ID = "call-" + strings.ToLower(rand.Text())
	}
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "seed": r.Seed, "stream": true,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Stream{client: c, ctx: ctx, id: r.ID, body: body, class: r.Class}
	return s, s.connect()
}

// ID returns the id of the request, by which any instance can resume the answer.
func (s *Stream) ID() string { return s.id }

// Position returns the number of tokens received.
func (s *Stream) Position() int { return s.position }

// connect tries the instances in turn until one sends the answer from the current
// position on.
func (s *Stream) connect() error {
	for {
		addr, err := s.client.address(s.ctx, time.Now())
		if err != nil {
			return err
		}
		f, err := s.openAt(addr)
		if err == nil {
			return nil
		}
		s.attempts++
		rejected := f != nil && f.Outcome == NotRun && f.RetryAfter == 0
		if s.attempts >= s.client.cfg.MaxAttempts || rejected || s.ctx.Err() != nil {
			return err
		}
		s.client.markFailed(addr)
		if werr := backOff(s.ctx, s.attempts, f); werr != nil {
			return err
		}
	}
}

func (s *Stream) openAt(addr string) (*Failure, error) {
	req, err := s.client.newRequest(s.ctx, http.MethodPost, addr, "/v1/completions", s.body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", s.id)
	if s.position > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(s.position))
	}
	if s.class != "" {
		req.Header.Set("X-Class", s.class)
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		f := parseFailure(resp)
		return f, f
	}
	s.resp, s.address, s.scanner = resp, addr, bufio.NewScanner(resp.Body)
	s.scanner.Buffer(nil, maxEventBytes)
	return nil, nil
}

// Next returns the next event of the answer, and io.EOF after the last one.
func (s *Stream) Next() (Event, error) {
	for !s.done {
		ev, err := s.readEvent()
		var f *Failure
		switch {
		case err == nil && ev.Text == "" && ev.Reason == "":
			continue
		case err == nil:
			s.attempts = 0
			return ev, nil
		case errors.As(err, &f):
			return Event{}, err
		}
		s.Close()
		s.client.markFailed(s.address)
		s.Reconnects++
		if s.attempts++; s.attempts >= s.client.cfg.MaxAttempts || s.ctx.Err() != nil {
			return Event{}, err
		}
		if err := s.connect(); err != nil {
			return Event{}, err
		}
	}
	return Event{}, io.EOF
}

// readEvent reads one server-sent event.
func (s *Stream) readEvent() (Event, error) {
	var kind, data, id string
	for s.scanner.Scan() {
		line := s.scanner.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "event":
			kind = value
		case "data":
			data = value
		case "":
			if data != "" {
				return s.parseEvent(kind, id, data)
			}
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, Error.Wrap(err)
	}
	return Event{}, Error.Wrap(errIncomplete)
}

type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *Stream) parseEvent(kind, id, data string) (Event, error) {
	switch {
	case kind == "moved":
		return Event{}, Error.Wrap(errIncomplete)
	case kind == "error":
		var body struct {
			Error struct{ Code, Message, Outcome string }
		}
		_ = json.Unmarshal([]byte(data), &body) // an error event that cannot be decoded still ends the stream
		switch body.Error.Code {
		case "cutOff", "notAllAnswered":
			return Event{}, Error.Wrap(errIncomplete) // the answer continues at another address
		}
		return Event{}, &Failure{Status: http.StatusOK, Code: body.Error.Code, Message: body.Error.Message, Outcome: body.Error.Outcome}
	case data == "[DONE]":
		s.done = true
		s.Close()
		return Event{}, nil
	}
	var b completionChunk
	pos, err := strconv.Atoi(id)
	if err != nil || json.Unmarshal([]byte(data), &b) != nil {
		return Event{}, Error.New("malformed event %.100q", data)
	}
	if len(b.Choices) == 0 {
		return Event{}, nil
	}
	ev := Event{Position: pos, Text: b.Choices[0].Text}
	if r := b.Choices[0].FinishReason; r != nil {
		ev.Reason = *r
	}
	s.position = pos
	return ev, nil
}

// Close closes the connection. The deployment keeps the answer for a while.
func (s *Stream) Close() {
	if s.resp != nil {
		_ = s.resp.Body.Close()
		s.resp = nil
	}
}

// ReadAll reads the rest of the answer and returns its text and finish reason.
func (s *Stream) ReadAll() (text, reason string, err error) {
	var b strings.Builder
	for {
		ev, err := s.Next()
		if err == io.EOF {
			return b.String(), reason, nil
		}
		if err != nil {
			return b.String(), reason, err
		}
		b.WriteString(ev.Text)
		if ev.Reason != "" {
			reason = ev.Reason
		}
	}
}
