package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	began time.Time
	// summary is the line that the case ends with.
	summary string

	mu sync.Mutex
	w  *bufio.Writer
}

func newRecord(w io.Writer) *record { return &record{began: time.Now(), w: bufio.NewWriter(w)} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// conclude adds the line that the case ends with.
func (r *record) conclude(format string, args ...any) {
	r.summary = fmt.Sprintf(format, args...)
	r.add("%s", r.summary)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
}
