package edge

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
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

// Guards against an instance that sends to a cold server without contact to a leader, or by
// the part that it had before it lost contact, which another instance may have got since.
func TestPartOfCold(t *testing.T) {
	now := time.Now()
	var passed atomic.Int64 // ns since now
	e, err := Start(Config{
		Name: "n", PeerAddress: "127.0.0.1:0", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second,
		Clock:        func() time.Time { return now.Add(time.Duration(passed.Load())) },
		DecodeConfig: func([]byte) (*routes.Config, error) { return &routes.Config{}, nil }, Log: &log.Logger{Handler: discard.New()},
		ColdTolerance: ColdTolerance{Overshoot: 1.5, Slack: 5},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	config, err := routes.New(routes.Config{Version: 1, Services: []routes.Service{{Name: "s", ColdRate: 6}}})
	if err != nil {
		t.Fatal(err)
	}
	e.proxy.SetConfig(config, now)
	server := roster.Server{
		ID: "i", Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0.9:80", State: world.Ready, ColdUntil: now.Add(time.Minute),
	}
	self, other := coord.Instance{ID: e.self.ID, Ready: true}, coord.Instance{ID: "10.0.0.1:7600", Ready: true}
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name      string
		view      *coord.View // nil for none
		at        time.Duration
		want      float64
		wantValid bool
		wantGave  bool
	}{
		{"no list", &coord.View{Servers: []roster.Server{server}, ConfirmedAt: now}, 0, 0, true, false},
		{"listed", &coord.View{Instances: []coord.Instance{self, other}, ConfirmedAt: at(100 * time.Millisecond)}, 100 * time.Millisecond, 3, true, false},
		{"no answer for a while", nil, time.Second, 3, true, false},
		{"no answer", nil, 1100 * time.Millisecond, 3, false, false},
		{"a leader that may have been replaced", &coord.View{}, 1200 * time.Millisecond, 3, false, true},
		{"an answer after that", &coord.View{ConfirmedAt: at(5 * time.Second)}, 5 * time.Second, 3, true, true},
		{"the next answer", &coord.View{ConfirmedAt: at(5200 * time.Millisecond)}, 5200 * time.Millisecond, 3, true, false},
	} {
		passed.Store(int64(c.at))
		if c.view != nil {
			if gave := e.giveUpParts(at(c.at)); gave != c.wantGave {
				t.Errorf("%s: gave up its parts: %v, want %v", c.name, gave, c.wantGave)
			}
			e.Apply(*c.view, at(c.at))
		}
		if got, valid := e.partOfCold(server, 6), e.partsValid(at(c.at)); got != c.want || valid != c.wantValid {
			t.Errorf("%s: a part of %v, valid %v, want %v, %v", c.name, got, valid, c.want, c.wantValid)
		}
	}
}
