package testbed

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is what a proxy does to connections.
type LinkFault uint8

// The harms.
const (
	// LinkFaultNone passes everything on.
	LinkFaultNone LinkFault = iota
	// LinkFaultDelay passes everything on after delayBy.
	LinkFaultDelay
	// LinkFaultBlackhole swallows what comes in both directions.
	LinkFaultBlackhole
	// LinkFaultDropReplies swallows what the far side sends.
	LinkFaultDropReplies
	// LinkFaultReset breaks connections, also those that are open.
	LinkFaultReset
)

const delayBy = 120 * time.Millisecond

// FaultProxy is a way to an address that can be harmed.
type FaultProxy struct {
	Address string

	to string
	l  net.Listener

	mu    sync.Mutex
	harm  LinkFault
	conns map[net.Conn]bool
}

// NewFaultProxy returns a proxy that listens on one address and passes on to another.
func NewFaultProxy(listen string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	return &FaultProxy{Address: l.Addr().String(), l: l, conns: map[net.Conn]bool{}}, nil
}

// Run passes connections on to an address until Close.
func (p *FaultProxy) Run(to string) {
	p.to = to
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

// SetFault sets the harm for all connections.
func (p *FaultProxy) SetFault(h LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	if h == LinkFaultReset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *FaultProxy) Close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func (p *FaultProxy) now() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *FaultProxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *FaultProxy) carry(near net.Conn) {
	if p.now() == LinkFaultReset {
		abort(near)
		return
	}
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	p.track(near, true)
	p.track(far, true)
	defer p.track(near, false)
	defer p.track(far, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, LinkFaultBlackhole); done <- struct{}{} }()
	go func() { p.copy(near, far, LinkFaultDropReplies); done <- struct{}{} }()
	<-done
	<-done
}

// copy passes bytes on; it swallows them under Mute, and under swallow.
func (p *FaultProxy) copy(dst, src net.Conn, swallow LinkFault) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		h := p.now()
		if h == LinkFaultDelay {
			time.Sleep(delayBy)
		}
		// After a gap the rest of the bytes would make no sense.
		lost = lost || h == LinkFaultBlackhole || h == swallow
		if n > 0 && !lost {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				abort(dst)
				return
			}
			if lost {
				return
			}
			// What was written before the close is delivered before it.
			if tc, ok := dst.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
	}
}
