package stand

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of prompt text that the simulator counts as a token.
const bytesPerToken = 4

// Text is what determines the text of an answer.
type Text struct {
	Model, Version, Adapter, Prompt string
	Seed                            uint64
	// Salt differs between runs of a sampling engine. It is part of the first
	// token, so that an engine which continues an answer learns it from there.
	Salt string
}

var syllables = strings.Fields("ka lo mi ne pu ra se ti vo wa be du fi go hu ja")

func (t Text) base() uint64 {
	return xxhash.Sum64String(strings.Join([]string{t.Model, t.Version, t.Adapter, strconv.FormatUint(t.Seed, 16), t.Salt, t.Prompt}, "\x00"))
}

// Tokens returns the first n tokens of the answer.
func (t Text) Tokens(n int) []string {
	base := t.base()
	out := make([]string, n)
	for i := range out {
		out[i] = tokenAt(base, t.Salt, i)
	}
	return out
}

// Expected returns the answer of n tokens as bytes. first is the first token of
// the answer, from which the salt of a sampling engine is taken.
func (t Text) Expected(first string, n int) string {
	t.Salt = saltOf(first)
	return strings.Join(t.Tokens(n), "")
}

func tokenAt(base uint64, salt string, pos int) string {
	if pos == 0 && salt != "" {
		return "#" + salt + " "
	}
	h := xxhash.Sum64String(strconv.FormatUint(base, 16) + ":" + strconv.Itoa(pos))
	return syllables[h&15] + syllables[h>>4&15] + fmt.Sprintf("%02x ", h>>8&255)
}

func saltOf(first string) string {
	if s, ok := strings.CutPrefix(first, "#"); ok {
		return strings.TrimSuffix(s, " ")
	}
	return ""
}

func promptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }
