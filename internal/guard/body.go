package guard

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// segmentBytes is the size of the pieces in which a body is received.
	segmentBytes = 16 << 10
	// maxDirectBytes is the declared length up to which a body is allocated before it arrives,
	// while the account has room: more than twice an ordinary body.
	maxDirectBytes = 256 << 10
)

var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Received is a body that was received completely.
type Received struct {
	bytes   []byte
	guard   *Guard
	account *account
	conn    *Conn
	held    int64
}

// Content returns the bytes of the body; nil without a body.
func (r *Received) Content() []byte {
	if r == nil {
		return nil
	}
	return r.bytes
}

// Release returns the memory to the account. The content must not be kept.
func (r *Received) Release() {
	if r == nil || r.held == 0 {
		return
	}
	r.account.used.Add(-r.held)
	if r.conn != nil {
		r.conn.held.Store(0)
	}
	r.held = 0
}

// ReadBody reads a body from in, which arrives on conn, until the deadline. A negative length
// is not known. The errors are those of in and of this package; after an error, the caller of
// ReadBody must close the connection without reading the rest.
func (g *Guard) ReadBody(conn *Conn, in io.Reader, length, limit int64, deadline time.Time) (*Received, error) {
	return g.readInto(&g.callers, conn, in, length, limit, deadline)
}

// ReadReserved reads the body of a server or operator, like ReadBody. Bodies that fit into the
// reserve do not depend on what callers hold; larger ones share the account with them.
func (g *Guard) ReadReserved(conn *Conn, in io.Reader, length, limit int64, deadline time.Time) (*Received, error) {
	largest := limit
	if length >= 0 {
		largest = min(largest, length)
	}
	if largest <= g.reserve.maxBody() {
		return g.readInto(&g.reserve, conn, in, length, limit, deadline)
	}
	return g.readInto(&g.callers, conn, in, length, limit, deadline)
}

func (g *Guard) readInto(a *account, conn *Conn, in io.Reader, length, limit int64, deadline time.Time) (*Received, error) {
	r := &Received{guard: g, account: a, conn: conn}
	limit = min(limit, a.maxBody())
	if length > limit {
		g.Refuse(SizeBound)
		return nil, ErrTooLarge.New("%d bytes, the limit is %d", length, limit)
	}
	if conn != nil {
		conn.received.Store(0)
		conn.account.Store(a)
		conn.setPhase(PhaseBody)
	}
	err := r.read(in, length, limit, deadline)
	if conn != nil && !conn.phase.CompareAndSwap(int32(PhaseBody), int32(PhaseBusy)) {
		err = ErrTooSlow.New("others waited for memory")
	}
	if err != nil {
		r.Release()
		switch {
		case ErrFull.Has(err):
			g.Refuse(MemoryBound)
		case ErrTooLarge.Has(err):
			g.Refuse(SizeBound)
		}
		return nil, err
	}
	return r, nil
}

