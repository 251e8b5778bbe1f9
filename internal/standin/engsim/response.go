package engsim

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
)

// Resume configures whether and for how long an answer can be resumed.
type Resume struct {
	// Enabled lets a generation continue after its connection breaks.
	Enabled bool `yaml:"enabled"`
	// Grace is how long a generation continues without a reader, and how long a complete
	// answer is retained.
	Grace time.Duration `yaml:"grace"`
	// WindowBytes bounds the buffered events of one answer; 0 means 256 KiB.
	WindowBytes int `yaml:"window_bytes"`
	// MaxRetained bounds the complete answers retained; the oldest are dropped first. 0 means 64.
	MaxRetained int `yaml:"kept"`
}

const (
	defaultWindowBytes = 256 << 10
	defaultMaxRetained = 64
)

// WithDefaults returns the settings with defaults in place of zero bounds.
func (r Resume) WithDefaults() Resume {
	if r.WindowBytes == 0 {
		r.WindowBytes = defaultWindowBytes
	}
	if r.MaxRetained == 0 {
		r.MaxRetained = defaultMaxRetained
	}
	return r
}

// response buffers the answer of one generation for its reader.
type response struct {
	id      string
	builder eventBuilder
	stream  bool
	cfg     Resume
	// ctx ends with the generation or its cancellation.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// events holds the answer's events from number base on.
	events [][]byte
	base   int
	size   int
	// sent is the number of events sent to the current reader, or skipped for it.
	sent int
	// readers counts the connections that have read the answer; the newest is the current reader.
	readers int
	ended   bool
	err     error
	// changed is closed and replaced on each change that a reader or the generation waits for.
	changed chan struct{}
}

func (e *Engine) newResponse(g generation, b eventBuilder, stream bool) *response {
	r := &response{id: g.id, builder: b, stream: stream, cfg: e.cfg.Resume, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// signal wakes all that wait for a change; mu is held.
func (r *response) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// add appends an event. It blocks while the window is full of unsent events, so that a slow
// reader slows down the generation.
func (r *response) add(ev event) {
	data, err := json.Marshal(ev)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for {
		r.mu.Lock()
		for r.size+len(data) > r.cfg.WindowBytes && r.base < r.sent && len(r.events) > 0 {
			r.size -= len(r.events[0])
			r.events = r.events[1:]
			r.base++
		}
		if r.size+len(data) <= r.cfg.WindowBytes || len(r.events) == 0 {
			r.events = append(r.events, data)
			r.size += len(data)
			r.signal()
			r.mu.Unlock()
			return
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *response) token(token string) {
	r.add(r.builder.event(true, []choice{r.builder.choice(true, token, nil)}, nil))
}

// finish adds the events after the last token, or the whole answer.
func (r *response) finish(a result, text string) {
	if !r.stream {
		r.add(r.builder.event(false, []choice{r.builder.choice(false, text, &a.finish)}, usageOf(a)))
		return
	}
	r.add(r.builder.event(true, []choice{r.builder.choice(true, "", &a.finish)}, nil))
	r.add(r.builder.event(true, []choice{}, usageOf(a)))
}

func (r *response) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.signal()
}

// attach makes a connection the answer's reader from an event on; the previous reader ends.
func (r *response) attach(from int) (reader int, ferr *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.base + len(r.events); from < r.base || from > last {
		return 0, engine.OffsetDropped(from, r.base, last)
	}
	r.readers++
	r.sent = from
	r.signal()
	return r.readers, nil
}

// detach ends a reader. If no other reader has attached, the generation is cancelled, after
// the grace if its answer can be resumed.
func (r *response) detach(reader int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers != reader || r.ended {
		return
	}
	if !r.cfg.Enabled || r.id == "" {
		r.cancel()
		return
	}
	time.AfterFunc(r.cfg.Grace, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.readers == reader {
			r.cancel()
		}
	})
}

// next waits for the next event for a reader; whole is set once the complete answer has been
// sent. It returns ok false when the reader has to stop before the end of the answer.
func (r *response) next(ctx context.Context, reader int) (data []byte, whole, ok bool) {
	for {
		r.mu.Lock()
		switch {
		case r.readers != reader:
			r.mu.Unlock()
			return nil, false, false
		case r.sent < r.base+len(r.events):
			data = r.events[r.sent-r.base]
			r.sent++
			r.signal()
			r.mu.Unlock()
			return data, false, true
		case r.ended:
			whole = r.err == nil
			r.mu.Unlock()
			return nil, whole, whole
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, false
		}
	}
}

// retain keeps a complete answer for the grace; beyond MaxRetained it drops the oldest one.
func (e *Engine) retain(r *response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.responses[r.id] != r {
		return
	}
	if r.ctx.Err() != nil {
		delete(e.responses, r.id) // a cancelled answer can't be resumed
		return
	}
	e.retained = append(e.retained, r)
	if len(e.retained) > e.cfg.Resume.MaxRetained {
		e.drop(e.retained[0])
	}
	time.AfterFunc(e.cfg.Resume.Grace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.drop(r)
	})
}

// drop removes a retained answer; mu is held.
func (e *Engine) drop(r *response) {
	if e.responses[r.id] == r {
		delete(e.responses, r.id)
	}
	e.retained = slices.DeleteFunc(e.retained, func(k *response) bool { return k == r })
}

// serveAnswer sends an answer from an event on. Write errors are ignored, because a broken
// connection ends the request's context.
func (e *Engine) serveAnswer(w http.ResponseWriter, req *http.Request, r *response, from int) {
	reader, ferr := r.attach(from)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	defer r.detach(reader)
	contentType := "application/json"
	if r.stream {
		contentType = "text/event-stream"
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		data, whole, ok := r.next(req.Context(), reader)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if whole {
			break
		}
		if r.stream {
			data = openai.AppendEvent(nil, data)
		}
		if n, broken := e.streamFaults.draw(len(data)); broken {
			_, _ = w.Write(data[:n])
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(data)
		_ = rc.Flush()
	}
	if r.stream {
		_, _ = w.Write(openai.AppendEvent(nil, []byte("[DONE]")))
	}
}
