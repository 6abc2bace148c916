package route

import (
	"testing"
	"time"
)

// Guards against first tokens of a server's earlier incarnation being attributed to the
// current one.
func TestFirstTokenOfAnEarlierIncarnation(t *testing.T) {
	table := New(Config{Seed: 1})
	table.noise = 0
	all := fleet(1)
	table.SetBackends(all, start)
	q := Query{Service: "m", Version: "1", PromptTokens: 100}
	before, err := table.Pick(q, start)
	if err != nil {
		t.Fatal(err)
	}
	all[0].Incarnation++
	table.SetBackends(all, start)
	fresh, err := table.Pick(q, start)
	if err != nil {
		t.Fatal(err)
	}
	table.FirstToken(before, 2*time.Second, start)
	if got, err := table.Pick(q, start); err != nil || got.Expected != fresh.Expected {
		t.Errorf("expected first token %v after a first token of the earlier incarnation, want %v (%v)", got.Expected, fresh.Expected, err)
	}
	table.FirstToken(fresh, 2*time.Second, start)
	if got, err := table.Pick(q, start); err != nil || got.Expected <= fresh.Expected {
		t.Errorf("expected first token %v after a late one, want more than %v (%v)", got.Expected, fresh.Expected, err)
	}
}
