package bench

import (
	"strings"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// answerCheck compares an answer with what the engines must have produced. The
// engines sample, so the answer's first token says which of the possible answers
// it is; all later tokens then follow from it.
type answerCheck struct {
	want []stand.Text // one for each version that may answer; the old one first
	max  int

	text  strings.Builder
	pos   int    // tokens in text
	whole string // an expected answer that begins with text
	mixed bool   // whole was begun by one version and continued by another
}

func newAnswerCheck(r request) *answerCheck {
	c := &answerCheck{max: r.MaxTokens}
	for _, v := range r.versions() {
		c.want = append(c.want, stand.Text{Model: r.service(), Version: v, Prompt: r.Prompt, Seed: r.Seed})
	}
	return c
}

// find finds an expected answer that begins with the text so far. The first token
// of a sampling engine fits each version. An answer whose server on trial was
// lost goes on with the old version from where it stood.
func (c *answerCheck) find(text string) {
	first, _, _ := strings.Cut(text, " ")
	var all []string
	for _, w := range c.want {
		all = append(all, w.Expected(first+" ", c.max))
	}
	for i, whole := range all {
		if strings.HasPrefix(whole, text) {
			c.whole, c.mixed = whole, false
			return
		}
		if i == 0 {
			continue
		}
		if joined := join(whole, all[0], text); strings.HasPrefix(joined, text) {
			c.whole, c.mixed = joined, true
			return
		}
	}
}

// join returns the answer that follows text as long as it agrees with began, and
// goes on as the answer rest does.
func join(began, rest, text string) string {
	have, b, r := strings.SplitAfter(text, " "), strings.SplitAfter(began, " "), strings.SplitAfter(rest, " ")
	k := 0
	for k < min(len(have), len(b)) && have[k] == b[k] {
		k++
	}
	return strings.Join(b[:k], "") + strings.Join(r[min(k, len(r)):], "")
}

// tokensIn counts tokens. Each token of the simulators ends with its only space.
func tokensIn(text string) int { return strings.Count(text, " ") }

// event takes one streamed event, whose id is the position after its text. It
// reports tokens that are missing, arrive twice or are damaged.
func (c *answerCheck) event(id int, text string) error {
	n := tokensIn(text)
	if id != c.pos+n || (text != "" && !strings.HasSuffix(text, " ")) {
		return Error.New("event with id %d and %d tokens at position %d", id, n, c.pos)
	}
	c.text.WriteString(text)
	c.pos += n
	if c.pos > 0 && !strings.HasPrefix(c.whole, c.text.String()) {
		c.find(c.text.String())
	}
	if !strings.HasPrefix(c.whole, c.text.String()) {
		return Error.New("wrong text up to position %d", c.pos)
	}
	return nil
}

// finish checks an answer that claims to be whole.
func (c *answerCheck) finish(reason string) error {
	switch {
	case reason != "length":
		return Error.New("finish reason %q at position %d", reason, c.pos)
	case c.pos != c.max:
		return Error.New("%d tokens instead of %d", c.pos, c.max)
	case c.text.String() != c.whole:
		return Error.New("wrong text")
	}
	return nil
}
