package coord

import (
	"reflect"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against demand that a relay loses or that counts twice when a report is repeated, and
// against shares that are stated before they are known or do not arrive as they were computed.
func TestDemandAndShares(t *testing.T) {
	r := newRelay()
	agg := testAggregator("l", 1, nil, start)
	k := admit.NewKind("o", 1, 5000)
	demand := admit.Demands{}.WithOffered("m", k, 50_000).WithAdmitted("m", k, 20_000)
	for range 20 {
		demand = demand.WithStarted("m", k, admit.Start{Work: 1000, First: 3 * time.Second, Target: time.Second})
	}
	if got := demandsFromProto(demandsToProto(demand)); !reflect.DeepEqual(got, demand) {
		t.Errorf("%v arrived as %v", demand, got)
	}
	now := start
	for number := uint64(1); number <= 20; number++ {
		now = now.Add(100 * time.Millisecond)
		r.add(&coordpb.Sync{Node: node("x", 1), Demands: demandsToProto(demand)}, now)
		r.add(&coordpb.Sync{Node: node("y", 1)}, now) // an earlier version
		req := &coordpb.Sync{
			Node: node("r", 1), SpentNumber: number, Demands: demandsToProto(demand),
			Servers: []*coordpb.Server{{Id: "e", Born: 1, Seq: number, Service: "m", State: uint32(world.Ready), LeaveInMs: noLeaveTime}},
			Loads:   loadsToProto([]Load{{Server: "e", Running: 90, Waiting: 80, WaitingTokens: 1_000_000}}, now),
		}
		b := r.take(req, now)
		agg.applyReport(req, now)
		r.finish(b, 1, nil)
		if number == 1 {
			if got := demandsFromProto(req.Demands)["m"]; got.Claims[k].Offered != 100_000 || got.Started != 40_000 {
				t.Errorf("the relay reports %+v of two times %+v", got, demand["m"])
			}
			if s := agg.shares(now); s != nil {
				t.Errorf("a new leader states the shares %v", s)
			}
		}
		agg.applyReport(req, now) // repeated
	}
	if work := agg.waitingWork()["m"]; work != admit.Work(80, 1_000_000) {
		t.Errorf("%v waits", work)
	}
	got := sharesFromProto(agg.shares(now), now)
	want, _ := agg.admission.Shares(agg.waitingWork, now)
	if got == nil || len(want["m"].Fractions["o"]) == 0 || !got.At.Equal(now) {
		t.Fatalf("shares %v, %v under overload", got, want)
	}
	for rank, f := range want["m"].Fractions["o"] {
		encoded := 1.0
		if list := got.Services["m"].Fractions["o"]; rank < len(list) {
			encoded = list[rank]
		}
		if d := encoded - f; d > 0.001 || d < -0.001 {
			t.Errorf("the fraction %v of rank %d arrived as %v", f, rank, encoded)
		}
	}
	if sharesFromProto(nil, now) != nil {
		t.Error("an earlier leader states shares")
	}
}
