package poison

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// Guards against a prompt part that crashes server after server in requests of which no two
// are alike.
func TestPartOfManyRequests(t *testing.T) {
	l := New()
	part := bytes.Repeat([]byte("the same part. "), 200)
	now := time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)
	crashes := 0
	for i := range 40 {
		f := NewFingerprint("s", "v1", fmt.Appendf(part[:len(part):len(part)], "own words %d", i))
		server := fmt.Sprint("i-", i)
		if v := l.Check(f, now); v.Run && l.Started(f, server, 1, now) {
			l.MaybeCrashed(f, server, 1)
			l.Crashed(server, 1, now)
			crashes++
		}
		now = now.Add(time.Second)
	}
	if crashes > 10 {
		t.Errorf("%d servers crashed, want at most 10", crashes)
	}
}
