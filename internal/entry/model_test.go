package entry

import (
	"encoding/json"
	"testing"

	"cranberrypath.example/cranberrypath/internal/poison"
)

// Guards against a parser that accepts request bodies with values that later
// steps cannot handle, or refuses a body without a reason.
func FuzzParseModelRequest(f *testing.F) {
	for _, s := range []string{
		`{"model": "drafts:a", "prompt": "x", "max_tokens": 3, "seed": -1, "stop": ["a"]}`,
		`{"model": "drafts", "messages": [{"role": "user", "content": [{"type": "text", "text": "x"}]}], "stream_options": {"include_usage": true}}`,
		`{"model": "drafts", "prompt": ["x"], "n": 1}`, `null`, `[]`, `{}}`, "{\"model\": \"\xff\"}",
	} {
		f.Add([]byte(s), true, "")
		f.Add([]byte(s), false, "review")
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool, class string) {
		m, fail := parseModelRequest(body, chat, class)
		if fail != nil {
			if fail.status < 400 || fail.status > 499 || fail.outcome != outcomeNotRun || !json.Valid(fail.body()) {
				t.Fatalf("refused with %+v", fail)
			}
			return
		}
		if m.Service == "" || m.Prompt == "" || m.MaxTokens < 1 || m.MaxTokens > maxMaxTokens || !json.Valid(body) {
			t.Fatalf("accepted %q as %+v", body, m)
		}
		if _, err := json.Marshal(m.Options); err != nil {
			t.Fatalf("options of %q: %v", body, err)
		}
		_ = poison.NewFingerprint(m.Service, "v1", body)
	})
}
