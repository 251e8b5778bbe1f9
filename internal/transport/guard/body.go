package guard

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chervilhead/internal/state/intake"
)

// The errors of ReadBody. A request with one of them has not run.
var (
	ErrTooLarge = errors.New("the body exceeds its size limit")
	ErrTimeout  = errors.New("the body did not end within the request's time limit")
	// ErrStalled means that the client made no progress while others needed the memory.
	ErrStalled = errors.New("the client stopped sending its body")
	// ErrMemory means that the memory for clients is in use.
	ErrMemory = errors.New("the memory for clients is in use")
)

const (
	// segmentBytes is the length of a long body's segments.
	segmentBytes = 64 << 10
	// firstSegmentBytes is that of the first one of a body without a length, most of which are short.
	firstSegmentBytes = 4 << 10
)

// Body is a request's body in segments.
type Body struct {
	segments [][]byte
	length   int64
}

// NewBody returns a body of one segment.
func NewBody(b []byte) Body {
	if len(b) == 0 {
		return Body{}
	}
	return Body{segments: [][]byte{b}, length: int64(len(b))}
}

// Len returns the body's length in bytes.
func (b Body) Len() int64 { return b.length }

// Segments returns the parts of the body in order; they aren't to be changed.
func (b Body) Segments() [][]byte { return b.segments }

// Bytes returns the body in one piece, which is a copy if it has several segments.
func (b Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	out := make([]byte, 0, b.length)
	for _, s := range b.segments {
		out = append(out, s...)
	}
	return out
}

// ReadBody reads a request's body of at most limit bytes until a deadline, which may be zero. Each
// byte counts as copies bytes, which are counted before it is read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, copies int64) (Body, error) {
	if r.ContentLength > limit {
		return Body{}, ErrTooLarge
	}
	c := connOf(r)
	if r.ContentLength == 0 {
		return Body{}, c.run()
	}
	rc := http.NewResponseController(w)
	// A server that sets no deadlines, as those of some tests, reads as long as it takes.
	_ = rc.SetReadDeadline(deadline)
	if err := c.receive(copies * r.ContentLength); err != nil {
		c.refuse(reasonBody)
		return Body{}, err
	}
	body, err := readSegments(r.Body, r.ContentLength, limit, func(n int64) error { return c.reserveBody(copies * n) })
	switch {
	case err == nil:
	case errors.Is(err, ErrMemory):
		c.refuse(reasonBody)
		return Body{}, err
	case errors.Is(err, os.ErrDeadlineExceeded) && c.wasShed():
		return Body{}, c.shedError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Body{}, ErrTimeout
	default:
		return Body{}, err
	}
	// The server reads on to notice that the client leaves; that has no deadline.
	_ = rc.SetReadDeadline(time.Time{})
	return body, c.run()
}

// readSegments reads a body; length is -1 if it is unknown. reserve is called before a segment is
// allocated.
func readSegments(r io.Reader, length, limit int64, reserve func(int64) error) (Body, error) {
	var b Body
	size := int64(firstSegmentBytes)
	if length >= 0 {
		size = segmentBytes
	}
	for {
		if length >= 0 {
			size = min(size, length-b.length)
		}
		if err := reserve(size); err != nil {
			return Body{}, err
		}
		seg := make([]byte, size)
		n, err := fill(r, seg)
		b.segments, b.length = append(b.segments, seg[:n]), b.length+int64(n)
		switch {
		case b.length > limit:
			return Body{}, ErrTooLarge
		case errors.Is(err, io.EOF) || err == nil && b.length == length:
			return b, nil
		case err != nil:
			return Body{}, err
		}
		size = segmentBytes
	}
}

// fill reads until p is full. Unlike io.ReadFull it returns io.EOF only at the end of r, and passes on
// the error of a body that breaks off.
func fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Held returns what all clients of the request's server hold, or false if it has no guard.
func Held(r *http.Request) (intake.State, bool) {
	if c := connOf(r); c != nil {
		return c.guard.State(), true
	}
	return intake.State{}, false
}

// Reserve counts n bytes that a request's answer takes until it ends; it returns ErrMemory if there
// is no room for them.
func Reserve(r *http.Request, n int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	if c.account.ReserveHead(n) != nil {
		c.guard.refuse(reasonAnswer)
		return ErrMemory
	}
	return nil
}

// The methods below do nothing for the nil connection of a server without a guard.

func (c *conn) receive(announced int64) error {
	if c == nil {
		return nil
	}
	if c.enter(intake.Body) != nil || c.account.Announce(announced) != nil {
		return ErrMemory
	}
	return nil
}

func (c *conn) run() error {
	if c == nil {
		return nil
	}
	if c.enter(intake.Running) != nil {
		return c.shedError()
	}
	return nil
}

func (c *conn) reserveBody(n int64) error {
	if c == nil {
		return nil
	}
	if c.account.ReserveBody(n) == nil {
		return nil
	}
	if c.isShed.Load() {
		return c.shedError()
	}
	return ErrMemory
}

// shedError returns why a connection that was shed ends its request.
func (c *conn) shedError() error {
	if c.stalled.Load() {
		return ErrStalled
	}
	return ErrMemory
}

func (c *conn) wasShed() bool { return c != nil && c.isShed.Load() }

func (c *conn) refuse(reason string) {
	if c != nil {
		c.guard.refuse(reason)
	}
}
