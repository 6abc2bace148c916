package coord

import (
	"context"
	"testing"
	"time"
)

// Guards against instances that are lent more than the level together, and against
// a former leader that still lends when the others may have a new one.
func TestBorrow(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1)
	d.configure(d.all[0], 1)
	eventually(t, "all disks vote", func() bool { return len(d.voters()) == 3 })
	lent := 0
	for i := range 40 {
		var ok bool
		eventually(t, "the leader answers", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			ok, _, err = d.all[i%4].coord.Borrow(ctx, "o", 10)
			return err == nil
		})
		if ok {
			lent++
		}
	}
	// A burst of 100 units and a unit a second on top.
	if lent < 10 || lent > 12 {
		t.Errorf("%d times 10 units were lent, want 10 to 12", lent)
	}
	for _, x := range d.all[1:] {
		d.stop(x)
	}
	time.Sleep(2 * election) // any lease has lapsed
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, _, err := d.all[0].coord.Borrow(ctx, "o", 1); err == nil {
		t.Error("units were lent without a majority")
	}
}
