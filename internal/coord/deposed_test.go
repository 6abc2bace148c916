package coord

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/coord/coordpb"
	"cranberrypath.example/cranberrypath/internal/faults"
	"cranberrypath.example/cranberrypath/internal/link"
)

// viewLocal records the terms of the replies.
type viewLocal struct {
	*fakeLocal
	terms chan uint64
}

func (l viewLocal) Apply(v View, now time.Time) {
	l.fakeLocal.Apply(v, now)
	select {
	case l.terms <- v.Term:
	default:
	}
}

// Guards against an instance that takes the state of a deposed leader, which has not
// noticed yet, after that of its successor.
func TestNoReplyOfAnEarlierTerm(t *testing.T) {
	t.Parallel()
	reply := func(self string, term uint64) link.Handler {
		return func(context.Context, link.Peer, []byte) (proto.Message, error) {
			return &coordpb.SyncReply{Epoch: term, Leader: self, Feed: term}, nil
		}
	}
	var addrs []string
	var nets []*link.Transport
	for term := range uint64(2) {
		addr := freeAddress()
		n, err := link.Listen(link.Config{Node: addr, Listen: addr})
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		n.Handle(callSync, reply(addr, term+1))
		addrs, nets = append(addrs, addr), append(nets, n)
	}
	d := &deployment{t: t, links: faults.New()}
	inst := &instance{addr: freeAddress()}
	terms := make(chan uint64, 1000)
	d.startWith(inst, func(cfg *Config) {
		cfg.Local = viewLocal{inst.local, terms}
		cfg.Seeds = func() []string { return addrs }
	})
	defer d.stop(inst)
	newest := uint64(0)
	for end := time.After(3 * time.Second); ; {
		select {
		case term := <-terms:
			if term < newest {
				t.Fatalf("a reply of term %d was applied after one of term %d", term, newest)
			}
			if newest = term; term == 2 {
				_ = nets[1].Close() // the new leader falls silent
			}
			continue
		case <-end:
		}
		return
	}
}
