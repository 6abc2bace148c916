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

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request as received from a caller.
type Request struct {
	ID              string
	HasKey          bool   // the caller sent an API key
	Key             string // the API key; empty also if the caller sent one that cannot be valid
	Method          string
	Host            string
	Path            string // without the query
	URI             string // path and query, as sent
	Header          http.Header
	Body            []byte
	Arrived         time.Time
	CallerTimeout   time.Duration // the caller's timeout; 0 if not given
	LastEventID     string        // id of the last event received, if the caller resumes a stream
	Parts           []Part
	HasTokens       bool // PromptTokens and MaxOutputTokens are known
	PromptTokens    int  // length in tokens
	MaxOutputTokens int  // maximum length in tokens
}

// Attempt holds the data that this instance adds to a request sent to a backend server.
type Attempt struct {
	Server       roster.Server
	Organisation string
	TimeLeft     time.Duration // until the deadline
	LastEventID  string
	Priority     int // 0 is the most urgent
	HasPriority  bool
	// FetchFrom is the address of the server from which Server should fetch the cached
	// prompt; empty for none.
	FetchFrom string
}

// Response is a backend server's response.
type Response struct {
	Status int
	Header http.Header // as sent to the caller
	Length int64       // of the body; -1 if unknown
	Body   io.ReadCloser
	// NotRun means that the server states that it did not run the request.
	NotRun bool
	// WrongServer means that a different server now uses the address.
	WrongServer bool
	// RetryAfter is how long the server wants no requests from this instance; 0 if it did not say.
	RetryAfter time.Duration
	// Limit is the rate that the server says it accepts. Its Version is not set.
	Limit roster.Limit
	// ColdFor is how long the server says it is cold; 0 if it did not say.
	ColdFor time.Duration
	// Load is what the server says about its load and speed.
	Load ServerLoad
	// Leaving means that the server accepts no new requests from now on.
	Leaving       bool
	IsEventStream bool // the body is an event stream
}

// ServerLoad is what a backend server says about its load and speed. The zero value says nothing.
type ServerLoad struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes relative to usual; 0 if not given
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send returns once the response header has arrived. An error is a
	// *backnd.CallError.
	Send(ctx context.Context, r *Request, a Attempt) (*Response, error)
}

// blockTokens is the block size of the prefix index. Smaller blocks cost memory;
// larger blocks make the estimate of a server's cached prompt length less exact.
const blockTokens = 256

// chainHashes returns the parts with cumulative hashes: each covers the part and all
// parts before it.
func chainHashes(parts []Part) []coord.Part {
	out := make([]coord.Part, len(parts))
	var h uint64
	for i, p := range parts {
		h = mix(h, xxhash.Sum64String(p.ID))
		out[i] = coord.Part{Hash: h, Tokens: p.Tokens}
	}
	return out
}

// blocks returns the hashes of the blocks of a prompt in order.
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
