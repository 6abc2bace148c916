package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// silence is how long a caller waits for the next event before it connects
	// again. It covers the queue and the prefill of an overloaded engine.
	silence = 6 * time.Second
	// wholeTimeout bounds the wait for an answer that is not streamed.
	wholeTimeout = 8 * time.Second
	// notRunTries is how often a caller repeats a request that was not run.
	notRunTries = 5
	// brokenTries is how often a caller continues an answer that the system
	// says is broken off or unknown before it believes that.
	brokenTries = 4
	retryPause  = 200 * time.Millisecond
)

// verdict is how one response ended.
type verdict uint8

const (
	whole   verdict = iota // the complete answer arrived
	broken                 // the connection or the stream broke, or the caller dropped it
	notRun                 // refused, not run
	refused                // over the organisation's share, not run
	gone                   // the system says that it has no whole answer
	final                  // the request crashes engines
	wrong                  // the answer is not the right one
)

// modelCall is one model request of a caller until its end.
type modelCall struct {
	r        request
	c        *caller
	check    *answerCheck
	arrived  time.Time
	accepted bool
	last     time.Time // of the latest event
	first    time.Time // of the first token
	gaps     []time.Duration
	dropped  bool // the caller has dropped its connection as planned
	codes    []string
	detail   string
}

// model runs a model request and returns its outcome.
func (p *player) model(ctx context.Context, r request) outcome {
	m := &modelCall{r: r, c: p.callers[r.Caller], check: newAnswerCheck(r), arrived: p.began.Add(r.At)}
	losses, misses := 0, 0
	for ctx.Err() == nil {
		addr, err := m.c.address(ctx, time.Now())
		if err != nil {
			m.detail = err.Error()
			pause(ctx, retryPause)
			continue
		}
		pos := m.check.pos
		v := m.send(ctx, addr)
		switch {
		case v == whole:
			return m.outcome("answered")
		case v == wrong:
			return m.outcome("wrong").with(promiseWrong, m.detail)
		case v == final && r.Poison:
			return m.outcome("crashesServers")
		case v == final:
			return m.outcome("wrong").with(promiseLost, "refused as a request that crashes servers")
		case v == refused && !m.accepted:
			return m.outcome("refused")
		case v == gone:
			if losses++; losses >= brokenTries {
				return m.outcome("lost").with(promiseLost, m.detail)
			}
		case v == notRun && !m.accepted:
			if misses++; misses >= notRunTries {
				return m.outcome("notRun")
			}
		}
		if m.check.pos > pos {
			losses = 0
		}
		m.c.failed(addr)
		pause(ctx, retryPause)
	}
	return p.unfinished(m)
}

// unfinished is the outcome of a request at the end of the run. An accepted one
// counts as lost if the system had time to finish it or its latest word was that
// it cannot continue.
func (p *player) unfinished(m *modelCall) outcome {
	o := m.outcome("unfinished")
	if p.interrupted() || !m.accepted {
		return o
	}
	since := m.last
	if since.IsZero() {
		since = m.arrived
	}
	if quiet := time.Since(since); quiet > silence {
		return o.with(promiseLost, fmt.Sprintf("no token for %v at position %d: %s", quiet.Round(time.Millisecond), m.check.pos, m.detail))
	}
	return o
}

func (m *modelCall) outcome(kind string) outcome {
	o := outcome{ID: m.r.ID, Org: m.r.Org, Class: m.r.Class, Kind: kind, Gaps: m.gaps, Codes: m.codes, Mixed: m.check.mixed}
	if kind != "answered" {
		return o
	}
	took := time.Since(m.arrived)
	if m.r.Stream && !m.first.IsZero() {
		o.First = m.first.Sub(m.arrived)
		o.Met = o.First <= targetFirst && (m.r.MaxTokens < 2 || mean(m.gaps, m.r.MaxTokens) <= targetBetween)
		return o
	}
	o.Met = took <= targetFirst+time.Duration(m.r.MaxTokens)*targetBetween
	return o
}

// mean returns the time between tokens: the gaps divided by the tokens after the first.
func mean(gaps []time.Duration, tokens int) time.Duration {
	sum := time.Duration(0)
	for _, g := range gaps {
		sum += g
	}
	return sum / time.Duration(tokens-1)
}

// send makes one HTTP request and reads its response.
func (m *modelCall) send(ctx context.Context, addr string) verdict {
	limit := silence
	if !m.r.Stream {
		limit = wholeTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(limit, cancel)
	defer watch.Stop()
	req, err := m.request(ctx, addr)
	if err != nil {
		m.detail = err.Error()
		return wrong
	}
	resp, err := m.c.client.Do(req)
	if err != nil {
		m.detail = err.Error()
		m.codes = append(m.codes, noResponse)
		return broken
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return m.refusal(resp)
	}
	m.accepted = true
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return m.stream(resp.Body, watch)
	}
	return m.wholeAnswer(resp.Body)
}

