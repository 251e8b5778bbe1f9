package proxy

import (
	"context"
	"sync"
	"time"

	"chervilhead/internal/state/fleet"
)

const (
	// probeTimeout bounds the wait for an endpoint to accept a connection or refuse it; it is some round
	// trips.
	probeTimeout = 100 * time.Millisecond
	// probeHold is how long an accepted connection has to stay open. One that waits to be accepted, or
	// that a forwarder has accepted, breaks once the process behind it has ended.
	probeHold = 100 * time.Millisecond
)

// endings knows which endpoint incarnations have ended. Requests that break at the same time share one
// probe. It is safe for concurrent use.
type endings struct {
	mu     sync.Mutex
	probes map[string]*probe
}

// probe is an attempt to connect to an endpoint; ended is set before done is closed.
type probe struct {
	dialed, done chan struct{}
	ended        bool
}

func newEndings() *endings { return &endings{probes: map[string]*probe{}} }

// whenEnded calls record with whether an endpoint incarnation has ended, which a connection that broke
// doesn't show: endpoints drop idle connections, and networks reset any. The call is made at once if
// the endpoint refuses connections, otherwise within probeHold.
func (h *Handler) whenEnded(e fleet.Endpoint, record func(ended bool)) {
	for _, s := range h.control.States() {
		if s.ID == e.ID && s.IncarnationID() != e.IncarnationID() {
			record(true)
			return
		}
	}
	p := h.probe(e)
	<-p.dialed
	select {
	case <-p.done:
		record(p.ended)
	default:
		go func() {
			<-p.done
			record(p.ended)
		}()
	}
}

// probe returns the probe of an endpoint incarnation that is in progress or has shown its end, or a new
// one.
func (h *Handler) probe(e fleet.Endpoint) *probe {
	key := poolKey(e)
	h.endings.mu.Lock()
	p, known := h.endings.probes[key]
	if !known {
		p = &probe{dialed: make(chan struct{}), done: make(chan struct{})}
		h.endings.probes[key] = p
	}
	h.endings.mu.Unlock()
	if known {
		return p
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, refused := h.pool.Probe(ctx, e.Address)
	end := func(ended bool) {
		p.ended = ended
		if !ended {
			h.endings.mu.Lock()
			delete(h.endings.probes, key)
			h.endings.mu.Unlock()
		}
		close(p.done)
	}
	if c == nil {
		end(refused)
		close(p.dialed)
		return p
	}
	close(p.dialed)
	go func() { end(c.ClosedWithin(probeHold)) }()
	return p
}

// retain drops what is known of incarnations that keep rejects.
func (x *endings) retain(keep func(key string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for key := range x.probes {
		if !keep(key) {
			delete(x.probes, key)
		}
	}
}