func (r *Received) read(in io.Reader, length, limit int64, deadline time.Time) error {
	direct := length >= 0 && (length <= freeBytes || length <= maxDirectBytes && r.account.used.Load()+length <= r.account.size/2)
	if !direct {
		return r.readSegments(in, length, limit, deadline)
	}
	if length > freeBytes {
		if err := r.hold(length, deadline); err != nil {
			return err
		}
	}
	r.bytes = make([]byte, length)
	for n := 0; n < len(r.bytes); {
		m, err := in.Read(r.bytes[n:])
		n += m
		r.progress(m)
		switch {
		case n == len(r.bytes):
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return r.expectEnd(in)
}

// expectEnd reads the end of a body of which all bytes have arrived, so that the connection
// can serve the next request.
func (r *Received) expectEnd(in io.Reader) error {
	var b [1]byte
	for {
		switch n, err := in.Read(b[:]); {
		case n > 0:
			return ErrTooLarge.New("more bytes than declared")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readSegments receives a body in pieces and joins them, so that it never occupies much more
// than was sent. The first freeBytes are not charged.
func (r *Received) readSegments(in io.Reader, length, limit int64, deadline time.Time) error {
	first := make([]byte, freeBytes)
	n := 0
	for n < len(first) {
		m, err := in.Read(first[n:])
		n += m
		r.progress(m)
		switch {
		case int64(n) > limit:
			return ErrTooLarge.New("the limit is %d bytes", limit)
		case errors.Is(err, io.EOF) && length >= 0 && int64(n) < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			r.bytes = first[:n]
			return nil
		case err != nil:
			return err
		}
	}
	return r.readCharged(in, first, length, limit, deadline)
}

// readCharged receives the part of a body that is charged.
func (r *Received) readCharged(in io.Reader, first []byte, length, limit int64, deadline time.Time) error {
	var parts []*[segmentBytes]byte
	defer func() {
		for _, p := range parts {
			segments.Put(p)
		}
	}()
	total := 0
	for {
		if total == len(parts)*segmentBytes {
			if err := r.hold(segmentBytes, deadline); err != nil {
				return err
			}
			parts = append(parts, segments.Get().(*[segmentBytes]byte))
		}
		n, err := in.Read(parts[len(parts)-1][total%segmentBytes:])
		total += n
		r.progress(n)
		size := len(first) + total
		switch {
		case int64(size) > limit:
			return ErrTooLarge.New("the limit is %d bytes", limit)
		case errors.Is(err, io.EOF) && length >= 0 && int64(size) < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return r.join(first, parts, size, deadline)
		case err != nil:
			return err
		}
	}
}

func (r *Received) join(first []byte, parts []*[segmentBytes]byte, size int, deadline time.Time) error {
	if size <= freeBytes { // the end arrived after the first bytes
		r.bytes = first
		r.giveBack(int64(len(parts)) * segmentBytes)
		return nil
	}
	if err := r.hold(int64(size), deadline); err != nil {
		return err
	}
	r.bytes = append(make([]byte, 0, size), first...)
	for _, p := range parts {
		r.bytes = append(r.bytes, p[:min(segmentBytes, size-len(r.bytes))]...)
	}
	r.giveBack(int64(len(parts)) * segmentBytes)
	return nil
}

func (r *Received) progress(n int) {
	if r.conn != nil && n > 0 {
		r.conn.received.Add(int64(n))
	}
}

func (r *Received) giveBack(n int64) {
	r.held -= n
	r.account.used.Add(-n)
	if r.conn != nil {
		r.conn.held.Add(-n)
	}
}

// hold charges n more bytes to the account, and waits for them while others release theirs.
func (r *Received) hold(n int64, deadline time.Time) error {
	if !r.account.take(n) {
		if err := r.wait(n, deadline); err != nil {
			return err
		}
	} else if r.account.used.Load() > r.account.size/evictShare {
		r.guard.endStalled(r.account)
	}
	r.held += n
	if r.conn != nil {
		r.conn.held.Add(n)
	}
	return nil
}

func (r *Received) wait(n int64, deadline time.Time) error {
	g, a := r.guard, r.account
	others := int(a.waiting.Add(1)) - 1
	defer a.waiting.Add(-1)
	start := g.cfg.Clock()
	// The rest of the caller's time is for running the request, or for another instance.
	deadline = start.Add(min(maxWait, deadline.Sub(start)/waitShare))
	if r.conn != nil {
		r.conn.waiting.Store(true)
		defer func() {
			// Since the caller could not send, the wait does not count as its own delay.
			r.conn.since.Add(int64(g.cfg.Clock().Sub(start)))
			r.conn.waiting.Store(false)
		}()
	}
	for mayWait(r.held, n, a.size, others) && g.cfg.Clock().Before(deadline) {
		if r.conn != nil && Phase(r.conn.phase.Load()) == PhaseEnded {
			return ErrTooSlow.New("others waited for memory")
		}
		g.endStalled(a)
		time.Sleep(waitInterval * time.Duration(1+others/waitersPerInterval))
		if a.take(n) {
			return nil
		}
		others = int(a.waiting.Load()) - 1
	}
	return ErrFull.New("%d bytes are held", a.used.Load())
}
