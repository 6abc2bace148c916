package coord

import (
	"slices"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/admit"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
)

const (
	// reportTimeout is the time without a report after which an instance is no longer
	// listed for callers: five reports.
	reportTimeout = 5 * syncInterval
	// quotaSilence is how long after the last report the leader sets aside an instance's part
	// of the rates: two and a half report intervals. Partitioned instances spend their parts
	// from their first failed call on.
	quotaSilence = 500 * time.Millisecond
	// relayGrace is how much longer the instances behind a silent relay stay listed: the
	// time in which they find another relay.
	relayGrace = time.Second
	// usageRetention is how long the usage counts of a silent process are kept: longer
	// than the deadline for reporting a window's usage.
	usageRetention = 20 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals after which a silent
	// backend server expires. Heartbeats can arrive seconds late.
	maxMissedHeartbeats = 3.5
	// stallThreshold is the time between two ticks above which the leader assumes that it
	// was stalled itself, rather than the servers silent.
	stallThreshold = time.Second
	// retainedWindows is the number of usage windows kept for each process.
	retainedWindows = 8
)

// aggregator is the soft state that the leader aggregates during one term. The state that
// instances receive is in the feed.
type aggregator struct {
	self      string // ID of this instance
	term      uint64
	electedAt time.Time
	feed      *feed

	mu             sync.Mutex
	ledger         *quota.Ledger
	rulesVersion   uint64 // configuration version of the ledger's rules
	processes      map[processKey]*processState
	loads          loadSums
	admission      *admit.Ledger
	useRelays      bool
	relays         []Instance // live instances that may serve as relays
	lastTick       time.Time
	versionResults [][]byte // encoded results not yet taken by the rollout controller
}

// maxVersionResults bounds the results queued for the rollout controller.
const maxVersionResults = 4096

// processKey identifies one process; a restarted instance is a new process.
type processKey struct {
	id      string
	started int64
}

type processState struct {
	instance        Instance
	lastReport      time.Time     // or until when the process counts as alive without one
	reportedAt      time.Time     // last report to this leader or a relay; zero before the first
	via             *processState // relay that reports for this process; nil if it reports itself
	silent          bool          // the relay says that the process no longer reports
	lastSpentNumber uint64        // number of the last spending report applied
	loads           []Load
	windows         map[int64]map[string]float64
}

// heardAt returns when the process was last known to be alive. A relay reports only
// changes of the processes behind it.
func (n *processState) heardAt() time.Time {
	if n.via != nil && !n.silent {
		return n.via.lastReport.Add(relayGrace)
	}
	return n.lastReport
}

func (n *processState) alive(now time.Time) bool { return now.Sub(n.heardAt()) <= reportTimeout }

func (n *processState) setWindows(windows []*coordpb.Window) {
	if n.windows == nil {
		n.windows = map[int64]map[string]float64{}
	}
	var newest int64
	for _, w := range windows {
		n.windows[w.Number] = countsFromProto(w.Counts)
		newest = max(newest, w.Number)
	}
	for number := range n.windows {
		if number <= newest-retainedWindows {
			delete(n.windows, number)
		}
	}
}

// newAggregator returns the aggregator of a new term. It starts with the usage counts,
// received from the previous leader, of processes that cannot report them again, and with
// the instances that the feed lists, which have relayGrace to report to the new leader.
func newAggregator(self string, f *feed, term uint64, counted []*coordpb.Counted, now time.Time) *aggregator {
	agg := &aggregator{
		self: self, term: term, electedAt: now, feed: f, ledger: quota.NewLedger(),
		processes: map[processKey]*processState{}, loads: loadSums{}, admission: admit.NewLedger(now), lastTick: now,
	}
	for _, inst := range f.listed() {
		agg.processes[keyOf(inst)] = &processState{instance: inst, lastReport: now.Add(relayGrace)}
	}
	for _, c := range counted {
		key := processKey{c.Id, c.StartedMs}
		n := agg.processes[key]
		if n == nil {
			n = &processState{instance: Instance{ID: c.Id}, lastReport: now.Add(-reportTimeout - 1)}
			agg.processes[key] = n
		}
		n.setWindows(c.Windows)
	}
	// The servers have not been silent towards this leader.
	f.roster.RefreshAll(now)
	return agg
}

