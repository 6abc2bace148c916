package link

import (
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// frameLength is the size of the length before each message.
const frameLength = 4

// Stream carries protobuf messages in both directions. Send and Recv may run
// at the same time, but each only once at a time.
type Stream struct {
	net   *Net
	y     *yamux.Stream
	count *counters

	mu    sync.Mutex
	timer *time.Timer
	past  chan struct{} // closed when the deadline has passed
	stuck bool          // a write was left behind, so nothing may follow it
}

func newStream(n *Net, y *yamux.Stream) *Stream {
	return &Stream{net: n, y: y, count: &counters{}, past: make(chan struct{})}
}

// Send writes one message. After an error the stream can only be closed.
func (s *Stream) Send(m proto.Message) error {
	b, err := appendFrame(nil, m)
	if err != nil {
		return err
	}
	return s.write(b)
}

// write returns when b is on its way or the deadline has passed. yamux heeds the
// deadline only while it waits for the peer's window, not while the connection
// itself is blocked.
func (s *Stream) write(b []byte) error {
	s.mu.Lock()
	past, stuck := s.past, s.stuck
	s.mu.Unlock()
	select {
	case <-past:
		stuck = true
	default:
	}
	if stuck {
		return Error.Wrap(yamux.ErrTimeout)
	}
	s.count.wrote(len(b))
	done := make(chan error, 1)
	run := func() {
		_, err := s.y.Write(b)
		done <- err
	}
	if !s.net.spawn(run) {
		return Error.New("closed")
	}
	for {
		select {
		case err := <-done:
			return Error.Wrap(err)
		case <-past:
		}
		s.mu.Lock()
		if past != s.past {
			past = s.past // the deadline was moved
			s.mu.Unlock()
			continue
		}
		s.stuck = true
		s.mu.Unlock()
		return Error.Wrap(yamux.ErrTimeout)
	}
}

// Recv reads one message into m. At the end of the stream it returns an error
// that wraps io.EOF.
func (s *Stream) Recv(m proto.Message) error {
	b, err := s.recvBytes()
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(b, m))
}

func (s *Stream) recvBytes() ([]byte, error) {
	b, err := readBytes(s.y)
	if err == nil {
		s.count.read(len(b) + frameLength)
	}
	return b, err
}

// SetDeadline bounds both directions, also the calls that run. The zero time
// removes the bound.
func (s *Stream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	select {
	case <-s.past:
		s.past = make(chan struct{})
	default:
	}
	past := s.past
	switch left := time.Until(t); {
	case t.IsZero():
	case left <= 0:
		close(past)
	default:
		s.timer = time.AfterFunc(left, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.past == past && s.timer != nil {
				s.timer = nil
				close(past)
			}
		})
	}
	return Error.Wrap(s.y.SetDeadline(t))
}

// Close ends the stream. It does not wait for a blocked connection.
func (s *Stream) Close() error {
	s.mu.Lock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.mu.Unlock()
	s.net.background(func() { _ = s.y.Close() })
	return nil
}

// appendFrame appends the length of m and m.
func appendFrame(b []byte, m proto.Message) ([]byte, error) {
	at := len(b)
	if b == nil {
		b = make([]byte, 0, 256)
	}
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := len(b) - at - frameLength
	if n > maxFrameBytes {
		return nil, Error.New("message of %d bytes exceeds %d", n, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(n))
	return b, nil
}

func writeFrame(w io.Writer, m proto.Message) error {
	b, err := appendFrame(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return Error.Wrap(err)
}

func readBytes(r io.Reader) ([]byte, error) {
	var head [frameLength]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, Error.Wrap(err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, Error.New("message of %d bytes exceeds %d", n, maxFrameBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

func readFrame(r io.Reader, m proto.Message) error {
	b, err := readBytes(r)
	if err != nil {
		return err
	}
	return Error.Wrap(proto.Unmarshal(b, m))
}
