package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/member"
	"cranberrypath.example/cranberrypath/internal/world"
)

type announceReply struct {
	Home        string `json:"home"`
	EveryMillis int64  `json:"everyMillis"`
	ResyncCache bool   `json:"resyncCache"`
	Ticket      string `json:"ticket"`
}

// serveAnnounce handles the announcement of a backend server.
func (e *Entry) serveAnnounce(ctx *fasthttp.RequestCtx, body []byte) *failure {
	if f := requireMethod(ctx, fasthttp.MethodPost); f != nil {
		return f
	}
	now := e.cfg.Now()
	a, err := backnd.DecodeAnnouncement(body, now)
	if err != nil {
		return badRequest("badJson", err.Error())
	}
	m := member.Announcement{Backend: a.Backend, Seq: a.Seq, Load: a.Load}
	if a.Cache != nil {
		m.Cache = []world.CacheEvents{*a.Cache}
	}
	r := e.member.Announce(m, now)
	reply := announceReply{EveryMillis: int64(r.Next / time.Millisecond), Ticket: r.Ticket, ResyncCache: e.needsResync(a.Backend.ID, now)}
	if len(r.Homes) > 0 {
		reply.Home = r.Homes[0].Callers
	}
	writeJSON(ctx, reply)
	return nil
}

// needsResync reports whether the router has missed cache events of a server.
func (e *Entry) needsResync(id string, now time.Time) bool {
	e.resyncMu.Lock()
	defer e.resyncMu.Unlock()
	for _, backendID := range e.router.Resync(now) {
		e.resyncPending[backendID] = true
	}
	want := e.resyncPending[id]
	delete(e.resyncPending, id)
	return want
}
