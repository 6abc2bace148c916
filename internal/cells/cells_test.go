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

var testStart = time.Unix(1e9, 0)

// exchangeReport sends a report to the leader and applies the reply, both at now.
func exchangeReport(t testing.TB, c *Collector, table *Table, instance string, r Report, now time.Time) []byte {
	t.Helper()
	b, err := table.Fill(r)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := c.Add(instance, b, now)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Take(reply, now); err != nil {
		t.Fatal(err)
	}
	return reply
}

// Guards against digests that omit or double-count an instance, include an expired
// report, or assign capacity to the wrong cell. Compares the digests of random
// report histories with a plain sum.
func TestSums(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	type sentReport struct {
		Report
		sentAt time.Time
	}
	for range 50 {
		c, now := NewCollector(), testStart
		latest, tables := map[string]sentReport{}, map[string]*Table{}
		for range 60 {
			now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
			cell := fmt.Sprint("cell", rng.IntN(4))
			instance := fmt.Sprint(cell, "-", rng.IntN(3))
			r := Report{Cell: cell, Region: "r", Callers: "addr-" + instance}
			for v := range rng.IntN(3) {
				r.Offers = append(r.Offers, Offer{"s", fmt.Sprint("v", v), rng.IntN(5), 2})
			}
			if tables[instance] == nil {
				tables[instance] = NewTable(cell, "r", now)
			}
			c.mergedAt = time.Time{} // forces new sums for each report
			exchangeReport(t, c, tables[instance], instance, r, now)
			latest[instance] = sentReport{r, now}
			for v := range 3 {
				got := map[string]bool{}
				for _, x := range tables[instance].Choose("s", fmt.Sprint("v", v), "id", 9, now) {
					got[x.Name] = true
				}
				want := map[string]int{}
				for _, s := range latest {
					for _, o := range s.Offers {
						if s.Cell != cell && now.Sub(s.sentAt) < reportTTL && o.Version == fmt.Sprint("v", v) {
							want[s.Cell] += o.Free
						}
					}
				}
				table := tables[instance]
				for name, free := range want {
					i := slices.IndexFunc(table.cells, func(c *cellpb.Cell) bool { return c.Name == name })
					if capacity := table.capacity[serviceVersion{"s", fmt.Sprint("v", v)}]; free > 0 && capacity.freeSlots[i] != free {
						t.Fatalf("%s has %d free slots of v%d, want %d", name, capacity.freeSlots[i], v, free)
					}
					if age := table.expiresAt[i].Sub(now); (free > 0 && age > 0) != got[name] {
						t.Fatalf("%s with %d free slots, digest valid for %v: chosen %v", name, free, age, got[name])
					}
				}
			}
		}
	}
}

// deployment returns a collector with reports of one instance in each of n cells,
// and the table of an instance in cell "own".
func deployment(t testing.TB, n int, offers func(i int) []Offer) (*Collector, *Table) {
	c, table := NewCollector(), NewTable("own", "near", testStart)
	for i := range n {
		region := []string{"near", "far"}[i%2]
		other := NewTable("other", region, testStart)
		exchangeReport(t, c, other, fmt.Sprint("node", i), Report{fmt.Sprintf("c%02d", i), region, fmt.Sprint("10.0.0.", i), "peer", offers(i)}, testStart)
	}
	c.mergedAt = time.Time{}
	exchangeReport(t, c, table, "me", Report{Cell: "own", Region: "near", Callers: "me"}, testStart)
	return c, table
}