func keyOf(inst Instance) processKey { return processKey{inst.ID, inst.Started.UnixMilli()} }

// usageHandover returns the usage counts that would be lost with this leader: its own
// and those of silent processes.
func (a *aggregator) usageHandover(now time.Time) []*coordpb.Counted {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*coordpb.Counted
	for key, n := range a.processes {
		if len(n.windows) == 0 || key.id != a.self && n.alive(now) {
			continue
		}
		c := &coordpb.Counted{Id: key.id, StartedMs: key.started}
		for number, counts := range n.windows {
			c.Windows = append(c.Windows, Window{number, counts}.proto())
		}
		out = append(out, c)
	}
	return out
}

// configure applies a new configuration to the ledger. In a new term the token buckets
// start at the levels last received from the previous leader, because full buckets
// would admit another burst of a flood at each leader change. A bucket whose level is
// not known starts at its rule's InitialLevel. In the first term all buckets start full.
func (a *aggregator) configure(version uint64, rules map[string]quota.Rule, lastLevels map[string]quota.Level, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version == a.rulesVersion {
		return
	}
	first := a.rulesVersion == 0
	a.rulesVersion = version
	a.ledger.Configure(rules, now)
	if !first || a.term == 1 {
		return
	}
	for name, r := range rules {
		if last, ok := lastLevels[name]; ok {
			a.ledger.Resume(name, last, now)
			continue
		}
		a.ledger.Spend(name, r.Burst-min(r.InitialLevel, r.Burst), now)
	}
}

// tick expires silent servers and instances, and returns the servers it expired.
func (a *aggregator) tick(heartbeat time.Duration, now time.Time) []roster.Server {
	a.mu.Lock()
	sinceTick := now.Sub(a.lastTick)
	a.lastTick = now
	if sinceTick > stallThreshold {
		for _, n := range a.processes {
			if now.Sub(n.lastReport) < sinceTick+reportTimeout {
				n.lastReport = now
			}
		}
	}
	a.expireProcesses(now)
	a.ledger.Reserve(a.silentFraction(now), now)
	a.mu.Unlock()
	if sinceTick > stallThreshold {
		a.feed.roster.RefreshAll(now)
	}
	return a.feed.roster.Expire(now.Add(-time.Duration(maxMissedHeartbeats*float64(heartbeat))), now)
}

// expireProcesses removes silent processes from the feed, forgets those that have been
// silent for longer than usageRetention and lists the relays. mu must be held.
func (a *aggregator) expireProcesses(now time.Time) {
	a.relays = a.relays[:0:0]
	alive := 0
	for key, n := range a.processes {
		if n.alive(now) {
			alive++
			if n.instance.Durable && n.via == nil {
				a.relays = append(a.relays, n.instance)
			}
			continue
		}
		a.feed.dropInstance(n.instance.ID, n.instance.Started)
		a.loads.replace(n.loads, nil)
		n.loads = nil
		if now.Sub(n.heardAt()) > usageRetention {
			delete(a.processes, key)
		}
	}
	a.useRelays = needsRelays(alive, a.useRelays)
}

// silentFraction returns which fraction of the instances that accept requests has not been
// heard of for quotaSilence. Such an instance may be partitioned and still admit requests up
// to its share of the rate limits. mu must be held.
func (a *aggregator) silentFraction(now time.Time) float64 {
	latest := map[string]*processState{}
	for key, n := range a.processes {
		if other := latest[key.id]; other == nil || n.heardAt().After(other.heardAt()) {
			latest[key.id] = n
		}
	}
	silent, all := 0, 0
	for _, n := range latest {
		if !n.instance.Ready {
			continue
		}
		all++
		lastReport := n.lastReport
		if n.via != nil && !n.silent {
			lastReport = n.via.lastReport
		}
		if now.Sub(lastReport) > quotaSilence {
			silent++
		}
	}
	return float64(silent) / float64(max(all, 1))
}

