package coord

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/world"
)

// feed is the state that instances receive with the replies to their reports: changes
// since their last report where the state is large. The leader maintains it from the
// reports, a relay from the leader's replies. A feed lives as long as its process, so
// that instances need no full copy when the process gains or loses the leadership.
type feed struct {
	id     uint64 // identifies the numbering of the changes
	roster *roster.Roster

	mu            sync.Mutex
	serverNumbers map[string]uint32 // by server ID, from 1
	encoded       map[string]encodedServer
	instances     map[string]*feedInstance
	change        uint64          // number of the last change of instances
	ready         int             // instances that accept requests
	prefixes      []*coordpb.Held // the most recent reports, oldest first
	nextPrefix    uint64          // sequence number after the last element of prefixes
	published     published
}

// encodedServer is the message of a server, which the replies to all instances share: in a
// large deployment, many instances get the whole list at the same time.
type encodedServer struct {
	server  roster.Server
	message *coordpb.Server
}

// feedInstance is an instance that reports, or a tombstone of one that no longer does.
type feedInstance struct {
	instance Instance
	gone     bool
	change   uint64 // number of the last change
}

// published is the part of the state that replies contain as a whole.
type published struct {
	term          uint64
	leader        string
	configVersion uint64
	config        []byte
	levels        []*coordpb.Count
	totals        []Load
	rollouts      []*coordpb.Rollout
	rolloutsSeen  uint64
	members       []string
	counted       []*coordpb.Counted
	useRelays     bool
	shares        *coordpb.Shares // nil if they are not known
	unconfirmed   bool            // the leader could not be sure that the durable state is the newest
	evacuations   Evacuations
}

// retainedPrefixes is how many prefix reports are kept for instances that missed some.
const retainedPrefixes = 1024

// maxReplyServers bounds the servers in one reply. Many instances are new to a process at
// the same time when it becomes the leader or a relay; whole lists for all of them would
// take its memory, as they leave over slow links.
const maxReplyServers = 256

// newFeed returns an empty feed of a process.
func newFeed(self Instance) *feed {
	id := xxhash.Sum64String(self.ID) ^ uint64(self.Started.UnixNano())
	return &feed{
		id: max(id, 1), roster: roster.New(), serverNumbers: map[string]uint32{}, encoded: map[string]encodedServer{},
		instances: map[string]*feedInstance{},
	}
}

// putInstance lists an instance, or updates it.
func (f *feed) putInstance(inst Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLocked(inst)
}

func (f *feed) putLocked(inst Instance) {
	e := f.instances[inst.ID]
	if e == nil {
		e = &feedInstance{gone: true}
		f.instances[inst.ID] = e
	}
	if !e.gone && e.instance == inst {
		return
	}
	f.countReady(e, -1)
	f.change++
	e.instance, e.gone, e.change = inst, false, f.change
	f.countReady(e, 1)
}

// dropInstance removes a process of an instance from the list, unless a later process of
// the instance is listed.
func (f *feed) dropInstance(id string, started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.instances[id]; e != nil && !e.gone && !e.instance.Started.After(started) {
		f.dropLocked(e)
	}
}

func (f *feed) dropLocked(e *feedInstance) {
	f.countReady(e, -1)
	f.change++
	e.gone, e.change = true, f.change
}

func (f *feed) countReady(e *feedInstance, n int) {
	if !e.gone && e.instance.Ready {
		f.ready += n
	}
}

// setInstances makes the list equal to all.
func (f *feed) setInstances(all []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, inst := range all {
		listed[inst.ID] = true
		f.putLocked(inst)
	}
	for id, e := range f.instances {
		if !e.gone && !listed[id] {
			f.dropLocked(e)
		}
	}
}

