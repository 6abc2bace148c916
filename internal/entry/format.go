package entry

// usage holds token counts in the format of the completions API.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a complete answer or one chunk of a streamed answer in the
// format of the completions API.
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

// responseFormat builds the responses to one request.
type responseFormat struct {
	id      string
	model   string
	chat    bool
	created int64
}

// chunk returns one event of a streamed answer; reason is set on the last
// event.
func (f responseFormat) chunk(text, reason string, first bool) completion {
	c := choice{}
	object := "text_completion"
	if f.chat {
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
	return completion{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}}
}

// complete returns a complete answer.
func (f responseFormat) complete(text, reason string, u usage) completion {
	c := choice{FinishReason: &reason}
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
		c.Message = &chatContent{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}, Usage: &u}
}
