package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

const (
	// bytesPerToken estimates prompt tokens from a body's length before the engine has counted them.
	bytesPerToken    = 4
	defaultMaxTokens = 256
)

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(w, r, wire.KindChat)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(w, r, wire.KindCompletion)
}

func (e *Entry) serveGenerate(w http.ResponseWriter, r *http.Request, kind wire.AttemptKind) {
	req, api, ferr := e.parseGenerate(w, r, kind)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	w.Header().Set(openai.HeaderRequestID, req.id)
	w, r, settle := e.beginClaim(w, r, req)
	if settle == nil {
		return
	}
	defer settle()
	if api.Stream {
		e.serveStream(w, r, req, api)
		return
	}
	var answer json.RawMessage
	res := e.dispatch(r.Context(), req, func(items []json.RawMessage) error {
		answer = items[len(items)-1]
		return nil
	})
	if res.outcome != fault.OutcomeComplete || answer == nil {
		openai.WriteError(w, errIncomplete(res))
		return
	}
	w.Header().Set(openai.HeaderOutcome, string(fault.OutcomeComplete))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// errIncomplete returns the error of a result without a complete answer.
func errIncomplete(res result) *fault.Error {
	if res.err != nil {
		return res.err
	}
	return fault.New(fault.Upstream, fault.CodeTruncated, "the answer ended before it was complete", "send the request again").WithOutcome(fault.OutcomeFailed)
}

func (e *Entry) parseGenerate(w http.ResponseWriter, r *http.Request, kind wire.AttemptKind) (*request, openai.Request, *fault.Error) {
	c, ferr := e.authenticate(r)
	if ferr != nil {
		return nil, openai.Request{}, ferr
	}
	body, ferr := e.readBody(w, r)
	if ferr != nil {
		return nil, openai.Request{}, ferr
	}
	api, ferr := openai.ParseRequest(kind, body)
	if ferr != nil {
		return nil, api, ferr
	}
	m, ok := c.view.table.Model(api.Model)
	if !ok || !m.Allows(c.group.Name) {
		return nil, api, errNoModel(api.Model)
	}
	req, ferr := e.newRequest(r, c)
	if ferr != nil {
		return nil, api, ferr
	}
	req.kind, req.model, req.stream, req.body = kind, api.Model, api.Stream, body
	req.promptTokens, req.maxTokens = len(body)/bytesPerToken, api.TokenLimit(defaultMaxTokens)
	req.setAffinity(api)
	if api.Stream {
		if req.body, ferr = withUsage(body); ferr != nil {
			return nil, api, ferr
		}
	}
	return req, api, nil
}

// withUsage makes the body ask the engine for a usage event, whose token counts are charged
// to the group's limits.
func withUsage(body []byte) ([]byte, *fault.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.Invalid, "malformed_json", err.Error(), "send a JSON object")
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.New(fault.Invalid, "malformed_json", err.Error(), "send a JSON object")
	}
	return out, nil
}

// serveStream relays an answer as server-sent events. The status code is sent with the
// first item; the outcome is known only at the end and is sent as a trailer.
func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, req *request, api openai.Request) {
	started := false
	rc := http.NewResponseController(w)
	var buf bytes.Buffer
	res := e.dispatch(r.Context(), req, func(items []json.RawMessage) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
			w.Header().Set("Trailer", openai.HeaderOutcome)
		}
		buf.Reset()
		for _, it := range items {
			buf.Write(openai.AppendEvent(buf.AvailableBuffer(), it))
		}
		if _, err := w.Write(buf.Bytes()); err != nil {
			return err
		}
		return rc.Flush()
	})
	if !started {
		openai.WriteError(w, errIncomplete(res))
		return
	}
	if res.outcome == fault.OutcomeComplete {
		endStream(w, req, api, res)
	} else {
		b, _ := json.Marshal(openai.NewErrorBody(errIncomplete(res))) // an error body always encodes
		_, _ = w.Write(openai.AppendEvent(nil, b))
	}
	w.Header().Set(openai.HeaderOutcome, string(res.outcome))
}

// usageEvent is the last event before [DONE] of a stream whose caller asked for usage.
type usageEvent struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   wire.Usage `json:"usage"`
}

func endStream(w http.ResponseWriter, req *request, api openai.Request, res result) {
	if api.StreamOptions != nil && api.StreamOptions.IncludeUsage && res.usage != nil {
		object := "text_completion"
		if req.kind == wire.KindChat {
			object = "chat.completion.chunk"
		}
		b, _ := json.Marshal(usageEvent{ID: req.id, Object: object, Model: req.model, Choices: []struct{}{}, Usage: *res.usage})
		_, _ = w.Write(openai.AppendEvent(nil, b))
	}
	_, _ = w.Write(openai.AppendEvent(nil, []byte("[DONE]")))
}
