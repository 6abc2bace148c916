package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"cranberrypath.example/cranberrypath/internal/world"
)

const (
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 256
	maxMaxTokens     = 131_072
	// reviewTokens is the value of max_tokens from which a request is
	// classified as a review.
	reviewTokens = 512
	// maxOptionBytes limits the fields that are passed to the engine unparsed.
	maxOptionBytes = 64 << 10
)

// modelRequest is a parsed completion or chat completion request.
type modelRequest struct {
	Service   string
	Adapter   string
	Prompt    string
	MaxTokens int
	Seed      int64
	Stream    bool
	Chat      bool
	Usage     bool // the stream ends with the token usage
	Class     world.Class
	Options   map[string]json.RawMessage // unparsed fields that are passed to the engine
}

// completionBody holds the fields that this system reads from both kinds of
// request. The names follow the completions API.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N    *int   `json:"n"`
	Seed *int64 `json:"seed"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parsedFields lists the fields that are not passed to the engine as options.
var parsedFields = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens",
	"stream", "stream_options", "n", "seed", "user",
}

// parseModelRequest parses the body of a completion or chat completion request.
func parseModelRequest(body []byte, chat bool, class string) (modelRequest, *failure) {
	var b completionBody
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&b); err != nil {
		return modelRequest{}, badRequest("badJson", "the body is not a JSON object of the expected shape: "+err.Error())
	}
	if dec.More() {
		return modelRequest{}, badRequest("badJson", "there is more after the JSON object")
	}
	r := modelRequest{Chat: chat, Stream: b.Stream, MaxTokens: defaultMaxTokens}
	r.Service, r.Adapter, _ = strings.Cut(b.Model, ":")
	if r.Service == "" {
		return modelRequest{}, badRequest("badField", "model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return modelRequest{}, badRequest("badField", "n must be 1")
	}
	if b.MaxTokens == nil {
		b.MaxTokens = b.MaxCompletionTokens
	}
	if b.MaxTokens != nil {
		r.MaxTokens = *b.MaxTokens
	}
	if r.MaxTokens < 1 || r.MaxTokens > maxMaxTokens {
		return modelRequest{}, badRequest("badField", "max_tokens must be 1 to 131072")
	}
	if b.Seed != nil {
		r.Seed = *b.Seed
	}
	r.Usage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	var f *failure
	if r.Prompt, f = promptOf(b, chat); f != nil {
		return modelRequest{}, f
	}
	if r.Class, f = classOf(class, r.MaxTokens); f != nil {
		return modelRequest{}, f
	}
	r.Options, f = optionsOf(body)
	return r, f
}

func promptOf(b completionBody, chat bool) (string, *failure) {
	if chat {
		return chatPrompt(b.Messages)
	}
	var text string
	if json.Unmarshal(b.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", badRequest("badField", "prompt must be a non-empty string or a list of one")
}

// chatPrompt joins the messages into the prompt text for the engine. The next
// turn of a conversation starts with the same text, so the prefix stays cached.
func chatPrompt(messages []chatMessage) (string, *failure) {
	if len(messages) == 0 {
		return "", badRequest("badField", "messages is missing or empty")
	}
	var s strings.Builder
	for _, m := range messages {
		text, ok := contentText(m.Content)
		if m.Role == "" || !ok {
			return "", badRequest("badField", "each message needs a role and a content of text")
		}
		s.WriteString(m.Role)
		s.WriteString(": ")
		s.WriteString(text)
		s.WriteByte('\n')
	}
	s.WriteString("assistant: ")
	return s.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}

func classOf(name string, maxTokens int) (world.Class, *failure) {
	switch {
	case name == "lookup", name == "" && maxTokens < reviewTokens:
		return world.Lookup, nil
	case name == "review", name == "":
		return world.Review, nil
	}
	return 0, badRequest("badHeader", "X-Class must be lookup or review")
}

func optionsOf(body []byte) (map[string]json.RawMessage, *failure) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, badRequest("badJson", "the body is not a JSON object")
	}
	for _, f := range parsedFields {
		delete(all, f)
	}
	size := 0
	for k, v := range all {
		size += len(k) + len(v)
	}
	if size > maxOptionBytes {
		return nil, badRequest("badField", "further fields exceed 65536 bytes")
	}
	return all, nil
}
