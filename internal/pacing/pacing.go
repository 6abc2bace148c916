// Package pacing keeps all instances together within the rate of requests that a backend
// server accepts. The rate is divided by a hash of the instances, without messages between
// them: a few instances get a part of it and the others send nothing to that server.
package pacing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRate is sent to a server that accepts less, in requests a second: only a response
	// tells that the limit has ended.
	minRate = 0.2
	// minPart is the smallest part of a rate, in requests a second. An instance with a
	// smaller one would rarely have a request for it when it is due.
	minPart = 0.5
	// burstTime is the time whose requests may be sent at once after a pause.
	burstTime = time.Second
)

// Part returns how many requests a second an instance may send to a server that accepts rate
// requests a second from all instances together. all are the IDs of the instances that accept
// requests; an instance that is not one of them has no part.
func Part(server string, rate float64, instance string, all []string) float64 {
	rate = max(rate, minRate)
	senders := max(int(min(rate/minPart, float64(len(all)))), 1)
	if before, listed := rank(server, instance, all); !listed || before >= senders {
		return 0
	}
	return rate / float64(senders)
}

// rank returns how many of all instances come before one in the order of those that send to a
// server, and whether it is one of them.
func rank(server, instance string, all []string) (before int, listed bool) {
	mine := hash(server, instance)
	for _, id := range all {
		switch h := hash(server, id); {
		case id == instance:
			listed = true
		case h > mine || h == mine && id > instance:
			before++
		}
	}
	return before, listed
}

func hash(server, instance string) uint64 { return xxhash.Sum64String(server + "\x00" + instance) }

// Bucket is a token bucket that admits requests at a rate. The zero Bucket admits all.
// Buckets are immutable.
type Bucket struct {
	limited bool
	rate    float64 // requests a second
	level   float64 // requests that may be sent, as of at
	at      time.Time
}

// WithRate returns the bucket with a rate in requests a second. A bucket without a limit
// becomes an empty one: what was sent before counts as well.
func (b Bucket) WithRate(rate float64, now time.Time) Bucket {
	out := b.advanced(now)
	out.limited, out.rate = true, rate
	out.level = min(out.level, out.burst())
	return out
}

// Limited reports whether the bucket has a limit.
func (b Bucket) Limited() bool { return b.limited }

// Admits reports whether a request may be sent.
func (b Bucket) Admits(now time.Time) bool { return !b.limited || b.advanced(now).level >= 1 }

// WithSent returns the bucket after a request that it admits.
func (b Bucket) WithSent(now time.Time) Bucket {
	out := b.advanced(now)
	out.level--
	return out
}

// Next returns when the bucket admits the next request, and false if it never does.
func (b Bucket) Next(now time.Time) (time.Time, bool) {
	switch out := b.advanced(now); {
	case out.Admits(now):
		return now, true
	case out.rate <= 0:
		return time.Time{}, false
	default:
		return now.Add(time.Duration((1 - out.level) / out.rate * float64(time.Second))), true
	}
}

func (b Bucket) burst() float64 { return max(1, b.rate*burstTime.Seconds()) }

// advanced returns the bucket as of a later time.
func (b Bucket) advanced(now time.Time) Bucket {
	if !b.limited {
		return Bucket{at: now}
	}
	if d := now.Sub(b.at); d > 0 {
		b.level, b.at = min(b.level+d.Seconds()*b.rate, b.burst()), now
	}
	return b
}
