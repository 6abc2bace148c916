package cells

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/cells/cellpb"
)

var start = time.Unix(1e9, 0)

// exchange reports to the leader and applies the answer, both at now.
func exchange(t testing.TB, c *Collector, table *Table, node string, r Report, now time.Time) []byte {
	t.Helper()
	b, err := table.Fill(r)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Add(node, b, now)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Take(answer, now); err != nil {
		t.Fatal(err)
	}
	return answer
}

// Guards against digests that miss or repeat a node, count an old report, or
// give a cell's capacity to another cell, against a plain sum over random
// histories of reports.
func TestSums(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	type said struct {
		Report
		at time.Time
	}
	for range 50 {
		c, now := NewCollector(), start
		latest, tables := map[string]said{}, map[string]*Table{}
		for range 60 {
			now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
			cell := fmt.Sprint("cell", rng.IntN(4))
			node := fmt.Sprint(cell, "-", rng.IntN(3))
			r := Report{Cell: cell, Region: "r", Callers: "addr-" + node}
			for v := range rng.IntN(3) {
				r.Offers = append(r.Offers, Offer{"s", fmt.Sprint("v", v), rng.IntN(5), 2})
			}
			if tables[node] == nil {
				tables[node] = NewTable(cell, "r", now)
			}
			c.at = time.Time{} // sums are made anew for each report
			exchange(t, c, tables[node], node, r, now)
			latest[node] = said{r, now}
			for v := range 3 {
				got := map[string]bool{}
				for _, x := range tables[node].Choose("s", fmt.Sprint("v", v), "id", 9, now) {
					got[x.Name] = true
				}
				want := map[string]int{}
				for _, s := range latest {
					for _, o := range s.Offers {
						if s.Cell != cell && now.Sub(s.at) < window && o.Version == fmt.Sprint("v", v) {
							want[s.Cell] += o.Free
						}
					}
				}
				table := tables[node]
				for name, free := range want {
					i := slices.IndexFunc(table.cells, func(c *cellpb.Cell) bool { return c.Name == name })
					if have := table.columns[version{"s", fmt.Sprint("v", v)}]; free > 0 && have.free[i] != free {
						t.Fatalf("%s has %d free slots of v%d, want %d", name, have.free[i], v, free)
					}
					if age := table.until[i].Sub(now); (free > 0 && age > 0) != got[name] {
						t.Fatalf("%s with %d free slots, digest good for %v: chosen %v", name, free, age, got[name])
					}
				}
			}
		}
	}
}

// deployment returns a collector with one node in each of n cells and the
// table of a node of cell "own".
func deployment(t testing.TB, n int, offers func(i int) []Offer) (*Collector, *Table) {
	c, table := NewCollector(), NewTable("own", "near", start)
	for i := range n {
		region := []string{"near", "far"}[i%2]
		other := NewTable("other", region, start)
		exchange(t, c, other, fmt.Sprint("node", i), Report{fmt.Sprintf("c%02d", i), region, fmt.Sprint("10.0.0.", i), "peer", offers(i)}, start)
	}
	c.at = time.Time{}
	exchange(t, c, table, "me", Report{Cell: "own", Region: "near", Callers: "me"}, start)
	return c, table
}

// Guards against all nodes rushing to the same cell, against cells of other
// regions before those of the own one, and against a repeat that goes elsewhere.
func TestChoiceFollowsCapacity(t *testing.T) {
	free := []int{10, 400, 30, 400, 60, 400} // even cells are in the own region
	_, table := deployment(t, len(free), func(i int) []Offer { return []Offer{{"s", "v", free[i], 1 + float64(i/4)}} })
	counts, second := map[string]int{}, 0
	const requests = 20000
	for i := range requests {
		id := fmt.Sprint("request", i)
		got := table.Choose("s", "v", id, 9, start)
		if again := table.Choose("s", "v", id, 9, start); len(got) != 6 || again[0].Name != got[0].Name {
			t.Fatalf("%v, then %v", got, again)
		}
		for k, c := range got {
			if near := k < 3; near != (c.Name == "c00" || c.Name == "c02" || c.Name == "c04") {
				t.Fatalf("order %v", got)
			}
		}
		counts[got[0].Name]++
		if got[1].Name == "c00" {
			second++
		}
	}
	// Weights are 10, 30 and 60 at twice the price.
	for name, want := range map[string]float64{"c00": 1.0 / 7, "c02": 3.0 / 7, "c04": 3.0 / 7} {
		if share := float64(counts[name]) / requests; math.Abs(share-want) > 0.015 {
			t.Errorf("%s was chosen for %.3f of the requests, want %.3f", name, share, want)
		}
	}
	others := table.Others("caller", 9, start)
	if len(others) != 6 || others[0] == others[1] || !slices.Equal(others[:2], table.Others("caller", 2, start)) {
		t.Errorf("instances of other cells: %v", others)
	}
	if late := table.Others("caller", 9, start.Add(MaxAge)); len(late) != 0 {
		t.Errorf("instances of cells that may be lost: %v", late)
	}
	var done func()
	for range 10 {
		done = table.Sent("c00", "s", "v")
	}
	if got := table.Choose("s", "v", "x", 9, start); len(got) != 5 {
		t.Errorf("%v after all slots of c00 were used", got)
	}
	done()
	done()
	if got := table.Choose("s", "v", "x", 9, start); len(got) != 6 || table.columns[version{"s", "v"}].used[0] != 9 {
		t.Errorf("%v after one of 10 requests has ended", got)
	}
}

