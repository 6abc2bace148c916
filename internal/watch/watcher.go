package watch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/store"
	"cranberrypath.example/cranberrypath/internal/watch/watcpb"
)

const (
	// confirmationTTL is how long a confirmation is valid after the request was
	// sent. It lets a configuration take effect everywhere within 4 s.
	confirmationTTL = 3 * time.Second
	// maxClockDriftDivisor sets the tolerated clock drift, as a share of confirmationTTL.
	maxClockDriftDivisor = 100
	// pollWait is the duration of a long poll, and responseTimeout limits the time
	// for the response beyond it. They leave time to poll two more members within
	// confirmationTTL when a member stops answering.
	pollWait        = 800 * time.Millisecond
	responseTimeout = 400 * time.Millisecond
	// retryDelay is the delay after a failed poll.
	retryDelay = 50 * time.Millisecond
	// reportInterval is the time between two reports.
	reportInterval = time.Second
)

// NotConfirmedError means that the configuration may be out of date.
type NotConfirmedError struct {
	LastConfirmed time.Time // zero if there was no confirmation
}

func (e *NotConfirmedError) Error() string {
	if e.LastConfirmed.IsZero() {
		return "configuration not confirmed yet"
	}
	return fmt.Sprintf("configuration not confirmed since %s", e.LastConfirmed.Format(time.RFC3339Nano))
}

// Config configures a Watcher.
type Config struct {
	Node    string
	Net     Net
	Control []string // peer addresses of control members
	Clock   func() time.Time
	// ManualPolling disables the background loops; tests call Poll and Report.
	ManualPolling bool
}

// Part is one section of the reports of this instance.
type Part struct {
	Name string
	Fill func(now time.Time) []byte
	// Take receives the reply of control and the time at which the report was
	// sent, at which any lease in the reply starts. It may be nil.
	Take func(answer []byte, sent, now time.Time)
}

