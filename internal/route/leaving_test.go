package route

import (
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against recomputing prompts that leaving servers still have cached: after all
// data centres were reclaimed within 7 s, six new servers recomputed 1.1 million tokens
// of shared prompts while requests waited for seconds.
func TestFetchFromLeavingServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaveIn time.Duration // 0 if the departure time is not announced
		after   time.Duration
		want    bool
	}{
		{"before departure", 3 * time.Second, 2 * time.Second, true},
		{"after departure", 3 * time.Second, 3 * time.Second, false},
		{"drains", 0, time.Second, true},
		{"drained", 0, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(Config{Seed: 1})
			table.noise = 0
			all := fleet(2)
			table.SetBackends(all, start)
			p := promptBlocks(1, 64)
			table.Started(all[0].ID, table.cost(all[0].ID, p), start)
			all[0].State = world.Leaving
			if c.leaveIn > 0 {
				all[0].LeaveBy = start.Add(c.leaveIn)
			}
			table.SetBackends(all, start)
			q := Query{Service: "m", Version: "1", Prefix: p, PromptTokens: 64 * 256, FetchPerToken: time.Microsecond}
			got, err := table.Pick(q, start.Add(c.after))
			if err != nil {
				t.Fatal(err)
			}
			if got.Backend.ID != all[1].ID {
				t.Errorf("picked %s, which is leaving", got.Backend.ID)
			}
			if fetches := got.Source.ID == all[0].ID && got.FetchTokens > 0; fetches != c.want {
				t.Errorf("fetches %d tokens from %q, want a fetch from the leaving server: %v", got.FetchTokens, got.Source.ID, c.want)
			}
		})
	}
}