// reportingDurable returns the IDs of the instances with a disk that report.
func (a *aggregator) reportingDurable(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, n := range a.processes {
		if n.instance.Durable && n.alive(now) {
			out = append(out, n.instance.ID)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// relayFor returns the relay that an instance should report to, or "" if it should report
// to the leader.
func (a *aggregator) relayFor(node *coordpb.Node, avoid []string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.useRelays || node.Durable {
		return ""
	}
	if id := chooseRelay(node.Id, node.DataCentre, a.relays, avoid); id != a.self {
		return id
	}
	return ""
}

// applyReport applies the report of an instance, and with the report of a relay the
// changes of the instances behind it.
func (a *aggregator) applyReport(req *coordpb.Sync, now time.Time) {
	for _, p := range req.Servers {
		a.feed.roster.Put(serverFromProto(p, now), now)
	}
	a.feed.addPrefixes(req.Held)
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.process(req.Node, now)
	n.lastReport, n.reportedAt, n.via, n.silent = now, now, nil, false
	loads := loadsFromProto(req.Loads, now)
	a.loads.replace(n.loads, loads)
	n.loads = loads
	n.setWindows(req.Windows)
	a.feed.putInstance(n.instance)
	for _, c := range req.Children {
		a.applyChild(n, c, now)
	}
	for _, results := range append(req.ChildrenJudged, req.Judged) {
		if len(results) > 0 && len(a.versionResults) < maxVersionResults {
			a.versionResults = append(a.versionResults, results)
		}
	}
	if req.SpentNumber > n.lastSpentNumber {
		n.lastSpentNumber = req.SpentNumber
		for _, s := range req.Spent {
			a.ledger.Spend(s.Name, s.Amount, now)
		}
		a.admission.Add(demandsFromProto(req.Demands), now)
	}
}

// applyChild applies what a relay reports of a process behind it. mu must be held.
func (a *aggregator) applyChild(relay *processState, c *coordpb.Child, now time.Time) {
	if c.Node == nil {
		return
	}
	n := a.process(c.Node, now)
	n.setWindows(c.Windows)
	if c.Silent {
		if n.via == relay {
			n.silent, n.lastReport = true, now.Add(-reportTimeout-1)
		}
		return
	}
	reportedAt := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
	if n.via != relay && reportedAt.Before(n.reportedAt) {
		return // it has reported to the leader or another relay since
	}
	n.via, n.silent, n.lastReport, n.reportedAt = relay, false, now, reportedAt
	a.loads.replace(n.loads, nil) // the relay includes them
	n.loads = nil
	a.feed.putInstance(n.instance)
}

// process returns the state of the process that a report describes. mu must be held.
func (a *aggregator) process(node *coordpb.Node, now time.Time) *processState {
	inst := instanceFromProto(node)
	key := processKey{inst.ID, node.StartedMs}
	n := a.processes[key]
	if n == nil {
		n = &processState{}
		a.processes[key] = n
		for other, old := range a.processes {
			if other.id == key.id && other.started < key.started {
				// The earlier process has ended; its usage counts are kept.
				old.via, old.lastReport = nil, now.Add(-reportTimeout-1)
				a.loads.replace(old.loads, nil)
				old.loads = nil
			}
		}
	}
	n.instance = inst
	return n
}

func (a *aggregator) usesRelays() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.useRelays
}

// totalLoads returns the outstanding work by server.
func (a *aggregator) totalLoads(now time.Time) []Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loads.list(now)
}

// usage sums the counts of one window over all processes.
func (a *aggregator) usage(number int64) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for _, n := range a.processes {
		for name, count := range n.windows[number] {
			out[name] += count
		}
	}
	return out
}
