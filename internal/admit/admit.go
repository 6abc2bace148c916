// Package admit decides whether a request is admitted when a service has more work than its
// servers can do in time. The leader divides the capacity of each service among
// organisations and urgencies; each instance applies the resulting fractions, and its own
// forecast, to the requests that arrive at it.
package admit

import (
	"maps"
	"math"
	"time"
)

const (
	// requestTokens is the work of a request besides the prefill of its prompt, in tokens: a
	// full batch decodes a token in about the time in which 4 tokens are prefilled, and
	// answers have about 250 tokens.
	requestTokens = 1000
	// urgencies is the number of urgencies that are told apart; 0 is the most urgent. Less
	// urgent requests count as the last.
	urgencies = 8
)

// Work returns the work of requests with a number of uncached prompt tokens altogether.
func Work(requests, tokens int) float64 {
	return float64(requests)*requestTokens + float64(max(tokens, 0))
}

// urgency returns the urgency of a request with a priority, of which 0 is the most urgent.
func urgency(priority int) int { return min(max(priority, 0), urgencies-1) }

// sizes is the number of sizes of requests that are told apart: up to smallWork, up to
// mediumWork, and larger ones. With typical prompts, this separates chats, long prompts of which
// a server has the shared part in its cache, and other long prompts.
const (
	sizes      = 3
	smallWork  = 4000.0
	mediumWork = 8000.0
)

// ranks is the number of values of Kind.Rank.
const ranks = urgencies * sizes

// Kind is a group of requests that are admitted at the same rate.
type Kind struct {
	Organisation string
	// Rank is the order in which the requests of an organisation are admitted: by urgency, and
	// among equally urgent ones by work, because each is worth the same if it is in time.
	Rank int
}

// NewKind returns the kind of a request of an organisation.
func NewKind(organisation string, priority int, work float64) Kind {
	size := 0
	switch {
	case work > mediumWork:
		size = 2
	case work > smallWork:
		size = 1
	}
	return Kind{organisation, urgency(priority)*sizes + size}
}

// Valid returns k with a rank in range.
func (k Kind) Valid() Kind {
	k.Rank = min(max(k.Rank, 0), ranks-1)
	return k
}

func (k Kind) urgency() int { return k.Rank / sizes }

// Claim is the work of the requests of one kind, and how the started ones fared.
type Claim struct {
	Offered  float64 // work of all requests
	Admitted float64 // work of those that were sent to a server
	Started  float64 // number of requests whose response has started
	Wait     float64 // sum of the times, in s, that these waited because of others
	Strain   float64 // sum of these times relative to what the targets allow
}

func (c Claim) plus(o Claim) Claim {
	return Claim{c.Offered + o.Offered, c.Admitted + o.Admitted, c.Started + o.Started, c.Wait + o.Wait, c.Strain + o.Strain}
}

// Demand is the work at one service since the last report.
type Demand struct {
	Started float64 // work whose response has started
	Waited  float64 // this work times the seconds to the first byte
	Claims  map[Kind]Claim
}

// Demands holds the demand by service. It must not be modified once it is shared.
type Demands map[string]Demand

// WithOffered returns d with the work of a request of a kind.
func (d Demands) WithOffered(service string, k Kind, work float64) Demands {
	return d.With(Demands{service: {Claims: map[Kind]Claim{k: {Offered: work}}}})
}

// WithAdmitted returns d with the work of a request that is sent.
func (d Demands) WithAdmitted(service string, k Kind, work float64) Demands {
	return d.With(Demands{service: {Claims: map[Kind]Claim{k: {Admitted: work}}}})
}

const (
	// maxStrain bounds the strain of one request: all that is later is worth the same.
	maxStrain = 4
	// minRoom is the least time for queueing that a target counts as allowing.
	minRoom = 50 * time.Millisecond
)

// Start describes a request whose response has started.
type Start struct {
	Work   float64
	First  time.Duration // time to the first byte
	Own    time.Duration // part of it without the work of other requests
	Target time.Duration // 0 if the request has none
}

// WithStarted returns d with a request of a kind whose response has started.
func (d Demands) WithStarted(service string, k Kind, s Start) Demands {
	wait := max(s.First-s.Own, 0)
	c := Claim{}
	if s.Target > 0 {
		room := max(s.Target-s.Own, minRoom)
		c = Claim{Started: 1, Wait: wait.Seconds(), Strain: min(float64(wait)/float64(room), maxStrain)}
	}
	return d.With(Demands{service: {Started: s.Work, Waited: s.Work * s.First.Seconds(), Claims: map[Kind]Claim{k: c}}})
}

// With returns the sum of d and other.
func (d Demands) With(other Demands) Demands {
	if len(d) == 0 {
		return other
	}
	out := maps.Clone(d)
	for service, o := range other {
		sum := out[service]
		claims := make(map[Kind]Claim, len(sum.Claims)+len(o.Claims))
		maps.Copy(claims, sum.Claims)
		for k, c := range o.Claims {
			claims[k] = claims[k].plus(c)
		}
		out[service] = Demand{Started: sum.Started + o.Started, Waited: sum.Waited + o.Waited, Claims: claims}
	}
	return out
}

// turnPeriod is the time in which the turn of a request passes through all values. Were it
// as short as the time after which callers return, all returns would be in turn, and what is
// offered would be admitted in the end.
const turnPeriod = 20 * time.Second

// Turn returns the turn of a request, from 0 to 1, by a hash of what is specific to it. A
// request is in turn if the value is below the admitted fraction. It falls with time, so that
// refused requests are due next, and is the same at all instances.
func Turn(hash uint64, now time.Time) float64 {
	phase := math.Mod(float64(now.UnixNano()%int64(turnPeriod))/float64(turnPeriod), 1)
	turn := float64(hash>>11)/(1<<53) - phase
	if turn < 0 {
		turn++
	}
	return turn
}

// untilTurn returns when a request with a turn will be due.
func untilTurn(turn, fraction float64) time.Duration {
	return time.Duration(max(turn-fraction, 0) * float64(turnPeriod))
}
