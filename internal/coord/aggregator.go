package coord

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/quota"
	"cranberrypath.example/cranberrypath/internal/roster"
)

const (
	// reportTimeout is the time without a report after which an instance is no longer
	// listed for callers: five reports.
	reportTimeout = 5 * syncInterval
	// usageRetention is how long the usage counts of a silent process are kept: longer
	// than the deadline for reporting a window's usage.
	usageRetention = 20 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals after which a silent
	// backend server expires. Heartbeats can arrive seconds late.
	maxMissedHeartbeats = 3.5
	// stallThreshold is the time between two ticks above which the leader assumes that it
	// was stalled itself, rather than the servers silent.
	stallThreshold = time.Second
)

// aggregator is the soft state that the leader aggregates during one term.
type aggregator struct {
	self      string // ID of this instance
	term      uint64
	electedAt time.Time

	mu             sync.Mutex
	roster         *roster.Roster
	ledger         *quota.Ledger
	rulesVersion   uint64 // configuration version of the ledger's rules
	processes      map[processKey]*processState
	listVersion    uint64 // incremented with each change of reporting
	reporting      []Instance
	lastTick       time.Time
	greetedAt      map[string]time.Time
	versionResults [][]byte        // encoded results not yet taken by the rollout controller
	prefixes       []*coordpb.Held // the most recent reports, oldest first
	nextPrefix     uint64          // sequence number after the last element of prefixes
}

// retainedPrefixes is how many prefix reports are kept for instances that missed some.
const retainedPrefixes = 1024

// maxVersionResults bounds the results queued for the rollout controller.
const maxVersionResults = 4096

// processKey identifies one process; a restarted instance is a new process.
type processKey struct {
	id      string
	started int64
}

type processState struct {
	instance        Instance
	lastReport      time.Time
	lastSpentNumber uint64 // number of the last spending report applied
	loads           []Load
	windows         []Window
}

// newAggregator returns the aggregator of a new term. It starts with the usage counts,
// received from the previous leader, of processes that cannot report them again.
func newAggregator(self string, term uint64, counted []*coordpb.Counted, now time.Time) *aggregator {
	agg := &aggregator{
		self: self, term: term, electedAt: now, roster: roster.New(), ledger: quota.NewLedger(),
		processes: map[processKey]*processState{}, lastTick: now, greetedAt: map[string]time.Time{},
	}
	for _, c := range counted {
		n := &processState{instance: Instance{ID: c.Id}, lastReport: now.Add(-reportTimeout - 1)}
		for _, w := range c.Windows {
			n.windows = append(n.windows, Window{w.Number, countsFromProto(w.Counts)})
		}
		agg.processes[processKey{c.Id, c.StartedMs}] = n
	}
	return agg
}

// usageHandover returns the usage counts that would be lost with this leader: its own
// and those of silent processes. mu must be held.
func (a *aggregator) usageHandover(now time.Time) []*coordpb.Counted {
	var out []*coordpb.Counted
	for key, n := range a.processes {
		if len(n.windows) == 0 || key.id != a.self && now.Sub(n.lastReport) <= reportTimeout {
			continue
		}
		c := &coordpb.Counted{Id: key.id, StartedMs: key.started}
		for _, w := range n.windows {
			c.Windows = append(c.Windows, w.proto())
		}
		out = append(out, c)
	}
	return out
}

// configure applies a new configuration to the ledger. In a new term the token buckets
// start at the levels last received from the previous leader, because full buckets
// would admit another burst of a flood at each leader change. A bucket whose level is
// not known starts at its rule's InitialLevel. In the first term all buckets start full.
func (a *aggregator) configure(version uint64, rules map[string]quota.Rule, lastLevels map[string]float64, now time.Time) {
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
		level, ok := lastLevels[name]
		if !ok {
			level = r.InitialLevel
		}
		a.ledger.Spend(name, r.Burst-min(level, r.Burst), now)
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
	a.updateReporting(now)
	a.ledger.Reserve(a.silentFraction(now), now)
	a.mu.Unlock()
	if sinceTick > stallThreshold {
		a.roster.RefreshAll(now)
	}
	return a.roster.Expire(now.Add(-time.Duration(maxMissedHeartbeats*float64(heartbeat))), now)
}

