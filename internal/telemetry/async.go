package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// AsyncWriter is a writer that never blocks its caller: while the underlying writer is too
// slow and the buffer is full, lines are dropped and counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped prometheus.Counter
}

// NewAsyncWriter returns a writer that buffers at most n lines for w and counts the dropped
// ones in reg.
func NewAsyncWriter(w io.Writer, n int, reg prometheus.Registerer) *AsyncWriter {
	a := &AsyncWriter{
		w: w, lines: make(chan []byte, n), quit: make(chan struct{}), done: make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilhead_log_lines_dropped_total", Help: "Log lines that were dropped because the output was too slow.",
		}),
	}
	reg.MustRegister(a.dropped)
	go a.run()
	return a
}

// maxBatchBytes is the size from which no further lines are added to one write.
const maxBatchBytes = 32 << 10

func (a *AsyncWriter) run() {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case l := <-a.lines:
			batch = append(batch[:0], l...)
		case <-a.quit:
			batch = batch[:0]
			if len(a.lines) == 0 {
				return
			}
		}
		// Buffered lines go out in one write.
		for len(a.lines) > 0 && len(batch) < maxBatchBytes {
			batch = append(batch, <-a.lines...)
		}
		if _, err := a.w.Write(batch); err != nil {
			a.dropped.Inc()
		}
	}
}

// Write buffers a line or drops it; it returns no error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Inc()
	}
	return len(p), nil
}

// closeTimeout bounds the time that Close waits for buffered lines to be written.
const closeTimeout = 200 * time.Millisecond

// Close waits at most 200 ms until the buffered lines are written.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.quit) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
