package edge

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/routes"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against an entry that hides a backend server of the same id for as long as the
// instance runs, though the leader has forgotten it.
func TestGoneServersAreForgotten(t *testing.T) {
	e, err := Start(Config{
		Name: "n", PeerAddress: "127.0.0.1:0", Seeds: func() []string { return nil }, HeartbeatInterval: time.Second, Clock: time.Now,
		DecodeConfig: func([]byte) (*routes.Config, error) { return &routes.Config{}, nil }, Log: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	now := time.Now()
	odd := roster.Server{ID: "i", Incarnation: 9000, Seq: 1, Service: "s", Address: "10.0.0.8:80", State: world.Gone, Expired: true}
	server := roster.Server{ID: "i", Incarnation: 5000, Seq: 1, Service: "s", Address: "10.0.0.9:80", State: world.Ready}
	e.Apply(coord.View{Servers: []roster.Server{odd}}, now)
	if err := e.Announce(context.Background(), server); err != nil || len(e.roster.Usable()) != 0 {
		t.Fatalf("%v, usable %v", err, e.roster.Usable())
	}
	e.Apply(coord.View{}, now.Add(2*time.Minute))
	if err := e.Announce(context.Background(), server); err != nil || len(e.roster.Usable()) != 1 {
		t.Errorf("%v, usable %v, want the server", err, e.roster.Usable())
	}
}
