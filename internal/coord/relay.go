package coord

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/quota"
)

const (
	// maxDirectReports is the number of instances up to which all of them report to the
	// leader. In larger deployments, instances report to relays, the instances with a disk,
	// which report to the leader for them.
	maxDirectReports = 32
	// directReportsAgain is the number of instances below which relays are given up, lower
	// than maxDirectReports so that a restart does not change the mode.
	directReportsAgain = 24
	// relayInterval is the interval of a relay's reports while instances wait for them.
	relayInterval = 100 * time.Millisecond
	// minRelayInterval separates the reports that urgent reports cause.
	minRelayInterval = 20 * time.Millisecond
	// childRefreshInterval is the interval at which a relay repeats the state of an instance
	// that has not changed, in case another relay's late report of it came in between.
	childRefreshInterval = 2 * time.Second
	// relayHoldTime is how long a report waits at a relay for the leader.
	relayHoldTime = 600 * time.Millisecond
	// relayTimeout bounds a report to a relay, which answers within relayHoldTime.
	relayTimeout = 900 * time.Millisecond
	// relayAvoidTime is how long an instance avoids a relay that did not answer, plus up
	// to the same time at random, so that the instances do not return at once.
	relayAvoidTime = 3 * time.Second
	// maxRelayRefusals is how often in a row a relay may have no leader before an instance
	// tries another one.
	maxRelayRefusals = 2
)

// needsRelays reports whether a deployment of n instances reports through relays.
func needsRelays(n int, before bool) bool {
	if before {
		return n >= directReportsAgain
	}
	return n > maxDirectReports
}

// chooseRelay returns the relay of an instance by rendezvous hashing: one in its data
// centre if there is one. It returns "" if there is none that it does not avoid.
func chooseRelay(id, dataCentre string, relays []Instance, avoid []string) string {
	best, bestLocal, bestHash := "", false, uint64(0)
	for _, r := range relays {
		if slices.Contains(avoid, r.ID) {
			continue
		}
		local, hash := r.DataCentre == dataCentre, xxhash.Sum64String(r.ID+"\x00"+id)
		if best == "" || local && !bestLocal || local == bestLocal && hash > bestHash {
			best, bestLocal, bestHash = r.ID, local, hash
		}
	}
	return best
}

// relay collects the reports of other instances for the leader.
type relay struct {
	mu       sync.Mutex
	children map[processKey]*child
	loads    loadSums                   // of the children that report
	term     uint64                     // term of the leader that answered last
	resend   bool                       // that leader does not have all children
	servers  map[string]*coordpb.Server // latest announcements that the leader may not have
	spent    map[string]float64
	demands  admit.Demands
	held     []*coordpb.Held
	judged   [][]byte
	waiting  []chan error        // reports to be confirmed by the leader
	present  map[string]presence // instances that use this relay, by ID
}

// child is a process that reports to this relay.
type child struct {
	node       *coordpb.Node
	lastReport time.Time
	loads      []Load
	windows    map[int64]*coordpb.Window // not yet at the leader
	changed    bool                      // node or silent is not yet at the leader
	sentAt     time.Time                 // when it was last reported to the leader
	silent     bool
}

func newRelay() *relay {
	return &relay{children: map[processKey]*child{}, loads: loadSums{}, servers: map[string]*coordpb.Server{}, spent: map[string]float64{}, present: map[string]presence{}}
}

// presence is the time in which a relay holds an instance's part of the rates.
type presence struct{ from, until time.Time }

// setPresent records that this relay holds the part of an instance until a time. Other
// relays may hold it for elsewhere more.
func (r *relay) setPresent(id string, elsewhere time.Duration, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present[id] = presence{now.Add(elsewhere), until}
}

// extendPresent is like setPresent, but never shortens the time.
func (r *relay) extendPresent(id string, elsewhere time.Duration, now, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.present[id]; p.until.After(until) {
		until = p.until
	}
	r.present[id] = presence{now.Add(elsewhere), until}
}

// parts returns how many instances' parts of the rates are held here: those of the
// instances that use this relay and its own.
func (r *relay) parts(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for id, p := range r.present {
		switch {
		case !now.Before(p.until):
			delete(r.present, id)
		case !now.Before(p.from):
			n++
		}
	}
	return n
}

// add takes over a report. The channel receives the result once the leader has answered
// the report that contains it.
func (r *relay) add(req *coordpb.Sync, now time.Time) <-chan error {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := processKey{req.Node.Id, req.Node.StartedMs}
	c := r.children[key]
	if c == nil {
		c = &child{changed: true, windows: map[int64]*coordpb.Window{}}
		r.children[key] = c
	}
	if c.silent || c.node == nil || !sameNode(c.node, req.Node) {
		c.changed = true
	}
	c.node, c.lastReport, c.silent = req.Node, now, false
	loads := loadsFromProto(req.Loads, now)
	r.loads.replace(c.loads, loads)
	c.loads = loads
	for _, w := range req.Windows {
		c.windows[w.Number] = w
	}
	for _, s := range req.Servers {
		r.addServer(s)
	}
	for _, s := range req.Spent {
		r.spent[s.Name] += s.Amount
	}
	r.demands = r.demands.With(demandsFromProto(req.Demands))
	r.held = append(r.held, req.Held...)
	if len(req.Judged) > 0 {
		r.judged = append(r.judged, req.Judged)
	}
	done := make(chan error, 1)
	r.waiting = append(r.waiting, done)
	return done
}

// sameNode compares what the leader uses of a node.
func sameNode(a, b *coordpb.Node) bool { return instanceFromProto(a) == instanceFromProto(b) }

