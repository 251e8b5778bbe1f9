package pltsim

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"
)

// Weights is a rate-limited weight store; it implements store.Weights.
type Weights struct {
	faults *Faults
	// interval is the least time between two starts.
	interval time.Duration
	// slots bounds the transfers at once.
	slots chan struct{}

	mu   sync.Mutex
	next time.Time
}

// NewWeights returns a weight store that starts perSecond transfers a second and runs atOnce at once.
func NewWeights(faults *Faults, perSecond float64, atOnce int) *Weights {
	return &Weights{
		faults:   faults.ForService(ServiceWeights),
		interval: time.Duration(float64(time.Second) / perSecond),
		slots:    make(chan struct{}, atOnce),
	}
}

// Open implements store.Weights; it waits for a place.
func (w *Weights) Open(ctx context.Context, _ string) (io.ReadCloser, error) {
	if err := w.faults.before(ctx, "weight"); err != nil {
		return nil, err
	}
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	timer := time.NewTimer(w.reserve())
	defer timer.Stop()
	select {
	case <-timer.C:
		return &transfer{Reader: bytes.NewReader(nil), w: w}, nil
	case <-ctx.Done():
		<-w.slots
		return nil, ctx.Err()
	}
}

// reserve takes the next start time and returns how long to wait for it.
func (w *Weights) reserve() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.next.Before(now) {
		w.next = now
	}
	wait := w.next.Sub(now)
	w.next = w.next.Add(w.interval)
	return wait
}

type transfer struct {
	io.Reader
	w    *Weights
	once sync.Once
}

// Close ends the transfer and frees its place.
func (t *transfer) Close() error {
	t.once.Do(func() { <-t.w.slots })
	return nil
}
