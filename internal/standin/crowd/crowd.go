package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Settings configure a crowd.
type Settings struct {
	Address string
	// Size is the number of clients, each with one connection at a time.
	Size int
	// Head returns the request line and fields of a client's next request.
	Head func() string
	Form Form
	// Reconnect makes a client connect again once its connection has ended.
	Reconnect bool
}

// Result counts what the clients of a crowd got.
type Result struct {
	// Statuses counts the answers by status.
	Statuses map[int]int
	// Unanswered counts the connections that ended without an answer.
	Unanswered int
}

// Crowd is a number of clients that stay until it is closed.
type Crowd struct {
	cfg    Settings
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// sent is done once each client has sent what its form sends, or could not.
	sent sync.WaitGroup

	mu     sync.Mutex
	result Result
}

const (
	connectTimeout = 3 * time.Second
	// reconnectDelay is the pause before a client connects again.
	reconnectDelay = 100 * time.Millisecond
	// unreadBufferBytes is the receive buffer of a client that doesn't read.
	unreadBufferBytes = 4 << 10
)

// Start starts the clients of a crowd.
func Start(ctx context.Context, cfg Settings) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{cfg: cfg, cancel: cancel, result: Result{Statuses: map[int]int{}}}
	for range cfg.Size {
		c.sent.Add(1)
		c.wg.Go(func() { c.run(ctx, sync.OnceFunc(c.sent.Done)) })
	}
	return c
}

// WaitSent waits until each client has sent what its form sends, or could not.
func (c *Crowd) WaitSent() { c.sent.Wait() }

// Close ends all connections and returns what the clients got.
func (c *Crowd) Close() Result {
	c.cancel()
	c.wg.Wait()
	return c.result
}

func (c *Crowd) run(ctx context.Context, sent func()) {
	defer sent()
	for ctx.Err() == nil {
		c.attempt(ctx, sent)
		sent()
		if !c.cfg.Reconnect {
			<-ctx.Done()
			return
		}
		sleep(ctx, reconnectDelay)
	}
}

// attempt keeps one connection until the peer ends it, and counts its answer.
func (c *Crowd) attempt(ctx context.Context, sent func()) {
	_, unread := c.cfg.Form.(Unread)
	conn, err := dial(ctx, c.cfg.Address, unread)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	// The answer may come while the client still sends.
	answered := make(chan int, 1)
	if !unread {
		go func() { answered <- readAnswer(conn) }()
	}
	_ = send(conn, c.cfg.Head(), c.cfg.Form) // a write that fails shows in the answer
	sent()
	if unread {
		<-ctx.Done()
		return
	}
	status := <-answered
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == 0 {
		c.result.Unanswered++
		return
	}
	c.result.Statuses[status]++
}

// dial opens a connection, with a small receive buffer if its peer's answers aren't read.
func dial(ctx context.Context, address string, unread bool) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	if unread {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBufferBytes)
			})
		}
	}
	return d.DialContext(ctx, "tcp", address)
}

// readAnswer reads one answer and returns its status, or 0 if there is none.
func readAnswer(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Ask sends one request, whose body is given as a form, on a connection of its own and returns the
// status of the answer, which is read after the request has been sent.
func Ask(ctx context.Context, address, head string, f Form) (int, error) {
	conn, err := dial(ctx, address, false)
	if err != nil {
		return 0, fmt.Errorf("connect to %s: %w", address, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	sendErr := send(conn, head, f)
	if status := readAnswer(conn); status != 0 {
		return status, nil
	}
	return 0, errors.Join(fmt.Errorf("no answer from %s", address), sendErr)
}

// Ordinary is a request without a body, as a caller that behaves sends it.
var Ordinary Form = Unread{}

// AskUntil repeats an ordinary request until its answer has a status or ctx is done.
func AskUntil(ctx context.Context, address string, head func() string, status int) error {
	for {
		actx, cancel := context.WithTimeout(ctx, askTimeout)
		got, err := Ask(actx, address, head(), Ordinary)
		cancel()
		if got == status {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(fmt.Errorf("no answer with status %d from %s; the last one had status %d", status, address, got), err)
		}
		sleep(ctx, askDelay)
	}
}

const (
	// askTimeout bounds one attempt of an ordinary request.
	askTimeout = 5 * time.Second
	askDelay   = 50 * time.Millisecond
)

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
