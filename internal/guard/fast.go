package guard

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// overLengthHeader marks a request whose declared length is over the limit.
const overLengthHeader = "X-Over-Length"

// FollowFast makes a server of fasthttp follow when its connections are idle. Its handler must
// call SetBusy or ReadFast.
func FollowFast(s *fasthttp.Server) {
	// A form would be read before the handler is called, in memory and on disk.
	s.DisablePreParseMultipartForm = true
	s.ConnState = func(nc net.Conn, state fasthttp.ConnState) {
		// StateActive begins before the head has been read.
		if c := Of(nc); c != nil && state == fasthttp.StateIdle {
			c.SetIdle()
		}
	}
}

// BoundFast makes a server of fasthttp follow the phases of its connections and leave the
// reading of bodies to ReadFast.
func BoundFast(s *fasthttp.Server) {
	limit := s.MaxRequestBodySize
	s.StreamRequestBody = true // otherwise the whole body is allocated when its length is known
	FollowFast(s)
	s.HeaderReceived = func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		// fasthttp waits for the first 8 KiB of a body before it calls the handler, also of one
		// that is refused for its length.
		h.Del(overLengthHeader) // of the caller
		if h.ContentLength() > limit {
			h.SetContentLength(0)
			h.SetConnectionClose()
			h.Set(overLengthHeader, "1")
		}
		return fasthttp.RequestConfig{}
	}
}

// ReadFast reads the body of a request to a server of BoundFast. The caller must release it
// after the request.
func (g *Guard) ReadFast(ctx *fasthttp.RequestCtx, limit int, deadline time.Time) (*Received, error) {
	return g.readFast(ctx, g.ReadBody, limit, deadline)
}

// ReadFastReserved is ReadFast for servers and operators.
func (g *Guard) ReadFastReserved(ctx *fasthttp.RequestCtx, limit int, deadline time.Time) (*Received, error) {
	return g.readFast(ctx, g.ReadReserved, limit, deadline)
}

type bodyReader func(conn *Conn, in io.Reader, length, limit int64, deadline time.Time) (*Received, error)

func (g *Guard) readFast(ctx *fasthttp.RequestCtx, read bodyReader, limit int, deadline time.Time) (*Received, error) {
	if len(ctx.Request.Header.Peek(overLengthHeader)) > 0 {
		g.Refuse(SizeBound)
		return nil, ErrTooLarge.New("the limit is %d bytes", limit)
	}
	in, conn := ctx.RequestBodyStream(), Of(ctx.Conn())
	if in == nil {
		if conn != nil {
			conn.SetBusy()
		}
		return nil, nil
	}
	_ = ctx.Conn().SetReadDeadline(deadline) // fails only on a closed connection
	body, err := read(conn, in, int64(ctx.Request.Header.ContentLength()), int64(limit), deadline)
	if err != nil {
		return nil, err
	}
	_ = ctx.Conn().SetReadDeadline(time.Time{}) // likewise
	return body, nil
}
