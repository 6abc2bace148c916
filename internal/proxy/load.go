package proxy

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
	"cranberrypath.example/cranberrypath/internal/route"
)

// applyLoad applies what a server said about its load and speed in a response that arrived now.
// Servers that do not state their pace are not observed.
func (p *Proxy) applyLoad(s roster.Server, l ServerLoad, now time.Time) {
	if l.Pace <= 0 {
		return
	}
	p.table.Observe(s.ID, uint64(s.Incarnation), route.Observation{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces[s.ID] = coord.Pace{Factor: l.Pace, At: now}
}

// Loads returns this instance's outstanding work by server, and the paces that servers have
// stated since the last call.
func (p *Proxy) Loads() []coord.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []coord.Load
	for id, l := range p.loads {
		if l.Running == 0 {
			delete(p.loads, id)
			continue
		}
		reported := *l
		reported.Pace = p.paces[id]
		delete(p.paces, id)
		out = append(out, reported)
	}
	for id, pace := range p.paces {
		out = append(out, coord.Load{Server: id, Pace: pace})
		delete(p.paces, id)
	}
	return out
}

// choiceLog is the log record of why a server was chosen. Times are in ms.
type choiceLog struct {
	Pace         int   `json:"pace"`                   // estimated, in per cent of the usual time
	PaceAgeMs    int64 `json:"paceAgeMs,omitempty"`    // of the last figure
	WaitMs       int64 `json:"waitMs"`                 // expected before the request's own work
	WorkMs       int64 `json:"workMs"`                 // expected for its own work
	PendingMs    int64 `json:"pendingMs,omitempty"`    // prefill of other instances' prompts, in waitMs
	PendingAgeMs int64 `json:"pendingAgeMs,omitempty"` // of the totals that contain them
	LateMs       int64 `json:"lateMs,omitempty"`       // cost of lateness, met and imposed
	Compared     int   `json:"compared"`               // servers
	MarginMs     int64 `json:"marginMs"`               // to the next best server
}

// newChoiceLog returns the record, or nil if the servers state no pace.
func newChoiceLog(r route.Reason) *choiceLog {
	if r.Pace == 0 {
		return nil
	}
	return &choiceLog{
		Pace: int(r.Pace*100 + 0.5), PaceAgeMs: r.PaceAge.Milliseconds(), WaitMs: r.Wait.Milliseconds(), WorkMs: r.Work.Milliseconds(),
		PendingMs: r.Pending.Milliseconds(), PendingAgeMs: r.PendingAge.Milliseconds(), LateMs: r.Late.Milliseconds(),
		Compared: r.Compared, MarginMs: r.Margin.Milliseconds(),
	}
}
