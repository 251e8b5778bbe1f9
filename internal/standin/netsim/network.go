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

// Fault describes the faults of the link from a host to an address.
type Fault struct {
	// Refuse makes new connections fail with ECONNREFUSED.
	Refuse bool
	// Blackhole loses everything sent in either direction, and new connections hang.
	// Connections stay open, but one that lost data delivers nothing more in that direction,
	// also after the fault has ended.
	Blackhole bool
	// Delay is the one-way latency of each write.
	Delay time.Duration
	// DuplicateAfter delivers each write a second time, this much later and after what
	// arrives in between. It requires a protocol that sends each frame in one write.
	DuplicateAfter time.Duration
}

type link struct{ from, to string }

// Network connects hosts by name and address; New returns a usable one.
type Network struct {
	// MaxExtraDelay is the upper bound of the delay that is added to each link and direction.
	// The addition is a fixed function of both, so that data sent at one instant over several
	// links arrives in the same order in each run. Set it before the first connection.
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

// SetFault sets the fault of the link from a host to an address. An empty name stands for all
// hosts or addresses; the most specific fault applies.
func (n *Network) SetFault(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = f
}

// ResetConnections resets the open connections from a host to an address. An empty name stands
// for all hosts or addresses.
func (n *Network) ResetConnections(from, to string) {
	for _, c := range n.matching(from, to) {
		c.abort()
	}
}

// DisconnectDialers breaks the connections from a host to an address for the end that opened
// them. The other end reads what was already sent after late, and the end of the stream
// after twice that.
func (n *Network) DisconnectDialers(from, to string, late time.Duration) {
	for _, c := range n.matching(from, to) {
		if c.dialed {
			c.unregister()
			c.disconnected.Store(true)
			c.read.endRead()
			c.write.delayAndClose(late)
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

// fault returns the most specific fault that is set for a link.
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

// Dialer returns the dial function of a host.
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

// Transport returns a new HTTP transport, with its own idle connections, for a host.
func (n *Network) Transport(from string) *http.Transport {
	dial := n.Dialer(from)
	return &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
}

// Listen returns a listener on an address, or EADDRINUSE if there is one already.
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
	forward, backward := newStream(), newStream()
	fault := func(backward bool) func() Fault {
		extra := n.extraDelay(l, backward)
		return func() Fault {
			f := n.fault(l)
			f.Delay += extra
			return f
		}
	}
	near = &conn{dialed: true, read: backward, write: forward, local: addr(l.from), remote: addr(l.to), fault: fault(false)}
	far = &conn{read: forward, write: backward, local: addr(l.to), remote: addr(l.from), fault: fault(true)}
	for _, c := range []*conn{near, far} {
		c.unregister = func() {
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

// extraDelay returns what is added to the delay of one direction of a link.
func (n *Network) extraDelay(l link, backward bool) time.Duration {
	if n.MaxExtraDelay <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, l.from, " ", l.to, " ", backward)
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
