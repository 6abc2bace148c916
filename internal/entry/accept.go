package entry

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/entry/entrpb"
	"cranberrypath.example/cranberrypath/internal/event"
	"cranberrypath.example/cranberrypath/internal/limit"
	"cranberrypath.example/cranberrypath/internal/poison"
	"cranberrypath.example/cranberrypath/internal/route"
	"cranberrypath.example/cranberrypath/internal/stream"
)

// accept decides whether to accept a new request. Once accept returns an
// answer, the request is accepted and will be finished.
func (e *Entry) accept(c *call, m modelRequest, spec forwardSpec, acc *entrpb.Accepted) (*stream.Answer, *failure) {
	version := spec.version
	if f := e.checkPoison(spec.fingerprint, c.now); f != nil {
		return nil, f
	}
	e.refreshRouter(c.now)
	probe := route.Query{Service: m.Service, Version: version, Adapter: m.Adapter, DataCentre: e.cfg.Settings.DataCentre}
	if _, err := e.router.Pick(probe, c.now); err != nil {
		return nil, unavailable("noCapacity", "no backend server may take the request: "+err.Error())
	}
	body, err := proto.Marshal(acc)
	if err != nil {
		return nil, badRequest("badField", "the request cannot be stored: "+err.Error())
	}
	limits, f := e.admit(c, m.Service, m.Class)
	if f != nil {
		return nil, f
	}
	release := func() { limits.Done(c.org.Name, limit.Cost{Class: m.Class}, e.cfg.Now()) }
	a, err := e.answers.Accept(stream.Request{
		ID: answerID(c.org.Name, c.id), Org: c.org.Name, Service: m.Service, Version: version, Class: m.Class, Body: body,
	}, c.now)
	if errors.Is(err, stream.ErrExists) {
		release() // a concurrent call has just accepted the same request
		if a, ok := e.answers.Get(answerID(c.org.Name, c.id)); ok {
			return a, checkBodyHash(foundOf(a), acc.BodyHash)
		}
	}
	if err != nil {
		release()
		return nil, unavailable("noCapacity", "this instance has no memory for the answer: "+err.Error())
	}
	e.counters.accepted.Add(1)
	e.replicate(a)
	e.recordEvent(event.Of("request.accepted").WithRequest(a.Request().ID).With("version", version).With("class", m.Class.String()))
	e.startRun(a, release)
	return a, nil
}

// newAccepted returns the part of a request that is stored with its answer.
func (e *Entry) newAccepted(c *call, m modelRequest, hash uint64) *entrpb.Accepted {
	options, err := json.Marshal(m.Options)
	if err != nil || len(m.Options) == 0 {
		options = nil // err is always nil, since the values were decoded from JSON
	}
	timeout := seconds(e.cfg.Settings.Limits.RequestSeconds)
	return &entrpb.Accepted{
		Service: m.Service, Adapter: m.Adapter, Prompt: m.Prompt, MaxTokens: uint32(m.MaxTokens), Seed: m.Seed,
		Chat: m.Chat, Created: c.now.Unix(), BodyHash: hash, Options: options, DeadlineMs: c.now.Add(timeout).UnixMilli(), Hop: c.forwarded,
	}
}

// chooseVersion distributes requests over versions by their shares. An id
// always maps to the same version as long as the shares do not change.
func chooseVersion(shares map[string]float64, id, serving string) string {
	if len(shares) < 2 {
		return serving
	}
	u := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		if v == serving {
			continue
		}
		if u < shares[v] {
			return v
		}
		u -= shares[v]
	}
	return serving
}

const crashesServersMessage = "this request was running on two backend servers when they crashed and is not run again"

// checkPoison refuses a request that is known or suspected to crash servers and
// may not run now.
func (e *Entry) checkPoison(f poison.Fingerprint, now time.Time) *failure {
	v := e.ledger.Check(f, now)
	switch {
	case v.Final:
		f := unprocessable("crashesServers", crashesServersMessage)
		f.retryAfter = v.RetryAfter
		return f
	case !v.Run:
		return unavailable("suspect", "the request may have crashed backend servers").withRetryAfter(max(v.RetryAfter, time.Second))
	}
	return nil
}
