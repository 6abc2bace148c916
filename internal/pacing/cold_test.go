package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against parts that exceed the bound together when all their buckets are full, and
// against a server that gets nothing although the bound allows a request.
func TestColdParts(t *testing.T) {
	for _, c := range []struct {
		bound     Bound
		instances int
		senders   int
		rate      float64
	}{
		{Bound{6.6, 1.5, 5}, 88, 4, 6.6},
		{Bound{6.6, 1.5, 5}, 2, 2, 6.6},
		{Bound{6.6, 1, 0}, 88, 1, 5.6},
		{Bound{0.3, 1.5, 5}, 88, 1, 0.3},
		{Bound{0.5, 1, 0}, 88, 0, 0},
		{Bound{100, 1.5, 5}, 88, 27, 100},
		{Bound{100, 1.5, 5}, 3, 3, 100},
	} {
		for server := range 20 {
			all, sum, senders := names(c.instances), 0.0, 0
			for _, id := range all {
				part := c.bound.Part(fmt.Sprint("s", server), id, all)
				sum += part
				if part > 0 {
					senders++
				}
			}
			if d := sum - c.rate; d > 1e-9 || d < -1e-9 || senders != c.senders || sum > 0 && sum+float64(senders) > c.bound.most()+1e-9 {
				t.Errorf("%+v, %d instances: %v at %d, want %v at %d", c.bound, c.instances, sum, senders, c.rate, c.senders)
			}
		}
	}
	if part := (Bound{6.6, 1.5, 5}).Part("s", "unlisted", names(3)); part != 0 {
		t.Errorf("an instance that is not listed has a part of %v", part)
	}
}

// Guards against a gate that opens before the instance that had the part has stopped, that
// stays open when the part is lost, or that lets a burst through.
func TestGate(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if g := (Gate{}); g.Limited() || !g.WithSent(at(0)).Admits(at(0)) {
		t.Error("a gate without a part admits no request")
	}
	g := Gate{}.WithPart(2, at(0))
	if g.Admits(at(1999)) || !g.Admits(at(2000)) {
		t.Error("a gained part is not used 1.5 s later with an empty bucket")
	}
	if next, ok := g.Next(at(10)); !ok || !next.Equal(at(2000)) {
		t.Errorf("the next request at %v, %v", next, ok)
	}
	if same := g.WithPart(2, at(1000)); !same.Admits(at(2000)) {
		t.Error("a part that stays the same waits again")
	}
	if g = g.WithSent(at(60_000)); g.Admits(at(60_000)) || !g.Admits(at(60_500)) {
		t.Error("more than one request at once after a minute")
	}
	grown := g.WithPart(4, at(61_000)).WithSent(at(61_000))
	if grown.Admits(at(61_499)) || !grown.Admits(at(61_500)) {
		t.Error("a part that grows is not used at the old rate meanwhile")
	}
	if shrunk := grown.WithPart(1, at(61_000)); shrunk.Admits(at(61_999)) || !shrunk.Admits(at(62_000)) {
		t.Error("a part that shrinks is not used at the new rate at once")
	}
	lost := g.WithPart(0, at(70_000))
	if _, ok := lost.Next(at(70_000)); ok || lost.Admits(at(600_000)) {
		t.Error("an instance without a part sends a request")
	}
	if back := lost.WithPart(2, at(80_000)); back.Admits(at(81_999)) || !back.Admits(at(82_000)) {
		t.Error("a part that returns is used too early")
	}
}

// coldModel is a deployment whose only server turns cold while instances join, end, freeze,
// are cut off and learn news late, and while the leader changes. Times are in ms.
type coldModel struct {
	rng       *rand.Rand
	now       int
	bound     Bound
	instances []*coldInstance
	listed    []string // the leader's list
	listedAgo []string // as of 0.4 s ago at most, with which a new leader starts
	leaderAt  int      // no leader answers before
	graceTo   int      // the leader drops no instance before
	coldAt    int      // when the leader heard that the server is cold; 0 if it is not
	coldUntil int
	pauses    bool // no requests in every other second, so that all buckets are full after it
	lostLead  bool // a leader was lost
	halfLost  bool // half of the instances are cut off or freeze together
	newsAt    int  // when the server announces it
	firstNews int  // when an instance heard of it
}

type coldInstance struct {
	id          string
	bornAt      int
	endsAt      int // process ends; 0 if it does not
	cutFrom     int
	cutTo       int
	frozenFrom  int
	frozenTo    int
	reportAt    int
	lastHeard   int // by the leader
	answers     []coldAnswer
	confirmedAt int
	list        []string
	knowsCold   bool
	coldUntil   int
	part        float64 // with list
	gate        Gate
	usualAt     int // next usual request while the server does not count as cold
}

