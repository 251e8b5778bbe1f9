package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// pollInterval is the pause between two looks at the connections.
const pollInterval = 20 * time.Millisecond

// Conns follows the connections of a server.
type Conns struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and when it began.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns Conns without connections.
func New() *Conns { return &Conns{conns: map[net.Conn]connState{}} }

// Observe records a connection's state; it is meant for http.Server.ConnState.
func (c *Conns) Observe(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.conns[nc] = connState{s, time.Now()}
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, nc)
	}
}

// Wait closes each connection that has had no request for quiet, and returns once none is left or
// the context's error. A caller whose response didn't say that its connection closes may be sending
// its next request just after it.
func (c *Conns) Wait(ctx context.Context, quiet time.Duration) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for c.closeQuiet(quiet) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// closeQuiet closes the connections that have had no request for quiet and returns the number of
// all that are open.
func (c *Conns) closeQuiet(quiet time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, s := range c.conns {
		if s.state != http.StateActive && time.Since(s.since) >= quiet {
			// The server removes it once its read has failed.
			_ = nc.Close()
		}
	}
	return len(c.conns)
}
