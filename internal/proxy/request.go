package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/roster"
)

// Part is one piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller, as it arrived.
type Request struct {
	ID        string
	Key       string // names the organisation; empty without one
	Method    string
	Host      string
	Path      string // without the query
	Target    string // path and query, as sent
	Header    http.Header
	Body      []byte
	Arrived   time.Time
	Patience  time.Duration // how long the caller waits; 0 if it does not say
	LastEvent string        // of a stream that the caller continues
	Parts     []Part
	HasTokens bool // Prompt and Output are known
	Prompt    int  // tokens
	Output    int  // tokens at most
}

// Attempt is what this instance adds when it sends a request to a backend server.
type Attempt struct {
	Server       roster.Server
	Organisation string
	Left         time.Duration // until the caller stops waiting
	LastEvent    string
	Priority     int // 0 is the most urgent
	HasPriority  bool
	// FetchFrom is the address of the server from which it shall fetch the cache of
	// the prompt; empty for none.
	FetchFrom string
}

// Response is a backend server's response.
type Response struct {
	Status int
	Header http.Header // as the caller gets it
	Length int64       // of the body; -1 if unknown
	Body   io.ReadCloser
	// NotRun means that the server says it has not run the request.
	NotRun bool
	// Other means that another server has the address.
	Other  bool
	Events bool // the body is a series of events
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send returns once the header of the response has arrived. An error is a
	// *backnd.CallError.
	Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
}

// blockTokens is the piece of a prompt that the prefix map tells apart. Smaller
// pieces cost memory; larger ones blur how much of a prompt a server holds.
const blockTokens = 256

// chain returns the parts with hashes that cover all parts before each.
func chain(parts []Part) []coord.Part {
	out := make([]coord.Part, len(parts))
	var h uint64
	for i, p := range parts {
		h = mix(h, xxhash.Sum64String(p.ID))
		out[i] = coord.Part{Hash: h, Tokens: p.Tokens}
	}
	return out
}

// blocks returns the hashes of the pieces of a prompt in order.
func blocks(parts []coord.Part) []uint64 {
	var out []uint64
	for _, p := range parts {
		for n := 0; n < p.Tokens; n += blockTokens {
			out = append(out, mix(p.Hash, uint64(n)))
		}
	}
	return out
}

// mix combines two hashes; the constants are those of splitmix64.
func mix(a, b uint64) uint64 {
	x := a + 0x9E3779B97F4A7C15 + b
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