// updateReporting recomputes the list of instances that report and forgets processes
// that have been silent for longer than usageRetention. mu must be held.
func (a *aggregator) updateReporting(now time.Time) {
	var out []Instance
	for key, n := range a.processes {
		silence := now.Sub(n.lastReport)
		if silence > usageRetention {
			delete(a.processes, key)
		}
		if silence <= reportTimeout {
			out = append(out, n.instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	if !slices.Equal(out, a.reporting) {
		a.reporting = out
		a.listVersion++
	}
}

// silentFraction returns which fraction of the instances that accept requests is silent. A
// silent instance may be partitioned and still admit requests up to its share of the rate
// limits. mu must be held.
func (a *aggregator) silentFraction(now time.Time) float64 {
	latest := map[string]*processState{}
	for key, n := range a.processes {
		if other := latest[key.id]; other == nil || n.lastReport.After(other.lastReport) {
			latest[key.id] = n
		}
	}
	silent, all := 0, 0
	for _, n := range latest {
		if !n.instance.Ready {
			continue
		}
		all++
		if now.Sub(n.lastReport) > reportTimeout {
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
		if n.instance.Durable && now.Sub(n.lastReport) <= reportTimeout {
			out = append(out, n.instance.ID)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// greetInterval is the interval at which a seed that does not report is told the leader.
const greetInterval = time.Second

// shouldGreet reports whether a seed should be told the leader now.
func (a *aggregator) shouldGreet(id string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.reporting {
		if n.ID == id {
			return false
		}
	}
	if now.Sub(a.greetedAt[id]) < greetInterval {
		return false
	}
	a.greetedAt[id] = now
	return true
}

// applyReport applies the report of an instance.
func (a *aggregator) applyReport(req *coordpb.Sync, now time.Time) {
	for _, p := range req.Servers {
		a.roster.Put(serverFromProto(p, now), now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	inst := instanceFromProto(req.Node)
	key := processKey{inst.ID, req.Node.StartedMs}
	n := a.processes[key]
	if n == nil {
		n = &processState{}
		a.processes[key] = n
		for other, old := range a.processes {
			if other.id == key.id && other.started < key.started {
				// The earlier process has ended; its usage counts are kept.
				old.lastReport, old.loads = now.Add(-reportTimeout-1), nil
			}
		}
	}
	n.instance, n.lastReport = inst, now
	n.loads = loadsFromProto(req.Loads)
	n.windows = nil
	for _, w := range req.Windows {
		n.windows = append(n.windows, Window{w.Number, countsFromProto(w.Counts)})
	}
	if len(req.Judged) > 0 && len(a.versionResults) < maxVersionResults {
		a.versionResults = append(a.versionResults, req.Judged)
	}
	a.prefixes = append(a.prefixes, req.Held...)
	a.nextPrefix += uint64(len(req.Held))
	if len(a.prefixes) > 2*retainedPrefixes {
		a.prefixes = slices.Clone(a.prefixes[len(a.prefixes)-retainedPrefixes:])
	}
	if req.SpentNumber > n.lastSpentNumber {
		n.lastSpentNumber = req.SpentNumber
		for _, s := range req.Spent {
			a.ledger.Spend(s.Name, s.Amount, now)
		}
	}
	a.updateReporting(now)
}

// newReply returns the changes that the reporting instance has not seen yet.
func (a *aggregator) newReply(req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	out := &coordpb.SyncReply{Epoch: a.term, Levels: countsToProto(a.ledger.Levels(now))}
	serversSeen, instancesSeen := req.ServersSeen, req.NodesSeen
	if req.Epoch != a.term {
		serversSeen, instancesSeen = 0, 0
	}
	servers, change := a.roster.Since(serversSeen)
	out.ServersSeen = change
	for _, s := range servers {
		out.Servers = append(out.Servers, serverToProto(s, now))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out.NodesSeen = a.listVersion
	if instancesSeen != a.listVersion {
		out.NodesChanged = true
		for _, n := range a.reporting {
			out.Nodes = append(out.Nodes, n.proto())
		}
	}
	for _, n := range a.reporting {
		if n.Ready {
			out.Fronts++
		}
	}
	out.Loads = loadsToProto(a.totalLoads(now))
	if req.Node.Durable {
		out.Counted = a.usageHandover(now)
	}
	out.HeldSeen = a.nextPrefix
	if seen := req.HeldSeen; req.Epoch == a.term && seen < a.nextPrefix {
		unseen := min(a.nextPrefix-seen, uint64(len(a.prefixes)))
		out.Held = a.prefixes[uint64(len(a.prefixes))-unseen:]
	}
	return out
}

// totalLoads sums the outstanding work by server. mu must be held.
func (a *aggregator) totalLoads(now time.Time) []Load {
	sum := map[string]Load{}
	for _, n := range a.processes {
		if now.Sub(n.lastReport) > reportTimeout {
			continue
		}
		for _, l := range n.loads {
			s := sum[l.Server]
			sum[l.Server] = Load{l.Server, s.Running + l.Running, s.Waiting + l.Waiting, s.WaitingTokens + l.WaitingTokens}
		}
	}
	out := make([]Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	return out
}

// usage sums the counts of one window over all processes.
func (a *aggregator) usage(number int64) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]float64{}
	for _, n := range a.processes {
		for _, w := range n.windows {
			if w.Number != number {
				continue
			}
			for name, count := range w.Counts {
				out[name] += count
			}
		}
	}
	return out
}
