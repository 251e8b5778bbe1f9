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

// Conns follows the connections of a server, whose ConnContext, ConnState and Handler it has to be.
type Conns struct {
	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of a connection and when it began; Conns.mu guards it.
type connState struct {
	state http.ConnState
	since time.Time
	// closed is set once Wait has closed the connection.
	closed bool
}

type connStateKey struct{}

// New returns Conns without connections.
func New() *Conns { return &Conns{conns: map[net.Conn]*connState{}} }

// Context follows a connection from now on; it is meant for http.Server.ConnContext.
func (c *Conns) Context(ctx context.Context, nc net.Conn) context.Context {
	s := &connState{state: http.StateNew, since: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[nc] = s
	return context.WithValue(ctx, connStateKey{}, s)
}

// Observe records a connection's state; it is meant for http.Server.ConnState.
func (c *Conns) Observe(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s := c.conns[nc]; {
	case s == nil:
	case state == http.StateHijacked || state == http.StateClosed:
		delete(c.conns, nc)
	default:
		s.state, s.since = state, time.Now()
	}
}

// Handler returns a handler that drops requests which were read from a connection while Wait closed
// it: nobody would get their answer.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s, ok := r.Context().Value(connStateKey{}).(*connState); ok && !c.begin(s) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// begin keeps a connection from being closed while a request runs; it returns false if it was closed.
func (c *Conns) begin(s *connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed {
		return false
	}
	s.state = http.StateActive
	return true
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
			s.closed = true
			_ = nc.Close()
		}
	}
	return len(c.conns)
}
