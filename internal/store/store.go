// Package store is the state machine of the configuration group: what operators
// declared, the preset in force, the version moves and the instances. It runs in
// every control member, so each command has the same effect everywhere: Apply
// reads no clock, draws no random numbers and checks nothing that a newer
// release might check differently.
package store

import (
	"encoding/json"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("store")

const (
	// format is the version of snapshots.
	format = 1
	// KeepResults is how many commands are remembered, newest first, so that a
	// repeat gets its first answer: about five days at 3,700 changes a day.
	KeepResults = 20_000
	// KeepMoves is how many ended moves are kept.
	KeepMoves = 200
)

// Store holds the state of the configuration group. It implements raft.Machine.
type Store struct {
	mu    sync.Mutex
	state state
	view  *View         // of state; nil if it must be built
	wake  chan struct{} // closed at the next change
}

// New returns an empty store.
func New() *Store {
	return &Store{state: newState(), wake: make(chan struct{})}
}

// Apply runs the command at a raft index and returns its encoded Result. An index
// that was applied before changes nothing and gets the same answer.
func (s *Store) Apply(index uint64, cmd []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Version
	r := s.state.run(index, cmd)
	if s.state.Version != before {
		s.changed()
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

func (s *Store) changed() {
	s.view = nil
	close(s.wake)
	s.wake = make(chan struct{})
}

// Snapshot returns the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Format = format
	b, err := json.Marshal(&s.state)
	return b, Error.Wrap(err)
}

// Restore replaces the state by a snapshot. A snapshot of an unknown format is an
// error and leaves the state as it was.
func (s *Store) Restore(b []byte) error {
	st := newState()
	if err := json.Unmarshal(b, &st); err != nil {
		return Error.Wrap(err)
	}
	if st.Format != format {
		return Error.New("snapshot has format %d; want %d", st.Format, format)
	}
	if err := st.index(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
	s.changed()
	return nil
}

// Applied returns the raft index of the last command that was applied.
func (s *Store) Applied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Applied
}

// View returns the present state.
func (s *Store) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		s.view = s.state.view()
	}
	return s.view
}

// Changed returns a channel that is closed once the version of the view exceeds
// after.
func (s *Store) Changed(after uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return s.wake
}
