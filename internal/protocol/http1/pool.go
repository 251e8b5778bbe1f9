package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxIdleConns bounds the idle connections to one endpoint.
const maxIdleConns = 48

// Pool keeps idle connections by endpoint incarnation.
type Pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)

	// maxIdle bounds the idle connections to all endpoints; 0 sets no bound. perHost bounds those to
	// one.
	maxIdle, perHost int
	// idleTimeout is how long a connection stays idle if the endpoint states no time; 0 takes the
	// default.
	idleTimeout time.Duration

	mu        sync.Mutex
	idle      map[string][]*conn
	idleCount int
}

// NewPool returns a pool that opens connections; timeout bounds the opening of each.
func NewPool(timeout time.Duration) *Pool {
	// Without keep-alive probes a connection to a host that lost power would hang forever.
	d := &net.Dialer{Timeout: timeout, Control: limitBuffers, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return &Pool{
		dial:    func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		perHost: maxIdleConns, idle: map[string][]*conn{},
	}
}

// WithMaxIdle returns a pool without connections that keeps at most n idle ones in all.
func (p *Pool) WithMaxIdle(n int) *Pool {
	return &Pool{dial: p.dial, maxIdle: n, perHost: p.perHost, idle: map[string][]*conn{}}
}

// socketBufferBytes bounds each of the kernel's buffers of a connection. What an endpoint sends ahead
// of a client that reads slowly waits there and counts toward the gateway's memory.
const socketBufferBytes = 64 << 10

func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system that refuses keeps its own buffers.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
	})
}

// dialWithin opens a connection within a time, or within the pool's own timeout if it is 0.
func (p *Pool) dialWithin(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return p.dial(ctx, addr)
}

// Probe is a connection that is opened to see whether it lasts.
type Probe struct{ conn net.Conn }

// Probe opens a connection to an address. Without one it reports whether the address refuses
// connections, as it does once its process has ended.
func (p *Pool) Probe(ctx context.Context, addr string) (c *Probe, refused bool) {
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return &Probe{conn}, false
}

// ClosedWithin reports whether the peer closes the connection within a time, and closes it.
func (c *Probe) ClosedWithin(d time.Duration) bool {
	defer c.conn.Close()
	if err := c.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := c.conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// get returns a reusable idle connection, or nil. The most recently used goes first, so that
// surplus connections reach their idle timeout.
func (p *Pool) get(key string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.idleCount--
		p.mu.Unlock()
		if c.reusable(now) {
			return c
		}
		_ = c.Close()
	}
}

// HasIdle reports whether the pool has an idle connection for key; the endpoint may have
// closed it.
func (p *Pool) HasIdle(key string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	return len(list) > 0 && now.Sub(list[len(list)-1].idleSince) <= list[len(list)-1].idleTimeout
}

// put keeps a connection for the next request, or closes it if the pool is full or the
// endpoint keeps no idle connections.
func (p *Pool) put(key string, c *conn, now time.Time) {
	c.idleSince, c.reserve = now, nil
	p.mu.Lock()
	list := p.idle[key]
	var expired []*conn
	for len(list) > 0 && now.Sub(list[0].idleSince) > list[0].idleTimeout {
		// The least recently used come first; nobody takes them any more.
		expired, list = append(expired, list[0]), list[1:]
		p.idleCount--
	}
	if p.idle[key] = list; len(list) == 0 {
		delete(p.idle, key)
	}
	if len(list) < p.perHost && c.idleTimeout > 0 && (p.maxIdle == 0 || p.idleCount < p.maxIdle) {
		p.idle[key] = append(list, c)
		p.idleCount++
		c = nil
	}
	p.mu.Unlock()
	for _, e := range expired {
		_ = e.Close()
	}
	if c != nil {
		_ = c.Close()
	}
}

// EvictIdle closes the connections whose idle timeout has passed, and those whose key keep
// rejects.
func (p *Pool) EvictIdle(now time.Time, keep func(key string) bool) {
	p.mu.Lock()
	var evicted []*conn
	for key, list := range p.idle {
		var remaining []*conn
		for _, c := range list {
			if keep(key) && now.Sub(c.idleSince) <= c.idleTimeout {
				remaining = append(remaining, c)
			} else {
				evicted = append(evicted, c)
				p.idleCount--
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range evicted {
		_ = c.Close()
	}
}
