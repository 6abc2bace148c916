package coord

import (
	"context"
	"testing"
	"time"
)

// Guards against instances borrowing more in total than the level, and against a former
// leader that still lends when the others may have elected a new one.
func TestBorrow(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.instances[0], 1)
	eventually(t, "all instances with a disk vote", func() bool { return len(d.voters()) == 3 })
	admitted := 0
	for i := range 40 {
		var ok bool
		eventually(t, "the leader answers", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			ok, _, err = d.instances[i%4].coord.Borrow(ctx, "o", 10)
			return err == nil
		})
		if ok {
			admitted++
		}
	}
	// The burst is 100 units, refilled by one unit per second.
	if admitted < 10 || admitted > 12 {
		t.Errorf("%d times 10 units were lent, want 10 to 12", admitted)
	}
	for _, inst := range d.instances[1:] {
		d.stop(inst)
	}
	time.Sleep(2 * electionTimeout) // any lease has expired
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, _, err := d.instances[0].coord.Borrow(ctx, "o", 1); err == nil {
		t.Error("units were lent without a majority")
	}
}
