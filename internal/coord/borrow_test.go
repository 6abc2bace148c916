package coord

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/quota"
)

// Guards against instances borrowing more in total than the level, and against a former
// leader that still lends when the others may have elected a new one.
func TestBorrow(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	admitted := 0
	for i := range 40 {
		var ok bool
		eventually(t, "the leader answers", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			ok, _, err = d.instances[i%4].coord.Borrow(ctx, "o", 10)
			return err == nil
		})
		if ok {
			admitted++
		}
	}
	// The burst is 100 units, refilled by one unit per second.
	if admitted < 10 || admitted > 12 {
		t.Errorf("%d times 10 units were lent, want 10 to 12", admitted)
	}
	for _, inst := range d.instances[1:] {
		d.stop(inst)
	}
	time.Sleep(2 * electionTimeout) // any lease has expired
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, _, err := d.instances[0].coord.Borrow(ctx, "o", 1); err == nil {
		t.Error("units were lent without a majority")
	}
}

// Guards against a part of the rates that two relays hold for an instance which has moved
// from one to the other, and against a part that a relay forgets while a report waits.
func TestPartsOfRelays(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const held = quota.NearbyHoldTime
	var c relayChoice
	a, b := newRelay(), newRelay()
	report := func(name string, r *relay, ms int) {
		until := at(ms).Add(relayHoldTime + held)
		elsewhere := time.Duration(c.usePart(name, at(ms), until)) * time.Millisecond
		r.extendPresent("i", elsewhere, at(ms), until)
	}
	for _, step := range []struct {
		ms           int
		do           func()
		wantA, wantB int // besides the own part of the relay
	}{
		{0, func() { report("a", a, 0) }, 1, 0},
		{590, nil, 1, 0}, // the report waits
		{600, func() { a.setPresent("i", 0, at(600), at(600).Add(held)); c.partAnswered("a", at(600)) }, 1, 0},
		{700, func() { report("b", b, 700) }, 1, 0},
		{900, nil, 0, 0},
		{902, nil, 0, 1},
		{1000, func() { report("a", a, 1000) }, 0, 1}, // no answer from b
		{1599, nil, 0, 1},
		{1602, nil, 1, 0},
		{1901, nil, 0, 0},
	} {
		if step.do != nil {
			step.do()
		}
		if gotA, gotB := a.parts(at(step.ms))-1, b.parts(at(step.ms))-1; gotA != step.wantA || gotB != step.wantB {
			t.Errorf("after %d ms: parts at a %d, at b %d, want %d and %d", step.ms, gotA, gotB, step.wantA, step.wantB)
		}
	}
}

// Guards against a relay that lends from its part although it reaches the leader, refuses
// because it reaches none, or lends although it holds no part.
func TestBorrowFromARelay(t *testing.T) {
	for _, c := range []struct {
		name    string
		enabled bool
		contact bool // the leader answered a moment ago, and is this instance
		slow    bool // the leader answers reports, but a call of a moment ago timed out
		part    float64
		want    bool
		fails   bool
	}{
		{"no leader, within the part", true, false, false, 100, true, false},
		{"no leader, beyond the part", true, false, false, 5, false, false},
		{"the deployment uses no relays", false, false, false, 100, false, true},
		{"the leader has just answered and does not any more", true, true, false, 100, true, false},
		{"each call to the leader would take longer than the caller waits", true, true, true, 100, true, false},
	} {
		relay := &Coord{cfg: Config{
			Self: Instance{ID: "r"}, Clock: func() time.Time { return start },
			LendNearby: func(_ string, units float64, parts int, _ time.Time) bool { return parts == 2 && units <= c.part },
		}, relay: newRelay()}
		relay.choice.enabled = c.enabled
		if c.contact {
			relay.lastSync = start
		}
		if c.slow {
			relay.leader, relay.borrowFailedAt = "l", start.Add(-borrowRetryDelay/2) // a call would panic
		}
		body, err := proto.Marshal(&coordpb.Borrow{Organisation: "o", Units: 10})
		if err != nil {
			t.Fatal(err)
		}
		reply, err := relay.handleBorrowNearby(context.Background(), link.Peer{Node: "i"}, body)
		if (err != nil) != c.fails {
			t.Errorf("%s: error %v", c.name, err)
			continue
		}
		if lent, ok := reply.(*coordpb.Lent); ok && lent.Admitted != c.want {
			t.Errorf("%s: admitted %v, want %v", c.name, lent.Admitted, c.want)
		}
	}
}
