package engsim

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
)

// generation is one request as the engine runs it.
type generation struct {
	id        string
	model     string
	prompt    string
	maxTokens int
	priority  int
}

// result holds the token counts and the finish reason of a generation.
type result struct {
	promptTokens, completionTokens, cachedTokens int
	finish                                       string
}

// defaultTokens is the length of an answer when the caller sets no limit.
const defaultTokens = 24

// Token returns token i of the answer to a prompt. It depends on the arguments alone, and token 0
// identifies model and prompt, so that a caller can check that an answer is its own.
func Token(model, prompt string, i int) string {
	if i == 0 {
		return fmt.Sprintf("%s/%s", model, ident.Fingerprint("", model, []byte(prompt))[:8])
	}
	return fmt.Sprintf(" w%d", i)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// start admits a generation and runs it in the background.
func (e *Engine) start(g generation, b eventBuilder, stream bool) (*response, error) {
	resp := e.newResponse(g, b, stream)
	r, err := e.admit(g, resp)
	if err != nil {
		resp.cancel()
		return nil, err
	}
	go func() {
		defer resp.cancel()
		err := e.generate(resp, r, g)
		resp.end(err)
		e.retain(resp)
	}()
	return resp, nil
}

// generate runs an admitted request. The error is errDown when the engine crashes and
// that of the response's context when the request is cancelled.
func (e *Engine) generate(resp *response, r *run, g generation) error {
	ctx, incCtx := resp.ctx, r.incarnationCtx
	defer e.endRun(r)
	stop := context.AfterFunc(incCtx, resp.cancel)
	defer stop()
	select {
	case <-r.started:
	case <-ctx.Done():
		return endError(incCtx, ctx)
	}

	idx, cached := e.logStart(g)
	a := result{promptTokens: countTokens(g.prompt), cachedTokens: cached, finish: "stop"}
	if e.cfg.CrashOn != "" && strings.Contains(g.prompt, e.cfg.CrashOn) {
		e.Crash()
		return errDown
	}
	if !sleep(ctx, time.Duration(a.promptTokens-cached)*e.cfg.PrefillPerToken) {
		return endError(incCtx, ctx)
	}
	n := g.maxTokens
	if n > 0 {
		a.finish = "length"
	} else {
		n = defaultTokens
	}
	for i := range n {
		if !sleep(ctx, e.cfg.TokenInterval) {
			return endError(incCtx, ctx)
		}
		if resp.stream {
			resp.token(Token(g.model, g.prompt, i))
		}
		a.completionTokens = i + 1
		e.logProgress(incCtx, idx, a.completionTokens, i+1 == n)
	}
	resp.finish(a, Answer(g.model, g.prompt, n))
	if ctx.Err() != nil {
		return endError(incCtx, ctx)
	}
	return nil
}

func endError(incCtx, ctx context.Context) error {
	if incCtx.Err() != nil {
		return errDown
	}
	return ctx.Err()
}

// admit queues a request for a resident model and starts it if a slot is free.
func (e *Engine) admit(g generation, resp *response) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	if res, ok := e.residents[g.model]; !ok || !res.Usable() {
		return nil, fault.New(fault.NotFound, fault.CodeNotResident, fmt.Sprintf("model %q is not loaded", g.model), "load it first")
	}
	r := &run{id: g.id, priority: g.priority, seq: len(e.executions) + len(e.waiting), started: make(chan struct{}), cancel: resp.cancel, incarnationCtx: e.incarnationCtx}
	e.waiting = append(e.waiting, r)
	e.startWaiting()
	if e.cfg.Resume.Enabled && g.id != "" {
		e.responses[g.id] = resp
	}
	return r, nil
}

// startWaiting gives free slots to waiting requests, highest priority first; mu is held.
func (e *Engine) startWaiting() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
	})
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[r.id] = r
		close(r.started)
	}
	e.recordState()
}

func (e *Engine) endRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.id] == r {
		delete(e.running, r.id)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(q *run) bool { return q == r })
	e.startWaiting()
}

// logStart records the start of a run and returns the number of its cached prompt tokens.
func (e *Engine) logStart(g generation) (idx, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions = append(e.executions, Execution{ID: g.id, Model: g.model, Prompt: g.prompt})
	return len(e.executions) - 1, e.prefixCache.use(g.model, g.prompt)
}

func (e *Engine) logProgress(incCtx context.Context, idx, tokens int, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incCtx.Err() != nil {
		return
	}
	e.executions[idx].Tokens = tokens
	e.executions[idx].Finished = finished
}

// Cancel cancels a running or waiting request.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.running[id]; ok {
		r.cancel()
	}
	for _, r := range e.waiting {
		if r.id == id {
			r.cancel()
		}
	}
}

// countTokens counts words; each word is a token of the stand-in.
func countTokens(s string) int { return len(strings.Fields(s)) }
