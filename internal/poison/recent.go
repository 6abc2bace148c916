package poison

// maxRecentGeneration bounds each of the two generations of a Recent.
const maxRecentGeneration = 1 << 15

// Recent is a set of at least the last 32,768 fingerprints added. The zero value is
// empty. Recent is not safe for concurrent use.
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

// Add adds a fingerprint to the set. When the newer generation is full, the older one is
// dropped.
func (r *Recent) Add(f Fingerprint) {
	if r.newer == nil || len(r.newer) >= maxRecentGeneration {
		r.newer, r.older = map[Fingerprint]struct{}{}, r.newer
	}
	r.newer[f] = struct{}{}
}
