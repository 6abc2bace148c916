package route

import (
	"fmt"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
)

// Guards against a forecast that ignores the least loaded server, cached prompts, this instance's
// own requests or servers that accept nothing, and against wrong sums in groups that are sampled.
func TestForecast(t *testing.T) {
	for _, servers := range []int{3, 3 * fullScanServers} {
		table := New(Config{Seed: 1, PrefillPerToken: 100 * time.Microsecond})
		all := fleet(servers)
		slots := 0
		for i := range all {
			all[i].Slots = 10
			slots += 10
		}
		table.SetBackends(all, start)
		q := Query{Service: "m", Version: "1", PromptTokens: 1000, MaxTokens: 10, DataCentre: all[0].DataCentre}
		idle, ok := table.Forecast(q, start)
		if !ok || idle.Queueing != 0 || idle.FirstByte < 100*time.Millisecond || idle.UncachedTokens != 1000 || idle.Slots != slots || idle.Servers != servers {
			t.Errorf("%d servers: %+v, %v when idle", servers, idle, ok)
		}
		for _, b := range all {
			table.Report(b.ID, world.Load{Running: 12, Unstarted: 3, WaitingTokens: 5000, PrefillPerToken: 100 * time.Microsecond, MeasuredAt: start}, start)
		}
		f, _ := table.Forecast(q, start.Add(100*time.Millisecond))
		if f.Queueing < 400*time.Millisecond || f.FirstByte < f.Queueing+100*time.Millisecond || f.Running < 11*servers || f.Running > 12*servers || f.Waiting != 2*servers || f.PendingTokens != 5000*servers || f.Age != 100*time.Millisecond {
			t.Errorf("%d servers: %+v under load", servers, f)
		}
		if servers > fullScanServers {
			continue
		}
		table.Report(all[1].ID, world.Load{PrefillPerToken: 100 * time.Microsecond, MeasuredAt: start.Add(time.Millisecond)}, start.Add(time.Millisecond))
		if f, _ := table.Forecast(q, start.Add(time.Millisecond)); f.Queueing > 50*time.Millisecond {
			t.Errorf("%+v with an idle server", f)
		}
		table.HoldOff(all[1].ID, all[1].Incarnation, start.Add(time.Minute))
		if f, _ := table.Forecast(q, start.Add(time.Millisecond)); f.Queueing < 400*time.Millisecond || f.Servers != servers-1 {
			t.Errorf("%+v if the idle server accepts nothing", f)
		}
		q.Service = "none"
		if _, ok := table.Forecast(q, start); ok {
			t.Error("a forecast for a service without servers")
		}
	}
}

func BenchmarkForecast(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := New(Config{})
			tab.SetBackends(fleet(n), start)
			for i := range n {
				id := fmt.Sprintf("e%04d", i)
				tab.Report(id, world.Load{Running: i % 8, MeasuredAt: start}, start)
				tab.Started(id, tab.cost(id, promptBlocks(i%50, 400)), start)
			}
			q := Query{Service: "m", Version: "1", Class: world.Review, PromptTokens: 6400, MaxTokens: 300, Prefix: promptBlocks(3, 500)}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tab.Forecast(q, start); !ok {
					b.Fatal("no forecast")
				}
			}
		})
	}
}
