package site

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
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

// Guards against a group that a series of replaced members leaves without a majority: a new
// member was added beside a dead one, which kept its vote, or a working one was removed.
func TestChangeOfMembersBesideADeadOne(t *testing.T) {
	s := startControlInstances(t, 4)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := s.OperatorClient()
	defer c.Close()
	node := func(i int) string { return s.Settings(i).Node }
	const working, lost, spare = 1, 2, 3
	for _, i := range []int{spare, lost} {
		if i == lost {
			if _, err := c.RemoveMember(ctx, node(spare)); err != nil {
				t.Fatal(err)
			}
			if err := s.Wipe(spare); err != nil {
				t.Fatal(err)
			}
			if err := s.StartInstance(spare); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.StopInstance(ctx, i, false); err != nil {
			t.Fatal(err)
		}
	}
	c.Addresses = slices.DeleteFunc(c.Addresses, func(addr string) bool {
		return addr == s.Settings(spare).Listen.Operators || addr == s.Settings(lost).Listen.Operators
	})
	for _, change := range []struct {
		name string
		do   func(context.Context, string) (oprcli.Members, error)
		node int
	}{{"add", c.AddMember, spare}, {"remove", c.RemoveMember, working}} {
		_, err := change.do(ctx, node(change.node))
		var refused *oprcli.ResponseError
		if !errors.As(err, &refused) || refused.Code != "voterSilent" || !strings.Contains(refused.Message, node(lost)) {
			t.Fatalf("%s beside the lost member: got %v, want voterSilent", change.name, err)
		}
	}
	if _, err := c.RemoveMember(ctx, node(lost)); err != nil {
		t.Fatal(err)
	}
	for voter := false; !voter; {
		m, err := c.AddMember(ctx, node(spare))
		if err != nil {
			t.Fatal(err)
		}
		voter = len(m.Members) == 3 && !slices.ContainsFunc(m.Members, func(m oprcli.Member) bool { return !m.Voter })
	}
	if err := s.StopInstance(ctx, working, false); err != nil {
		t.Fatal(err)
	}
	if _, err := c.SetPreset(ctx, oprcli.NewCommandID(), "ordinary", 0); err != nil {
		t.Fatalf("after the next loss: %v", err)
	}
}
