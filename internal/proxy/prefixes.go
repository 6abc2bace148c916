package proxy

import (
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
)

// prefixReportInterval is the minimum time between two reports that a server holds the
// same prompt parts in its cache. It is shorter than the parts stay cached.
const prefixReportInterval = 5 * time.Second

// maxPrefixReports bounds the records queued for the next report.
const maxPrefixReports = 256

// prefixKey identifies a prompt prefix cached by a server.
type prefixKey struct {
	server string
	hash   uint64
}

// queuePrefixReport queues a report to the other instances that a server has prefilled
// the parts of a prompt.
func (p *Proxy) queuePrefixReport(server string, parts []coord.Part, now time.Time) {
	key := prefixKey{server, parts[len(parts)-1].Hash}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.prefixReportedAt[key]; ok && now.Sub(last) < prefixReportInterval || len(p.prefixReports) >= maxPrefixReports {
		return
	}
	p.prefixReportedAt[key] = now
	p.prefixReports = append(p.prefixReports, coord.CachedPrefix{Server: server, Parts: parts})
}

// TakePrefixReports returns and clears the queued reports of prompt prefixes cached by servers.
func (p *Proxy) TakePrefixReports(now time.Time) []coord.CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, last := range p.prefixReportedAt {
		if now.Sub(last) >= prefixReportInterval {
			delete(p.prefixReportedAt, key)
		}
	}
	out := p.prefixReports
	p.prefixReports = nil
	return out
}

// LearnPrefixes applies other instances' reports of prompt prefixes cached by servers.
func (p *Proxy) LearnPrefixes(all []coord.CachedPrefix) {
	for _, h := range all {
		p.table.AddCached(h.Server, blocks(h.Parts))
	}
}
