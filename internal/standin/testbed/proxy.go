package testbed

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is a fault that a proxy injects into its connections.
type LinkFault uint8

// The faults of connections.
const (
	// LinkFaultNone forwards everything.
	LinkFaultNone LinkFault = iota
	// LinkFaultDelay delays each chunk that it forwards by linkDelay.
	LinkFaultDelay
	// LinkFaultBlackhole drops everything in both directions.
	LinkFaultBlackhole
	// LinkFaultDropReplies drops what the server side sends.
	LinkFaultDropReplies
	// LinkFaultReset resets open and new connections.
	LinkFaultReset
)

const linkDelay = 120 * time.Millisecond

// FaultProxy is a TCP proxy that injects faults into its connections.
type FaultProxy struct {
	Address string

	to string
	l  net.Listener

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]bool
}

// NewFaultProxy returns a proxy that listens on an address; Run starts forwarding.
func NewFaultProxy(listen string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	return &FaultProxy{Address: l.Addr().String(), l: l, conns: map[net.Conn]bool{}}, nil
}

// Run forwards connections to an address until Close.
func (p *FaultProxy) Run(to string) {
	p.to = to
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// SetFault sets the fault of all connections, open and new.
func (p *FaultProxy) SetFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == LinkFaultReset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// Close stops the proxy and resets its connections.
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

func (p *FaultProxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
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

func (p *FaultProxy) forward(near net.Conn) {
	if p.currentFault() == LinkFaultReset {
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

// copy forwards bytes from src to dst; it drops them under LinkFaultBlackhole and under drop.
func (p *FaultProxy) copy(dst, src net.Conn, drop LinkFault) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		f := p.currentFault()
		if f == LinkFaultDelay {
			time.Sleep(linkDelay)
		}
		// After a gap the receiver could not parse the remaining bytes, so they are dropped too.
		lost = lost || f == LinkFaultBlackhole || f == drop
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
			// A half-close delivers what was written before it.
			if tc, ok := dst.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
	}
}