// Watcher follows the configuration on an entry instance. It stores nothing on
// disk; after a restart it requests the configuration again.
type Watcher struct {
	cfg Config

	mu           sync.Mutex
	view         *store.View
	confirmedAt  time.Time // when the last confirmed request was sent
	changed      chan struct{}
	controlIndex int // index of the member to poll
	leader       string
	sections     []Part

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewWatcher returns a watcher and starts its loops unless cfg.ManualPolling is set.
func NewWatcher(cfg Config) (*Watcher, error) {
	if len(cfg.Control) == 0 {
		return nil, Error.New("no address of a control member is configured")
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		cfg: cfg, view: &store.View{}, changed: make(chan struct{}), ctx: ctx, cancel: cancel,
		// Distributes the watchers over the members.
		controlIndex: int(xxhash.Sum64String(cfg.Node) % uint64(len(cfg.Control))),
	}
	if cfg.ManualPolling {
		return w, nil
	}
	w.wg.Go(func() {
		wait := time.Duration(0)
		for ctx.Err() == nil {
			err := w.Poll(ctx, wait)
			wait = pollWait
			if err != nil {
				// Get a confirmation at once instead of a long poll.
				wait = 0
				sleep(ctx, retryDelay)
			}
		}
	})
	w.wg.Go(func() {
		for ctx.Err() == nil {
			// A failed report is not repeated before the next interval; leases that
			// it would have renewed expire.
			_ = w.Report(ctx)
			sleep(ctx, reportInterval)
		}
	})
	return w, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Close stops the loops and waits for them.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

// Current returns the current configuration. With an error of type
// *NotConfirmedError, the view is the last known one and must not be used for new
// work.
func (w *Watcher) Current(now time.Time) (*store.View, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() || !now.Before(w.confirmedAt.Add(confirmationTTL-confirmationTTL/maxClockDriftDivisor)) {
		return w.view, &NotConfirmedError{w.confirmedAt}
	}
	return w.view, nil
}

// Changed returns a channel that is closed once the configuration version exceeds after.
func (w *Watcher) Changed(after uint64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.Config > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return w.changed
}

// Poll sends one watch request to a control member, which waits up to wait for a
// change. After an error the next poll uses another member.
func (w *Watcher) Poll(ctx context.Context, wait time.Duration) error {
	w.mu.Lock()
	addr := w.cfg.Control[w.controlIndex]
	heldVersion := w.view.Config
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	sent := w.cfg.Clock()
	resp := &watcpb.WatchResponse{}
	err := w.call(ctx, addr, watchCall, &watcpb.WatchRequest{Held: heldVersion, WaitMs: uint32(wait.Milliseconds())}, resp)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		err = w.applyResponse(resp, sent)
	}
	if err != nil && w.cfg.Control[w.controlIndex] == addr {
		w.controlIndex = (w.controlIndex + 1) % len(w.cfg.Control)
	}
	return err
}

// applyResponse applies a response. A member with an older version than this
// instance has lost its data, so its response is rejected. The caller holds w.mu.
func (w *Watcher) applyResponse(resp *watcpb.WatchResponse, sent time.Time) error {
	if resp.Version < w.view.Config {
		return Error.New("control member has configuration version %d, older than %d", resp.Version, w.view.Config)
	}
	if resp.Version > w.view.Config {
		next, err := w.view.WithDelta(resp.Delta)
		if err != nil {
			return Error.Wrap(err)
		}
		if next.Config != resp.Version {
			return Error.New("delta leads to configuration version %d, want %d", next.Config, resp.Version)
		}
		w.view = next
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if sent.After(w.confirmedAt) {
		w.confirmedAt = sent
	}
	return nil
}

// call returns when ctx ends, even if the connection is blocked in a write.
func (w *Watcher) call(ctx context.Context, addr, name string, req, resp proto.Message) error {
	done := make(chan error, 1)
	w.wg.Go(func() { done <- w.cfg.Net.Call(ctx, addr, name, req, resp) })
	select {
	case err := <-done:
		return Error.Wrap(err)
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Add adds a section to subsequent reports.
func (w *Watcher) Add(p Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sections = append(w.sections, p)
}

// Report sends one report to the leader and passes the reply to the handlers of
// the sections. If the leader is unknown, it tries each control member until one
// is the leader or knows its address.
func (w *Watcher) Report(ctx context.Context) error {
	w.mu.Lock()
	sections := slices.Clone(w.sections)
	addrs := append([]string{w.leader}, w.cfg.Control...)
	w.mu.Unlock()
	sent := w.cfg.Clock()
	req := &watcpb.Sections{Sections: map[string][]byte{}}
	for _, p := range sections {
		req.Sections[p.Name] = p.Fill(sent)
	}
	var lastErr error
	for i := 0; i < len(addrs) && i < 2*len(w.cfg.Control)+1; i++ {
		if addrs[i] == "" || ctx.Err() != nil {
			continue
		}
		resp, err := w.sendReport(ctx, addrs[i], req)
		if err == nil {
			w.deliver(sections, resp, addrs[i], sent)
			return nil
		}
		lastErr = err
		var remoteErr *link.RemoteError
		if errors.As(err, &remoteErr) && remoteErr.Code == "notLeader" && remoteErr.Message != "" && !slices.Contains(addrs[:i+1], remoteErr.Message) {
			addrs = slices.Insert(addrs, i+1, remoteErr.Message)
		}
	}
	w.mu.Lock()
	w.leader = ""
	w.mu.Unlock()
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return Error.Wrap(lastErr)
}

func (w *Watcher) sendReport(ctx context.Context, addr string, req *watcpb.Sections) (*watcpb.Sections, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	resp := &watcpb.Sections{}
	if err := w.call(ctx, addr, reportCall, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

func (w *Watcher) deliver(sections []Part, resp *watcpb.Sections, leader string, sent time.Time) {
	w.mu.Lock()
	w.leader = leader
	w.mu.Unlock()
	now := w.cfg.Clock()
	for _, p := range sections {
		if b, ok := resp.Sections[p.Name]; ok && p.Take != nil {
			p.Take(b, sent, now)
		}
	}
}
