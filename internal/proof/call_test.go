package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
)

// call is one request sent by a caller, with the result that the caller received.
type call struct {
	id        string
	model     string
	maxTokens int
	service   bool
	chat      bool
	stream    bool
	// limited calls belong to the group with a limit on requests in flight.
	limited        bool
	nonIdempotent  bool
	idempotencyKey string
	// cancelAfter is the time after which the caller disconnects; 0 means never.
	cancelAfter time.Duration
	// startTimeout is the time within which the request must start; 0 means the entry's default.
	startTimeout time.Duration

	sentAt time.Time
	done   bool
	// aborted is set if the caller disconnected, or its entry was killed, before the response ended.
	aborted bool
	outcome fault.Outcome
	// retryAfter is set if the response had a Retry-After header.
	retryAfter bool
	status     int
	body       string
}

func (c *call) prompt() string { return c.id + " please" }

// resend returns a new call of the same request.
func (c *call) resend() *call {
	return &call{id: c.id, model: c.model, maxTokens: c.maxTokens, service: c.service, chat: c.chat, stream: c.stream, nonIdempotent: c.nonIdempotent, idempotencyKey: c.idempotencyKey}
}

// complete reports whether the call was not aborted and its outcome is complete.
func (c *call) complete() bool { return c.done && !c.aborted && c.outcome == fault.OutcomeComplete }

func (c *call) request(ctx context.Context) *http.Request {
	path, body := openai.PathCompletions, fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, c.model, c.prompt(), c.maxTokens, c.stream)
	if c.chat {
		path, body = openai.PathChat, fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, c.model, c.prompt(), c.maxTokens, c.stream)
	}
	if c.service {
		path, body = "/services/"+serviceName+"/run", c.prompt()
	}
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	key := callerKey
	if c.limited {
		key = limitedKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if c.startTimeout > 0 {
		req.Header.Set(openai.HeaderTimeout, fmt.Sprint(c.startTimeout.Seconds()))
	}
	if c.nonIdempotent {
		req.Header.Set(openai.HeaderIdempotent, "false")
	}
	if c.idempotencyKey != "" {
		req.Header.Set(openai.HeaderIdempotencyKey, c.idempotencyKey)
	}
	return req
}

// serveCall runs a call through an entry's handler and records the result.
func (f *fleet) serveCall(p *entryProc, c *call) {
	ctx, cancel := context.WithCancel(p.callersCtx)
	defer cancel()
	if c.cancelAfter > 0 {
		defer time.AfterFunc(c.cancelAfter, cancel).Stop()
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // a panic's value is compared as net/http does
				panic(v)
			}
		}()
		p.e.Handler().ServeHTTP(w, c.request(ctx))
	}()
	res := w.Result()
	f.recordResult(c, res, w.Body.String(), ctx.Err() != nil)
}

// recordResult records the response that the caller received.
func (f *fleet) recordResult(c *call, res *http.Response, body string, aborted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.done, c.aborted = true, aborted
	delete(f.limitedInFlight, c.id)
	c.outcome = fault.Outcome(res.Header.Get(openai.HeaderOutcome) + res.Trailer.Get(openai.HeaderOutcome))
	c.status, c.body, c.retryAfter = res.StatusCode, body, res.Header.Get("Retry-After") != ""
	f.resultLog = append(f.resultLog, fmt.Sprintf("%s %s %s %d %d", time.Now().Format("04:05.000"), c.id, c.outcome, c.status, len(c.body)))
}

// launch runs a call through an entry in the background.
func (f *fleet) launch(p *entryProc, c *call) {
	c.sentAt = time.Now()
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	p.calls.Add(1)
	f.wg.Go(func() {
		defer p.calls.Done()
		f.serveCall(p, c)
	})
}

type chunk struct {
	Choices []struct {
		Text           string
		Delta, Message struct{ Content string }
		FinishReason   *string `json:"finish_reason"`
	} `json:"choices"`
}

// parseChunk returns the text of a chunk or whole response and whether it has a finish reason.
func parseChunk(data string) (text string, finished, ok bool) {
	var k chunk
	if json.Unmarshal([]byte(data), &k) != nil {
		return "", false, false
	}
	for _, ch := range k.Choices {
		text += ch.Text + ch.Delta.Content + ch.Message.Content
		finished = finished || ch.FinishReason != nil
	}
	return text, finished, true
}

// text returns the generated text that the caller received and whether it is complete.
func (c *call) text() (text string, complete bool) {
	if !strings.HasPrefix(c.body, "data:") {
		text, complete, _ = parseChunk(c.body)
		return text, complete
	}
	finished := false
	for line := range strings.SplitSeq(c.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = finished
			continue
		}
		piece, end, ok := parseChunk(data)
		if !ok {
			return text, false
		}
		text, finished = text+piece, finished || end
	}
	return text, complete
}
