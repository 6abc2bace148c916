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
	// confirmFor is how long a confirmation lasts, from the time at which the
	// request was sent. A configuration is in force everywhere within 4 s.
	confirmFor = 3 * time.Second
	// driftPart is the part of that time that clock rates may differ by.
	driftPart = 100
	// pollWait and pollSlack leave time for two more members within confirmFor
	// when one stops to answer.
	pollWait  = 800 * time.Millisecond
	pollSlack = 400 * time.Millisecond
	// retryPause is the pause after a failed poll.
	retryPause = 50 * time.Millisecond
	// reportEvery is the time between two reports.
	reportEvery = time.Second
)

// NotConfirmed is the error for a configuration that may no longer be in force.
type NotConfirmed struct {
	At time.Time // of the last confirmation; zero if there was none
}

func (e *NotConfirmed) Error() string {
	if e.At.IsZero() {
		return "configuration not confirmed yet"
	}
	return fmt.Sprintf("configuration not confirmed since %s", e.At.Format(time.RFC3339Nano))
}

// Config sets up a Watcher.
type Config struct {
	Node    string
	Net     Net
	Control []string // peer addresses of control members
	Clock   func() time.Time
	// Manual leaves the polls and reports to Poll and Report, for tests.
	Manual bool
}

// Part is one section of this node's reports.
type Part struct {
	Name string
	Fill func(now time.Time) []byte
	// Take gets the answer of control and the time at which the report was sent,
	// from which any lease in the answer counts. It may be nil.
	Take func(answer []byte, sent, now time.Time)
}

// Watcher is the entry side. It keeps nothing on disk: a process that starts
// asks again.
type Watcher struct {
	cfg Config

	mu        sync.Mutex
	view      *store.View
	confirmed time.Time // when the request of the last confirmation was sent
	wake      chan struct{}
	control   int // index of the member that is asked
	leader    string
	parts     []Part

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewWatcher starts to watch, unless the configuration says that the caller polls.
func NewWatcher(cfg Config) (*Watcher, error) {
	if len(cfg.Control) == 0 {
		return nil, Error.New("no control member is set")
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		cfg: cfg, view: &store.View{}, wake: make(chan struct{}), ctx: ctx, cancel: cancel,
		// Spreads the watchers over the members.
		control: int(xxhash.Sum64String(cfg.Node) % uint64(len(cfg.Control))),
	}
	if cfg.Manual {
		return w, nil
	}
	w.wg.Go(func() {
		wait := time.Duration(0)
		for ctx.Err() == nil {
			err := w.Poll(ctx, wait)
			wait = pollWait
			if err != nil {
				// Confirm first; waiting for changes can come later.
				wait = 0
				sleep(ctx, retryPause)
			}
		}
	})
	w.wg.Go(func() {
		for ctx.Err() == nil {
			// A failed report is followed by the next one; what its parts lease
			// lapses meanwhile.
			_ = w.Report(ctx)
			sleep(ctx, reportEvery)
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

// Close ends the watch.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

// Current returns the configuration in force. With an error of type
// *NotConfirmed the view is the last one known and must not be used for new work.
func (w *Watcher) Current(now time.Time) (*store.View, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmed.IsZero() || !now.Before(w.confirmed.Add(confirmFor-confirmFor/driftPart)) {
		return w.view, &NotConfirmed{w.confirmed}
	}
	return w.view, nil
}

// Changed returns a channel that is closed once the view's Config exceeds after.
func (w *Watcher) Changed(after uint64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.Config > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return w.wake
}

// Poll asks one control member once and lets it wait up to wait for a change.
// After an error the next poll asks another member.
func (w *Watcher) Poll(ctx context.Context, wait time.Duration) error {
	w.mu.Lock()
	addr := w.cfg.Control[w.control]
	held := w.view.Config
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	sent := w.cfg.Clock()
	resp := &watcpb.WatchResponse{}
	err := w.call(ctx, addr, callWatch, &watcpb.WatchRequest{Held: held, WaitMs: uint32(wait.Milliseconds())}, resp)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		err = w.accept(resp, sent)
	}
	if err != nil && w.cfg.Control[w.control] == addr {
		w.control = (w.control + 1) % len(w.cfg.Control)
	}
	return err
}

// accept takes an answer over. A member that knows less than this node has lost
// its data and confirms nothing. mu is held.
func (w *Watcher) accept(resp *watcpb.WatchResponse, sent time.Time) error {
	if resp.Version < w.view.Config {
		return Error.New("the control member has version %d, older than %d", resp.Version, w.view.Config)
	}
	if resp.Version > w.view.Config {
		next, err := w.view.WithDelta(resp.Delta)
		if err != nil {
			return Error.Wrap(err)
		}
		if next.Config != resp.Version {
			return Error.New("the change leads to version %d, want %d", next.Config, resp.Version)
		}
		w.view = next
		close(w.wake)
		w.wake = make(chan struct{})
	}
	if sent.After(w.confirmed) {
		w.confirmed = sent
	}
	return nil
}

// call returns when ctx ends, also if the session is blocked in a write.
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

// Add makes p a part of the reports from now on.
func (w *Watcher) Add(p Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parts = append(w.parts, p)
}

// Report sends one report to the leader and hands the answer to the parts. If the
// leader is not known it asks each control member until one knows it.
func (w *Watcher) Report(ctx context.Context) error {
	w.mu.Lock()
	parts := slices.Clone(w.parts)
	try := append([]string{w.leader}, w.cfg.Control...)
	w.mu.Unlock()
	sent := w.cfg.Clock()
	req := &watcpb.Sections{Sections: map[string][]byte{}}
	for _, p := range parts {
		req.Sections[p.Name] = p.Fill(sent)
	}
	var last error
	for i := 0; i < len(try) && i < 2*len(w.cfg.Control)+1; i++ {
		if try[i] == "" || ctx.Err() != nil {
			continue
		}
		resp, err := w.reportTo(ctx, try[i], req)
		if err == nil {
			w.take(parts, resp, try[i], sent)
			return nil
		}
		last = err
		var re *link.RemoteError
		if errors.As(err, &re) && re.Code == "notLeader" && re.Message != "" && !slices.Contains(try[:i+1], re.Message) {
			try = slices.Insert(try, i+1, re.Message)
		}
	}
	w.mu.Lock()
	w.leader = ""
	w.mu.Unlock()
	if last == nil {
		last = ctx.Err()
	}
	return Error.Wrap(last)
}

func (w *Watcher) reportTo(ctx context.Context, addr string, req *watcpb.Sections) (*watcpb.Sections, error) {
	ctx, cancel := context.WithTimeout(ctx, pollSlack)
	defer cancel()
	resp := &watcpb.Sections{}
	if err := w.call(ctx, addr, callReport, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

func (w *Watcher) take(parts []Part, resp *watcpb.Sections, leader string, sent time.Time) {
	w.mu.Lock()
	w.leader = leader
	w.mu.Unlock()
	now := w.cfg.Clock()
	for _, p := range parts {
		if b, ok := resp.Sections[p.Name]; ok && p.Take != nil {
			p.Take(b, sent, now)
		}
	}
}
