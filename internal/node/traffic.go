package node

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observeTraffic exports the traffic between processes: bytes and system calls
// on all links, and message bytes by call, so that control and copies of
// answers can be told apart.
func (n *Node) observeTraffic() error {
	bytes, err := n.meters.Int64ObservableCounter("link_bytes", metric.WithDescription("bytes on links between processes, with framing"))
	if err != nil {
		return Error.Wrap(err)
	}
	ops, err := n.meters.Int64ObservableCounter("link_system_calls", metric.WithDescription("writes and reads on links between processes"))
	if err != nil {
		return Error.Wrap(err)
	}
	messages, err := n.meters.Int64ObservableCounter("link_message_bytes", metric.WithDescription("message bytes by name, without framing"))
	if err != nil {
		return Error.Wrap(err)
	}
	out, in := attribute.String("direction", "sent"), attribute.String("direction", "received")
	_, err = n.meters.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		t := n.net.Traffic()
		o.ObserveInt64(bytes, int64(t.BytesSent), metric.WithAttributes(out))
		o.ObserveInt64(bytes, int64(t.BytesReceived), metric.WithAttributes(in))
		o.ObserveInt64(ops, int64(t.Writes), metric.WithAttributes(out))
		o.ObserveInt64(ops, int64(t.Reads), metric.WithAttributes(in))
		for name, t := range n.net.TrafficByName() {
			call := attribute.String("call", name)
			o.ObserveInt64(messages, int64(t.BytesSent), metric.WithAttributes(call, out))
			o.ObserveInt64(messages, int64(t.BytesReceived), metric.WithAttributes(call, in))
		}
		return nil
	}, bytes, ops, messages)
	return Error.Wrap(err)
}