// addServer keeps the newest announcement of a server. mu must be held.
func (r *relay) addServer(s *coordpb.Server) {
	if old := r.servers[s.Id]; old != nil {
		now := time.Time{} // the result has the times of one of the two
		s = serverToProto(serverFromProto(s, now).MergedWith(serverFromProto(old, now)), now)
	}
	r.servers[s.Id] = s
}

// hasChildren reports whether any instance reports to this relay.
func (r *relay) hasChildren() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.children) > 0
}

// batch is what one report of a relay adds for the instances behind it.
type batch struct {
	all      bool // contains all children that report
	children []*coordpb.Child
	keys     []processKey // of children
	servers  map[string]*coordpb.Server
	waiting  []chan error
}

// take adds the changes of the children to a report of this relay.
func (r *relay) take(req *coordpb.Sync, now time.Time) *batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &batch{all: r.resend, servers: r.servers, waiting: r.waiting}
	for key, c := range r.children {
		silence := now.Sub(c.lastReport)
		if silence > reportTimeout && !c.silent {
			c.silent, c.changed = true, true
			r.loads.replace(c.loads, nil)
			c.loads = nil
		}
		if silence > usageRetention {
			delete(r.children, key)
			continue
		}
		refresh := !c.silent && (r.resend || now.Sub(c.sentAt) >= childRefreshInterval)
		if !c.changed && len(c.windows) == 0 && !refresh {
			continue
		}
		c.sentAt = now
		entry := &coordpb.Child{Node: c.node, Silent: c.silent, AgeMs: silence.Milliseconds()}
		for _, w := range c.windows {
			entry.Windows = append(entry.Windows, w)
		}
		b.children, b.keys = append(b.children, entry), append(b.keys, key)
		c.changed, c.windows = false, map[int64]*coordpb.Window{}
	}
	for _, s := range r.servers {
		req.Servers = append(req.Servers, s)
	}
	for name, units := range r.spent {
		req.Spent = append(req.Spent, &coordpb.Count{Name: name, Amount: units})
	}
	sums := loadSums{}
	sums.replace(nil, loadsFromProto(req.Loads, now))
	sums.replace(nil, r.loads.list(now))
	req.Loads = loadsToProto(sums.list(now), now)
	if len(r.demands) > 0 {
		req.Demands = demandsToProto(r.demands.With(demandsFromProto(req.Demands)))
	}
	req.Held = append(req.Held, r.held...)
	req.Children, req.ChildrenJudged = b.children, r.judged
	r.resend = false
	r.servers, r.spent, r.demands, r.held, r.judged, r.waiting = map[string]*coordpb.Server{}, map[string]float64{}, nil, nil, nil, nil
	return b
}

// finish records the leader's answer to a batch, or its failure: the state of the children
// is reported again, and they repeat the rest.
func (r *relay) finish(b *batch, term uint64, err error) {
	r.mu.Lock()
	if err == nil {
		r.resend, r.term = term != r.term, term
	} else {
		r.resend = r.resend || b.all
		for i, key := range b.keys {
			c := r.children[key]
			if c == nil {
				continue
			}
			c.changed = true
			for _, w := range b.children[i].Windows {
				if c.windows[w.Number] == nil {
					c.windows[w.Number] = w
				}
			}
		}
		for _, s := range b.servers {
			r.addServer(s)
		}
	}
	r.mu.Unlock()
	for _, done := range b.waiting {
		done <- err
	}
}

// relayChoice is an instance's choice of a relay. Coord.mu guards it.
type relayChoice struct {
	enabled  bool       // the deployment uses relays
	relays   []Instance // instances that may serve as relays
	current  string     // relay that the last report went to, or ""
	refusals int        // reports in a row that current could not forward
	avoid    map[string]time.Time
	// partAt is the relay that holds this instance's part of the rates, until partUntil;
	// other relays may hold it until elsewhereUntil.
	partAt                    string
	partUntil, elsewhereUntil time.Time
}

// usePart tells how long other relays may still hold this instance's part of the rates, in
// ms, when it turns to a relay that will hold the part until a time.
func (c *relayChoice) usePart(relay string, now, until time.Time) (elsewhereMs int64) {
	if relay != c.partAt {
		if c.partUntil.After(c.elsewhereUntil) {
			c.elsewhereUntil = c.partUntil
		}
		c.partAt, c.partUntil = relay, time.Time{}
	}
	if until.After(c.partUntil) {
		c.partUntil = until
	}
	if left := c.elsewhereUntil.Sub(now); left > 0 {
		return left.Milliseconds() + 1
	}
	return 0
}

// partAnswered records that a relay has answered a report and holds the part for
// quota.NearbyHoldTime more.
func (c *relayChoice) partAnswered(relay string, now time.Time) {
	if relay == c.partAt {
		c.partUntil = now.Add(quota.NearbyHoldTime)
	}
}

// target returns the relay to report to, or "" if there is none.
func (c *relayChoice) target(self Instance, now time.Time) string {
	if self.Durable || !c.enabled {
		return ""
	}
	return chooseRelay(self.ID, self.DataCentre, c.relays, c.avoided(now))
}

// avoided returns the relays that failed recently.
func (c *relayChoice) avoided(now time.Time) []string {
	var out []string
	for id, until := range c.avoid {
		if now.Before(until) {
			out = append(out, id)
		} else {
			delete(c.avoid, id)
		}
	}
	return out
}

// failed records that a relay did not forward a report. A relay without a leader is
// avoided only if that persists.
func (c *relayChoice) failed(id string, answered bool, now time.Time) {
	if answered {
		if c.refusals++; c.refusals < maxRelayRefusals {
			return
		}
	}
	c.refusals = 0
	if c.avoid == nil {
		c.avoid = map[string]time.Time{}
	}
	c.avoid[id] = now.Add(relayAvoidTime + rand.N(relayAvoidTime))
}
