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
	// nodeSilence is how long an instance may miss its reports and still be named
	// to callers: five reports.
	nodeSilence = 5 * syncInterval
	// nodeForget is how long the counts of a silent instance are kept: longer than
	// usage may be reported after its window.
	nodeForget = 20 * time.Second
	// serverSilence is how many heartbeats a backend server may miss. Heartbeats
	// arrive seconds late.
	serverSilence = 3.5
	// stallGap is the pause between two looks after which the leader takes itself,
	// not the servers, for having been stopped.
	stallGap = time.Second
)

// hub is what the leader sums of one term.
type hub struct {
	self  string // id of this instance
	term  uint64
	since time.Time

	mu       sync.Mutex
	roster   *roster.Roster
	ledger   *quota.Ledger
	rules    uint64 // version of the configuration that set the ledger's rules
	nodes    map[nodeKey]*nodeState
	numbers  uint64 // of the last change of the listed nodes
	listed   []Node
	lastTick time.Time
	greeted  map[string]time.Time
	judged   [][]byte        // reports that the controller of rollouts has not taken
	held     []*coordpb.Held // the newest, in order
	heldNext uint64          // number that follows the last of held
}

// keepHeld is how many records of prompts are kept for instances that missed some.
const keepHeld = 1024

// keepJudged bounds the reports that wait for the controller of rollouts.
const keepJudged = 4096

// nodeKey names one process; a restarted one counts anew.
type nodeKey struct {
	id      string
	started int64
}

type nodeState struct {
	node    Node
	heard   time.Time
	spent   uint64 // number of the last report of spending
	loads   []Load
	windows []Window
}

// newHub returns the hub of a new term. It begins with what the leader before knew
// of processes that cannot report it again.
func newHub(self string, term uint64, counted []*coordpb.Counted, now time.Time) *hub {
	h := &hub{
		self: self, term: term, since: now, roster: roster.New(), ledger: quota.NewLedger(),
		nodes: map[nodeKey]*nodeState{}, lastTick: now, greeted: map[string]time.Time{},
	}
	for _, c := range counted {
		n := &nodeState{node: Node{ID: c.Id}, heard: now.Add(-nodeSilence - 1)}
		for _, w := range c.Windows {
			n.windows = append(n.windows, Window{w.Number, amounts(w.Counts)})
		}
		h.nodes[nodeKey{c.Id, c.StartedMs}] = n
	}
	return h
}

