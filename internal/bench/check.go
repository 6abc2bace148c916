package bench

import (
	"strings"

	"cranberrypath.example/cranberrypath/internal/stand"
)

// answerCheck compares an answer with what the engines must have produced. The
// engines sample, so the answer's first token says which of the possible answers
// it is; all later tokens then follow from it.
type answerCheck struct {
	want stand.Text
	max  int

	text  strings.Builder
	pos   int    // tokens in text
	whole string // the expected answer, known with its first token
}

func newAnswerCheck(r request) *answerCheck {
	return &answerCheck{want: stand.Text{Model: service, Version: version, Prompt: r.Prompt, Seed: r.Seed}, max: r.MaxTokens}
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
	if c.pos > 0 && c.whole == "" {
		first, _, _ := strings.Cut(c.text.String(), " ")
		c.whole = c.want.Expected(first+" ", c.max)
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
