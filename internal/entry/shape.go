package entry

// usage counts tokens in the shape of model clients.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a whole answer or one chunk of a streamed one, in the shape of
// model clients.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// shape builds responses to one request.
type shape struct {
	id      string
	model   string
	chat    bool
	created int64
}

// chunk returns one event of a streamed answer; reason is set on the last.
func (s shape) chunk(text, reason string, first bool) completion {
	c := choice{}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
		c.Delta = &chatContent{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	if reason != "" {
		c.FinishReason = &reason
	}
	return completion{ID: s.id, Object: object, Created: s.created, Model: s.model, Choices: []choice{c}}
}

// whole returns a complete answer.
func (s shape) whole(text, reason string, u usage) completion {
	c := choice{FinishReason: &reason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		c.Message = &chatContent{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: s.id, Object: object, Created: s.created, Model: s.model, Choices: []choice{c}, Usage: &u}
}
