package coord

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/blame"
	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
)

// maxCrashRecords bounds the keys with crashes in one message; the rest follows with the
// next ones.
const maxCrashRecords = 128

// reply returns the reply to a report from the feed and the crashes known here.
func (c *Coord) reply(req *coordpb.Sync, now time.Time) *coordpb.SyncReply {
	out := c.feed.reply(req, now)
	var seen uint64
	if req.Feed == c.feed.id {
		seen = req.CrashesSeen
	}
	records, last := c.cfg.Blame.Since(seen, maxCrashRecords, now)
	out.Crashes, out.CrashesSeen = crashesToProto(records, now), last
	return out
}

// Times are sent as ages because clocks differ.
func crashesToProto(records []blame.Record, now time.Time) []*coordpb.Crashes {
	out := make([]*coordpb.Crashes, len(records))
	for i, r := range records {
		out[i] = &coordpb.Crashes{Key: uint64(r.Key), Sound: r.Sound}
		for _, c := range r.Crashes {
			out[i].Servers = append(out[i].Servers, uint64(c.Server))
			out[i].HeldMs = append(out[i].HeldMs, max(c.Held.Milliseconds(), 0))
			out[i].AgoMs = append(out[i].AgoMs, max(now.Sub(c.At).Milliseconds(), 0))
			out[i].Cleared = append(out[i].Cleared, c.Cleared)
		}
	}
	return out
}

func crashesFromProto(all []*coordpb.Crashes, now time.Time) []blame.Record {
	var out []blame.Record
	for _, p := range all {
		n := len(p.Servers)
		if len(p.HeldMs) != n || len(p.AgoMs) != n || len(p.Cleared) != n {
			continue // malformed message
		}
		r := blame.Record{Key: blame.Key(p.Key), Sound: p.Sound}
		for i, s := range p.Servers {
			r.Crashes = append(r.Crashes, blame.Crash{
				Server: blame.Server(s), Held: time.Duration(p.HeldMs[i]) * time.Millisecond,
				At: now.Add(-time.Duration(p.AgoMs[i]) * time.Millisecond), Cleared: p.Cleared[i],
			})
		}
		out = append(out, r)
	}
	return out
}
