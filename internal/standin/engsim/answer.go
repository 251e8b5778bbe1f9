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

// Resume says whether and for how long the engine lets an answer be resumed.
type Resume struct {
	// Enabled lets a generation go on when its connection breaks.
	Enabled bool `yaml:"enabled"`
	// Grace is how long a generation goes on without a reader and how long an ended
	// answer is kept.
	Grace time.Duration `yaml:"grace"`
	// WindowBytes bounds the events kept of one answer; 0 takes the default.
	WindowBytes int `yaml:"window_bytes"`
	// MaxRetained bounds the ended answers kept; the oldest are dropped first. 0 takes the default.
	MaxRetained int `yaml:"kept"`
}

const (
	defaultWindowBytes = 256 << 10
	defaultKept        = 64
)

// WithDefaults returns the settings with the bounds that they leave open.
func (r Resume) WithDefaults() Resume {
	if r.WindowBytes == 0 {
		r.WindowBytes = defaultWindowBytes
	}
	if r.MaxRetained == 0 {
		r.MaxRetained = defaultKept
	}
	return r
}

// record is the answer of one generation and its place in the stream.
type record struct {
	id     string
	shape  shape
	stream bool
	cfg    Resume
	// ctx ends with the generation or its cancellation.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// events is the answer from event base on.
	events [][]byte
	base   int
	size   int
	// sent is the number of events that the present reader was sent.
	sent int
	// readers counts the connections that have read the answer; the newest is the present one.
	readers int
	ended   bool
	err     error
	// changed is closed and replaced whenever a reader or the generation has to look again.
	changed chan struct{}
}

func (e *Engine) newRecord(g generation, s shape, stream bool) *record {
	r := &record{id: g.id, shape: s, stream: stream, cfg: e.cfg.Resume, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// signal wakes everyone who waits for a change; mu is held.
func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// add appends an event. It waits while the window is full of events that were not
// sent, so that a slow reader slows the generation down.
func (r *record) add(ev event) {
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

func (r *record) token(token string) {
	r.add(r.shape.event(true, []choice{r.shape.choice(true, token, nil)}, nil))
}

// finish adds the events after the last token, or the whole answer.
func (r *record) finish(a answer, text string) {
	if !r.stream {
		r.add(r.shape.event(false, []choice{r.shape.choice(false, text, &a.finish)}, usageOf(a)))
		return
	}
	r.add(r.shape.event(true, []choice{r.shape.choice(true, "", &a.finish)}, nil))
	r.add(r.shape.event(true, []choice{}, usageOf(a)))
}

func (r *record) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.signal()
}

// attach makes a connection the answer's reader from an event on; the reader before it ends.
func (r *record) attach(from int) (reader int, ferr *fault.Error) {
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

// detach ends a reader. Without another one the generation is cancelled, after the
// grace if its answer can be resumed.
func (r *record) detach(reader int) {
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

// next returns the next event for a reader, or whole once it has been sent everything.
// It reports false when the reader has to end without the end of the answer.
func (r *record) next(ctx context.Context, reader int) (data []byte, whole, ok bool) {
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

// keep holds an ended answer for the grace, in place of the oldest one when there are too many.
func (e *Engine) keep(r *record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.records[r.id] != r {
		return
	}
	if r.ctx.Err() != nil {
		delete(e.records, r.id) // a cancelled answer is of no use
		return
	}
	e.kept = append(e.kept, r)
	if len(e.kept) > e.cfg.Resume.MaxRetained {
		e.forget(e.kept[0])
	}
	time.AfterFunc(e.cfg.Resume.Grace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.forget(r)
	})
}

// forget drops an ended answer; mu is held.
func (e *Engine) forget(r *record) {
	if e.records[r.id] == r {
		delete(e.records, r.id)
	}
	e.kept = slices.DeleteFunc(e.kept, func(k *record) bool { return k == r })
}

// serveAnswer sends an answer from an event on to its end. Write errors are ignored,
// because a broken connection ends the request's context.
func (e *Engine) serveAnswer(w http.ResponseWriter, req *http.Request, r *record, from int) {
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
		if n, broken := e.breaks.draw(len(data)); broken {
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
