package coord

import (
	"time"

	"github.com/apex/log"

	"cranberrypath.example/cranberrypath/internal/raft"
)

// memberLog is a member of the group in the log.
type memberLog struct {
	ID       string `json:"id"`
	Learner  bool   `json:"learner,omitempty"`
	SilentMs int64  `json:"silentMs"` // time since the last contact with this leader, or since its election
}

// memberLogs lists the members as their leader sees them, or without contacts on a member
// that does not lead.
func memberLogs(st raft.Status, electedAt, now time.Time) []memberLog {
	contacts := map[string]time.Time{st.ID: now}
	for _, p := range st.Peers {
		contacts[p.ID] = later(p.Contact, p.AddedAt)
	}
	out := make([]memberLog, len(st.Members))
	for i, m := range st.Members {
		out[i] = memberLog{ID: m.ID, Learner: m.Learner}
		if contact, ok := contacts[m.ID]; ok {
			out[i].SilentMs = now.Sub(later(contact, electedAt)).Milliseconds()
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// electionFields describes an election in the log.
func electionFields(e raft.Election) log.Fields {
	return log.Fields{"term": e.Term, "preVote": e.PreVote, "voters": e.Voters, "granted": e.Granted, "needed": e.Needed}
}

// logElection logs an election that this member has lost, once.
func (c *Coord) logElection(st raft.Status) {
	e := st.LastElection
	c.mu.Lock()
	logged := !e.At.After(c.electionLoggedAt)
	if !logged {
		c.electionLoggedAt = e.At
	}
	c.mu.Unlock()
	if logged || len(e.Granted) >= e.Needed {
		return
	}
	c.cfg.Log.WithFields(electionFields(e)).WithField("event", "election.lost").Warn("too few members voted for this instance")
}
