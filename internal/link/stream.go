package link

import (
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// lengthPrefixBytes is the size of the length prefix of each message.
const lengthPrefixBytes = 4

// Stream carries protobuf messages in both directions. Send and Recv may run
// concurrently, but neither may be called concurrently with itself.
type Stream struct {
	transport   *Transport
	yamuxStream *yamux.Stream
	counters    *counters

	mu             sync.Mutex
	timer          *time.Timer
	deadlinePassed chan struct{} // closed when the deadline has passed
	writeAbandoned bool          // a write is still running after its timeout; no other write may follow
}

func newStream(n *Transport, ys *yamux.Stream) *Stream {
	return &Stream{transport: n, yamuxStream: ys, counters: &counters{}, deadlinePassed: make(chan struct{})}
}

// Send writes a message. After an error the stream can only be closed.
func (s *Stream) Send(m proto.Message) error {
	b, err := appendMessage(nil, m)
	if err != nil {
		return err
	}
	return s.write(b)
}

// write returns when b has been written or the deadline has passed. yamux applies
// the deadline only while it waits for the peer's window, not while the connection
// itself is blocked, so the write runs in a goroutine.
func (s *Stream) write(b []byte) error {
	s.mu.Lock()
	deadlinePassed, writeAbandoned := s.deadlinePassed, s.writeAbandoned
	s.mu.Unlock()
	select {
	case <-deadlinePassed:
		writeAbandoned = true
	default:
	}
	if writeAbandoned {
		return Error.Wrap(yamux.ErrTimeout)
	}
	s.counters.addWrite(len(b))
	done := make(chan error, 1)
	run := func() {
		_, err := s.yamuxStream.Write(b)
		done <- err
	}
	if !s.transport.spawn(run) {
		return Error.New("closed")
	}
	for {
		select {
		case err := <-done:
			return Error.Wrap(err)
		case <-deadlinePassed:
		}
		s.mu.Lock()
		if deadlinePassed != s.deadlinePassed {
			deadlinePassed = s.deadlinePassed // the deadline was changed
			s.mu.Unlock()
			continue
		}
		s.writeAbandoned = true
		s.mu.Unlock()
		return Error.Wrap(yamux.ErrTimeout)
	}
}

// Recv reads a message into m. At the end of the stream it returns an error that
// wraps io.EOF.
func (s *Stream) Recv(m proto.Message) error {
	b, err := s.recvBytes()
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(b, m))
}

func (s *Stream) recvBytes() ([]byte, error) {
	b, err := readMessageBytes(s.yamuxStream, maxMessageBytes)
	if err == nil {
		s.counters.addRead(len(b) + lengthPrefixBytes)
	}
	return b, err
}

// SetDeadline sets the deadline for both directions, including for running calls.
// The zero time removes the deadline.
func (s *Stream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	select {
	case <-s.deadlinePassed:
		s.deadlinePassed = make(chan struct{})
	default:
	}
	deadlinePassed := s.deadlinePassed
	switch remaining := time.Until(t); {
	case t.IsZero():
	case remaining <= 0:
		close(deadlinePassed)
	default:
		s.timer = time.AfterFunc(remaining, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.deadlinePassed == deadlinePassed && s.timer != nil {
				s.timer = nil
				close(deadlinePassed)
			}
		})
	}
	return Error.Wrap(s.yamuxStream.SetDeadline(t))
}

// Close closes the stream. It does not wait for a blocked connection.
func (s *Stream) Close() error {
	s.mu.Lock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.mu.Unlock()
	s.transport.background(func() { _ = s.yamuxStream.Close() })
	return nil
}

// appendMessage appends the length prefix and the encoding of m.
func appendMessage(b []byte, m proto.Message) ([]byte, error) {
	start := len(b)
	if b == nil {
		b = make([]byte, 0, 256)
	}
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := len(b) - start - lengthPrefixBytes
	if n > maxMessageBytes {
		return nil, Error.New("message of %d bytes exceeds %d", n, maxMessageBytes)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

func writeMessage(w io.Writer, m proto.Message) error {
	b, err := appendMessage(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return Error.Wrap(err)
}

// readStepBytes is the memory allocated at first for a message. It grows as the message
// arrives, whatever length the sender declares.
const readStepBytes = 64 << 10

func readMessageBytes(r io.Reader, limit uint32) ([]byte, error) {
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return nil, Error.New("message of %d bytes exceeds %d", n, limit)
	}
	b := make([]byte, min(n, readStepBytes))
	for received := 0; ; {
		if _, err := io.ReadFull(r, b[received:]); err != nil {
			return nil, Error.Wrap(err)
		}
		if len(b) == int(n) {
			return b, nil
		}
		received = len(b)
		grown := make([]byte, min(int(n), 2*received))
		copy(grown, b)
		b = grown
	}
}

// readHandshake reads a message of a peer that is not authenticated.
func readHandshake(r io.Reader, m proto.Message) error {
	b, err := readMessageBytes(r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(b, m))
}
