package watch

import (
	"context"
	"sync"
	"time"
)

// confirmInterval is the shortest pause between two reads of the endpoints for which somebody waits,
// so that many who wait share one.
const confirmInterval = 50 * time.Millisecond

// readGate lets callers wait for a read of the endpoints that begins after their call.
type readGate struct {
	mu sync.Mutex
	// begun counts the reads that have begun, and applied is the number of the last one whose answer
	// is in the view.
	begun, applied uint64
	// beganAt is when the last read began.
	beganAt time.Time
	// changed is closed, and replaced, each time that applied rises.
	changed chan struct{}
	// wanted is signalled when somebody waits for a read.
	wanted chan struct{}
}

func newReadGate() *readGate {
	return &readGate{changed: make(chan struct{}), wanted: make(chan struct{}, 1)}
}

// awaitTurn waits for the end of the pause after the last read's begin.
func (g *readGate) awaitTurn(ctx context.Context) {
	g.mu.Lock()
	left := confirmInterval - time.Since(g.beganAt)
	g.mu.Unlock()
	if left > 0 {
		sleep(ctx, left)
	}
}

// begin returns the number of a read that begins.
func (g *readGate) begin() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.wanted:
	default:
	}
	g.begun, g.beganAt = g.begun+1, time.Now()
	return g.begun
}

// apply records that a read's answer is in the view.
func (g *readGate) apply(n uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied = n
	close(g.changed)
	g.changed = make(chan struct{})
}

// next returns the number of the next read that begins, and asks for it.
func (g *readGate) next() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case g.wanted <- struct{}{}:
	default:
	}
	return g.begun + 1
}

func (g *readGate) state() (applied uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied, g.changed
}

// ConfirmEndpoints waits until the view holds what the store lists after the call began, or returns
// the context's error. Neither the age of the view nor another process's observation tells that much:
// they may date from before an endpoint which others use already.
func (w *Watcher) ConfirmEndpoints(ctx context.Context) error {
	for n := w.reads.next(); ; {
		applied, changed := w.reads.state()
		if applied >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
