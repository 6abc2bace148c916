package cloud_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/stand"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func offers() []stand.Offer {
	return []stand.Offer{
		{DataCentre: "dc1", Zone: "z1", MachineClass: "big", Reclaimable: 2, OnDemand: 1, ReclaimablePrice: 1, OnDemandPrice: 3},
		{DataCentre: "dc1", Zone: "z2", MachineClass: "big", Reclaimable: 2, OnDemand: 1, ReclaimablePrice: 1, OnDemandPrice: 3},
	}
}

func newCloud(t *testing.T, cfg stand.CloudConfig) (*stand.Cloud, *cloud.Client) {
	t.Helper()
	cfg.Offers, cfg.Seed, cfg.Token = offers(), 11, "secret"
	s, err := stand.NewCloud(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c := cloud.New(cloud.Config{Cloud: s.URL(), Token: cfg.Token})
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

func startRequest(id, zone string, reclaimable bool) cloud.Start {
	return cloud.Start{RequestID: id, DataCentre: "dc1", Zone: zone, MachineClass: "big", Reclaimable: reclaimable, Service: "plans", Version: "v1"}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// Guards against starting two instances when a response is lost, and against
// treating a rejected start as successful.
func TestStart(t *testing.T) {
	s, c := newCloud(t, stand.CloudConfig{})
	ctx := context.Background()
	s.LoseAnswers(1)
	if _, err := c.Start(ctx, startRequest("a", "z1", true)); err == nil || cloud.NoCapacity(err) {
		t.Fatalf("lost response gave %v", err)
	}
	for range 2 {
		if i, err := c.Start(ctx, startRequest("a", "z1", true)); err != nil || i.ID != "i-1" || i.Zone != "z1" {
			t.Fatalf("repeated start: %+v, %v", i, err)
		}
	}
	var r *cloud.Refusal
	if _, err := c.Start(ctx, startRequest("a", "z2", true)); !errors.As(err, &r) || r.Code != cloud.CodeOtherRequest {
		t.Fatalf("other fields gave %v", err)
	}
	for _, id := range []string{"b", "c", "d"} {
		if _, err := c.Start(ctx, startRequest(id, "", true)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Start(ctx, startRequest("e", "", true)); !cloud.NoCapacity(err) {
		t.Fatalf("start without capacity gave %v", err)
	}
	if err := c.Stop(ctx, "i-1"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a stopped instance frees its capacity", func() bool {
		list, err := c.Instances(ctx)
		return err == nil && len(list) == 3
	})
	if i, err := c.Start(ctx, startRequest("e", "", true)); err != nil || i.Zone != "z1" {
		t.Fatalf("after a stop: %+v, %v", i, err)
	}
	s.Refuse("dc1", "", true)
	if _, err := c.Start(ctx, startRequest("f", "", false)); !cloud.NoCapacity(err) {
		t.Fatalf("refused data centre gave %v", err)
	}
	wrongToken := cloud.New(cloud.Config{Cloud: s.URL(), Token: "wrong"})
	defer func() { _ = wrongToken.Close() }()
	if _, err := wrongToken.Instances(ctx); !errors.As(err, &r) || r.Status != 401 {
		t.Fatalf("wrong token gave %v", err)
	}
}

// Guards against losing or repeating notices, against reclaimed instances that keep
// running and against reclaiming on-demand instances.
func TestReclaimWave(t *testing.T) {
	var started, stopped atomic.Int32
	s, c := newCloud(t, stand.CloudConfig{
		Start: func(stand.Instance) error { started.Add(1); return nil },
		Stop:  func(_ stand.Instance, reclaimed bool) { stopped.Add(1) },
	})
	ctx := context.Background()
	for _, st := range []cloud.Start{startRequest("a", "z1", true), startRequest("b", "z1", true), startRequest("c", "z2", true), startRequest("d", "z1", false)} {
		if _, err := c.Start(ctx, st); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all servers start", func() bool { return started.Load() == 4 })
	ids := s.Reclaim("dc1", "z1", 1, 100*time.Millisecond)
	slices.Sort(ids)
	if !slices.Equal(ids, []string{"i-1", "i-2"}) {
		t.Fatalf("reclaimed %v", ids)
	}
	first, last, err := c.Notices(ctx, 0)
	if err != nil || len(first) != 2 || last != 2 || first[0].Number != 1 || first[0].Zone != "z1" || first[0].LeaveBy.IsZero() {
		t.Fatalf("notices %+v, last %d, %v", first, last, err)
	}
	if more, last, err := c.Notices(ctx, last); err != nil || len(more) != 0 || last != 2 {
		t.Fatalf("notices %+v, last %d, %v", more, last, err)
	}
	eventually(t, "reclaimed servers stop", func() bool { return stopped.Load() == 2 })
	list, err := c.Instances(ctx)
	if err != nil || len(list) != 2 || list[0].RequestID != "c" || list[1].RequestID != "d" {
		t.Fatalf("remaining instances %+v, %v", list, err)
	}
}

// Guards against prices that differ for the same seed or that omit an offer.
func TestPrices(t *testing.T) {
	_, c := newCloud(t, stand.CloudConfig{})
	_, sameSeed := newCloud(t, stand.CloudConfig{})
	a, err := c.Prices(context.Background())
	if err != nil || len(a) != 4 || a[1].Price != 3 || a[0].Price < 0.7 || a[0].Price > 1.3 || a[0].Price == a[2].Price {
		t.Fatalf("prices %+v, %v", a, err)
	}
	if b, err := sameSeed.Prices(context.Background()); err != nil || !slices.Equal(a, b) {
		t.Fatalf("seed 11 gave %+v and %+v, %v", a, b, err)
	}
}

// Guards against ignoring the weight store's bandwidth limit.
func TestWeights(t *testing.T) {
	s, err := stand.NewWeightStore(stand.WeightConfig{BytesPerSecond: 500, Sizes: map[string]int{"plans/v1": 1000}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	c := cloud.New(cloud.Config{WeightStore: s.URL()})
	defer func() { _ = c.Close() }()
	ctx := context.Background()
	body, n, err := c.Weights(ctx, "plans", "v1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.Copy(io.Discard, body); err != nil || got != 1000 || n != 1000 {
		t.Fatalf("read %d of %d bytes, %v", got, n, err)
	}
	_ = body.Close()
	_, _, err = c.Weights(ctx, "plans", "v1")
	if d := cloud.RetryAfter(err); d < time.Second || d > 2*time.Second {
		t.Fatalf("second read gave %v", err)
	}
	if r, err := c.WeightRate(ctx); err != nil || r.BytesPerSecond != 500 || r.AvailableBytes >= 1000 {
		t.Fatalf("rate %+v, %v", r, err)
	}
	var r *cloud.Refusal
	if _, _, err := c.Weights(ctx, "plans", "v9"); !errors.As(err, &r) || r.Code != cloud.CodeUnknownWeights {
		t.Fatalf("unknown weights gave %v", err)
	}
}
