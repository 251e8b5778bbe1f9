package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// link is the link of a machine to the store: a proxy that passes bytes on at its rate, in each
// direction, over all channels.
type link struct {
	listener net.Listener
	to       string
	// perSecond is the rate in bytes.
	perSecond float64

	mu sync.Mutex
	// free is when the link is free in each direction.
	free  [2]time.Time
	conns map[net.Conn]struct{}
}

func newLink(to string, mbps float64) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open a link: %w", err)
	}
	k := &link{listener: l, to: to, perSecond: mbps * 1e6 / 8, conns: map[net.Conn]struct{}{}}
	go k.run()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}

func (k *link) run() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		k.mu.Lock()
		k.conns[in], k.conns[out] = struct{}{}, struct{}{}
		k.mu.Unlock()
		go k.pass(out, in, 0)
		go k.pass(in, out, 1)
	}
}

// pass passes bytes on in one direction until a channel ends, which ends the other one.
func (k *link) pass(dst, src net.Conn, direction int) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, src)
	}()
	buf := make([]byte, 8<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			k.mu.Lock()
			start := time.Now()
			if k.free[direction].After(start) {
				start = k.free[direction]
			}
			end := start.Add(time.Duration(float64(n) / k.perSecond * float64(time.Second)))
			k.free[direction] = end
			k.mu.Unlock()
			time.Sleep(time.Until(end))
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
