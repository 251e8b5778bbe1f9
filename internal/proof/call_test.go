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

// call is one send of a request by a caller and what the caller was told.
type call struct {
	id      string
	model   string
	tokens  int
	service bool
	chat    bool
	stream  bool
	// capped calls are those of the limited group.
	capped bool
	once   bool
	key    string
	// patience is the time after which the caller goes away; 0 means never.
	patience time.Duration
	// startIn is the time within which the request has to start; 0 leaves it to the entry.
	startIn time.Duration

	began   time.Time
	done    bool
	gone    bool
	outcome fault.Outcome
	// retryAfter is set when the caller was told when to come back.
	retryAfter bool
	status     int
	body       string
}

func (c *call) prompt() string { return c.id + " please" }

// again returns another send of the same request.
func (c *call) again() *call {
	return &call{id: c.id, model: c.model, tokens: c.tokens, service: c.service, chat: c.chat, stream: c.stream, once: c.once, key: c.key}
}

// whole reports whether the caller was there to the end and was told complete.
func (c *call) whole() bool { return c.done && !c.gone && c.outcome == fault.OutcomeComplete }

func (c *call) request(ctx context.Context) *http.Request {
	path, body := openai.PathCompletions, fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, c.model, c.prompt(), c.tokens, c.stream)
	if c.chat {
		path, body = openai.PathChat, fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, c.model, c.prompt(), c.tokens, c.stream)
	}
	if c.service {
		path, body = "/services/"+serviceName+"/run", c.prompt()
	}
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	key := callerKey
	if c.capped {
		key = cappedKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if c.startIn > 0 {
		req.Header.Set(openai.HeaderTimeout, fmt.Sprint(c.startIn.Seconds()))
	}
	if c.once {
		req.Header.Set(openai.HeaderIdempotent, "false")
	}
	if c.key != "" {
		req.Header.Set(openai.HeaderIdempotencyKey, c.key)
	}
	return req
}

// serveCall serves a call at an entry and notes what the caller was told.
func (f *fleet) serveCall(p *entryProc, c *call) {
	ctx, cancel := context.WithCancel(p.life)
	defer cancel()
	if c.patience > 0 {
		defer time.AfterFunc(c.patience, cancel).Stop()
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
	f.end(c, res, w.Body.String(), ctx.Err() != nil)
}

// end notes what the caller was told.
func (f *fleet) end(c *call, res *http.Response, body string, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.done, c.gone = true, gone
	delete(f.capped, c.id)
	c.outcome = fault.Outcome(res.Header.Get(openai.HeaderOutcome) + res.Trailer.Get(openai.HeaderOutcome))
	c.status, c.body, c.retryAfter = res.StatusCode, body, res.Header.Get("Retry-After") != ""
	f.ends = append(f.ends, fmt.Sprintf("%s %s %s %d %d", time.Now().Format("04:05.000"), c.id, c.outcome, c.status, len(c.body)))
}

// launch sends a call in the background.
func (f *fleet) launch(p *entryProc, c *call) {
	c.began = time.Now()
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

// read returns the text of a chunk and whether it finishes an answer.
func read(data string) (text string, finished, ok bool) {
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

// text returns the generated text that a caller read and whether it ended properly.
func (c *call) text() (text string, whole bool) {
	if !strings.HasPrefix(c.body, "data:") {
		text, whole, _ = read(c.body)
		return text, whole
	}
	finished := false
	for line := range strings.SplitSeq(c.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = finished
			continue
		}
		piece, end, ok := read(data)
		if !ok {
			return text, false
		}
		text, finished = text+piece, finished || end
	}
	return text, whole
}