type coldAnswer struct {
	at, sentAt      int
	list            []string
	coldAt, coldEnd int
}

func (m *coldModel) time() time.Time { return start.Add(time.Duration(m.now) * time.Millisecond) }

func (i *coldInstance) valid(now int) bool {
	return time.Duration(now-i.confirmedAt)*time.Millisecond < PartLease
}

func (m *coldModel) apply(i *coldInstance, a coldAnswer) {
	if !i.valid(m.now) {
		i.gate = i.gate.WithPart(0, m.time())
		if !i.knowsCold {
			i.gate = Gate{}
		}
	}
	if !slices.Equal(i.list, a.list) {
		i.list, i.part = a.list, m.bound.Part("s", i.id, a.list)
	}
	i.confirmedAt = max(i.confirmedAt, a.sentAt)
	if a.coldAt > 0 && a.coldEnd > m.now {
		i.knowsCold, i.coldUntil = true, a.coldEnd
	}
	m.setPart(i)
}

func (m *coldModel) setPart(i *coldInstance) {
	if i.knowsCold && m.now >= i.coldUntil {
		i.knowsCold, i.gate = false, Gate{}
	}
	if i.knowsCold {
		i.gate = i.gate.WithPart(i.part, m.time())
	}
}

// step advances an instance by 20 ms and returns how many requests it sends, with and without
// knowing that the server is cold.
func (m *coldModel) step(i *coldInstance, instances int) (limited, usual int) {
	if m.now < i.bornAt || i.endsAt > 0 && m.now >= i.endsAt || m.now >= i.frozenFrom && m.now < i.frozenTo {
		return 0, 0
	}
	cut := m.now >= i.cutFrom && m.now < i.cutTo
	m.setPart(i)
	// Requests that were queued during a freeze are sent before the instance hears anything.
	if i.knowsCold && m.now < i.coldUntil {
		for (!m.pauses || m.now%2000 >= 1000) && i.valid(m.now) && i.gate.Admits(m.time()) && m.rng.IntN(4) > 0 {
			i.gate, limited = i.gate.WithSent(m.time()), limited+1
		}
	} else if m.now >= i.usualAt && i.list != nil {
		const usualRate = 18 // requests a second of all instances
		i.usualAt = max(i.usualAt, m.now-20) + 1000*instances/usualRate
		usual++
	}
	for len(i.answers) > 0 && i.answers[0].at <= m.now {
		if a := i.answers[0]; !cut {
			m.apply(i, a)
		}
		i.answers = i.answers[1:]
	}
	if m.now < i.reportAt {
		return limited, usual
	}
	i.reportAt = m.now + 200
	if cut || m.now < m.leaderAt {
		return limited, usual
	}
	i.lastHeard = m.now
	if !slices.Contains(m.listed, i.id) {
		m.listed = append(slices.Clone(m.listed), i.id)
	}
	if i.knowsCold && m.coldAt == 0 && m.now < i.coldUntil {
		m.coldAt, m.coldUntil = m.now, i.coldUntil
	}
	i.answers = append(i.answers, coldAnswer{m.now + 10 + m.rng.IntN(190), m.now, m.listed, m.coldAt, m.coldUntil})
	return limited, usual
}

// lead drops instances that are silent, or makes a new leader with an older list.
func (m *coldModel) lead() {
	if m.now < m.leaderAt {
		return
	}
	if m.now%400 == 0 {
		m.listedAgo = m.listed
	}
	// Without a leader the news that the server is cold does not spread, see the note.
	if spreads := m.now > m.newsAt-2500 && m.now < m.newsAt+1500; !spreads && m.rng.IntN(1000) == 0 {
		m.leaderAt, m.lostLead = m.now+300+m.rng.IntN(1500), true
		m.listed, m.graceTo = m.listedAgo, m.leaderAt+1000
	}
	for _, i := range m.instances {
		if m.now >= m.graceTo && m.now-i.lastHeard > 1000 && slices.Contains(m.listed, i.id) {
			m.listed = slices.DeleteFunc(slices.Clone(m.listed), func(id string) bool { return id == i.id })
		}
	}
}

