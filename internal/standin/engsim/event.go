package engsim

import "chervilhead/internal/protocol/wire"

// eventBuilder builds the stream events or the complete answer of one generation.
type eventBuilder struct {
	kind wire.AttemptKind
	id   string
	name string
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type event struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *eventUsage `json:"usage,omitempty"`
}

type eventUsage struct {
	wire.Usage
	Details struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newEventBuilder(kind wire.AttemptKind, g generation) eventBuilder {
	return eventBuilder{kind: kind, id: g.id, name: g.model}
}

func (b eventBuilder) event(stream bool, choices []choice, usage *eventUsage) event {
	object := "text_completion"
	switch {
	case b.kind == wire.KindChat && stream:
		object = "chat.completion.chunk"
	case b.kind == wire.KindChat:
		object = "chat.completion"
	}
	return event{ID: b.id, Object: object, Created: 1, Model: b.name, Choices: choices, Usage: usage}
}

func (b eventBuilder) choice(stream bool, text string, finish *string) choice {
	c := choice{FinishReason: finish}
	switch {
	case b.kind == wire.KindCompletion:
		c.Text = &text
	case stream:
		c.Delta = &delta{Content: text}
	default:
		c.Message = &delta{Role: "assistant", Content: text}
	}
	return c
}

func usageOf(a result) *eventUsage {
	u := &eventUsage{Usage: wire.Usage{PromptTokens: a.promptTokens, CompletionTokens: a.completionTokens, TotalTokens: a.promptTokens + a.completionTokens}}
	u.Details.CachedTokens = a.cachedTokens
	return u
}
