package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/routes"
)

// Guards against 404 and 401 by a configuration that may have been replaced: an instance
// that no leader has answered for longer than a change may take cannot know.
func TestNoFinalRefusalByAnOldConfiguration(t *testing.T) {
	const limit = 2 * time.Second
	for _, c := range []struct {
		name, path, key string
		age             time.Duration
		cause           Cause
	}{
		{"unknown route", "/none/", "k", limit, NoRoute},
		{"unknown route, old configuration", "/none/", "k", limit + 1, StaleConfig},
		{"unknown key", "/safe/", "other", limit, NoKey},
		{"unknown key, old configuration", "/safe/", "other", limit + 1, StaleConfig},
	} {
		p := newProxy(t, &scriptedSender{}, 1)
		p.cfg.ConfigAge, p.cfg.MaxConfigAge = func(time.Time) time.Duration { return c.age }, limit
		r := newRequest(c.path)
		r.Key = c.key
		var refusal *Refusal
		err := p.Serve(context.Background(), httptest.NewRecorder(), r)
		if !errors.As(err, &refusal) || refusal.Cause != c.cause || (refusal.RetryAfter > 0) != (c.cause == StaleConfig) {
			t.Errorf("%s: %v, %+v, want %v", c.name, err, refusal, c.cause)
		}
	}
}

// Guards against a refusal by a configuration that is replaced while the request is
// matched: the time since the last confirmation is then that of the new one.
func TestConfigurationReplacedDuringARefusal(t *testing.T) {
	p := newProxy(t, &scriptedSender{responses: []scriptedResponse{{status: 200, body: "x"}}}, 1)
	newer := testConfig(t)
	older, err := routes.New(routes.Config{Version: 1, Services: newer.Services, Organisations: newer.Organisations})
	if err != nil {
		t.Fatal(err)
	}
	p.SetConfig(older, time.Now())
	p.cfg.MaxConfigAge = time.Second
	p.cfg.ConfigAge = func(now time.Time) time.Duration {
		p.SetConfig(newer, now)
		return 0
	}
	w := httptest.NewRecorder()
	if err := p.Serve(context.Background(), w, newRequest("/safe/")); err != nil || w.Code != 200 {
		t.Errorf("%v, status %d, want 200", err, w.Code)
	}
}
