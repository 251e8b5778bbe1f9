package guard

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/internal/state/intake"
)

const (
	// headFactor is what a byte of a head counts for: the server holds it as read, as parsed and in
	// what it forwards.
	headFactor = 4
	// headFieldBytes is what a field of a head counts for in addition.
	headFieldBytes = 160
	// writePieceBytes is the length of the pieces whose writing shows progress.
	writePieceBytes = 16 << 10
	// lingerReadBytes and lingerPause bound the rate at which what comes after an answer is
	// discarded, so that it leaves processor time for others.
	lingerReadBytes = 16 << 10
	lingerPause     = time.Millisecond
	// replyTimeout bounds the writing of a refusal, which fits into the send buffer.
	replyTimeout = time.Second
)

// errRefused ends the reading of a request for which there is no memory.
var errRefused = errors.New("the request was refused")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a client's connection.
type conn struct {
	net.Conn
	guard   *Guard
	account *intake.Account

	// phase is an intake.Phase.
	phase atomic.Uint32
	// headLine is the length of the head's current line; only the goroutine that reads uses it.
	headLine int
	// headDone is set once the end of the head has been read.
	headDone bool
	// replied is set once an answer to the current request has begun, and refused if it came
	// before the request's end.
	replied, refused atomic.Bool
	// isShed is set once the connection has to give back what it holds, and stalled before it if its
	// client was too slow.
	isShed, stalled atomic.Bool
	// deadlineMu keeps a later deadline from replacing the one that sheds the connection.
	deadlineMu sync.Mutex
	closed     sync.Once
}

func (c *conn) currentPhase() intake.Phase { return intake.Phase(c.phase.Load()) }

// enter sets the phase, and fails if the connection has been shed.
func (c *conn) enter(p intake.Phase) error {
	if err := c.account.Enter(p); err != nil {
		return err
	}
	c.phase.Store(uint32(p))
	return nil
}

// begin begins a request.
func (c *conn) begin() error {
	if err := c.account.Begin(); err != nil {
		return err
	}
	c.phase.Store(uint32(intake.Head))
	c.headLine, c.headDone = 0, false
	return nil
}

// endRequest makes the connection idle.
func (c *conn) endRequest() {
	c.account.End()
	c.phase.Store(uint32(intake.Idle))
	c.replied.Store(false)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if rerr := c.received(p[:n]); rerr != nil {
			c.guard.refuse(reasonHead)
			c.reply(http.StatusServiceUnavailable, "memory")
			return 0, rerr
		}
	}
	if err != nil && c.isShed.Load() && c.currentPhase() == intake.Head && !c.replied.Load() {
		c.reply(http.StatusRequestTimeout, "head_stalled")
	}
	return n, err
}

// received accounts for what has been read.
func (c *conn) received(p []byte) error {
	switch c.currentPhase() {
	case intake.Fresh, intake.Idle:
		if c.begin() != nil {
			return errRefused
		}
		return c.receivedHead(p)
	case intake.Head:
		return c.receivedHead(p)
	case intake.Body:
		c.account.Progress(len(p))
	case intake.Running, intake.Answering, intake.Lingering:
	}
	return nil
}

// receivedHead counts the part of a head among bytes that have been read.
func (c *conn) receivedHead(p []byte) error {
	c.account.Progress(len(p))
	n, fields := 0, 0
	for ; n < len(p) && !c.headDone; n++ {
		switch p[n] {
		case '\n':
			fields++
			c.headDone = c.headLine == 0
			c.headLine = 0
		case '\r':
		default:
			c.headLine++
		}
	}
	if n == 0 {
		return nil
	}
	if c.account.ReserveHead(int64(headFactor*n+headFieldBytes*fields)) != nil {
		return errRefused
	}
	return nil
}

// reply sends a refusal on a connection whose request has no handler yet.
func (c *conn) reply(status int, outcome string) {
	c.replied.Store(true)
	c.refused.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(replyTimeout))
	// The client may have gone.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nRetry-After: %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), FormatRetryAfter(c.guard.cfg.RetryAfter), len(outcome)+1, outcome)
}

// FormatRetryAfter returns the value of a Retry-After field in seconds.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// Write implements net.Conn. A client that doesn't read holds the answer's memory, so that the time
// in which a write is blocked counts as a transfer.
func (c *conn) Write(p []byte) (int, error) {
	phase := c.currentPhase()
	if phase == intake.Head {
		// The server itself refuses the head.
		c.refused.Store(true)
	}
	c.replied.Store(true)
	if phase == intake.Running {
		_ = c.enter(intake.Answering)
		defer func() { _ = c.enter(intake.Running) }()
	}
	written := 0
	for {
		if t := c.guard.cfg.WriteTimeout; t > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(t)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.account.Progress(n)
	}
}

// SetReadDeadline implements net.Conn; the deadline of a connection that was shed stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.isShed.Load() {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets what becomes of unsent data when the connection is closed.
func (c *conn) SetLinger(seconds int) error {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		return tc.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends what is sent to the client.
func (c *conn) CloseWrite() error {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		return tc.CloseWrite()
	}
	return nil
}

// shed makes the connection give back what it holds.
func (c *conn) shed(p intake.Phase, stalled bool) {
	c.guard.countShed(p)
	c.stalled.Store(stalled)
	c.isShed.Store(true)
	switch p {
	case intake.Head, intake.Body:
		// The goroutine that reads the request refuses it.
		_ = c.SetReadDeadline(past)
	case intake.Answering:
		// What was sent of an answer can't pass for a whole one.
		_ = c.SetLinger(0)
		_ = c.Conn.Close()
	case intake.Fresh, intake.Idle, intake.Lingering, intake.Running:
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn. A client that was refused before the end of its request may send on
// for a while, because a closed connection would reset and its answer be lost.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		if c.refused.Load() && c.CloseWrite() == nil {
			c.linger()
			go c.discard()
			return
		}
		err = c.Conn.Close()
		c.account.Close()
	})
	return err
}

// linger gives back what a refused request took.
func (c *conn) linger() {
	c.account.Linger()
	c.phase.Store(uint32(intake.Lingering))
}

// discard reads until the client closes the connection, and closes it after LingerTime.
func (c *conn) discard() {
	defer c.account.Close()
	defer c.Conn.Close()
	if c.Conn.SetReadDeadline(time.Now().Add(c.guard.cfg.LingerTime)) != nil {
		return
	}
	buf := make([]byte, lingerReadBytes)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			if !errors.Is(err, io.EOF) {
				// Nothing more is read, so that the close may reset the connection.
				c.guard.log.WithError(err).Debug("a refused client did not close its connection")
			}
			return
		}
		time.Sleep(lingerPause)
	}
}
