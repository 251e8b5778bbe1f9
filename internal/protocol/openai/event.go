package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"chervilhead/internal/protocol/wire"
)

// Event holds what the system reads of a stream event or of a response that is not streamed.
type Event struct {
	Choices      int
	FinishReason string
	Usage        *wire.Usage
}

type eventChoice struct {
	FinishReason *string `json:"finish_reason"`
}

type eventUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Fragments of an event that carries a token and no finish reason or usage.
var (
	choicesStart     = []byte(`"choices":[{`)
	finishReasonKey  = []byte(`"finish_reason"`)
	nullFinishReason = []byte(`"finish_reason":null`)
	usageKey         = []byte(`"usage"`)
	nullUsage        = []byte(`"usage":null`)
)

// ParseEvent reads a stream event or a response that is not streamed.
func ParseEvent(data []byte) (Event, error) {
	if isTokenEvent(data) {
		return Event{Choices: 1}, nil
	}
	return decodeEvent(data)
}

// isTokenEvent reports whether an event is valid JSON and carries a token of one choice but
// no finish reason or usage. Nearly all events do; decoding them took a quarter of an
// agent's time for a stream. Quotes inside JSON strings are escaped, so generated text
// cannot match one of the keys.
func isTokenEvent(data []byte) bool {
	return bytes.Contains(data, choicesStart) &&
		bytes.Count(data, finishReasonKey) == 1 && bytes.Contains(data, nullFinishReason) &&
		bytes.Count(data, usageKey) == bytes.Count(data, nullUsage) && json.Valid(data)
}

func decodeEvent(data []byte) (Event, error) {
	var v struct {
		Choices []eventChoice `json:"choices"`
		Usage   *eventUsage   `json:"usage"`
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return Event{}, fmt.Errorf("malformed event: %w", err)
	}
	ev := Event{Choices: len(v.Choices)}
	for _, c := range v.Choices {
		if c.FinishReason != nil {
			ev.FinishReason = *c.FinishReason
		}
	}
	if v.Usage != nil {
		// Groups are charged by these counts; a negative count from an engine must not become a credit.
		prompt := max(v.Usage.PromptTokens, 0)
		ev.Usage = &wire.Usage{
			PromptTokens: prompt, CompletionTokens: max(v.Usage.CompletionTokens, 0),
			TotalTokens: max(v.Usage.TotalTokens, 0), CachedTokens: min(max(v.Usage.Details.CachedTokens, 0), prompt),
		}
	}
	return ev, nil
}
