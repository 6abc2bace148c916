package cloud_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/faults"
)

// scriptedCloud is a stand-in for the platform that sends one response to all requests.
func scriptedCloud(t *testing.T, r faults.Response) (context.Context, *cloud.Client) {
	t.Helper()
	s, err := faults.NewResponder(func(conn *net.TCPConn, _ *http.Request) { r.Send(conn) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c := cloud.New(cloud.Config{Cloud: "http://" + s.Addr(), WeightStore: "http://" + s.Addr()})
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx, c
}

// Guards against broken responses that count as answers of the platform: an instance that was
// not started, one that was not stopped, instances that are not there, lost weights.
func TestBrokenResponses(t *testing.T) {
	const instance = `{"id": "i-1", "state": "starting", "instances": [], "last": 1}`
	calls := []struct {
		name string
		do   func(ctx context.Context, c *cloud.Client) error
	}{
		{"Start", func(ctx context.Context, c *cloud.Client) error {
			_, err := c.Start(ctx, startRequest("a", "z1", true))
			return err
		}},
		{"Stop", func(ctx context.Context, c *cloud.Client) error { return c.Stop(ctx, "i-1") }},
		{"Instances", func(ctx context.Context, c *cloud.Client) error { _, err := c.Instances(ctx); return err }},
		{"Notices", func(ctx context.Context, c *cloud.Client) error { _, _, err := c.Notices(ctx, 0); return err }},
		{"Weights", func(ctx context.Context, c *cloud.Client) error {
			body, _, err := c.Weights(ctx, "s", "v1")
			if err != nil {
				return err
			}
			defer body.Close()
			_, err = io.Copy(io.Discard, body)
			return err
		}},
	}
	for _, call := range calls {
		for _, r := range faults.SoundResponses("200 OK", "", instance) {
			t.Run(fmt.Sprint(call.name, "/sound/", r.Name), func(t *testing.T) {
				t.Parallel()
				ctx, c := scriptedCloud(t, r)
				withoutLength := call.name == "Weights" && r.Closes
				if err := call.do(ctx, c); (err != nil) != withoutLength {
					t.Errorf("got %v, want an error: %v", err, withoutLength)
				}
			})
		}
		for _, r := range faults.BrokenResponses("200 OK", "", instance+" \n") {
			t.Run(fmt.Sprint(call.name, "/", r.Name), func(t *testing.T) {
				t.Parallel()
				ctx, c := scriptedCloud(t, r)
				if err := call.do(ctx, c); err == nil || ctx.Err() != nil {
					t.Errorf("got %v, want an error at once", err)
				}
			})
		}
	}
}

// Guards against a start that counts as refused, so that no instance is running, because of a
// broken response.
func TestBrokenRefusals(t *testing.T) {
	const refusal = `{"error": {"code": "noCapacity", "message": "m"}}`
	for _, r := range faults.SoundResponses("409 Conflict", "", refusal) {
		t.Run("sound/"+r.Name, func(t *testing.T) {
			t.Parallel()
			ctx, c := scriptedCloud(t, r)
			if _, err := c.Start(ctx, startRequest("a", "z1", true)); !cloud.NoCapacity(err) {
				t.Errorf("got %v, want no capacity", err)
			}
		})
	}
	for _, r := range faults.BrokenResponses("409 Conflict", "", refusal+" \n") {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			ctx, c := scriptedCloud(t, r)
			var answer *cloud.ErrorResponse
			if _, err := c.Start(ctx, startRequest("a", "z1", true)); err == nil || cloud.NoCapacity(err) || !r.Cut && errors.As(err, &answer) {
				t.Errorf("got %v, want an error that is no refusal", err)
			}
		})
	}
}
