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
	// idleTime is how long a link carries nothing before it is closed. A link with an
	// attempt is never idle that long: a silent attempt is probed every few seconds.
	idleTime = time.Minute
)

// ClientConn is an introduced connection to one process.
type ClientConn struct {
	*Conn
	HelloReply wire.HelloReply
	// epoch is the latest local time at which the remote clock showed Reply.ClockMillis.
	epoch time.Time
}

// RemoteClockMillis converts a local time into the remote process's monotonic clock.
// The result is never later than the true value, because the reply's travel time is ignored.
func (l *ClientConn) RemoteClockMillis(t time.Time) int64 {
	return l.HelloReply.ClockMillis + t.Sub(l.epoch).Milliseconds()
}

// Dialer opens a network connection; tests replace it.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Pool holds at most one link per address.
type Pool struct {
	dial    Dialer
	handler Handler
	hello   func() wire.Hello
	log     *logrus.Entry

	mu    sync.Mutex
	links map[string]*slot
	// swept is when idle links were last looked for.
	swept time.Time
}

// slot holds one link. Its lock is a channel, so that a caller whose time is up
// does not wait for another's attempt to connect.
type slot struct {
	lock chan struct{}
	link *ClientConn
}

// NewPool returns a pool whose connections introduce themselves with hello and serve handler.
func NewPool(dial Dialer, handler Handler, hello func() wire.Hello, log *logrus.Entry) *Pool {
	return &Pool{dial: dial, handler: handler, hello: hello, log: log, links: map[string]*slot{}}
}

// Get returns the open link to an address, or opens one.
func (p *Pool) Get(ctx context.Context, address string) (*ClientConn, error) {
	s, err := p.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { <-s.lock }()
	if s.link != nil {
		select {
		case <-s.link.Done():
			s.link = nil
		default:
			s.link.touch()
			return s.link, nil
		}
	}
	link, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	s.link = link
	return link, nil
}

// acquire returns the locked slot of an address. A slot that was removed meanwhile is
// not used, so that an address never has two links.
func (p *Pool) acquire(ctx context.Context, address string) (*slot, error) {
	for {
		p.mu.Lock()
		p.sweep(time.Now())
		s, ok := p.links[address]
		if !ok {
			s = &slot{lock: make(chan struct{}, 1)}
			p.links[address] = s
		}
		p.mu.Unlock()
		select {
		case s.lock <- struct{}{}:
		case <-ctx.Done():
			return nil, Unreachable(address, ctx.Err())
		}
		p.mu.Lock()
		current := p.links[address] == s
		p.mu.Unlock()
		if current {
			return s, nil
		}
		<-s.lock
	}
}

// sweep closes idle links and forgets the slots of addresses without a link. Every
// process sends digests through its pool, so that Get is called often enough.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < idleTime/4 {
		return
	}
	p.swept = now
	for address, s := range p.links {
		select {
		case s.lock <- struct{}{}:
		default:
			continue // in use
		}
		if s.link == nil || s.link.idle() >= idleTime {
			delete(p.links, address)
			if s.link != nil {
				go s.link.Close()
			}
		}
		<-s.lock
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
	return &ClientConn{Conn: c, HelloReply: reply, epoch: time.Now()}, nil
}

// Unreachable returns the error for a process that cannot be reached.
func Unreachable(address string, err error) error {
	return fault.New(fault.Unavailable, fault.CodePeerUnreachable, fmt.Sprintf("process at %s does not answer", address),
		"check that it runs and that its address is right").WithCause(err)
}

// Close closes every link.
func (p *Pool) Close() {
	p.mu.Lock()
	slots := make([]*slot, 0, len(p.links))
	for _, s := range p.links {
		slots = append(slots, s)
	}
	p.mu.Unlock()
	for _, s := range slots {
		s.lock <- struct{}{}
		if s.link != nil {
			s.link.Close()
		}
		<-s.lock
	}
}

// Serve accepts connections until the listener closes.
func Serve(ctx context.Context, l net.Listener, h Handler, log *logrus.Entry) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		NewConn(ctx, nc, h, log)
	}
}
