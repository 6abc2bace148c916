package edge

import (
	"bytes"
	"testing"
)

// Guards against a message of another instance that takes all memory when it is decompressed.
func TestDecompressIsBounded(t *testing.T) {
	for _, c := range []struct {
		bytes int
		ok    bool
	}{{0, true}, {MaxConfigBytes, true}, {MaxConfigBytes + 1, false}, {4 * MaxConfigBytes, false}} {
		packed, err := compress(make([]byte, c.bytes))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decompress(packed)
		if ok := err == nil && bytes.Equal(got, make([]byte, c.bytes)); ok != c.ok {
			t.Errorf("%d bytes: %d, %v", c.bytes, len(got), err)
		}
	}
}
