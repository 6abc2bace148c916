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

// serveAnnounce takes the announcement of a backend server.
func (e *Entry) serveAnnounce(ctx *fasthttp.RequestCtx, body []byte) *failure {
	if f := wantMethod(ctx, fasthttp.MethodPost); f != nil {
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
	reply := announceReply{EveryMillis: int64(r.Next / time.Millisecond), Ticket: r.Ticket, ResyncCache: e.wantsResync(a.Backend.ID, now)}
	if len(r.Homes) > 0 {
		reply.Home = r.Homes[0].Callers
	}
	writeJSON(ctx, reply)
	return nil
}

// wantsResync reports whether the router has lost events of a server's cache.
func (e *Entry) wantsResync(id string, now time.Time) bool {
	e.resyncMu.Lock()
	defer e.resyncMu.Unlock()
	for _, other := range e.table.Resync(now) {
		e.resync[other] = true
	}
	want := e.resync[id]
	delete(e.resync, id)
	return want
}
