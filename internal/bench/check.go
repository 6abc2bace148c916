package bench

import (
	"strings"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// answerChecker compares an answer with the possible answers of the engines. The engines
// sample; the first token identifies the sampled answer and determines all later tokens.
type answerChecker struct {
	expected  []stand.Text // one for each version that may answer, the old version first
	maxTokens int

	text          strings.Builder
	position      int    // number of tokens in text
	match         string // an expected answer with the prefix text
	mixedVersions bool   // match was begun by the new version and continued by the old one
}

func newAnswerChecker(r request) *answerChecker {
	c := &answerChecker{maxTokens: r.MaxTokens}
	for _, v := range r.versions() {
		c.expected = append(c.expected, stand.Text{Model: r.service(), Version: v, Prompt: r.Prompt, Seed: r.Seed})
	}
	return c
}

// findExpected sets match to an expected answer with the prefix text. The first token
// of a sampling engine does not identify the version. An answer of the new version whose
// server was lost continues on the old version at the same position.
func (c *answerChecker) findExpected(text string) {
	firstToken, _, _ := strings.Cut(text, " ")
	var candidates []string
	for _, w := range c.expected {
		candidates = append(candidates, w.Expected(firstToken+" ", c.maxTokens))
	}
	for i, candidate := range candidates {
		if strings.HasPrefix(candidate, text) {
			c.match, c.mixedVersions = candidate, false
			return
		}
		if i == 0 {
			continue
		}
		if spliced := splice(candidate, candidates[0], text); strings.HasPrefix(spliced, text) {
			c.match, c.mixedVersions = spliced, true
			return
		}
	}
}

// splice returns an answer that has the common prefix of text and beginning, and then
// the remaining tokens of continuation.
func splice(beginning, continuation, text string) string {
	textTokens, beginningTokens, continuationTokens := strings.SplitAfter(text, " "), strings.SplitAfter(beginning, " "), strings.SplitAfter(continuation, " ")
	common := 0
	for common < min(len(textTokens), len(beginningTokens)) && textTokens[common] == beginningTokens[common] {
		common++
	}
	return strings.Join(beginningTokens[:common], "") + strings.Join(continuationTokens[min(common, len(continuationTokens)):], "")
}

// countTokens counts tokens. Each token of the simulators ends with a space and
// contains no other.
func countTokens(text string) int { return strings.Count(text, " ") }

// addEvent checks one streamed event, whose id is the position after its text. It
// returns an error if tokens are missing, duplicated or wrong.
func (c *answerChecker) addEvent(id int, text string) error {
	n := countTokens(text)
	if id != c.position+n || (text != "" && !strings.HasSuffix(text, " ")) {
		return Error.New("event with id %d and %d tokens at position %d", id, n, c.position)
	}
	c.text.WriteString(text)
	c.position += n
	if c.position > 0 && !strings.HasPrefix(c.match, c.text.String()) {
		c.findExpected(c.text.String())
	}
	if !strings.HasPrefix(c.match, c.text.String()) {
		return Error.New("wrong text up to position %d", c.position)
	}
	return nil
}

// finish checks an answer after its last event.
func (c *answerChecker) finish(reason string) error {
	switch {
	case reason != "length":
		return Error.New("finish reason %q at position %d", reason, c.position)
	case c.position != c.maxTokens:
		return Error.New("%d tokens instead of %d", c.position, c.maxTokens)
	case c.text.String() != c.match:
		return Error.New("wrong text")
	}
	return nil
}
