// Package store is the state machine of the configuration group. It holds the
// declaration, the active preset, the version moves and the instance records. The
// commands are applied on every control member and must have the same effect on each of
// them, so Apply is deterministic: it reads no clock, uses no random numbers and makes
// no check that may differ in a newer release.
package store

import (
	"encoding/json"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("store")

const (
	// snapshotFormat is the version of the snapshot encoding.
	snapshotFormat = 1
	// MaxResults is the number of most recent commands whose results are kept for
	// repeated commands: about five days at 3,700 changes a day.
	MaxResults = 20_000
	// MaxEndedMoves is the number of ended moves that are kept.
	MaxEndedMoves = 200
)

// Store holds the state of the configuration group. It implements raft.Machine.
type Store struct {
	mu           sync.Mutex
	state        state
	view         *View         // cached view of state; nil after a change
	changeSignal chan struct{} // closed at the next change
}

// New returns an empty store.
func New() *Store {
	return &Store{state: newState(), changeSignal: make(chan struct{})}
}

// Apply applies the command at a raft index and returns its encoded Result. A command
// whose index was applied before has no effect and returns the same result.
func (s *Store) Apply(index uint64, cmd []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Version
	r := s.state.run(index, cmd)
	if s.state.Version != before {
		s.notifyChange()
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

func (s *Store) notifyChange() {
	s.view = nil
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Format = snapshotFormat
	b, err := json.Marshal(&s.state)
	return b, Error.Wrap(err)
}

// Restore replaces the state with a snapshot. It returns an error and keeps the state
// if the snapshot has an unknown format.
func (s *Store) Restore(b []byte) error {
	st := newState()
	if err := json.Unmarshal(b, &st); err != nil {
		return Error.Wrap(err)
	}
	if st.Format != snapshotFormat {
		return Error.New("snapshot has format %d; want %d", st.Format, snapshotFormat)
	}
	if err := st.rebuildIndexes(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = st
	s.notifyChange()
	return nil
}

// Applied returns the raft index of the last applied command.
func (s *Store) Applied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Applied
}

// View returns the current state.
func (s *Store) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		s.view = s.state.buildView()
	}
	return s.view
}

// Changed returns a channel that is closed when the version of the state is greater
// than after.
func (s *Store) Changed(after uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return s.changeSignal
}