// Guards against more requests than a cold server tolerates, and against a server that gets
// hardly any: all instances together are compared with a counter that knows nothing of parts.
func TestColdServerAgainstCounter(t *testing.T) {
	seeds := uint64(3000)
	if testing.Short() {
		seeds = 300
	}
	// Instances that are cut off before the news may send half of the usual 18 requests a second,
	// with the limited ones of the others.
	const mostOfHalf = 18
	mostLimited, most, mostHalfLost, lowest := 0, 0, 0, 1.0
	for seed := range seeds {
		limited, all, share, m := runColdModel(seed)
		instances := len(m.instances)
		bound := Bound{6.6, 1.5, 5}
		senders, rate := bound.division(instances)
		atMost := bound.most()
		if m.halfLost {
			atMost, mostHalfLost = mostOfHalf, max(mostHalfLost, all)
		} else {
			most = max(most, all)
		}
		if float64(limited) > float64(senders)+rate || float64(all) > atMost {
			t.Errorf("seed %d: %d requests in a second, %d of them limited, want at most %v and %v", seed, all, limited, atMost, float64(senders)+rate)
		}
		mostLimited = max(mostLimited, limited)
		// With fewer instances all that have a part may be frozen, cut off or ended; without a leader none is used.
		if instances < 8 || m.lostLead || m.halfLost || m.pauses {
			continue
		}
		if share < 0.3 {
			t.Errorf("seed %d: the cold server got %.2f of its rate", seed, share)
		}
		lowest = min(lowest, share)
	}
	t.Logf("at most %d requests in a second, %d with those of instances without the news, %d with half of the instances lost; at least %.2f of the rate",
		mostLimited, most, mostHalfLost, lowest)
}

// runColdModel returns the most requests that the server got in a second while it was cold,
// limited ones and all, which share of its rate it got from 5 s after the first news on.
func runColdModel(seed uint64) (limited, all int, share float64, m *coldModel) {
	rng := rand.New(rand.NewPCG(seed, 1))
	m = &coldModel{rng: rng, bound: Bound{6.6, 1.5, 5}, pauses: rng.IntN(3) == 0}
	n := 1 + rng.IntN(24)
	const end = 14_000
	lostAt, lostTo, lost := 4000+rng.IntN(end-4000), rng.IntN(5000), rng.IntN(6) // half of the instances
	m.halfLost = lost < 2
	for k := range n {
		i := &coldInstance{id: names(n)[k], reportAt: rng.IntN(200), usualAt: rng.IntN(1 + 1000*n/18)}
		i.confirmedAt, i.list = 0, names(n)
		i.part = m.bound.Part("s", i.id, i.list)
		switch rng.IntN(12) {
		case 0:
			i.bornAt, i.confirmedAt, i.list, i.part = rng.IntN(end), -100_000, nil, 0
		case 1:
			i.endsAt = rng.IntN(end)
		case 2:
			i.cutFrom = 3000 + rng.IntN(end-3000)
			i.cutTo = i.cutFrom + rng.IntN(4000)
		case 3, 4:
			i.frozenFrom = rng.IntN(end)
			i.frozenTo = i.frozenFrom + rng.IntN(4000)
		}
		switch {
		case k%2 == 0 && lost == 0:
			i.cutFrom, i.cutTo = lostAt, lostAt+lostTo
		case k%2 == 0 && lost == 1:
			i.frozenFrom, i.frozenTo = lostAt, lostAt+lostTo
		}
		if i.bornAt == 0 {
			m.listed = append(m.listed, i.id)
		}
		m.instances = append(m.instances, i)
	}
	m.listedAgo = m.listed
	m.newsAt = 2000 + rng.IntN(1000)
	const coldFor = 10_000
	var sent, sentLimited []int
	for m.now = 0; m.now < end; m.now += 20 {
		m.lead()
		if m.now >= m.newsAt && m.firstNews == 0 {
			i := m.instances[rng.IntN(n)]
			if m.now >= i.bornAt && (i.endsAt == 0 || m.now < i.endsAt) && m.now >= i.frozenTo && m.now >= i.cutTo && i.list != nil {
				i.knowsCold, i.coldUntil, i.reportAt, m.firstNews = true, m.now+coldFor, m.now, m.now
			}
		}
		for _, k := range rng.Perm(n) {
			a, b := m.step(m.instances[k], n)
			if m.firstNews == 0 || m.now >= m.firstNews+coldFor {
				continue
			}
			sent = append(sent, slices.Repeat([]int{m.now}, a+b)...)
			sentLimited = append(sentLimited, slices.Repeat([]int{m.now}, a)...)
		}
	}
	late := 0
	for _, at := range sentLimited {
		if at >= m.firstNews+5000 {
			late++
		}
	}
	if m.firstNews == 0 {
		return 0, 0, 1, m
	}
	seconds := float64(min(end, m.firstNews+coldFor)-m.firstNews-5000) / 1000
	return mostInSecond(sentLimited), mostInSecond(sent), float64(late) / seconds / m.bound.Rate, m
}

// mostInSecond returns the largest number of times, in ms and ascending, in any second.
func mostInSecond(times []int) int {
	most, first := 0, 0
	for k, at := range times {
		for at-times[first] >= 1000 {
			first++
		}
		most = max(most, k+1-first)
	}
	return most
}
