package stream

import (
	"context"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/link"
	"cranberrypath.example/cranberrypath/internal/stream/strmpb"
)

// Guards against an answer that a reader on another instance takes for whole although its owner
// broke it off or sent messages that do not continue it.
func TestBrokenAttach(t *testing.T) {
	tokens := func(pos uint64, texts ...string) *strmpb.Chunk {
		return &strmpb.Chunk{Pos: pos, Tokens: bytesOf(texts)}
	}
	end := func(pos uint64, texts ...string) *strmpb.Chunk {
		c := tokens(pos, texts...)
		c.Done, c.Reason = true, "stop"
		return c
	}
	for _, c := range []struct {
		name  string
		sent  []proto.Message
		whole bool
	}{
		{"whole", []proto.Message{tokens(0, "a"), tokens(1, "b"), end(2)}, true},
		{"end with the last token", []proto.Message{tokens(0, "a"), end(1, "b")}, true},
		{"empty message", []proto.Message{&strmpb.Chunk{}, end(0, "a", "b")}, true},
		{"nothing", nil, false},
		{"no end", []proto.Message{tokens(0, "a"), tokens(1, "b")}, false},
		{"end without a reason", []proto.Message{tokens(0, "a", "b"), &strmpb.Chunk{Pos: 2, Done: true}}, false},
		{"gap", []proto.Message{tokens(0, "a"), end(2)}, false},
		{"repeated token", []proto.Message{tokens(0, "a"), tokens(0, "a"), end(1, "b")}, false},
		{"error instead of the end", []proto.Message{tokens(0, "a", "b"), &strmpb.Chunk{Code: codeBroken, Message: "m"}}, false},
		{"unknown error", []proto.Message{tokens(0, "a", "b"), &strmpb.Chunk{Pos: 2, Code: "new", Done: true, Reason: "stop"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, err := link.Listen(link.Config{Node: "a", Listen: "127.0.0.1:0"})
			if err != nil {
				t.Fatal(err)
			}
			defer owner.Close()
			owner.HandleStream(attachStreamName, func(_ context.Context, _ link.Peer, s *link.Stream) error {
				if err := s.Recv(&strmpb.Attach{}); err != nil {
					return err
				}
				for _, m := range c.sent {
					if err := s.Send(m); err != nil {
						return err
					}
				}
				return nil
			})
			reader, err := link.Listen(link.Config{Node: "b", Listen: "127.0.0.1:0"})
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			var got []string
			reason, err := (&Client{Net: reader}).Attach(context.Background(), owner.Addr(), "r", 0, func(cs []Chunk) error {
				for _, c := range cs {
					got = append(got, c.Text)
				}
				return nil
			})
			if c.whole && (err != nil || reason != "stop" || !slices.Equal(got, []string{"a", "b"})) || !c.whole && err == nil {
				t.Errorf("got %q, %q, %v, want a whole answer: %v", got, reason, err, c.whole)
			}
		})
	}
}
