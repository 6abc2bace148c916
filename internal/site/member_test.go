package site

import (
	"context"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/oprcli"
)

// Guards against a replaced control node that counts towards the quorum before it has
// caught up: the loss of another node right after the repair would then lose accepted
// commands or the quorum.
func TestSecondLossAfterRepair(t *testing.T) {
	s := startThreeNodes(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := s.OperatorClient()
	defer c.Close()
	before, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0)
	if err != nil {
		t.Fatal(err)
	}
	lost := (s.LeaderIndex() + 1) % 3
	if err := s.StopNode(ctx, lost, false); err != nil {
		t.Fatal(err)
	}
	if err := s.Wipe(lost); err != nil {
		t.Fatal(err)
	}
	if err := s.StartNode(lost); err != nil {
		t.Fatal(err)
	}
	node := s.Settings(lost).Node
	for voter := false; !voter; {
		m, err := c.AddMember(ctx, node)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range m.Members {
			voter = voter || (v.Node == node && v.Voter)
		}
	}
	if err := s.StopNode(ctx, (lost+1)%3, false); err != nil {
		t.Fatal(err)
	}
	after, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0)
	if err != nil || after.Version <= before.Version {
		t.Fatalf("version %d after %d: %v", after.Version, before.Version, err)
	}
	if err := s.WaitForVersion(ctx, after.Version); err != nil {
		t.Fatal(err)
	}
}
