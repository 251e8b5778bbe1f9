package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/intake"
)

const (
	// receiveBufferBytes and sendBufferBytes are the kernel's buffers of a connection. They carry a
	// body of 4 MB in a second over a round trip of 8 ms.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 32 << 10
	// logInterval is the shortest time between two log lines on one kind of refusal.
	logInterval = time.Second
)

// Settings configure a guard.
type Settings struct {
	// Name is the listener's name in metrics and logs.
	Name   string
	Limits intake.Limits
	// LingerTime is how long a client that has its answer may go on sending, and RetryAfter when a
	// refused one may come again.
	LingerTime, RetryAfter time.Duration
	// WriteTimeout bounds the time in which a client takes a piece of an answer; 0 leaves that to
	// the handlers.
	WriteTimeout time.Duration
}

// Guard accounts for the clients of one server.
type Guard struct {
	cfg     Settings
	ledger  *intake.Ledger
	metrics *Metrics
	log     *logrus.Entry

	mu sync.Mutex
	// refused counts the refusals and sheddings since the last log line, by reason.
	refused map[string]int
	logged  map[string]time.Time
}

// New returns a guard; m may be nil.
func New(cfg Settings, m *Metrics, log *logrus.Entry) *Guard {
	g := &Guard{cfg: cfg, ledger: intake.New(cfg.Limits, time.Now), metrics: m, log: log, refused: map[string]int{}, logged: map[string]time.Time{}}
	m.follow(cfg.Name, g.ledger)
	return g
}

// State returns what the clients hold.
func (g *Guard) State() intake.State { return g.ledger.State() }

// LargestBody returns the length in bytes of the longest body that there is ever room for.
func (g *Guard) LargestBody() int64 { return g.cfg.Limits.LargeBytes }

// Listen listens on a TCP address. Connections for which there is no room are closed at once.
func (g *Guard) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: limitBuffers}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address", address, err)
	}
	return &listener{l, g}, nil
}

// limitBuffers bounds the kernel's buffers of a socket, which accepted connections inherit.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system that refuses keeps its own buffers.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, guard: l.guard}
		if c.account, err = l.guard.ledger.Open(c.shed); err == nil {
			return c, nil
		}
		l.guard.refuse(reasonConnection)
		_ = nc.Close()
	}
}

type connKey struct{}

// Context is meant for http.Server.ConnContext.
func (g *Guard) Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Observe is meant for http.Server.ConnState.
func (g *Guard) Observe(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// connOf returns the connection of a request, or nil if its server has no guard.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// The reasons for refusals in metrics and logs.
const (
	reasonConnection = "connection"
	reasonHead       = "head"
	reasonBody       = "body"
	reasonAnswer     = "answer"
)

// refuse counts a refusal.
func (g *Guard) refuse(reason string) {
	g.metrics.countRefusal(g.cfg.Name, reason)
	g.logCount("clients are refused: the memory or the connections for clients are in use", reason)
}

// countShed counts a connection that is shed.
func (g *Guard) countShed(p intake.Phase) {
	g.metrics.countShed(g.cfg.Name, p)
	g.logCount("clients that make no progress are shed", p.String())
}

// logCount logs a message with the number of its occurrences, at most once in logInterval.
func (g *Guard) logCount(message, reason string) {
	key := message + reason
	g.mu.Lock()
	g.refused[key]++
	n, due := g.refused[key], time.Since(g.logged[key]) >= logInterval
	if due {
		g.refused[key], g.logged[key] = 0, time.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	s := g.ledger.State()
	g.log.WithFields(logrus.Fields{
		"listener": g.cfg.Name, "why": reason, "number": n,
		"client_bytes": s.Bytes, "client_large_bytes": s.LargeBytes, "client_connections": s.Connections,
	}).Info(message)
}
