package stream

import (
	"errors"
	"time"

	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
	"cranberrypath.example/cranberrypath/internal/world"
)

// Names of the calls and streams between entry instances.
const (
	replicaStreamName = "copies"
	attachStreamName  = "attach"
	takeoverCallName  = "takeover"
)

// DefaultAckTimeout is how long readers wait for a replica holder before the
// answer continues without a replica. It is about a hundred round trips between
// data centres of one region.
const DefaultAckTimeout = 250 * time.Millisecond

// Codes of a *BrokenError, by whether the answer was taken over.
const (
	codeBroken          = "broken"
	codeBrokenTakenOver = "brokenTakenOver"
)

// codedErrors are the errors that keep their identity across a connection.
var codedErrors = []struct {
	code string
	err  error
}{
	{"takenOver", ErrTakenOver},
	{"unknown", ErrUnknown},
	{"owned", ErrOwned},
	{"position", ErrPosition},
	{"full", ErrFull},
	{"tooLarge", ErrTooLarge},
	{"mismatch", ErrMismatch},
	{"gap", ErrGap},
	{"ended", ErrEnded},
}

func codeOf(err error) string {
	for _, c := range codedErrors {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return "failed"
}

func errorFromCode(code, message string) error {
	for _, c := range codedErrors {
		if c.code == code {
			return c.err
		}
	}
	return Error.New("%s: %s", code, message)
}

func requestToProto(r Request) *strmpb.Request {
	return &strmpb.Request{Id: r.ID, Org: r.Org, Service: r.Service, Version: r.Version, Class: uint32(r.Class), Body: r.Body}
}

func requestFromProto(m *strmpb.Request) Request {
	return Request{
		ID: m.GetId(), Org: m.GetOrg(), Service: m.GetService(), Version: m.GetVersion(),
		Class: world.Class(min(m.GetClass(), uint32(world.Review))), Body: m.GetBody(),
	}
}

func stringsOf(in [][]byte) []string {
	out := make([]string, len(in))
	for i, b := range in {
		out[i] = string(b)
	}
	return out
}

func bytesOf(in []string) [][]byte {
	out := make([][]byte, len(in))
	for i, s := range in {
		out[i] = []byte(s)
	}
	return out
}
