package http1

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxIdle bounds the idle connections kept to one endpoint.
const maxIdle = 48

// Pool keeps idle connections by endpoint.
type Pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool that opens connections within a timeout.
func NewPool(timeout time.Duration) *Pool {
	// Without probes of its own a connection to a host without power hangs for good.
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return &Pool{
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		idle: map[string][]*conn{},
	}
}

// take returns an idle connection of an endpoint, or nil. The newest goes first, so
// that surplus ones grow old.
func (p *Pool) take(key string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if c.fresh(now) {
			return c
		}
		_ = c.Close()
	}
}

// HasIdle reports whether a connection is kept for an endpoint; it may turn out to be closed.
func (p *Pool) HasIdle(key string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	return len(list) > 0 && now.Sub(list[len(list)-1].idle) <= list[len(list)-1].keep
}

// put keeps a connection for the next request.
func (p *Pool) put(key string, c *conn, now time.Time) {
	c.idle = now
	p.mu.Lock()
	list := p.idle[key]
	if len(list) < maxIdle && c.keep > 0 {
		p.idle[key] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// EvictIdle closes connections that were idle for too long, and those of endpoints that
// keep does not name.
func (p *Pool) EvictIdle(now time.Time, keep func(key string) bool) {
	p.mu.Lock()
	var old []*conn
	for key, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if keep(key) && now.Sub(c.idle) <= c.keep {
				rest = append(rest, c)
			} else {
				old = append(old, c)
			}
		}
		if len(rest) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = rest
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
