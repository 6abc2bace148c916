package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/raft"
)

// newStatus returns the status of the leader a. Voters whose name ends with - do not answer,
// with * have lost their disk, with ! answered some time ago, with ? have not been heard by
// the leader, and with ~ are learners.
func newStatus(voters string, now time.Time) raft.Status {
	st := raft.Status{ID: "a", Role: raft.Leader}
	for _, v := range strings.Fields(voters) {
		m := raft.Member{ID: v[:1], Learner: strings.HasSuffix(v, "~")}
		st.Members = append(st.Members, m)
		p := raft.PeerStatus{Member: m, Contact: now.Add(-100 * time.Millisecond)}
		switch v[1:] {
		case "-":
			p.Contact = now.Add(-voterSilentAfter)
		case "!":
			p.Contact = now.Add(-voterSilentAfter / 2)
		case "*":
			p.IncarnationMismatch = true
		case "?":
			p.Contact = time.Time{}
		}
		if m.ID != st.ID {
			st.Peers = append(st.Peers, p)
		}
	}
	return st
}

// Guards against a change of members that leaves a group without a majority, or lets a dead
// voter stay in it although one more loss then ends it.
func TestMemberChangeBesideADeadVoter(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		voters, change string // +x adds x, -x removes x
		want           string // the voters in the way, "early" if it is too early to tell, or ""
	}{
		{"a b c", "+d", ""},
		{"a b c", "-c", ""},
		{"a", "+b", ""},
		{"a b", "-b", ""},
		{"a b c-", "+d", "c"},
		{"a b c*", "+d", "c"},
		{"a b c-", "-b", "c"}, // the change could never be committed
		{"a b c-", "-a", "c"},
		{"a b c-", "-c", ""},
		{"a b c*", "+c", ""},
		{"a b c-", "+b", ""}, // an answering member is added again
		{"a b c- d~", "+d", ""},
		{"a b c- d~", "-d", ""},
		{"a b c d-", "+e", "d"},
		{"a b c d-", "-c", "d"},
		{"a b c d- e-", "+f", "d e"},
		{"a b c d- e-", "-d", ""},
		{"a b c d* e-", "+d", ""},
		{"a b c?", "+d", "early"},
		{"a b c?", "-c", ""},
		{"a b c? d", "-d", "early"},
		{"a b c!", "+d", "early"},
		{"a b c!", "-c", ""},
	}
	for _, tt := range tests {
		t.Run(tt.voters+" "+tt.change, func(t *testing.T) {
			lease := raft.Lease{PreviousLeaseEnd: now.Add(-time.Minute)}
			if tt.want == "early" {
				lease.PreviousLeaseEnd = now.Add(-time.Second)
			}
			err := checkMemberChange(newStatus(tt.voters, now), lease, tt.change[1:], tt.change[0] == '+', now.Add(-time.Second/2), now)
			got := ""
			var silent *contrl.VoterSilentError
			if errors.As(err, &silent) {
				got = strings.Join(silent.Voters, " ")
			} else if errors.Is(err, errVoterUnknown) {
				got = "early"
			}
			if got != tt.want {
				t.Errorf("got %q (%v), want %q", got, err, tt.want)
			}
		})
	}
}

// Guards against a group without a majority after a series of losses, each within the
// tolerance of the members that run, and of changes that operators make in any order.
func TestSeriesOfLossesKeepsAMajority(t *testing.T) {
	now := time.Unix(1000, 0)
	names := strings.Split("abcdefghijklmnopqrstuvwxyz", "")
	losses, refusals := 0, 0
	for seed := uint64(1); seed <= 500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		size := 3 + 2*rng.IntN(2)
		voters, added := names[:size:size], size
		state := map[string]string{} // "-" or "*" for dead voters, as in newStatus
		history := []string{fmt.Sprint(size, " voters")}
		for range 60 {
			running := len(voters) - len(state)
			lost := voters[1+rng.IntN(len(voters)-1)] // a stays the leader
			if state[lost] == "" && running > size/2+1 && rng.IntN(3) == 0 {
				state[lost] = []string{"-", "*"}[rng.IntN(2)]
				history = append(history, "lost "+lost+state[lost])
				losses++
			}
			if 2*(len(voters)-len(state)) <= len(voters) {
				t.Fatalf("seed %d: no majority: %v", seed, history)
			}
			text := make([]string, len(voters))
			for i, v := range voters {
				text[i] = v + state[v]
			}
			add, member := rng.IntN(2) == 0, voters[1+rng.IntN(len(voters)-1)]
			isNew := add && state[member] != "*"
			if isNew {
				member = names[min(added, len(names)-1)]
			}
			if isNew && (running >= size || added == len(names)) || !add && state[member] == "" {
				continue // no operator does this
			}
			if checkMemberChange(newStatus(strings.Join(text, " "), now), raft.Lease{}, member, add, now.Add(-time.Second/2), now) != nil {
				refusals++
				continue
			}
			delete(state, member)
			switch {
			case isNew:
				voters, added = append(slices.Clone(voters), member), added+1
			case !add:
				voters = slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return v == member })
			}
			history = append(history, fmt.Sprintf("%s, add %v", member, add))
		}
	}
	if losses < 1000 || refusals < 100 {
		t.Fatalf("only %d losses and %d refusals", losses, refusals)
	}
}
