package entry

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// counters counts events on this instance, for metrics and experiments.
type counters struct {
	accepted, refused, unknownOutcome atomic.Int64
	forwarded                         atomic.Int64 // requests taken by another cell
	recomputedTokens                  atomic.Int64 // tokens
	exportedStreams, replayedStreams  atomic.Int64 // streams
}

// Counts holds totals since the start of the process.
type Counts struct {
	Accepted, Refused, Unknown int64
	Forwarded                  int64 // requests taken by another cell
	RecomputedTokens           int64
	StreamsExported            int64
	StreamsReplayed            int64
	Running                    int64
	CurrentCells               int64 // other cells with a current digest; not a total
}

// Counts returns the totals.
func (e *Entry) Counts() Counts {
	t := &e.counters
	return Counts{
		Accepted: t.accepted.Load(), Refused: t.refused.Load(), Unknown: t.unknownOutcome.Load(),
		Forwarded:        t.forwarded.Load(),
		RecomputedTokens: t.recomputedTokens.Load(), StreamsExported: t.exportedStreams.Load(), StreamsReplayed: t.replayedStreams.Load(),
		Running: int64(e.attempts.count()), CurrentCells: int64(e.cells.Current(e.cfg.Now())),
	}
}

// count records a failure response.
func (e *Entry) count(f *failure) {
	if f.outcome == outcomeUnknown {
		e.counters.unknownOutcome.Add(1)
		return
	}
	e.counters.refused.Add(1)
}

// RegisterMetrics registers the totals as metrics.
func (e *Entry) RegisterMetrics(m metric.Meter) error {
	requests, err := m.Int64ObservableCounter("requests", metric.WithDescription("requests by outcome"))
	if err != nil {
		return Error.Wrap(err)
	}
	tokens, err := m.Int64ObservableCounter("recomputed_tokens", metric.WithDescription("answer tokens computed again"))
	if err != nil {
		return Error.Wrap(err)
	}
	running, err := m.Int64ObservableGauge("running_attempts", metric.WithDescription("attempts that run on backend servers"))
	if err != nil {
		return Error.Wrap(err)
	}
	known, err := m.Int64ObservableGauge("cells_known", metric.WithDescription("other cells with a current digest"))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c := e.Counts()
		for name, n := range map[string]int64{"accepted": c.Accepted, "notRun": c.Refused, "unknown": c.Unknown, "forwarded": c.Forwarded} {
			o.ObserveInt64(requests, n, metric.WithAttributes(attribute.String("outcome", name)))
		}
		o.ObserveInt64(tokens, c.RecomputedTokens)
		o.ObserveInt64(running, c.Running)
		o.ObserveInt64(known, c.CurrentCells)
		return nil
	}, requests, tokens, running, known)
	return Error.Wrap(err)
}
