package poison

// maxRecent bounds each of the two generations of a Recent.
const maxRecent = 1 << 15

// Recent is a set of the fingerprints added last, at least 32,768 of them. The
// zero value is empty. It needs a lock if several goroutines use it.
type Recent struct {
	newer map[Fingerprint]struct{}
	older map[Fingerprint]struct{}
}

// Has reports whether a fingerprint is in the set.
func (r *Recent) Has(f Fingerprint) bool {
	if _, ok := r.newer[f]; ok {
		return true
	}
	_, ok := r.older[f]
	return ok
}

// Add puts a fingerprint into the set. The older generation is dropped when the
// newer one is full.
func (r *Recent) Add(f Fingerprint) {
	if r.newer == nil || len(r.newer) >= maxRecent {
		r.newer, r.older = map[Fingerprint]struct{}{}, r.newer
	}
	r.newer[f] = struct{}{}
}
