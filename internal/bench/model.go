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
	// streamIdleTimeout is how long a caller waits for the next event before it
	// reconnects. It covers the queue and the prefill of an overloaded engine.
	streamIdleTimeout = 6 * time.Second
	// unstreamedTimeout is the timeout for an answer that is not streamed.
	unstreamedTimeout = 8 * time.Second
	// maxNotRun is the number of "not-run" responses after which a caller gives up.
	maxNotRun = 5
	// maxLosses is the number of consecutive responses saying that an answer is lost or
	// unknown after which a caller treats the answer as lost.
	maxLosses  = 4
	retryDelay = 200 * time.Millisecond
)

// verdict classifies one response.
type verdict uint8

const (
	verdictComplete verdict = iota // the complete answer arrived
	verdictBroken                  // the connection or the stream broke, or the caller dropped the connection
	verdictNotRun                  // refused, not run
	verdictRefused                 // not run, the organisation exceeded its share
	verdictLost                    // the system reports that it has no complete answer
	verdictCrashes                 // refused as a request that crashes engines
	verdictWrong                   // the answer is wrong
)

// modelClient sends one model request of a caller and follows it to its end.
type modelClient struct {
	request      request
	caller       *caller
	checker      *answerChecker
	arrived      time.Time
	accepted     bool
	lastTokenAt  time.Time
	firstTokenAt time.Time
	gaps         []time.Duration
	dropped      bool // the caller has dropped its connection after DropAfter tokens
	codes        []string
	detail       string
}

// runModelRequest sends a model request until its outcome is known.
func (p *policyRun) runModelRequest(ctx context.Context, r request) outcome {
	m := &modelClient{request: r, caller: p.callers[r.Caller], checker: newAnswerChecker(r), arrived: p.began.Add(r.Arrival)}
	losses, notRunCount := 0, 0
	for ctx.Err() == nil {
		addr, err := m.caller.address(ctx, time.Now())
		if err != nil {
			m.detail = err.Error()
			sleep(ctx, retryDelay)
			continue
		}
		pos := m.checker.position
		v := m.send(ctx, addr)
		switch {
		case v == verdictComplete:
			return m.outcome("answered")
		case v == verdictWrong:
			return m.outcome("wrong").withBreach(promiseWrong, m.detail)
		case v == verdictCrashes && r.Poison:
			return m.outcome("crashesServers")
		case v == verdictCrashes:
			return m.outcome("wrong").withBreach(promiseLost, "refused as a request that crashes servers")
		case v == verdictRefused && !m.accepted:
			return m.outcome("refused")
		case v == verdictLost:
			if losses++; losses >= maxLosses {
				return m.outcome("lost").withBreach(promiseLost, m.detail)
			}
		case v == verdictNotRun && !m.accepted:
			if notRunCount++; notRunCount >= maxNotRun {
				return m.outcome("notRun")
			}
		}
		if m.checker.position > pos {
			losses = 0
		}
		m.caller.markFailed(addr)
		sleep(ctx, retryDelay)
	}
	return p.unfinished(m)
}

// unfinished returns the outcome of a request that has not ended at the end of the run.
// An accepted request counts as lost if no token arrived for longer than
// streamIdleTimeout.
func (p *policyRun) unfinished(m *modelClient) outcome {
	o := m.outcome("unfinished")
	if p.interrupted() || !m.accepted {
		return o
	}
	lastProgress := m.lastTokenAt
	if lastProgress.IsZero() {
		lastProgress = m.arrived
	}
	if idle := time.Since(lastProgress); idle > streamIdleTimeout {
		return o.withBreach(promiseLost, fmt.Sprintf("no token for %v at position %d: %s", idle.Round(time.Millisecond), m.checker.position, m.detail))
	}
	return o
}

func (m *modelClient) outcome(kind string) outcome {
	o := outcome{ID: m.request.ID, Org: m.request.Org, Class: m.request.Class, Kind: kind, Gaps: m.gaps, Codes: m.codes, MixedVersions: m.checker.mixedVersions}
	if kind != "answered" {
		return o
	}
	took := time.Since(m.arrived)
	if m.request.Stream && !m.firstTokenAt.IsZero() {
		o.FirstLatency = m.firstTokenAt.Sub(m.arrived)
		o.WithinTarget = o.FirstLatency <= firstTokenTarget && (m.request.MaxTokens < 2 || meanGap(m.gaps, m.request.MaxTokens) <= betweenTokensTarget)
		return o
	}
	o.WithinTarget = took <= firstTokenTarget+time.Duration(m.request.MaxTokens)*betweenTokensTarget
	return o
}

// meanGap returns the mean time between tokens. An event can hold several tokens, so the
// sum of the gaps is divided by the number of tokens after the first.
func meanGap(gaps []time.Duration, tokens int) time.Duration {
	sum := time.Duration(0)
	for _, g := range gaps {
		sum += g
	}
	return sum / time.Duration(tokens-1)
}

// send sends one HTTP request and reads the response.
func (m *modelClient) send(ctx context.Context, addr string) verdict {
	timeout := streamIdleTimeout
	if !m.request.Stream {
		timeout = unstreamedTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(timeout, cancel)
	defer idleTimer.Stop()
	req, err := m.newRequest(ctx, addr)
	if err != nil {
		m.detail = err.Error()
		return verdictWrong
	}
	resp, err := m.caller.client.Do(req)
	if err != nil {
		m.detail = err.Error()
		m.codes = append(m.codes, noResponse)
		return verdictBroken
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return m.readRefusal(resp)
	}
	m.accepted = true
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return m.readStream(resp.Body, idleTimer)
	}
	return m.readWhole(resp.Body)
}

