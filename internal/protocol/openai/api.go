package openai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/prefix"
)

// Paths of the API.
const (
	PathModels      = "/v1/models"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Headers that extend the API.
const (
	HeaderOutcome        = "Chervilhead-Outcome"
	HeaderIdempotent     = "Chervilhead-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Chervilhead-Priority"
	HeaderTimeout        = "Chervilhead-Timeout"
	HeaderRequestID      = "X-Request-Id"
)

// ErrorDetail is the error object of the API.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// NewErrorBody returns the API's form of an error.
func NewErrorBody(e *fault.Error) ErrorBody {
	msg := e.Message
	if e.Remedy != "" {
		msg += "; " + e.Remedy
	}
	return ErrorBody{Error: ErrorDetail{Message: msg, Type: string(e.Kind), Param: e.Param, Code: e.Code}}
}

// WriteError writes an error response with its outcome and, where a retry can help, Retry-After in seconds.
func WriteError(w http.ResponseWriter, e *fault.Error) {
	outcome := e.Outcome
	if outcome == "" {
		outcome = fault.OutcomeNotRun
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.HTTPStatus())
	_ = json.NewEncoder(w).Encode(NewErrorBody(e))
}

// Model is an element of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// ModelList is the response body of PathModels.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Message is one chat message; Content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ContentText returns the text of a message's content or of a prompt: a string's value, or
// any other JSON value as encoding/json writes it. The result does not change if the body
// is decoded and encoded again in transit.
func ContentText(raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	b, err := json.Marshal(raw)
	if err != nil {
		return raw
	}
	return b
}

// PromptParts returns the messages of a chat as the parts of its prompt.
func PromptParts(messages []Message) []prefix.Part {
	out := make([]prefix.Part, 0, len(messages))
	for _, m := range messages {
		out = append(out, prefix.Part{Role: m.Role, Text: ContentText(m.Content)})
	}
	return out
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Request holds the fields of a request that the system reads; the others pass through unchanged.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       *StreamOptions  `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// TokenLimit returns the number of completion tokens that the caller allows, or def if it sets none.
func (r Request) TokenLimit(def int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return def
}

// ParseRequest decodes and validates a request body.
func ParseRequest(kind wire.AttemptKind, body []byte) (Request, *fault.Error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fault.New(fault.Invalid, "malformed_json", fmt.Sprintf("the body is not a valid request: %v", err), "send a JSON object as the API describes")
	}
	if r.Model == "" {
		return r, fault.New(fault.Invalid, "missing_model", "the request names no model", "set the field model").WithParam("model")
	}
	if kind == wire.KindChat && len(r.Messages) == 0 {
		return r, fault.New(fault.Invalid, "missing_messages", "the request has no messages", "set the field messages").WithParam("messages")
	}
	if kind == wire.KindCompletion && len(r.Prompt) == 0 {
		return r, fault.New(fault.Invalid, "missing_prompt", "the request has no prompt", "set the field prompt").WithParam("prompt")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return r, fault.New(fault.Invalid, "invalid_max_tokens", "the token limit is negative", "use a positive number").WithParam("max_tokens")
	}
	return r, nil
}
