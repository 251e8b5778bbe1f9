package netsim

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Fault is what is wrong with the link from one host to an address.
type Fault struct {
	// Refuse makes new connections fail at once.
	Refuse bool
	// Blackhole loses everything sent in either direction; connections stay open, and
	// what a connection lost never arrives, also after the fault has ended.
	Blackhole bool
	// Delay is the one-way travel time of each write.
	Delay time.Duration
	// DuplicateAfter delivers each write a second time, this much later and after what was
	// sent meanwhile. It needs a protocol that sends each frame in one write.
	DuplicateAfter time.Duration
}

type link struct{ from, to string }

// Network connects hosts by name and address. The zero value is not usable; see New.
type Network struct {
	// MaxExtraDelay bounds the time that is added to the delay of each link. Every link and
	// direction has its own addition, so that what was sent at one instant over several
	// links arrives in the same order in each run. It is set before the first connection.
	MaxExtraDelay time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	faults    map[link]Fault
	conns     map[*conn]link
}

// New returns a network without hosts or faults.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, faults: map[link]Fault{}, conns: map[*conn]link{}}
}

// SetFault sets the fault of the link from a host to an address. An empty name means every one.
func (n *Network) SetFault(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = f
}

// ResetConnections breaks the open connections from a host to an address. An empty name means every one.
func (n *Network) ResetConnections(from, to string) {
	for _, c := range n.matching(from, to) {
		c.abort()
	}
}

// DisconnectDialers breaks connections for the side that opened them. What that side has sent is
// still under way: the other side reads it late, and only then the end.
func (n *Network) DisconnectDialers(from, to string, late time.Duration) {
	for _, c := range n.matching(from, to) {
		if c.near {
			c.forget()
			c.broken.Store(true)
			c.read.end()
			c.write.hold(late)
		}
	}
}

func (n *Network) matching(from, to string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c, l := range n.conns {
		if (from == "" || from == l.from) && (to == "" || to == l.to) {
			out = append(out, c)
		}
	}
	return out
}

// fault returns the fault of a link, the most specific one that is set.
func (n *Network) fault(l link) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range []link{l, {"", l.to}, {l.from, ""}, {}} {
		if f, ok := n.faults[k]; ok {
			return f
		}
	}
	return Fault{}
}

// Dialer returns the function with which a host opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		l := link{from, address}
		f := n.fault(l)
		if f.Blackhole {
			<-ctx.Done()
			return nil, opError("dial", address, ctx.Err())
		}
		n.mu.Lock()
		lis, ok := n.listeners[address]
		n.mu.Unlock()
		if !ok || f.Refuse {
			return nil, opError("dial", address, syscall.ECONNREFUSED)
		}
		near, far := n.pair(l)
		select {
		case lis.accept <- far:
			return near, nil
		case <-lis.done:
			return nil, opError("dial", address, syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, opError("dial", address, ctx.Err())
		}
	}
}

// Transport returns an HTTP transport for a host; each transport has its own idle connections.
func (n *Network) Transport(from string) *http.Transport {
	dial := n.Dialer(from)
	return &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
}

// Listen opens an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{n: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// pair returns the two ends of a new connection.
func (n *Network) pair(l link) (near, far *conn) {
	there, back := newStream(), newStream()
	fault := func(back bool) func() Fault {
		skew := n.skew(l, back)
		return func() Fault {
			f := n.fault(l)
			f.Delay += skew
			return f
		}
	}
	near = &conn{near: true, read: back, write: there, local: addr(l.from), remote: addr(l.to), fault: fault(false)}
	far = &conn{read: there, write: back, local: addr(l.to), remote: addr(l.from), fault: fault(true)}
	for _, c := range []*conn{near, far} {
		c.forget = func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.conns, c)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = l, l
	return near, far
}

// skew returns the addition to the delay of a link's direction.
func (n *Network) skew(l link, back bool) time.Duration {
	if n.MaxExtraDelay <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, l.from, " ", l.to, " ", back)
	return time.Duration(h.Sum64() % uint64(n.MaxExtraDelay))
}

type listener struct {
	n       *Network
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, opError("accept", l.address, net.ErrClosed)
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

var errReset = errors.New("connection reset")

func opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "mem", Addr: addr(address), Err: fmt.Errorf("%s: %w", address, err)}
}
