package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/oprcli"
)

// Guards against a replaced control instance that counts towards the quorum before it has
// caught up: the loss of another instance right after the repair would then lose accepted
// commands or the quorum.
func TestSecondLossAfterRepair(t *testing.T) {
	s := startThreeInstances(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := s.OperatorClient()
	defer c.Close()
	before, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0)
	if err != nil {
		t.Fatal(err)
	}
	lost := (s.LeaderIndex() + 1) % 3
	if err := s.StopInstance(ctx, lost, false); err != nil {
		t.Fatal(err)
	}
	if err := s.Wipe(lost); err != nil {
		t.Fatal(err)
	}
	if err := s.StartInstance(lost); err != nil {
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
	if err := s.StopInstance(ctx, (lost+1)%3, false); err != nil {
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

// startControlInstances starts a deployment of n control instances without backend servers.
func startControlInstances(t *testing.T, n int) *Site {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var dataCentres []string
	for i := range n {
		dataCentres = append(dataCentres, fmt.Sprint("dc", i+1))
	}
	s, err := Start(ctx, Config{
		Seed: 1, DataCentres: dataCentres, EntriesPerDataCentre: 1, ControlInstances: n, Declaration: testDeclaration(t), DrainSeconds: 5,
		FakeDisks: true, Election: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Guards against a dead member that can no longer be removed, because the settings name
// its successor instead, and that counts towards the quorum for good.
func TestRemoveMemberWithoutAddress(t *testing.T) {
	s := startControlInstances(t, 4)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const lost = 3
	if err := s.StopInstance(ctx, lost, false); err != nil {
		t.Fatal(err)
	}
	for i := range lost {
		if err := s.StopInstance(ctx, i, false); err != nil {
			t.Fatal(err)
		}
		s.settings[i].Control = s.settings[i].Control[:lost]
		if err := s.StartInstance(i); err != nil {
			t.Fatal(err)
		}
		c := s.OperatorClient()
		if _, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0); err != nil {
			t.Fatalf("after the restart of %s: %v", s.settings[i].Node, err)
		}
		c.Close()
	}
	c := s.OperatorClient()
	defer c.Close()
	c.Addresses = c.Addresses[:lost]
	m, err := c.RemoveMember(ctx, s.settings[lost].Node)
	if err != nil || len(m.Members) != lost {
		t.Fatalf("got %v, %v", m.Members, err)
	}
}