// request builds the first request, or the one that continues the answer.
func (m *modelCall) request(ctx context.Context, addr string) (*http.Request, error) {
	var req *http.Request
	var err error
	if m.accepted && m.r.ByGet && m.r.Stream {
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/requests/"+m.r.ID, nil)
	} else {
		var body []byte
		body, err = json.Marshal(map[string]any{
			"model": m.r.service(), "prompt": m.r.Prompt, "max_tokens": m.r.MaxTokens, "seed": m.r.Seed, "stream": m.r.Stream,
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(m.r.Org))
	req.Header.Set("X-Request-Id", m.r.ID)
	req.Header.Set("X-Class", m.r.Class.String())
	if m.check.pos > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(m.check.pos))
	}
	return req, nil
}

// refusal reads a response that is not an answer.
func (m *modelCall) refusal(resp *http.Response) verdict {
	code, message := errorOf(resp.Body)
	m.detail = fmt.Sprintf("status %d %s: %s", resp.StatusCode, code, message)
	return m.verdictOf(resp.StatusCode, code, resp.Header.Get("X-Outcome"))
}

// verdictOf judges an error of a response with a status, or of a stream.
func (m *modelCall) verdictOf(status int, code, said string) verdict {
	m.codes = append(m.codes, code)
	switch {
	case code == "crashesServers":
		return final
	case code == "overShare":
		return refused
	case code == "unknownRequest", code == "timeLimit", code == "outcomeUnknown":
		return gone
	case said == "not-run" && status == http.StatusServiceUnavailable:
		return notRun
	case code == "", code == "cutOff": // the response broke, or goes on elsewhere
		return broken
	}
	return wrong // an error that the contract does not foresee for a valid request
}

func errorOf(r io.Reader) (code, message string) {
	var b struct {
		Error struct{ Code, Message string }
	}
	if json.NewDecoder(r).Decode(&b) != nil {
		return "", "the response is not complete"
	}
	return b.Error.Code, b.Error.Message
}

type choiceBody struct {
	Choices []struct {
		Text   string  `json:"text"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
}

var errDropped = errors.New("the caller dropped its connection")

// stream reads server-sent events until the answer is whole or the stream ends.
func (m *modelCall) stream(r io.Reader, watch *time.Timer) verdict {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 4096), 1<<20)
	id, event, reason := -1, "", ""
	fresh := m.check.pos == 0 // gaps around a drop by the caller are the caller's
	for s.Scan() {
		line := s.Text()
		key, value, _ := strings.Cut(line, ": ")
		switch {
		case key == "id":
			id, _ = strconv.Atoi(value)
		case key == "event":
			event = value
		case key == "data" && value == "[DONE]":
			if err := m.check.finish(reason); err != nil {
				m.detail = err.Error()
				return wrong
			}
			return whole
		case key == "data" && event == "error":
			code, message := errorOf(strings.NewReader(value))
			m.detail = "event " + code + ": " + message
			return m.verdictOf(0, code, "")
		case key == "data" && event == "moved":
			m.detail = "moved"
			return broken
		case key == "data":
			watch.Reset(silence)
			var err error
			if reason, err = m.chunk(id, value, fresh); errors.Is(err, errDropped) {
				return broken
			} else if err != nil {
				m.detail = err.Error()
				return wrong
			}
			fresh = true
		}
	}
	m.detail = fmt.Sprintf("the stream ended at position %d: %v", m.check.pos, s.Err())
	return broken
}

// chunk takes one event of the answer.
func (m *modelCall) chunk(id int, data string, timed bool) (string, error) {
	var b choiceBody
	if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) != 1 {
		return "", Error.New("malformed event %q", data)
	}
	reason := ""
	if b.Choices[0].Reason != nil {
		reason = *b.Choices[0].Reason
	}
	before := m.check.pos
	if err := m.check.event(id, b.Choices[0].Text); err != nil {
		return "", err
	}
	if m.check.pos == before {
		return reason, nil
	}
	now := time.Now()
	switch {
	case m.first.IsZero():
		m.first = now
	case timed || !m.dropped:
		m.gaps = append(m.gaps, now.Sub(m.last))
	}
	m.last = now
	if m.r.BreakAt > 0 && !m.dropped && m.check.pos >= m.r.BreakAt {
		m.dropped = true
		return "", errDropped
	}
	return reason, nil
}

// wholeAnswer reads an answer that is not streamed.
func (m *modelCall) wholeAnswer(r io.Reader) verdict {
	var b choiceBody
	if err := json.NewDecoder(r).Decode(&b); err != nil {
		m.detail = err.Error()
		return broken // cut before its end, which the caller can see
	}
	if len(b.Choices) != 1 || b.Choices[0].Reason == nil {
		m.detail = "malformed answer"
		return wrong
	}
	text := b.Choices[0].Text
	err := m.check.event(tokensIn(text), text)
	if err == nil {
		err = m.check.finish(*b.Choices[0].Reason)
	}
	if err != nil {
		m.detail = err.Error()
		return wrong
	}
	return whole
}

// pause waits unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
