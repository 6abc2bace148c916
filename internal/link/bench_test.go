package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"
)

// benchConn counts the writes, reads and bytes of the dialing end.
type benchConn struct {
	net.Conn
	writes, out, reads, in *atomic.Int64
}

func (c benchConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

func (c benchConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.reads.Add(1)
	c.in.Add(int64(n))
	return n, err
}

// BenchmarkCall measures a small call on an open session. Both ends run in this
// process, so time and allocations include both.
func BenchmarkCall(b *testing.B) {
	var writes, out, reads, in atomic.Int64
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", addr)
		return benchConn{raw, &writes, &out, &reads, &in}, err
	}
	a := listen(b, Config{Node: "a", Dial: dial})
	o := listen(b, Config{Node: "b"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, resp := wrapperspb.String("0123456789012345678901234567890123456789"), &wrapperspb.StringValue{}
	call := func() {
		if err := a.Call(ctx, o.Addr(), "echo", req, resp); err != nil {
			b.Fatal(err)
		}
	}
	call()
	for _, v := range []*atomic.Int64{&writes, &out, &reads, &in} {
		v.Store(0)
	}
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	n := float64(b.N)
	b.ReportMetric(float64(out.Load()+in.Load())/n, "bytes/call")
	b.ReportMetric(float64(writes.Load())/n, "writes/call")
	b.ReportMetric(float64(reads.Load())/n, "reads/call")
}
