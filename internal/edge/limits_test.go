package edge

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/proxy"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against an instance that sends by a list of instances which others have replaced, or
// that sends to a limited server before it is listed or while it stops.
func TestPartOfLimit(t *testing.T) {
	now := time.Now()
	var passed atomic.Int64 // ns since now
	e, err := Start(Config{
		Name: "n", PeerAddress: "127.0.0.1:0", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second,
		Clock:        func() time.Time { return now.Add(time.Duration(passed.Load())) },
		DecodeConfig: func([]byte) (*routes.Config, error) { return &routes.Config{}, nil }, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	server := roster.Server{
		ID: "i", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.9:80", State: world.Ready,
		Limit: roster.Limit{Named: true, Rate: 6, Version: 1},
	}
	self, other := coord.Instance{ID: e.self.ID, Ready: true}, coord.Instance{ID: "10.0.0.1:7600", Ready: true}
	stopping := self
	stopping.Ready = false
	for _, c := range []struct {
		name   string
		view   *coord.View // nil for a report that is not answered
		passed time.Duration
		want   float64
	}{
		{"not listed yet", &coord.View{Servers: []roster.Server{server}, ConfirmedAt: now}, 0, 0},
		{"listed", &coord.View{Instances: []coord.Instance{self}, ConfirmedAt: now}, 0, 6},
		{"two instances", &coord.View{Instances: []coord.Instance{self, other}, ConfirmedAt: now}, 0, 3},
		{"a report is lost", nil, leaderSilence - 1, 3},
		{"no leader answers", nil, leaderSilence, 1.5},
		{"a leader that may have been replaced", &coord.View{}, 2 * leaderSilence, 1.5},
		{"a leader answers again", &coord.View{ConfirmedAt: now.Add(3 * leaderSilence)}, 3 * leaderSilence, 3},
		{"this instance stops", &coord.View{Instances: []coord.Instance{stopping, other}, ConfirmedAt: now.Add(3 * leaderSilence)}, 3 * leaderSilence, 0},
	} {
		passed.Store(int64(c.passed))
		if c.view != nil {
			e.Apply(*c.view, now.Add(c.passed))
		} else {
			e.ReportFailed(now.Add(c.passed))
		}
		if got := e.partOfLimit(server); got != c.want {
			t.Errorf("%s: a part of %v, want %v", c.name, got, c.want)
		}
	}
}

// countingSender answers every request and counts them.
type countingSender struct{ sent atomic.Int64 }

func (s *countingSender) Send(context.Context, *proxy.Request, proxy.Attempt) (*proxy.Response, error) {
	s.sent.Add(1)
	return &proxy.Response{Status: 200, Length: -1, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// coldConfig is a configuration whose cold servers tolerate rate requests a second; 0 for any.
func coldConfig(t *testing.T, rate float64) routes.Config {
	t.Helper()
	return routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s", ColdRate: rate}},
		Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, MaxAttempts: 1, Shares: []routes.Share{{Service: "s", Weight: 1}}}},
	}
}

// Guards against an instance that sends to a cold server without contact to a leader, or by
// the part that it had before it lost contact, which another instance may have got since.
func TestPartOfCold(t *testing.T) {
	now := time.Now()
	var passed atomic.Int64 // ns since now
	clock := func() time.Time { return now.Add(time.Duration(passed.Load())) }
	sender := &countingSender{}
	e, err := Start(Config{
		Name: "n", PeerAddress: "127.0.0.1:0", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second, Clock: clock, Sender: sender,
		DecodeConfig: func([]byte) (*routes.Config, error) { return routes.New(coldConfig(t, 6)) }, Log: &log.Logger{Handler: discard.New()},
		ColdTolerance: ColdTolerance{Overshoot: 1.5, Slack: 5},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	content, err := compress(nil)
	if err != nil {
		t.Fatal(err)
	}
	server := roster.Server{
		ID: "i", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.9:80", State: world.Ready, Slots: 8, ColdUntil: now.Add(time.Minute),
	}
	self, other := coord.Instance{ID: e.self.ID, Ready: true}, coord.Instance{ID: "10.0.0.1:7600", Ready: true}
	at := func(d time.Duration) time.Time { return now.Add(d) }
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		view      *coord.View // nil for none
		at        time.Duration
		want      float64
		wantValid bool
		wantSent  int64 // of a request at that time
	}{
		{"no list", &coord.View{Version: 1, Config: content, Servers: []roster.Server{server}, ConfirmedAt: now}, 0, 0, true, 0},
		{"listed", &coord.View{Instances: []coord.Instance{self, other}, ConfirmedAt: at(100 * ms)}, 100 * ms, 3, true, 0},
		{"another answer", &coord.View{ConfirmedAt: at(900 * ms)}, 900 * ms, 3, true, 0},
		{"before the part is used", &coord.View{ConfirmedAt: at(1500 * ms)}, 1500 * ms, 3, true, 0},
		{"the part is used", &coord.View{ConfirmedAt: at(2300 * ms)}, 2300 * ms, 3, true, 1},
		{"no answer for a while", nil, 3200 * ms, 3, true, 1},
		{"no answer", nil, 3400 * ms, 3, false, 0},
		{"a leader that may have been replaced", &coord.View{}, 3500 * ms, 3, false, 0},
		{"an answer after that", &coord.View{ConfirmedAt: at(5000 * ms)}, 5000 * ms, 3, true, 0},
		{"the next answer", &coord.View{ConfirmedAt: at(5800 * ms)}, 5800 * ms, 3, true, 0},
		{"1.4 s after the answer", &coord.View{ConfirmedAt: at(6400 * ms)}, 6400 * ms, 3, true, 0},
		{"1.9 s after the answer", &coord.View{ConfirmedAt: at(6900 * ms)}, 6900 * ms, 3, true, 1},
		{"no answer again", nil, 8000 * ms, 3, false, 0},
		{"an answer at once", &coord.View{ConfirmedAt: at(8100 * ms)}, 8100 * ms, 3, true, 0},
		{"0.8 s after that answer", &coord.View{ConfirmedAt: at(8900 * ms)}, 8900 * ms, 3, true, 0},
		{"1.4 s after that answer", nil, 9500 * ms, 3, true, 0},
	} {
		passed.Store(int64(c.at))
		if c.view != nil {
			e.Apply(*c.view, at(c.at))
		}
		if got, valid := e.partOfCold(server, 6), e.partsValid(at(c.at)); got != c.want || valid != c.wantValid {
			t.Errorf("%s: a part of %v, valid %v, want %v, %v", c.name, got, valid, c.want, c.wantValid)
		}
		before := sender.sent.Load()
		_ = e.proxy.Serve(t.Context(), httptest.NewRecorder(), &proxy.Request{ID: "r", Method: "POST", Host: "h", Path: "/", URI: "/", Arrived: clock(), CallerTimeout: 300 * ms})
		if got := sender.sent.Load() - before; got != c.wantSent {
			t.Errorf("%s: %d requests sent, want %d", c.name, got, c.wantSent)
		}
	}
}

// Guards against messages to all instances because of what servers state about being cold
// where the configuration does not limit cold servers.
func TestColdServersThatAreNotLimited(t *testing.T) {
	for _, rate := range []float64{0, 6} {
		e := startAlone(t, coldConfig(t, rate))
		content, err := compress(nil)
		if err != nil {
			t.Fatal(err)
		}
		e.Apply(coord.View{Version: 1, Config: content}, time.Now())
		last := func() uint64 { _, last, _ := e.roster.Since(0, 0); return last }
		server := roster.Server{ID: "i", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.9:80", State: world.Ready, ColdStated: true}
		if err := e.Announce(t.Context(), server); err != nil {
			t.Fatal(err)
		}
		before := last()
		server.Seq, server.ColdFor, server.ColdUntil = 2, 5*time.Second, time.Now().Add(5*time.Second)
		if err := e.Announce(t.Context(), server); err != nil {
			t.Fatal(err)
		}
		if changed := last() != before; changed != (rate > 0) {
			t.Errorf("cold-per-s %v: a heartbeat changes the server: %v", rate, changed)
		}
		before = last()
		e.markCold(server, 9*time.Second)
		if changed := last() != before; changed != (rate > 0) {
			t.Errorf("cold-per-s %v: a response changes the server: %v", rate, changed)
		}
		if e.limits.anyCold != (rate > 0) {
			t.Errorf("cold-per-s %v: the instance has a part of a cold server: %v", rate, e.limits.anyCold)
		}
	}
}
