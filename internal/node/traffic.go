package node

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observeTraffic exports metrics of the traffic between processes: bytes and system
// calls on all links, and message bytes by call name, which separates control
// traffic from copies of answers.
func (n *Node) observeTraffic() error {
	linkBytes, err := n.meters.Int64ObservableCounter("link_bytes", metric.WithDescription("bytes on links between processes, with framing"))
	if err != nil {
		return Error.Wrap(err)
	}
	systemCalls, err := n.meters.Int64ObservableCounter("link_system_calls", metric.WithDescription("writes and reads on links between processes"))
	if err != nil {
		return Error.Wrap(err)
	}
	messageBytes, err := n.meters.Int64ObservableCounter("link_message_bytes", metric.WithDescription("message bytes by name, without framing"))
	if err != nil {
		return Error.Wrap(err)
	}
	sent, received := attribute.String("direction", "sent"), attribute.String("direction", "received")
	_, err = n.meters.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		t := n.net.Traffic()
		o.ObserveInt64(linkBytes, int64(t.BytesSent), metric.WithAttributes(sent))
		o.ObserveInt64(linkBytes, int64(t.BytesReceived), metric.WithAttributes(received))
		o.ObserveInt64(systemCalls, int64(t.Writes), metric.WithAttributes(sent))
		o.ObserveInt64(systemCalls, int64(t.Reads), metric.WithAttributes(received))
		for name, t := range n.net.TrafficByName() {
			call := attribute.String("call", name)
			o.ObserveInt64(messageBytes, int64(t.BytesSent), metric.WithAttributes(call, sent))
			o.ObserveInt64(messageBytes, int64(t.BytesReceived), metric.WithAttributes(call, received))
		}
		return nil
	}, linkBytes, systemCalls, messageBytes)
	return Error.Wrap(err)
}
