package store

import (
	"context"
	"sync"
	"time"
)

// Arrival tells whether the answer of a call in progress is arriving. The zero value is of a call
// that has no answer yet.
type Arrival struct {
	mu sync.Mutex
	// at is when bytes of the answer last arrived.
	at time.Time
	// whole is set once the answer has been read and only has to be decoded.
	whole bool
}

// Note records that bytes of the answer have arrived.
func (a *Arrival) Note() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = time.Now()
}

// NoteWhole records that the answer has been read to its end.
func (a *Arrival) NoteWhole() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at, a.whole = time.Now(), true
}

// Reset forgets the answer, because its call has ended.
func (a *Arrival) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at, a.whole = time.Time{}, false
}

// Continues reports whether bytes have arrived within a time, or the answer is whole.
func (a *Arrival) Continues(within time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole || !a.at.IsZero() && time.Since(a.at) < within
}

type arrivalKey struct{}

// WithArrival returns a context whose calls record in a how their answers arrive.
func WithArrival(ctx context.Context, a *Arrival) context.Context {
	return context.WithValue(ctx, arrivalKey{}, a)
}

// ArrivalOf returns the record of the calls of a context; it is one of its own if none was set.
func ArrivalOf(ctx context.Context) *Arrival {
	if a, ok := ctx.Value(arrivalKey{}).(*Arrival); ok {
		return a
	}
	return &Arrival{}
}
