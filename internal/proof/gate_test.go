package proof

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/pltsim"
)

// callTimeout bounds a call to the platform, as in the client of a real process.
const callTimeout = 2 * time.Second

var errKilled = errors.New("the process was killed")

// gate is a process's access to the platform; it blocks while the process is paused.
type gate struct {
	p *pltsim.Platform

	mu          sync.Mutex
	pausedUntil time.Time
	calls       int
	isKilled    bool
}

// kill makes every further call fail without effect.
func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isKilled = true
}

func (g *gate) killed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isKilled
}

func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if end := time.Now().Add(d); end.After(g.pausedUntil) {
		g.pausedUntil = end
	}
}

// pauseEnd returns the end of the last pause.
func (g *gate) pauseEnd() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pausedUntil
}

func (g *gate) wait() {
	if d := time.Until(g.pauseEnd()); d > 0 {
		time.Sleep(d)
	}
}

// sentBeforePause reports whether a call during a pause counts as sent just before it, so
// that its reply is read after the pause and may be stale; it is true for every second call.
func (g *gate) sentBeforePause() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	return g.calls%2 == 0
}

// callThrough makes a call that returns only while the process is not paused.
func callThrough[T any](ctx context.Context, g *gate, call func(context.Context) (T, error)) (T, error) {
	if !g.sentBeforePause() {
		g.wait()
	}
	defer g.wait()
	if g.killed() {
		var none T
		return none, errKilled
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func (g *gate) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	return callThrough(ctx, g, func(ctx context.Context) (store.Snapshot, error) { return g.p.Table.Read(ctx, prefix) })
}

func (g *gate) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return callThrough(ctx, g, func(ctx context.Context) (uint64, error) { return g.p.Table.Commit(ctx, txn) })
}

func (g *gate) List(ctx context.Context) ([]store.Host, error) {
	return callThrough(ctx, g, g.p.Hosts.List)
}

func (g *gate) Get(ctx context.Context, key string) (store.Row, error) {
	return callThrough(ctx, g, func(ctx context.Context) (store.Row, error) { return g.p.Table.Get(ctx, key) })
}

// objects is a process's access to the object store.
type objects struct{ g *gate }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := callThrough(ctx, o.g, func(ctx context.Context) (struct{}, error) { return struct{}{}, o.g.p.Objects.Put(ctx, name, data) })
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return callThrough(ctx, o.g, func(ctx context.Context) ([]byte, error) { return o.g.p.Objects.Get(ctx, name) })
}