// listed returns the listed instances, ordered by ID.
func (f *feed) listed() []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Instance
	for _, e := range f.instances {
		if !e.gone {
			out = append(out, e.instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// isListed reports whether an instance is listed.
func (f *feed) isListed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.instances[id]
	return e != nil && !e.gone
}

// addPrefixes appends reports of cached prefixes.
func (f *feed) addPrefixes(held []*coordpb.Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prefixes = append(f.prefixes, held...)
	f.nextPrefix += uint64(len(held))
	if len(f.prefixes) > 2*retainedPrefixes {
		f.prefixes = slices.Clone(f.prefixes[len(f.prefixes)-retainedPrefixes:])
	}
}

// publish replaces the published state.
func (f *feed) publish(p published) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = p
}

// reply returns the reply to a report: the changes that the reporting instance has not
// seen yet and the published state.
func (f *feed) reply(req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	var serversSeen uint64
	known := req.Feed == f.id
	if known {
		serversSeen = req.ServersSeen
	}
	servers, change, more := f.roster.Since(serversSeen, maxReplyServers)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.published
	out := &coordpb.SyncReply{
		Epoch: p.term, Leader: p.leader, Feed: f.id, ServersSeen: change, NodesSeen: f.change, HeldSeen: f.nextPrefix,
		Levels: p.levels, Members: p.members, RolloutsSeen: p.rolloutsSeen, Fronts: uint32(f.ready),
		ConfigVersion: p.configVersion, UseRelays: p.useRelays, MoreServers: more, Unconfirmed: p.unconfirmed, Shares: p.shares,
		EvacuationsVersion: p.evacuations.Version, Evacuated: p.evacuations.DataCentres,
	}
	for _, s := range servers {
		out.Servers = append(out.Servers, f.encode(s, now))
	}
	out.Totals = f.totalsToProto(p.totals, now)
	if req.Node.ConfigVersion < p.configVersion {
		out.Config = p.config
	}
	if p.rolloutsSeen != req.RolloutsSeen || req.Epoch != p.term {
		out.Rollouts = p.rollouts
	}
	if req.Node.Durable {
		out.Counted = p.counted
	}
	if out.NodesAll = !known; out.NodesAll || req.NodesSeen != f.change {
		out.NodesChanged = true
		out.Nodes = f.instancesSince(req.NodesSeen, out.NodesAll)
	}
	if known && req.HeldSeen < f.nextPrefix {
		unseen := min(f.nextPrefix-req.HeldSeen, uint64(len(f.prefixes)))
		out.Held = f.prefixes[uint64(len(f.prefixes))-unseen:]
	}
	return out
}

// instancesSince returns the instances that changed after a change number, or all listed
// instances. mu must be held.
func (f *feed) instancesSince(change uint64, all bool) []*coordpb.Node {
	var out []*coordpb.Node
	for _, e := range f.instances {
		switch {
		case all && e.gone, !all && e.change <= change:
		case e.gone:
			out = append(out, &coordpb.Node{Id: e.instance.ID, Gone: true})
		default:
			out = append(out, e.instance.proto())
		}
	}
	return out
}

// encode returns the message of a server. mu must be held.
func (f *feed) encode(s roster.Server, now time.Time) *coordpb.Server {
	if e, ok := f.encoded[s.ID]; ok && e.server == s && s.LeaveBy.IsZero() {
		return e.message
	}
	message := serverToProto(s, now)
	message.Number = f.serverNumber(s.ID)
	if s.State == world.Gone {
		delete(f.encoded, s.ID)
	} else {
		f.encoded[s.ID] = encodedServer{s, message}
	}
	return message
}

// serverNumber returns the number of a server in this feed. mu must be held.
func (f *feed) serverNumber(id string) uint32 {
	n, ok := f.serverNumbers[id]
	if !ok {
		n = uint32(len(f.serverNumbers) + 1)
		f.serverNumbers[id] = n
	}
	return n
}

// totalsToProto encodes the loads of the servers that have a number. mu must be held.
func (f *feed) totalsToProto(loads []Load, now time.Time) *coordpb.Totals {
	out := &coordpb.Totals{}
	paces := make([]Pace, 0, len(loads))
	for _, l := range loads {
		n, ok := f.serverNumbers[l.Server]
		if !ok {
			continue // no instance knows the server
		}
		out.Servers = append(out.Servers, n)
		out.Running = append(out.Running, uint32(l.Running))
		out.Waiting = append(out.Waiting, uint32(l.Waiting))
		out.Tokens = append(out.Tokens, uint32(max(l.WaitingTokens, 0)))
		paces = append(paces, l.Pace)
	}
	addPaces(out, paces, now)
	return out
}

// loadSums sums the outstanding work of several instances by server. Of their paces it keeps the
// newest.
type loadSums map[string]Load

// replace subtracts the previous loads of an instance and adds the present ones.
func (s loadSums) replace(before, after []Load) {
	for _, l := range before {
		sum := s[l.Server]
		sum.Running -= l.Running
		sum.Waiting -= l.Waiting
		sum.WaitingTokens -= l.WaitingTokens
		if sum == (Load{Server: l.Server}) {
			delete(s, l.Server)
			continue
		}
		s[l.Server] = sum
	}
	for _, l := range after {
		sum := s[l.Server]
		s[l.Server] = Load{l.Server, sum.Running + l.Running, sum.Waiting + l.Waiting, sum.WaitingTokens + l.WaitingTokens, sum.Pace.newer(l.Pace)}
	}
}

// list returns the sums. It drops servers without work and a recent pace.
func (s loadSums) list(now time.Time) []Load {
	out := make([]Load, 0, len(s))
	for id, l := range s {
		l.Pace = l.Pace.fresh(now)
		if l == (Load{Server: id}) {
			delete(s, id)
			continue
		}
		out = append(out, l)
	}
	return out
}
