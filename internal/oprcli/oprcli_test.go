package oprcli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/faults"
)

func newMember(t *testing.T, responses ...faults.Response) *faults.Responder {
	t.Helper()
	n := 0
	s, err := faults.NewResponder(func(conn *net.TCPConn, _ *http.Request) {
		n++
		responses[min(n, len(responses))-1].Send(conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against a command that counts as answered, or as refused, because of a broken response,
// and against giving up although another member answers.
func TestBrokenResponses(t *testing.T) {
	const result, refusal = `{"command": "o.c1", "version": 7}`, `{"error": {"code": "conflict", "message": "m", "version": 8}}`
	setPreset := func(addrs ...string) (Result, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c := New(addrs, "")
		defer c.Close()
		return c.SetPreset(ctx, "c1", "peak", 0)
	}
	sound := faults.SoundResponses("200 OK", "", result)
	for _, r := range sound {
		t.Run("sound/"+r.Name, func(t *testing.T) {
			t.Parallel()
			if got, err := setPreset(newMember(t, r).Addr()); err != nil || got.Version != 7 {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
	for _, r := range faults.SoundResponses("409 Conflict", "", refusal) {
		t.Run("sound refusal/"+r.Name, func(t *testing.T) {
			t.Parallel()
			var re *ResponseError
			if got, err := setPreset(newMember(t, r).Addr()); !errors.As(err, &re) || re.Code != "conflict" || re.Status != 409 {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
	for _, broken := range append(
		faults.BrokenResponses("200 OK", "", strings.Replace(result, "7", "6", 1)+" \n"),
		faults.BrokenResponses("409 Conflict", "", refusal+" \n")...,
	) {
		t.Run(fmt.Sprintf("%s, %.12q", broken.Name, broken.Text), func(t *testing.T) {
			t.Parallel()
			member := newMember(t, broken)
			if got, err := setPreset(member.Addr(), newMember(t, sound[0]).Addr()); err != nil || got.Version != 7 {
				t.Errorf("got %+v, %v", got, err)
			}
			if n := member.Requests(); n != 1 {
				t.Errorf("%d requests to the first member, want 1", n)
			}
		})
	}
}

// Guards against a declaration that counts as applied because a part of the answer came before
// the connection was reset while the declaration was being sent.
func TestResetDuringACommand(t *testing.T) {
	cut := faults.Response{Text: "HTTP/1.1 200 OK\r\n\r\n" + `{"command": "o.c1", "version": 6}`, Resets: true}
	whole := faults.SoundResponses("200 OK", "", `{"command": "o.c1", "version": 7}`)[0]
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		c := New([]string{newMember(t, cut).Addr(), newMember(t, whole).Addr()}, "")
		if got, err := c.Apply(ctx, "c1", 0, "f", make([]byte, 16<<20)); err != nil || got.Version != 7 {
			t.Errorf("got %+v, %v", got, err)
		}
		c.Close()
		cancel()
	}
}
