package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 2 * time.Second
	// idleTimeout is how long a connection may carry no bytes before the pool closes it.
	// A connection with a running attempt is never idle that long, because an attempt
	// without output is probed every few seconds.
	idleTimeout = time.Minute
)

// ClientConn is a connection that this process opened and over which both sides have
// exchanged hellos.
type ClientConn struct {
	*Conn
	HelloReply wire.HelloReply
	// repliedAt is the local time at which HelloReply arrived; the remote clock showed
	// HelloReply.ClockMillis no later than that.
	repliedAt time.Time
}

// RemoteClockMillis converts a local time to the remote process's monotonic clock, in
// milliseconds. The result is never later than the true value, because the network
// delay of the hello reply is ignored.
func (c *ClientConn) RemoteClockMillis(t time.Time) int64 {
	return c.HelloReply.ClockMillis + t.Sub(c.repliedAt).Milliseconds()
}

// Dialer opens a network connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial is a Dialer that opens a TCP connection within two seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Pool holds at most one open connection per address and closes idle ones.
type Pool struct {
	dial    Dialer
	handler Handler
	hello   func() wire.Hello
	log     *logrus.Entry

	mu      sync.Mutex
	entries map[string]*poolEntry
	// lastSweep is when idle connections were last closed.
	lastSweep time.Time
}

// poolEntry holds the connection to one address. Its lock is a channel, so that a caller
// whose deadline has passed does not wait until another caller has connected.
type poolEntry struct {
	lock chan struct{}
	conn *ClientConn
}

// NewPool returns a pool whose connections send hello first and serve handler.
func NewPool(dial Dialer, handler Handler, hello func() wire.Hello, log *logrus.Entry) *Pool {
	return &Pool{dial: dial, handler: handler, hello: hello, log: log, entries: map[string]*poolEntry{}}
}

// Get returns the open connection to an address, or opens one. Any error is made by Unreachable.
func (p *Pool) Get(ctx context.Context, address string) (*ClientConn, error) {
	e, err := p.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { <-e.lock }()
	if e.conn != nil {
		select {
		case <-e.conn.Done():
			e.conn = nil
		default:
			e.conn.markActive()
			return e.conn, nil
		}
	}
	conn, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	e.conn = conn
	return conn, nil
}

// acquire returns the locked entry of an address. It skips an entry that sweep has
// removed meanwhile, so that an address never has two connections.
func (p *Pool) acquire(ctx context.Context, address string) (*poolEntry, error) {
	for {
		p.mu.Lock()
		p.sweep(time.Now())
		e, ok := p.entries[address]
		if !ok {
			e = &poolEntry{lock: make(chan struct{}, 1)}
			p.entries[address] = e
		}
		p.mu.Unlock()
		select {
		case e.lock <- struct{}{}:
		case <-ctx.Done():
			return nil, Unreachable(address, ctx.Err())
		}
		p.mu.Lock()
		current := p.entries[address] == e
		p.mu.Unlock()
		if current {
			return e, nil
		}
		<-e.lock
	}
}

// sweep closes idle connections and removes the entries of addresses without one. It
// needs no timer: every process sends digests through its pool, so Get calls it often enough.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < idleTimeout/4 {
		return
	}
	p.lastSweep = now
	for address, e := range p.entries {
		select {
		case e.lock <- struct{}{}:
		default:
			continue // in use
		}
		if e.conn == nil || e.conn.idleFor() >= idleTimeout {
			delete(p.entries, address)
			if e.conn != nil {
				go e.conn.Close()
			}
		}
		<-e.lock
	}
}

func (p *Pool) open(ctx context.Context, address string) (*ClientConn, error) {
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, Unreachable(address, err)
	}
	// The connection outlives the request that opened it.
	c := NewConn(context.WithoutCancel(ctx), nc, p.handler, p.log)
	hctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply wire.HelloReply
	if err := c.Call(hctx, wire.MethodHello, p.hello(), &reply); err != nil {
		c.Close()
		return nil, Unreachable(address, err)
	}
	c.SetRemote(wire.Hello{Node: reply.Node, Role: reply.Role, Incarnation: reply.Incarnation})
	return &ClientConn{Conn: c, HelloReply: reply, repliedAt: time.Now()}, nil
}

// Unreachable returns the error for a process that cannot be reached, caused by err.
func Unreachable(address string, err error) error {
	return fault.New(fault.Unavailable, fault.CodePeerUnreachable, fmt.Sprintf("process at %s does not answer", address),
		"check that the process runs and that its address is correct").WithCause(err)
}

// Close closes every connection. It waits for connections that are being opened.
func (p *Pool) Close() {
	p.mu.Lock()
	entries := make([]*poolEntry, 0, len(p.entries))
	for _, e := range p.entries {
		entries = append(entries, e)
	}
	p.mu.Unlock()
	for _, e := range entries {
		e.lock <- struct{}{}
		if e.conn != nil {
			e.conn.Close()
		}
		<-e.lock
	}
}

// Serve accepts connections and serves h on them until the listener closes.
func Serve(ctx context.Context, l net.Listener, h Handler, log *logrus.Entry) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		NewConn(ctx, nc, h, log)
	}
}
