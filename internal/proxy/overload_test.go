package proxy

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/quota"
)

// Guards against requests that are sent or charged although they are refused, refusals of
// services whose servers state no pace, and refusals without overload or without a retry time
// that callers honour.
func TestOverload(t *testing.T) {
	refuseAll := map[string]admit.Share{"s": {Fractions: map[string][]float64{"o": make([]float64, 24)}}}
	for _, c := range []struct {
		name        string
		statesPace  bool
		waiting     int // tokens at each server
		shares      map[string]admit.Share
		lastEventID string
		reason      admit.Reason
	}{
		{"idle", true, 0, nil, "", admit.None},
		{"long queues", true, 50_000, nil, "", admit.Forecast},
		{"beyond the share", true, 5000, refuseAll, "", admit.Beyond},
		{"beyond the share of an idle service", true, 0, refuseAll, "", admit.None},
		{"no pace", false, 50_000, refuseAll, "", admit.None},
		{"resumed stream", true, 50_000, refuseAll, "7", admit.None},
	} {
		sender := &scriptedSender{responses: []scriptedResponse{{status: 200, body: "x"}}}
		p := newProxy(t, sender, 2)
		p.cfg.StatesPace = func(service string) bool { return c.statesPace && service == "s" }
		now := time.Now()
		p.cfg.Quota.Configure(map[string]quota.Rule{"o": {Rate: 0.001, Burst: 100}}, now)
		p.cfg.Quota.Confirm(map[string]float64{"o": 100}, 1, now)
		if c.waiting > 0 {
			p.SetLoads([]coord.Load{{Server: "e0", Running: 8, Waiting: 5, WaitingTokens: c.waiting}, {Server: "e1", Running: 8, Waiting: 5, WaitingTokens: c.waiting}}, now)
		}
		if c.shares != nil {
			p.SetShares(admit.Shares{At: now, Services: c.shares})
			p.SetShares(admit.Shares{At: now.Add(-time.Second)}) // a late reply
		}
		before := p.cfg.Quota.Level("o", now)
		r := newRequest("/safe/")
		r.HasTokens, r.PromptTokens, r.MaxOutputTokens, r.LastEventID = true, 1000, 10, c.lastEventID
		err := p.Serve(context.Background(), httptest.NewRecorder(), r)
		demand := p.TakeDemands()["s"].Claims[admit.NewKind("o", 0, admit.Work(1, 1000))]
		var refusal *Refusal
		switch {
		case c.reason == admit.None:
			if err != nil || len(sender.attempts) != 1 {
				t.Errorf("%s: %v after %d sends, want an answer", c.name, err, len(sender.attempts))
			}
			if c.statesPace != (demand.Offered == 2000 && demand.Admitted == 2000) {
				t.Errorf("%s: demand %+v", c.name, demand)
			}
			continue
		case !errors.As(err, &refusal) || refusal.Cause != Overloaded || len(sender.attempts) > 0:
			t.Errorf("%s: %v after %d sends, want a refusal", c.name, err, len(sender.attempts))
			continue
		}
		if refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > r.CallerTimeout/3 {
			t.Errorf("%s: return after %v", c.name, refusal.RetryAfter)
		}
		if after := p.cfg.Quota.Level("o", now); after < before-0.01 {
			t.Errorf("%s: level %v, %v before", c.name, after, before)
		}
		if demand.Offered != 2000 || demand.Admitted != 0 {
			t.Errorf("%s: demand %+v", c.name, demand)
		}
	}
}
