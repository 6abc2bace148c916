package intact

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
)

const body = `{"answer": "whole"}`

// get returns what a client takes for the response to a request.
func get(c *http.Client, url string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(b)), err
}

// Guards against a client that takes a broken response for an answer, sends the request again by
// itself, or rejects a sound response, on a new connection and on a reused one.
func TestTransport(t *testing.T) {
	sound := faults.SoundResponses("200 OK", "X-A: a\r\n", body)
	type testCase struct {
		faults.Response
		want string
	}
	var cases []testCase
	for _, r := range sound {
		cases = append(cases, testCase{r, "200 " + body})
	}
	for _, r := range faults.BrokenResponses("200 OK", "X-A: a\r\n", body) {
		cases = append(cases, testCase{r, ""})
	}
	for _, c := range cases {
		for _, before := range []int{0, 1} {
			t.Run(fmt.Sprint(c.Name, "/", before), func(t *testing.T) {
				t.Parallel()
				n := 0
				s, err := faults.NewResponder(func(conn *net.TCPConn, _ *http.Request) {
					if n++; n <= before {
						sound[0].Send(conn)
						return
					}
					c.Send(conn)
				})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				client := &http.Client{Transport: NewTransport(&http.Transport{})}
				defer client.CloseIdleConnections()
				for range before {
					if got, err := get(client, "http://"+s.Addr()); err != nil || got != "200 "+body {
						t.Fatalf("got %q, %v", got, err)
					}
				}
				got, err := get(client, "http://"+s.Addr())
				if c.want == "" && (err == nil || errors.Is(err, context.DeadlineExceeded)) || c.want != "" && (err != nil || got != c.want) {
					t.Errorf("%q: got %q, %v, want %q", c.Text, got, err, c.want)
				}
				if got := s.Requests(); got != int64(before)+1 {
					t.Errorf("%d requests, want %d", got, before+1)
				}
			})
		}
	}
}

// Guards against responses over TLS that are not checked, and against losing the connection
// between requests.
func TestTransportTLS(t *testing.T) {
	text := ""
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, r.RemoteAddr)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	defer srv.Close()
	cfg := srv.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: cfg})}
	defer client.CloseIdleConnections()
	first, err := get(client, srv.URL+"/sound")
	if err != nil {
		t.Fatal(err)
	}
	if second, err := get(client, srv.URL+"/sound"); err != nil || second != first {
		t.Errorf("got %q after %q, %v, want the same connection", second, first, err)
	}
	for _, r := range faults.BrokenResponses("200 OK", "", body) {
		if text = r.Text; r.Resets {
			continue
		}
		if got, err := get(client, srv.URL+"/"); err == nil {
			t.Errorf("%s: got %q", r.Name, got)
		}
	}
	other := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}})}
	if got, err := get(other, srv.URL+"/sound"); err == nil {
		t.Errorf("got %q from a server with an unknown certificate", got)
	}
}

// Guards against heads that are judged differently when they arrive in several pieces.
func TestHeadsInPieces(t *testing.T) {
	scanAll := func(text string, size int) (int, error) {
		var s scanner
		for at := 0; at < len(text); at += size {
			n, err := s.scan([]byte(text[at:min(at+size, len(text))]))
			if err != nil {
				return at + n, err
			}
		}
		return len(text), nil
	}
	for _, r := range append(faults.SoundResponses("200 OK", "", body), faults.BrokenResponses("200 OK", "", body)...) {
		want, wantErr := scanAll(r.Text, len(r.Text))
		for size := range 9 {
			if n, err := scanAll(r.Text, size+1); n != want || (err == nil) != (wantErr == nil) {
				t.Errorf("%q in pieces of %d bytes: %d, %v, want %d, %v", r.Text, size+1, n, err, want, wantErr)
			}
		}
	}
}

// endedConn is a connection of which nothing can be read any more. Writes return an error once
// they may.
type endedConn struct {
	net.Conn
	writeErr error
	returns  chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	<-c.returns
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.returns)
	return nil
}

// Guards against an end of the connection that looks regular because a write, which may not have
// returned yet, has received the error that broke it.
func TestBreakReportedToAWrite(t *testing.T) {
	for _, c := range []struct {
		name     string
		writeErr error
		broken   bool
	}{
		{"reset", &net.OpError{Op: "write", Err: syscall.ECONNRESET}, true},
		{"timeout of the kernel", &net.OpError{Op: "write", Err: syscall.ETIMEDOUT}, true},
		{"closed by the server", &net.OpError{Op: "write", Err: syscall.EPIPE}, false},
		{"deadline", &net.OpError{Op: "write", Err: context.DeadlineExceeded}, false},
		{"none", nil, false},
	} {
		for _, returned := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, "/", returned), func(t *testing.T) {
				inner := &endedConn{writeErr: c.writeErr, returns: make(chan struct{})}
				conn := NewConn(inner)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write([]byte("request"))
				}()
				if returned {
					close(inner.returns)
					<-written
				} else {
					for conn.writing.TryLock() { // until the write is in progress
						conn.writing.Unlock()
						time.Sleep(time.Millisecond)
					}
				}
				for range 2 {
					_, err := conn.Read(make([]byte, 1))
					if got := !errors.Is(err, io.EOF); got != c.broken {
						t.Errorf("got %v, want a broken connection: %v", err, c.broken)
					}
				}
				<-written
			})
		}
	}
}

// FuzzScanner guards against a head that is accepted although package net/http reads it as one
// with a status or the name of a field that HTTP does not allow.
func FuzzScanner(f *testing.F) {
	for _, r := range append(faults.SoundResponses("200 OK", "", body), faults.BrokenResponses("200 OK", "", body)...) {
		f.Add(r.Text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var s scanner
		if _, err := s.scan([]byte(text)); err != nil {
			return
		}
		for br := bufio.NewReader(strings.NewReader(text)); ; {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			for name := range resp.Header {
				if strings.TrimFunc(name, func(c rune) bool { return c < 0x80 && isTokenByte(byte(c)) }) != "" {
					t.Errorf("accepted the name %q in %q", name, text)
				}
			}
			if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
				t.Errorf("accepted status %d in %q", resp.StatusCode, text)
			}
			if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
				return
			}
		}
	})
}
