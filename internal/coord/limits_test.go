package coord

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

func limitedServer(seq uint64, l roster.Limit) roster.Server {
	return roster.Server{ID: "i", Incarnation: 1, Seq: seq, Service: "s", Address: "10.0.0.9:80", State: world.Ready, Limit: l}
}

// Guards against instances that do not learn the limit of a server which another instance was
// told, also after a heartbeat without it, a change of the leader or a restart.
func TestLimitsAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2)
	d.configure(d.instances[4], 1)
	d.expectVersion(1, d.instances...)
	named := roster.Limit{Named: true, Rate: 1.5, Version: 1}
	report := func(inst *instance, s roster.Server) {
		inst.local.mu.Lock()
		defer inst.local.mu.Unlock()
		inst.local.servers.Put(s, time.Now())
		inst.local.unreported = append(inst.local.unreported, s)
	}
	expect := func(what string, l roster.Limit) {
		t.Helper()
		for _, inst := range d.instances {
			eventually(t, what+" at "+inst.addr, func() bool {
				return inst.local.check(func(local *fakeLocal) bool {
					all := local.servers.Present()
					return len(all) == 1 && all[0].Limit == l
				})
			})
		}
	}
	report(d.instances[3], limitedServer(1, roster.Limit{}))
	expect("no limit", roster.Limit{})
	report(d.instances[4], limitedServer(1, named))
	expect("the limit", named)
	report(d.instances[3], limitedServer(2, roster.Limit{}))
	leader := d.awaitLeader()
	d.stop(leader)
	d.start(leader, false)
	expect("the limit after a restart of the leader", named)
	ended := roster.Limit{Version: 2}
	report(d.instances[3], limitedServer(2, ended))
	expect("the end of the limit", ended)
}

// Guards against a relay that drops the limit of a server, or its newer heartbeat, when it gets
// both before its next report.
func TestRelayKeepsLimits(t *testing.T) {
	named := roster.Limit{Named: true, Rate: 2, Version: 1}
	for _, order := range [][]roster.Server{
		{limitedServer(1, named), limitedServer(2, roster.Limit{})},
		{limitedServer(2, roster.Limit{}), limitedServer(1, named)},
	} {
		r := newRelay()
		for _, s := range order {
			r.add(&coordpb.Sync{Node: &coordpb.Node{Id: "n"}, Servers: []*coordpb.Server{serverToProto(s, time.Now())}}, time.Now())
		}
		req := &coordpb.Sync{}
		r.take(req, time.Now())
		if len(req.Servers) != 1 || serverFromProto(req.Servers[0], time.Now()) != limitedServer(2, named) {
			t.Errorf("reported %v", req.Servers)
		}
	}
}