// Guards against all instances choosing the same cell, cells of other regions
// before those of the own region, and repeated requests that go to another cell.
func TestChoiceFollowsCapacity(t *testing.T) {
	free := []int{10, 400, 30, 400, 60, 400} // cells with even index are in the own region
	_, table := deployment(t, len(free), func(i int) []Offer { return []Offer{{"s", "v", free[i], 1 + float64(i/4)}} })
	counts, second := map[string]int{}, 0
	const requests = 20000
	for i := range requests {
		id := fmt.Sprint("request", i)
		got := table.Choose("s", "v", id, 9, testStart)
		if again := table.Choose("s", "v", id, 9, testStart); len(got) != 6 || again[0].Name != got[0].Name {
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
	// The free slots are 10, 30 and 60, the last at twice the price.
	for name, want := range map[string]float64{"c00": 1.0 / 7, "c02": 3.0 / 7, "c04": 3.0 / 7} {
		if share := float64(counts[name]) / requests; math.Abs(share-want) > 0.015 {
			t.Errorf("%s was chosen for %.3f of the requests, want %.3f", name, share, want)
		}
	}
	others := table.Others("caller", 9, testStart)
	if len(others) != 6 || others[0] == others[1] || !slices.Equal(others[:2], table.Others("caller", 2, testStart)) {
		t.Errorf("instances of other cells: %v", others)
	}
	if late := table.Others("caller", 9, testStart.Add(DigestTTL)); len(late) != 0 {
		t.Errorf("instances of cells whose digests have expired: %v", late)
	}
	var done func()
	for range 10 {
		done = table.Sent("c00", "s", "v")
	}
	if got := table.Choose("s", "v", "x", 9, testStart); len(got) != 5 {
		t.Errorf("%v after all slots of c00 were used", got)
	}
	done()
	done()
	if got := table.Choose("s", "v", "x", 9, testStart); len(got) != 6 || table.capacity[serviceVersion{"s", "v"}].usedSlots[0] != 9 {
		t.Errorf("%v after one of 10 requests has ended", got)
	}
}

// Guards against using capacity from a digest that has expired or belongs to
// another directory.
func TestDigestsEnd(t *testing.T) {
	c, table := deployment(t, 3, func(int) []Offer { return []Offer{{"s", "v", 5, 1}} })
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, 3}, {DigestTTL - mergeInterval - 1, 3}, {DigestTTL - mergeInterval, 0}} {
		if got := table.Choose("s", "v", "id", 9, testStart.Add(tt.after)); len(got) != tt.want {
			t.Errorf("after %v: %v, want %d cells", tt.after, got, tt.want)
		}
	}
	now := testStart.Add(2 * time.Second)
	exchangeReport(t, c, table, "me", Report{Cell: "own", Region: "near"}, now)
	// The other instances have not reported for 2 s.
	if got := table.Choose("s", "v", "id", 9, now.Add(DigestTTL-2*time.Second-mergeInterval)); len(got) != 0 {
		t.Errorf("expired digests are used: %v", got)
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
	exchangeReport(t, c, table, "me", Report{Cell: "own", Region: "near"}, now)
	if got := table.Choose("s", "v", "id", 9, now); len(got) != 3 {
		t.Errorf("the directory was not sent again: %v", got)
	}
}

// Guards against decoders that panic on malformed reports and replies.
func FuzzWire(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(_ *testing.T, report, reply []byte) {
		c, table := NewCollector(), NewTable("own", "near", testStart)
		if _, err := c.Add("a", report, testStart); err == nil {
			_, _ = c.Add("b", report, testStart.Add(time.Second))
		}
		_ = table.Take(reply, testStart)
		_ = table.Choose("s", "v", "id", 9, testStart)
	})
}

// BenchmarkCells measures one second at the design scale: 350 instances in 35
// cells, each with 10 servers of 2 services, send a report and apply the reply.
// Byte counts are message sizes.
func BenchmarkCells(b *testing.B) {
	const cells, perCell = 35, 10
	offers := []Offer{{"specs", "2026-11", 40, 1.5}, {"orders", "2026-12", 60, 0.5}}
	c := NewCollector()
	var tables []*Table
	var reports []Report
	for i := range cells * perCell {
		cell := fmt.Sprintf("region-%d-cell-%02d", i/perCell%3, i/perCell)
		tables = append(tables, NewTable(cell, "region", testStart))
		reports = append(reports, Report{cell, "region", fmt.Sprintf("10.1.%d.%d:8101", i/perCell, i%perCell), fmt.Sprintf("10.1.%d.%d:8201", i/perCell, i%perCell), offers})
	}
	now, up, down, first := testStart, 0, 0, 0
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
			reply, err := c.Add(fmt.Sprint(i), report, at)
			leader += time.Since(began)
			if err != nil {
				b.Fatal(err)
			}
			if err := tables[i].Take(reply, at); err != nil {
				b.Fatal(err)
			}
			up, down = up+len(report), down+len(reply)
		}
	}
	for range 3 { // fills the directories of all tables
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

// BenchmarkChoose measures one choice among 35 cells with free capacity.
func BenchmarkChoose(b *testing.B) {
	_, table := deployment(b, 35, func(i int) []Offer { return []Offer{{"s", "v", i + 1, 1}} })
	b.ReportAllocs()
	for b.Loop() {
		table.Choose("s", "v", "acme/request", 2, testStart)
	}
}
