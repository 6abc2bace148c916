// Package bench measures the system under load and faults against naive policies.
// Each policy gets the same arrivals, prompts and faults from a seed, and every
// answer is checked, because a latency figure is worth nothing if the answers
// behind it are wrong.
package bench

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("bench")

const (
	// DefaultSeconds of load leave a run of three policies, with start and end,
	// below a minute.
	DefaultSeconds = 9
	// DefaultRate is the number of arrivals per second. It uses about half of the
	// slots, so that a lost data centre can be borne.
	DefaultRate = 26
	// DefaultLinkDelay is the one-way delay between the data centres of the design
	// page's first user.
	DefaultLinkDelay = 1500 * time.Microsecond
)

// Config of a run of one scenario.
type Config struct {
	Scenario string
	Seed     uint64
	Policies []string // the scenario's if empty
	Seconds  float64  // of load for each policy; the scenario's if zero
	Rate     float64  // arrivals per second; the scenario's if zero
	// LinkDelay is the one-way delay between nodes in different data centres.
	LinkDelay time.Duration
}

func (c Config) withDefaults(s scene) Config {
	secs, rate := float64(DefaultSeconds), float64(DefaultRate)
	if len(s.moves) > 0 {
		secs = moveSeconds
	}
	rate = cmp.Or(s.rate, rate)
	c.Seconds, c.Rate = cmp.Or(c.Seconds, secs), cmp.Or(c.Rate, rate)
	if len(c.Policies) == 0 {
		c.Policies = s.policies()
	}
	return c
}

// Report is the outcome of one scenario.
type Report struct {
	Scenario string  `json:"scenario"`
	Summary  string  `json:"summary"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Rate     float64 `json:"rate"`
	// LinkDelayMillis is the one-way delay between data centres.
	LinkDelayMillis float64   `json:"linkDelayMillis"`
	Results         []*Result `json:"results"`
}

// Broken returns the number of broken promises of all policies.
func (r Report) Broken() int {
	n := 0
	for _, res := range r.Results {
		n += res.BrokenTotal()
	}
	return n
}

// Run runs a scenario with one policy after the other; version moves take too
// long for that and run with all policies at the same time. If ctx ends, the
// report holds what was measured until then.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, ok := sceneNamed(cfg.Scenario)
	if !ok {
		return Report{}, Error.New("unknown scenario %q; want one of %s", cfg.Scenario, strings.Join(Scenarios(), ", "))
	}
	cfg = cfg.withDefaults(s)
	for _, p := range cfg.Policies {
		if !slices.Contains(s.policies(), p) {
			return Report{}, Error.New("unknown policy %q of scenario %s; want some of %s", p, s.name, strings.Join(s.policies(), ", "))
		}
	}
	rep := Report{Scenario: s.name, Summary: s.summary, Seed: cfg.Seed, Seconds: cfg.Seconds, Rate: cfg.Rate, LinkDelayMillis: float64(cfg.LinkDelay.Microseconds()) / 1000}
	in := newInputs(s, cfg)
	if len(s.moves) > 0 {
		var err error
		rep.Results, err = runAtOnce(ctx, in)
		return rep, err
	}
	for _, p := range cfg.Policies {
		if ctx.Err() != nil {
			return rep, nil
		}
		res, err := runPolicy(ctx, in, p)
		if res != nil {
			rep.Results = append(rep.Results, res)
		}
		if err != nil {
			if ctx.Err() != nil {
				return rep, nil // interrupted before the load began
			}
			return rep, err
		}
	}
	return rep, nil
}

// random returns the generator of one part of the inputs. Parts have generators
// of their own, so that a change of one does not change the others.
func random(seed uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)))
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
