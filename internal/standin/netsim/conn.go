package netsim

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one end of a connection.
type conn struct {
	read, write   *stream
	local, remote net.Addr
	fault         func() Fault
	forget        func()
	// near marks the end that opened the connection.
	near bool
	// broken is set once Break has ended the connection for this end.
	broken atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) { return c.read.get(b) }

func (c *conn) Write(b []byte) (int, error) {
	f := c.fault()
	return c.write.put(b, f)
}

// Close ends both directions; the other side reads what was sent before it.
func (c *conn) Close() error {
	c.forget()
	if c.broken.Load() {
		return nil
	}
	c.read.fail(net.ErrClosed)
	f := c.fault()
	c.write.finish(f.Delay, f.Blackhole)
	return nil
}

// abort breaks both directions at once for both sides.
func (c *conn) abort() {
	c.forget()
	c.read.fail(errReset)
	c.write.fail(errReset)
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	mu   sync.Mutex
	segs []segment
	// lost is set once something was lost; nothing arrives after a gap.
	lost bool
	// finished is set when the writer has closed its end.
	finished bool
	err      error
	deadline time.Time
	last     time.Time
	// changed is closed and replaced whenever a reader has to look again.
	changed chan struct{}
}

// segment is the data of one write; nil data marks the end of the stream.
type segment struct {
	data []byte
	at   time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) put(b []byte, f Fault) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	if s.finished {
		return 0, net.ErrClosed
	}
	if len(b) > 0 {
		s.push(slices.Clone(b), f.Delay, f.Blackhole)
		if f.DuplicateAfter > 0 && !s.lost {
			s.insert(segment{slices.Clone(b), s.last.Add(f.DuplicateAfter)})
		}
	}
	return len(b), nil
}

// push adds a segment; a shorter delay never lets it overtake an earlier one.
func (s *stream) push(data []byte, delay time.Duration, silent bool) {
	s.lost = s.lost || silent
	if s.lost {
		return
	}
	at := time.Now().Add(delay)
	if at.Before(s.last) {
		at = s.last
	}
	s.last = at
	s.insert(segment{data, at})
}

// insert puts a segment behind those that arrive no later.
func (s *stream) insert(seg segment) {
	i := len(s.segs)
	for i > 0 && s.segs[i-1].at.After(seg.at) {
		i--
	}
	s.segs = slices.Insert(s.segs, i, seg)
	s.signal()
}

// end lets the reader read nothing more, while writes still seem to succeed.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.segs = []segment{{nil, time.Now()}}
	s.signal()
}

// hold ends the stream for its writer and delays what is under way.
func (s *stream) hold(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished || s.err != nil {
		return
	}
	s.finished = true
	at := time.Now().Add(late)
	for i := range s.segs {
		if s.segs[i].at.Before(at) {
			s.segs[i].at = at
		}
	}
	s.segs = append(s.segs, segment{nil, at.Add(late)})
	s.signal()
}

func (s *stream) finish(delay time.Duration, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finished && s.err == nil {
		s.finished = true
		s.push(nil, delay, silent)
	}
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.segs = nil
		s.signal()
	}
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.signal()
}

func (s *stream) get(b []byte) (int, error) {
	for {
		n, wait, changed, err := s.poll(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		var ready <-chan time.Time
		if wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			ready = timer.C
		}
		select {
		case <-changed:
		case <-ready:
		}
	}
}

// poll reads what has arrived, or returns how long nothing will and a channel that
// closes when that may have changed. No wait means until then.
func (s *stream) poll(b []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.err != nil {
		return 0, 0, nil, s.err
	}
	if !s.deadline.IsZero() {
		if wait = s.deadline.Sub(now); wait <= 0 {
			return 0, 0, nil, os.ErrDeadlineExceeded
		}
	}
	if len(s.segs) == 0 {
		return 0, wait, s.changed, nil
	}
	first := &s.segs[0]
	if d := first.at.Sub(now); d > 0 {
		if wait == 0 || d < wait {
			wait = d
		}
		return 0, wait, s.changed, nil
	}
	if first.data == nil {
		return 0, 0, nil, io.EOF
	}
	n = copy(b, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.segs = s.segs[1:]
	}
	return n, 0, nil, nil
}
