package site

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/stand"
)

// Guards against full claim groups that accept calls, drop keys of earlier calls so
// that their orders could run again, or refuse calls without an event or a
// Retry-After header; also after the loss of a control member.
func TestFullClaimsRefuseNewOrders(t *testing.T) {
	const seed = 31
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	s, err := Start(ctx, Config{
		Seed: seed, DataCentres: dataCentres, EntriesPerDataCentre: 2, ControlNodes: 3, Declaration: testDeclaration(t), DrainSeconds: 5,
		Settings: func(c *conf.Settings) { c.ClaimBytes = 16 << 10 },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	book := stand.NewBook()
	_, err = s.AddDesk(stand.DeskConfig{Spec: stand.Spec{
		ID: "desk", Service: "orders", Versions: []string{"v1"}, DataCentre: dataCentres[0], Zone: dataCentres[0] + "-a",
		MachineClass: "m", Slots: 64, AnnounceEvery: 100 * time.Millisecond, Seed: seed,
	}, Path: "/orders", Book: book})
	if err != nil {
		t.Fatal(err)
	}
	waitBackends(t, s, 1)
	var executed []string
	for i := 0; len(executed) < 300; i++ {
		key := fmt.Sprint("order-", i)
		body := `{"pour": "` + key + `"}`
		status, header, text := post(t, s.CallerAddrs()[i%6], "/orders", body, "Idempotency-Key", key)
		if status == 201 {
			executed = append(executed, key)
			continue
		}
		after, _ := strconv.Atoi(header.Get("Retry-After"))
		if status != 503 || header.Get("X-Outcome") != "not-run" || after < 47*3600 || after > 48*3600 {
			t.Fatalf("%s after %d: status %d, outcome %q, Retry-After %d: %s", key, len(executed), status, header.Get("X-Outcome"), after, text)
		}
		if n := book.Executions(key); n != 0 {
			t.Fatalf("%s was refused but executed %d times", key, n)
		}
		break
	}
	if len(executed) < 10 || len(executed) >= 300 {
		t.Fatalf("%d orders ran before the first refusal", len(executed))
	}
	if len(s.Timeline(event.Filter{Kind: "claim.full"})) == 0 {
		t.Error("no event reports that a group is full")
	}
	if err := s.StopNode(ctx, s.LeaderIndex(), false); err != nil {
		t.Fatal(err)
	}
	for i, key := range executed {
		status, header, text := post(t, s.CallerAddrs()[i%5], "/orders", `{"pour": "`+key+`"}`, "Idempotency-Key", key)
		if status != 201 || header.Get("X-Replayed") != "true" || book.Executions(key) != 1 {
			t.Fatalf("%s again: status %d, replayed %q, executed %d times: %s", key, status, header.Get("X-Replayed"), book.Executions(key), text)
		}
	}
}
