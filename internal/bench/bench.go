// Package bench compares the system with naive policies under load and faults. All
// policies get the same arrivals, prompts and faults from a seed. Every answer is
// checked, because latencies of wrong answers are meaningless.
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
	// DefaultSeconds is the default duration of the load. It keeps a run of three
	// policies, with startup and shutdown, below a minute.
	DefaultSeconds = 9
	// DefaultRate is the default number of arrivals per second. It uses about half of
	// the slots, so that the deployment can lose a data centre.
	DefaultRate = 26
	// DefaultLinkDelay is the one-way delay between the data centres of the first user
	// that the design page describes.
	DefaultLinkDelay = 1500 * time.Microsecond
)

// Config configures a run of one scenario.
type Config struct {
	Scenario string
	Seed     uint64
	Policies []string // those of the scenario if empty
	Seconds  float64  // duration of the load for each policy; that of the scenario if zero
	Rate     float64  // arrivals per second; that of the scenario if zero
	// LinkDelay is the one-way delay between nodes in different data centres.
	LinkDelay time.Duration
}

func (c Config) withDefaults(s scenario) Config {
	secs, rate := float64(DefaultSeconds), float64(DefaultRate)
	if len(s.moves) > 0 {
		secs = moveLoadSeconds
	}
	rate = cmp.Or(s.rate, rate)
	c.Seconds, c.Rate = cmp.Or(c.Seconds, secs), cmp.Or(c.Rate, rate)
	if len(c.Policies) == 0 {
		c.Policies = s.policies()
	}
	return c
}

// Report holds the results of one scenario.
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

// Run runs a scenario with each policy in turn. Scenarios of version moves take longer
// and run with all policies concurrently. If ctx ends, the report holds the results up
// to then.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, ok := findScenario(cfg.Scenario)
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
		rep.Results, err = runConcurrently(ctx, in)
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

// newRand returns the random number generator for one part of the inputs. Separate
// generators keep a change in one part from changing the others.
func newRand(seed uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)))
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
