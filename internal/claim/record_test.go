package claim

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Compares the store with a plain list. Guards against an entry that is lost,
// duplicated or out of order after chunks were dropped at the front or compacted.
func TestEntriesAgainstList(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		s, list, copied := newEntryStore(0), []entry{}, 0
		for n := range 1000 {
			d := digestOf("o", fmt.Sprint(rng.IntN(60)))
			at := slices.IndexFunc(list, func(e entry) bool { return e.digest == d })
			switch roll := rng.IntN(10); {
			case roll == 0 && len(list) > 0:
				if e, ok := s.oldest(); !ok || e.digest != list[0].digest {
					t.Fatalf("seed %d step %d: the oldest entry differs", seed, n)
				}
				s.remove(list[0].digest)
				list = list[1:]
				continue
			case roll == 1:
				s.remove(d)
			default:
				e := entry{digest: d, changedMs: int64(n), pending: roll == 2, encoded: bytes.Repeat([]byte{byte(n)}, rng.IntN(30)*rng.IntN(1000))}
				before := s.deadBytes
				s.put(e)
				if s.deadBytes < before {
					copied++
				}
				list = append(list, e)
			}
			if at >= 0 {
				list = slices.Delete(list, at, at+1)
			}
			if n%10 > 0 {
				continue
			}
			var got []entry
			s.each(func(e entry) { got = append(got, e) })
			same := func(a, b entry) bool {
				return a.digest == b.digest && a.changedMs == b.changedMs && a.pending == b.pending && bytes.Equal(a.encoded, b.encoded)
			}
			if !slices.EqualFunc(got, list, same) || len(s.index) != len(list) {
				t.Fatalf("seed %d step %d: %d entries, want %d", seed, n, len(got), len(list))
			}
		}
		if copied == 0 {
			t.Fatalf("seed %d: no chunk was compacted", seed)
		}
	}
}
