package proxy

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
)

// heldPause is how long this instance does not tell again that a server holds the
// parts of a prompt: shorter than they stay in its cache.
const heldPause = 5 * time.Second

// maxHeld bounds the records that wait for the next report.
const maxHeld = 256

// heldKey names the parts of a prompt at a server.
type heldKey struct {
	server string
	hash   uint64
}

// noteHeld records for the others that a server has read the parts of a prompt.
func (p *Proxy) noteHeld(server string, parts []coord.Part, now time.Time) {
	key := heldKey{server, parts[len(parts)-1].Hash}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.told[key]; ok && now.Sub(last) < heldPause || len(p.held) >= maxHeld {
		return
	}
	p.told[key] = now
	p.held = append(p.held, coord.Held{Server: server, Parts: parts})
}

// TakeHeld returns what this instance has to tell of prompts that servers hold.
func (p *Proxy) TakeHeld(now time.Time) []coord.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, last := range p.told {
		if now.Sub(last) >= heldPause {
			delete(p.told, key)
		}
	}
	out := p.held
	p.held = nil
	return out
}

// Learn takes what other instances tell of prompts that servers hold.
func (p *Proxy) Learn(all []coord.Held) {
	for _, h := range all {
		p.table.Holds(h.Server, blocks(h.Parts))
	}
}
