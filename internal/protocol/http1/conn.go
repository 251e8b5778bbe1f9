package http1

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer is the buffer of a connection in bytes; an event is some hundred bytes.
	readBuffer = 4096
	// keepDefault is how long an idle connection is kept to an endpoint that doesn't say.
	keepDefault = 4 * time.Second
	// keepMargin is taken off the time that an endpoint keeps an idle connection, so
	// that a request doesn't cross its close.
	keepMargin = 700 * time.Millisecond
)

// conn is one connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// keep is how long the connection may stay idle.
	keep time.Duration
	// idle is when it became idle.
	idle time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer), keep: keepDefault}
}

// drop closes the connection at once. A reset takes back what a cut link or a frozen host
// still holds up, so that the endpoint doesn't get a request that nobody waits for.
func (c *conn) drop() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		// The close that follows tells of a connection that is gone.
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// fresh reports whether an idle connection can carry a request: it was not idle for too
// long, and the endpoint has neither closed it nor sent bytes that nobody asked for.
func (c *conn) fresh(now time.Time) bool {
	if now.Sub(c.idle) > c.keep || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive takes over how long the endpoint keeps the connection idle.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, v := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(v, ",") {
			name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(strings.TrimSpace(val)); err == nil && s >= 0 {
				c.keep = max(0, time.Duration(s)*time.Second-keepMargin)
			}
		}
	}
}
