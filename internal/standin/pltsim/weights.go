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
	// interval is the minimum time between the starts of two transfers.
	interval time.Duration
	// slots bounds the concurrent transfers.
	slots chan struct{}

	mu        sync.Mutex
	nextStart time.Time
}

// NewWeights returns a weight store that starts at most perSecond transfers a second and runs at
// most maxTransfers concurrently.
func NewWeights(faults *Faults, perSecond float64, maxTransfers int) *Weights {
	return &Weights{
		faults:   faults.ForService(ServiceWeights),
		interval: time.Duration(float64(time.Second) / perSecond),
		slots:    make(chan struct{}, maxTransfers),
	}
}

// Open implements store.Weights; it waits for a free slot and the next start time.
func (w *Weights) Open(ctx context.Context, _ string) (io.ReadCloser, error) {
	if err := w.faults.beforeCall(ctx, "weight"); err != nil {
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
	if w.nextStart.Before(now) {
		w.nextStart = now
	}
	wait := w.nextStart.Sub(now)
	w.nextStart = w.nextStart.Add(w.interval)
	return wait
}

type transfer struct {
	io.Reader
	w    *Weights
	once sync.Once
}

// Close ends the transfer and frees its slot.
func (t *transfer) Close() error {
	t.once.Do(func() { <-t.w.slots })
	return nil
}