// Guards against capacity that is taken from a digest that is too old or that
// belongs to another directory.
func TestDigestsEnd(t *testing.T) {
	c, table := deployment(t, 3, func(int) []Offer { return []Offer{{"s", "v", 5, 1}} })
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, 3}, {MaxAge - mergeEvery - 1, 3}, {MaxAge - mergeEvery, 0}} {
		if got := table.Choose("s", "v", "id", 9, start.Add(tt.after)); len(got) != tt.want {
			t.Errorf("after %v: %v, want %d cells", tt.after, got, tt.want)
		}
	}
	now := start.Add(2 * time.Second)
	exchange(t, c, table, "me", Report{Cell: "own", Region: "near"}, now)
	// The other nodes have been silent for 2 s.
	if got := table.Choose("s", "v", "id", 9, now.Add(MaxAge-2*time.Second-mergeEvery)); len(got) != 0 {
		t.Errorf("digests of silent cells count: %v", got)
	}
	if got := table.Choose("s", "v", "id", 9, now); len(got) != 3 {
		t.Errorf("got %v", got)
	}
	if got := table.Choose("s", "v2", "id", 9, now); len(got) != 0 {
		t.Errorf("another version: %v", got)
	}
	wrong, err := proto.Marshal(&cellpb.Digests{Directory: 7, AgesMs: []uint32{0}})
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Take(wrong, now); err == nil || len(table.Choose("s", "v", "id", 9, now)) != 0 {
		t.Errorf("values of another directory were accepted: %v", err)
	}
	exchange(t, c, table, "me", Report{Cell: "own", Region: "near"}, now)
	if got := table.Choose("s", "v", "id", 9, now); len(got) != 3 {
		t.Errorf("the directory was not sent again: %v", got)
	}
}

// Guards against decoders that panic on hostile reports and answers.
func FuzzWire(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(_ *testing.T, report, answer []byte) {
		c, table := NewCollector(), NewTable("own", "near", start)
		if _, err := c.Add("a", report, start); err == nil {
			_, _ = c.Add("b", report, start.Add(time.Second))
		}
		_ = table.Take(answer, start)
		_ = table.Choose("s", "v", "id", 9, start)
	})
}

// BenchmarkCells measures one second of the design scale: 350 instances in 35
// cells, each with 10 servers of 2 services, report and take the answer. Bytes
// are those of messages.
func BenchmarkCells(b *testing.B) {
	const cells, perCell = 35, 10
	offers := []Offer{{"specs", "2026-11", 40, 1.5}, {"orders", "2026-12", 60, 0.5}}
	c := NewCollector()
	var tables []*Table
	var reports []Report
	for i := range cells * perCell {
		cell := fmt.Sprintf("region-%d-cell-%02d", i/perCell%3, i/perCell)
		tables = append(tables, NewTable(cell, "region", start))
		reports = append(reports, Report{cell, "region", fmt.Sprintf("10.1.%d.%d:8101", i/perCell, i%perCell), fmt.Sprintf("10.1.%d.%d:8201", i/perCell, i%perCell), offers})
	}
	now, up, down, first := start, 0, 0, 0
	var leader time.Duration
	round := func() {
		now = now.Add(time.Second)
		up, down = 0, 0
		for i, r := range reports {
			at := now.Add(time.Duration(i) * time.Second / (cells * perCell))
			report, err := tables[i].Fill(r)
			if err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			answer, err := c.Add(fmt.Sprint(i), report, at)
			leader += time.Since(began)
			if err != nil {
				b.Fatal(err)
			}
			if err := tables[i].Take(answer, at); err != nil {
				b.Fatal(err)
			}
			up, down = up+len(report), down+len(answer)
		}
	}
	for range 3 { // every directory is complete afterwards
		round()
		first = max(first, down)
	}
	leader = 0
	for b.Loop() {
		round()
	}
	n := float64(cells * perCell)
	b.ReportMetric(float64(up)/n, "reportB/node")
	b.ReportMetric(float64(down)/n, "answerB/node")
	b.ReportMetric(float64(down)/n/cells, "answerB/cell")
	b.ReportMetric(float64(first)/n, "firstB/node")
	b.ReportMetric(float64(leader.Microseconds())/float64(b.N), "leaderMicros/op")
	b.ReportMetric(float64((b.Elapsed()-leader).Microseconds())/float64(b.N)/n, "nodeMicros/node")
}

// BenchmarkChoose measures one choice among 35 cells with room.
func BenchmarkChoose(b *testing.B) {
	_, table := deployment(b, 35, func(i int) []Offer { return []Offer{{"s", "v", i + 1, 1}} })
	b.ReportAllocs()
	for b.Loop() {
		table.Choose("s", "v", "acme/request", 2, start)
	}
}
