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

// answer is what a generation ended with.
type answer struct {
	prompt, completion, cached int
	finish                     string
}

// defaultTokens is the length of an answer when the caller sets no limit.
const defaultTokens = 24

// Token returns token i of the answer to a prompt; it is a function of model and
// prompt alone, so that a caller can check that an answer is its own.
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

// open admits a generation and starts it.
func (e *Engine) open(g generation, s shape, stream bool) (*record, error) {
	rec := e.newRecord(g, s, stream)
	r, err := e.admit(g, rec)
	if err != nil {
		rec.cancel()
		return nil, err
	}
	go func() {
		defer rec.cancel()
		err := e.generate(rec, r, g)
		rec.end(err)
		e.keep(rec)
	}()
	return rec, nil
}

// generate runs an admitted request. The error is errDown when the engine crashes and
// that of the record's context when the request is cancelled.
func (e *Engine) generate(rec *record, r *run, g generation) error {
	ctx, life := rec.ctx, r.life
	defer e.leave(r)
	stop := context.AfterFunc(life, rec.cancel)
	defer stop()
	select {
	case <-r.start:
	case <-ctx.Done():
		return ended(life, ctx)
	}

	idx, cached := e.begin(g)
	a := answer{prompt: countTokens(g.prompt), cached: cached, finish: "stop"}
	if e.cfg.CrashOn != "" && strings.Contains(g.prompt, e.cfg.CrashOn) {
		e.Crash()
		return errDown
	}
	if !sleep(ctx, time.Duration(a.prompt-cached)*e.cfg.PrefillPerToken) {
		return ended(life, ctx)
	}
	n := g.maxTokens
	if n > 0 {
		a.finish = "length"
	} else {
		n = defaultTokens
	}
	for i := range n {
		if !sleep(ctx, e.cfg.TokenInterval) {
			return ended(life, ctx)
		}
		if rec.stream {
			rec.token(Token(g.model, g.prompt, i))
		}
		a.completion = i + 1
		e.progress(life, idx, a.completion, i+1 == n)
	}
	rec.finish(a, Answer(g.model, g.prompt, n))
	if ctx.Err() != nil {
		return ended(life, ctx)
	}
	return nil
}

func ended(life, ctx context.Context) error {
	if life.Err() != nil {
		return errDown
	}
	return ctx.Err()
}

// admit checks residency and takes a place or queues for one.
func (e *Engine) admit(g generation, rec *record) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	if res, ok := e.residents[g.model]; !ok || !res.Usable() {
		return nil, fault.New(fault.NotFound, fault.CodeNotResident, fmt.Sprintf("model %q is not loaded", g.model), "load it first")
	}
	r := &run{id: g.id, priority: g.priority, seq: len(e.log) + len(e.waiting), start: make(chan struct{}), cancel: rec.cancel, life: e.life}
	e.waiting = append(e.waiting, r)
	e.fill()
	if e.cfg.Resume.Enabled && g.id != "" {
		e.records[g.id] = rec
	}
	return r, nil
}

// fill moves waiting requests into free slots, highest priority first; mu is held.
func (e *Engine) fill() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
	})
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[r.id] = r
		close(r.start)
	}
	e.note()
}

func (e *Engine) leave(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.id] == r {
		delete(e.running, r.id)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(q *run) bool { return q == r })
	e.fill()
}

// begin logs the start of a run and looks its prefix up.
func (e *Engine) begin(g generation) (idx, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, Execution{ID: g.id, Model: g.model, Prompt: g.prompt})
	return len(e.log) - 1, e.prefixes.use(g.model, g.prompt)
}

func (e *Engine) progress(life context.Context, idx, tokens int, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	e.log[idx].Tokens = tokens
	e.log[idx].Finished = finished
}

// Cancel ends a running or waiting request.
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

// countTokens counts words; the stand-in's tokenizer splits at spaces.
func countTokens(s string) int { return len(strings.Fields(s)) }
