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

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Request is a completion.
type Request struct {
	ID        string // generated if empty
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	Class     string // "lookup", "review" or empty
}

// Event is a part of a streamed answer.
type Event struct {
	Position int    // tokens of the answer up to the end of Text
	Text     string // may be empty in the last event
	Reason   string // set in the last event
}

// Stream reads a streamed answer. If the connection breaks or its instance
// stops, it continues at another one. One goroutine uses it at a time.
type Stream struct {
	c    *Client
	ctx  context.Context
	id   string
	body []byte
	cls  string

	pos   int
	resp  *http.Response
	lines *bufio.Scanner
	addr  string
	tries int
	done  bool
	// Reconnects counts how often the stream continued elsewhere.
	Reconnects int
}

// errCut marks a connection that ended without the final event.
var errCut = errors.New("the connection ended before the answer did")

// Complete starts a completion and returns its stream once an instance has
// accepted it. The error is a *Failure if the deployment refused it.
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
	s := &Stream{c: c, ctx: ctx, id: r.ID, body: body, cls: r.Class}
	return s, s.connect()
}

// ID returns the id of the request, with which any instance continues it.
func (s *Stream) ID() string { return s.id }

// Position returns the number of tokens received.
func (s *Stream) Position() int { return s.pos }

// connect opens the answer at its position, at one instance after the other.
func (s *Stream) connect() error {
	for {
		addr, err := s.c.address(s.ctx, time.Now())
		if err != nil {
			return err
		}
		f, err := s.open(addr)
		if err == nil {
			return nil
		}
		s.tries++
		refused := f != nil && f.Outcome == NotRun && f.RetryAfter == 0
		if s.tries >= s.c.cfg.Tries || refused || s.ctx.Err() != nil {
			return err
		}
		s.c.failed(addr)
		if werr := wait(s.ctx, s.tries, f); werr != nil {
			return err
		}
	}
}

func (s *Stream) open(addr string) (*Failure, error) {
	req, err := s.c.request(s.ctx, http.MethodPost, addr, "/v1/completions", s.body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", s.id)
	if s.pos > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(s.pos))
	}
	if s.cls != "" {
		req.Header.Set("X-Class", s.cls)
	}
	resp, err := s.c.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		f := failureOf(resp)
		return f, f
	}
	s.resp, s.addr, s.lines = resp, addr, bufio.NewScanner(resp.Body)
	s.lines.Buffer(nil, maxEventBytes)
	return nil, nil
}

// Next returns the next part of the answer and io.EOF after the last one.
func (s *Stream) Next() (Event, error) {
	for !s.done {
		ev, err := s.read()
		var f *Failure
		switch {
		case err == nil && ev.Text == "" && ev.Reason == "":
			continue
		case err == nil:
			s.tries = 0
			return ev, nil
		case errors.As(err, &f):
			return Event{}, err
		}
		s.Close()
		s.c.failed(s.addr)
		s.Reconnects++
		if s.tries++; s.tries >= s.c.cfg.Tries || s.ctx.Err() != nil {
			return Event{}, err
		}
		if err := s.connect(); err != nil {
			return Event{}, err
		}
	}
	return Event{}, io.EOF
}

// read reads one server-sent event.
func (s *Stream) read() (Event, error) {
	var kind, data, id string
	for s.lines.Scan() {
		line := s.lines.Text()
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
				return s.event(kind, id, data)
			}
		}
	}
	if err := s.lines.Err(); err != nil {
		return Event{}, Error.Wrap(err)
	}
	return Event{}, Error.Wrap(errCut)
}

type chunkBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *Stream) event(kind, id, data string) (Event, error) {
	switch {
	case kind == "moved":
		return Event{}, Error.Wrap(errCut)
	case kind == "error":
		var body struct {
			Error struct{ Code, Message, Outcome string }
		}
		_ = json.Unmarshal([]byte(data), &body) // an unreadable error is an error too
		if body.Error.Code == "cutOff" {
			return Event{}, Error.Wrap(errCut) // the answer goes on at another address
		}
		return Event{}, &Failure{Status: http.StatusOK, Code: body.Error.Code, Message: body.Error.Message, Outcome: body.Error.Outcome}
	case data == "[DONE]":
		s.done = true
		s.Close()
		return Event{}, nil
	}
	var b chunkBody
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
	s.pos = pos
	return ev, nil
}

// Close ends the connection. The answer is kept by the deployment for a while.
func (s *Stream) Close() {
	if s.resp != nil {
		_ = s.resp.Body.Close()
		s.resp = nil
	}
}

// ReadAll reads the rest of the answer and returns its text and final reason.
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
