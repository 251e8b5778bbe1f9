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
	unregister    func()
	// dialed is set on the end that opened the connection.
	dialed bool
	// disconnected is set once DisconnectDialers has ended the connection for this end.
	disconnected atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) { return c.read.read(b) }

func (c *conn) Write(b []byte) (int, error) {
	f := c.fault()
	return c.write.write(b, f)
}

// Close ends both directions; the other end still reads what was sent before.
func (c *conn) Close() error {
	c.unregister()
	if c.disconnected.Load() {
		return nil
	}
	c.read.fail(net.ErrClosed)
	f := c.fault()
	c.write.closeWrite(f.Delay, f.Blackhole)
	return nil
}

// abort resets both directions at once for both ends.
func (c *conn) abort() {
	c.unregister()
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
	mu       sync.Mutex
	segments []segment
	// lost is set once data was lost; nothing sent later arrives.
	lost bool
	// writeClosed is set when the writer has closed the stream.
	writeClosed bool
	err         error
	deadline    time.Time
	lastArrival time.Time
	// changed is closed and replaced on each change that a reader waits for.
	changed chan struct{}
}

// segment is the data of one write; nil data marks the end of the stream.
type segment struct {
	data    []byte
	arrival time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(b []byte, f Fault) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	if s.writeClosed {
		return 0, net.ErrClosed
	}
	if len(b) > 0 {
		s.push(slices.Clone(b), f.Delay, f.Blackhole)
		if f.DuplicateAfter > 0 && !s.lost {
			s.insert(segment{slices.Clone(b), s.lastArrival.Add(f.DuplicateAfter)})
		}
	}
	return len(b), nil
}

// push adds a segment; it never arrives before an earlier one, also if its delay is shorter.
func (s *stream) push(data []byte, delay time.Duration, blackhole bool) {
	s.lost = s.lost || blackhole
	if s.lost {
		return
	}
	at := time.Now().Add(delay)
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	s.lastArrival = at
	s.insert(segment{data, at})
}

// insert places a segment after those that arrive no later.
func (s *stream) insert(seg segment) {
	i := len(s.segments)
	for i > 0 && s.segments[i-1].arrival.After(seg.arrival) {
		i--
	}
	s.segments = slices.Insert(s.segments, i, seg)
	s.signal()
}

// endRead ends the stream for its reader at once; later writes succeed, but are lost.
func (s *stream) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.segments = []segment{{nil, time.Now()}}
	s.signal()
}

// delayAndClose closes the stream for its writer. Pending data arrives no sooner than after
// delay, the end of the stream after twice that.
func (s *stream) delayAndClose(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeClosed || s.err != nil {
		return
	}
	s.writeClosed = true
	at := time.Now().Add(delay)
	for i := range s.segments {
		if s.segments[i].arrival.Before(at) {
			s.segments[i].arrival = at
		}
	}
	s.segments = append(s.segments, segment{nil, at.Add(delay)})
	s.signal()
}

func (s *stream) closeWrite(delay time.Duration, blackhole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writeClosed && s.err == nil {
		s.writeClosed = true
		s.push(nil, delay, blackhole)
	}
}

func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.segments = nil
		s.signal()
	}
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.signal()
}

func (s *stream) read(b []byte) (int, error) {
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

// poll reads what has arrived. If there is nothing, it returns how long to wait and a channel
// that closes earlier on a change; a wait of 0 means until the channel closes.
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
	if len(s.segments) == 0 {
		return 0, wait, s.changed, nil
	}
	first := &s.segments[0]
	if d := first.arrival.Sub(now); d > 0 {
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
		s.segments = s.segments[1:]
	}
	return n, 0, nil, nil
}
