package http1

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes is the size of a connection's read buffer; an event is some hundred bytes.
	readBufferBytes = 4096
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the endpoint's idle timeout, so that a request
	// isn't sent while the endpoint closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxHeadBytes bounds the bytes read for the head or the trailer of one response: twice what the
	// platform takes of a caller's head. maxFields bounds the fields, each of which takes more memory
	// than its bytes. An endpoint sends some hundred bytes in ten fields.
	maxHeadBytes = 32 << 10
	maxFields    = 512
	// smallHeadBytes is the length up to which a head fits into what a request counts for, and
	// largeHeadBytes what a longer one takes.
	smallHeadBytes = 4 << 10
	largeHeadBytes = 2*maxHeadBytes + 128*maxFields
	// maxUnrelatedBytes bounds the body of a response to another request that is skipped.
	maxUnrelatedBytes = 256 << 10
)

var errHeadTooLong = errors.New("the response's head or trailer exceeds the size limit")

// conn is one connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// headBytesLeft is what may still be read before the response's head is complete, or
	// unlimited.
	headBytesLeft int
	// reserve, if set, is called once before a head or trailer takes more than smallHeadBytes.
	reserve func(bytes int64) error
	// read is the number of bytes that were read since the connection was taken for a request.
	read int
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// idleSince is when the connection became idle.
	idleSince time.Time
}

// unlimited is the value of headBytesLeft while no head is read.
const unlimited = -1

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, headBytesLeft: unlimited, idleTimeout: defaultIdleTimeout}
	c.br = bufio.NewReaderSize(headLimitReader{c}, readBufferBytes)
	return c
}

// headLimitReader reads from a connection and fails once headBytesLeft is used up.
type headLimitReader struct{ c *conn }

func (r headLimitReader) Read(p []byte) (int, error) {
	if r.c.headBytesLeft == unlimited {
		n, err := r.c.Read(p)
		r.c.read += n
		return n, err
	}
	if r.c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	if r.c.reserve != nil && maxHeadBytes-r.c.headBytesLeft >= smallHeadBytes {
		reserve := r.c.reserve
		r.c.reserve = nil
		if err := reserve(largeHeadBytes); err != nil {
			return 0, err
		}
	}
	n, err := r.c.Read(p[:min(len(p), r.c.headBytesLeft)])
	r.c.headBytesLeft -= n
	r.c.read += n
	return n, err
}

// transport returns the connection that carries the bytes, below TLS.
func (c *conn) transport() net.Conn {
	if over, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return over.NetConn()
	}
	return c.Conn
}

// abort closes the connection with a reset. The reset discards data that a broken link or a
// frozen host still delays, so that the endpoint doesn't get a request that nobody waits for.
func (c *conn) abort() {
	if tc, ok := c.transport().(*net.TCPConn); ok {
		// An error means that the connection is gone; Close handles that too.
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// reusable reports whether an idle connection can carry a request: its idle timeout hasn't
// passed, and the endpoint has neither closed it nor sent unexpected bytes.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.transport().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// applyKeepAlive sets the idle timeout from the response's Keep-Alive fields.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, v := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(v, ",") {
			name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(strings.TrimSpace(val)); err == nil && s >= 0 {
				c.idleTimeout = max(0, time.Duration(s)*time.Second-idleTimeoutMargin)
			}
		}
	}
}