// newRequest builds the first HTTP request, or one that resumes the answer.
func (m *modelClient) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	var req *http.Request
	var err error
	if m.accepted && m.request.ResumeByGet && m.request.Stream {
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/requests/"+m.request.ID, nil)
	} else {
		var body []byte
		body, err = json.Marshal(map[string]any{
			"model": m.request.service(), "prompt": m.request.Prompt, "max_tokens": m.request.MaxTokens, "seed": m.request.Seed, "stream": m.request.Stream,
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey(m.request.Org))
	req.Header.Set("X-Request-Id", m.request.ID)
	req.Header.Set("X-Class", m.request.Class.String())
	if m.checker.position > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(m.checker.position))
	}
	return req, nil
}

// readRefusal reads an error response.
func (m *modelClient) readRefusal(resp *http.Response) verdict {
	code, message := decodeError(resp.Body)
	m.detail = fmt.Sprintf("status %d %s: %s", resp.StatusCode, code, message)
	return m.classifyError(resp.StatusCode, code, resp.Header.Get("X-Outcome"))
}

// classifyError returns the verdict on an error response, or on an error event of a
// stream, which has the status 0.
func (m *modelClient) classifyError(status int, code, outcome string) verdict {
	m.codes = append(m.codes, code)
	switch {
	case code == "crashesServers":
		return verdictCrashes
	case code == "overShare":
		return verdictRefused
	case code == "unknownRequest", code == "timeLimit", code == "outcomeUnknown":
		return verdictLost
	case outcome == "not-run" && status == http.StatusServiceUnavailable:
		return verdictNotRun
	case code == "", code == "cutOff": // the response broke, or the answer continues at another instance
		return verdictBroken
	}
	return verdictWrong // the contract does not allow this error for a valid request
}

func decodeError(r io.Reader) (code, message string) {
	var b struct {
		Error struct{ Code, Message string }
	}
	if json.NewDecoder(r).Decode(&b) != nil {
		return "", "the response is not complete"
	}
	return b.Error.Code, b.Error.Message
}

type completionBody struct {
	Choices []struct {
		Text   string  `json:"text"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
}

var errDropped = errors.New("the caller dropped its connection")

// readStream reads server-sent events until the answer is complete or the stream ends.
func (m *modelClient) readStream(r io.Reader, idleTimer *time.Timer) verdict {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 4096), 1<<20)
	id, event, reason := -1, "", ""
	recordGap := m.checker.position == 0 // excludes the gap that the caller caused by dropping its connection
	for s.Scan() {
		line := s.Text()
		key, value, _ := strings.Cut(line, ": ")
		switch {
		case key == "id":
			id, _ = strconv.Atoi(value)
		case key == "event":
			event = value
		case key == "data" && value == "[DONE]":
			if err := m.checker.finish(reason); err != nil {
				m.detail = err.Error()
				return verdictWrong
			}
			return verdictComplete
		case key == "data" && event == "error":
			code, message := decodeError(strings.NewReader(value))
			m.detail = "event " + code + ": " + message
			return m.classifyError(0, code, "")
		case key == "data" && event == "moved":
			m.detail = "moved"
			return verdictBroken
		case key == "data":
			idleTimer.Reset(streamIdleTimeout)
			var err error
			if reason, err = m.readChunk(id, value, recordGap); errors.Is(err, errDropped) {
				return verdictBroken
			} else if err != nil {
				m.detail = err.Error()
				return verdictWrong
			}
			recordGap = true
		}
	}
	m.detail = fmt.Sprintf("the stream ended at position %d: %v", m.checker.position, s.Err())
	return verdictBroken
}

// readChunk decodes, checks and times one event of the answer. It returns the finish
// reason.
func (m *modelClient) readChunk(id int, data string, recordGap bool) (string, error) {
	var b completionBody
	if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) != 1 {
		return "", Error.New("malformed event %q", data)
	}
	reason := ""
	if b.Choices[0].Reason != nil {
		reason = *b.Choices[0].Reason
	}
	before := m.checker.position
	if err := m.checker.addEvent(id, b.Choices[0].Text); err != nil {
		return "", err
	}
	if m.checker.position == before {
		return reason, nil
	}
	now := time.Now()
	switch {
	case m.firstTokenAt.IsZero():
		m.firstTokenAt = now
	case recordGap || !m.dropped:
		m.gaps = append(m.gaps, now.Sub(m.lastTokenAt))
	}
	m.lastTokenAt = now
	if m.request.DropAfter > 0 && !m.dropped && m.checker.position >= m.request.DropAfter {
		m.dropped = true
		return "", errDropped
	}
	return reason, nil
}

// readWhole reads an answer that is not streamed.
func (m *modelClient) readWhole(r io.Reader) verdict {
	var b completionBody
	if err := json.NewDecoder(r).Decode(&b); err != nil {
		m.detail = err.Error()
		return verdictBroken // truncated, which the caller can detect
	}
	if len(b.Choices) != 1 || b.Choices[0].Reason == nil {
		m.detail = "malformed answer"
		return verdictWrong
	}
	text := b.Choices[0].Text
	err := m.checker.addEvent(countTokens(text), text)
	if err == nil {
		err = m.checker.finish(*b.Choices[0].Reason)
	}
	if err != nil {
		m.detail = err.Error()
		return verdictWrong
	}
	return verdictComplete
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