// counted returns what would be lost with this leader. mu is held.
func (h *hub) counted(now time.Time) []*coordpb.Counted {
	var out []*coordpb.Counted
	for key, n := range h.nodes {
		if len(n.windows) == 0 || key.id != h.self && now.Sub(n.heard) <= nodeSilence {
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

// setRules follows the configuration. The buckets of a new term begin at the levels
// that the leader before told this instance: full ones would give a flood another
// burst at each change of the leader. Without such a level they begin at the rule's
// Start, and in the first term full.
func (h *hub) setRules(version uint64, rules map[string]quota.Rule, told map[string]float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.rules {
		return
	}
	first := h.rules == 0
	h.rules = version
	h.ledger.Configure(rules, now)
	if !first || h.term == 1 {
		return
	}
	for name, r := range rules {
		level, ok := told[name]
		if !ok {
			level = r.Start
		}
		h.ledger.Spend(name, r.Burst-min(level, r.Burst), now)
	}
}

// tick marks silent servers and instances. It returns the servers that it marked.
func (h *hub) tick(heartbeat time.Duration, now time.Time) []roster.Server {
	h.mu.Lock()
	gap := now.Sub(h.lastTick)
	h.lastTick = now
	if gap > stallGap {
		for _, n := range h.nodes {
			if now.Sub(n.heard) < gap+nodeSilence {
				n.heard = now
			}
		}
	}
	h.list(now)
	h.ledger.Reserve(h.apart(now), now)
	h.mu.Unlock()
	if gap > stallGap {
		h.roster.Touch(now)
	}
	return h.roster.Expire(now.Add(-time.Duration(serverSilence*float64(heartbeat))), now)
}

// list renews the instances that callers and others may know of. mu is held.
func (h *hub) list(now time.Time) {
	var out []Node
	for key, n := range h.nodes {
		silent := now.Sub(n.heard)
		if silent > nodeForget {
			delete(h.nodes, key)
		}
		if silent <= nodeSilence {
			out = append(out, n.node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	if !slices.Equal(out, h.listed) {
		h.listed = out
		h.numbers++
	}
}

// apart returns the share of instances that took requests and are silent. They may be
// cut off and admit requests by their part of the rates. mu is held.
func (h *hub) apart(now time.Time) float64 {
	latest := map[string]*nodeState{}
	for key, n := range h.nodes {
		if o := latest[key.id]; o == nil || n.heard.After(o.heard) {
			latest[key.id] = n
		}
	}
	silent, all := 0, 0
	for _, n := range latest {
		if !n.node.Ready {
			continue
		}
		all++
		if now.Sub(n.heard) > nodeSilence {
			silent++
		}
	}
	return float64(silent) / float64(max(all, 1))
}

// durable returns the instances with a disk that report.
func (h *hub) durable(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, n := range h.nodes {
		if n.node.Durable && now.Sub(n.heard) <= nodeSilence {
			out = append(out, n.node.ID)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// greetPause is how often a seed that does not report is told who leads.
const greetPause = time.Second

// toGreet reports whether a seed should be told who leads.
func (h *hub) toGreet(id string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.listed {
		if n.ID == id {
			return false
		}
	}
	if now.Sub(h.greeted[id]) < greetPause {
		return false
	}
	h.greeted[id] = now
	return true
}

// take counts the report of an instance.
func (h *hub) take(req *coordpb.Sync, now time.Time) {
	for _, p := range req.Servers {
		h.roster.Put(serverOf(p, now), now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	node := nodeOf(req.Node)
	key := nodeKey{node.ID, req.Node.StartedMs}
	n := h.nodes[key]
	if n == nil {
		n = &nodeState{}
		h.nodes[key] = n
		for other, o := range h.nodes {
			if other.id == key.id && other.started < key.started {
				// Its work is over; what it counted stays.
				o.heard, o.loads = now.Add(-nodeSilence-1), nil
			}
		}
	}
	n.node, n.heard = node, now
	n.loads = loadsOf(req.Loads)
	n.windows = nil
	for _, w := range req.Windows {
		n.windows = append(n.windows, Window{w.Number, amounts(w.Counts)})
	}
	if len(req.Judged) > 0 && len(h.judged) < keepJudged {
		h.judged = append(h.judged, req.Judged)
	}
	h.held = append(h.held, req.Held...)
	h.heldNext += uint64(len(req.Held))
	if len(h.held) > 2*keepHeld {
		h.held = slices.Clone(h.held[len(h.held)-keepHeld:])
	}
	if req.SpentNumber > n.spent {
		n.spent = req.SpentNumber
		for _, s := range req.Spent {
			h.ledger.Spend(s.Name, s.Amount, now)
		}
	}
	h.list(now)
}

// reply fills the answer with what the instance does not know yet.
func (h *hub) reply(req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	out := &coordpb.SyncReply{Epoch: h.term, Levels: countsOf(h.ledger.Levels(now))}
	serversSeen, nodesSeen := req.ServersSeen, req.NodesSeen
	if req.Epoch != h.term {
		serversSeen, nodesSeen = 0, 0
	}
	servers, change := h.roster.Since(serversSeen)
	out.ServersSeen = change
	for _, s := range servers {
		out.Servers = append(out.Servers, serverProto(s, now))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out.NodesSeen = h.numbers
	if nodesSeen != h.numbers {
		out.NodesChanged = true
		for _, n := range h.listed {
			out.Nodes = append(out.Nodes, n.proto())
		}
	}
	for _, n := range h.listed {
		if n.Ready {
			out.Fronts++
		}
	}
	out.Loads = loadsProto(h.loads(now))
	if req.Node.Durable {
		out.Counted = h.counted(now)
	}
	out.HeldSeen = h.heldNext
	if seen := req.HeldSeen; req.Epoch == h.term && seen < h.heldNext {
		missed := min(h.heldNext-seen, uint64(len(h.held)))
		out.Held = h.held[uint64(len(h.held))-missed:]
	}
	return out
}

// loads sums the outstanding work. mu is held.
func (h *hub) loads(now time.Time) []Load {
	sum := map[string]Load{}
	for _, n := range h.nodes {
		if now.Sub(n.heard) > nodeSilence {
			continue
		}
		for _, l := range n.loads {
			s := sum[l.Server]
			sum[l.Server] = Load{l.Server, s.Running + l.Running, s.Waiting + l.Waiting, s.Tokens + l.Tokens}
		}
	}
	out := make([]Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	return out
}

// usage sums the counts of one window over all instances.
func (h *hub) usage(number int64) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]float64{}
	for _, n := range h.nodes {
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
