package stand

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Text holds the inputs that determine the text of an answer.
type Text struct {
	Model, Version, Adapter, Prompt string
	Seed                            uint64
	// Salt differs between runs of a sampling engine. The first token contains it, so
	// that another engine can continue the answer.
	Salt string
}

var syllables = strings.Fields("ka lo mi ne pu ra se ti vo wa be du fi go hu ja")

func (t Text) hash() uint64 {
	return xxhash.Sum64String(strings.Join([]string{t.Model, t.Version, t.Adapter, strconv.FormatUint(t.Seed, 16), t.Salt, t.Prompt}, "\x00"))
}

// Tokens returns the first n tokens of the answer.
func (t Text) Tokens(n int) []string {
	textHash := t.hash()
	out := make([]string, n)
	for i := range out {
		out[i] = tokenAt(textHash, t.Salt, i)
	}
	return out
}

// Expected returns the text of an answer of n tokens. The salt is taken from first,
// the first token of the answer.
func (t Text) Expected(first string, n int) string {
	t.Salt = saltFromToken(first)
	return strings.Join(t.Tokens(n), "")
}

func tokenAt(textHash uint64, salt string, pos int) string {
	if pos == 0 && salt != "" {
		return "#" + salt + " "
	}
	h := xxhash.Sum64String(strconv.FormatUint(textHash, 16) + ":" + strconv.Itoa(pos))
	return syllables[h&15] + syllables[h>>4&15] + fmt.Sprintf("%02x ", h>>8&255)
}

func saltFromToken(first string) string {
	if s, ok := strings.CutPrefix(first, "#"); ok {
		return strings.TrimSuffix(s, " ")
	}
	return ""
}

func countPromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }
