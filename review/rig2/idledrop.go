package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

// The bounds of the grown site of the users' pages.
const (
	grownStable = 4 * time.Second
	grownSlack  = 82
)

// dropAfter is the time after which a runner drops an idle channel without notice.
const dropAfter = time.Second

// dropListener accepts channels that the runner drops once they were idle for dropAfter.
type dropListener struct{ net.Listener }

// Accept implements net.Listener.
func (l dropListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &dropConn{Conn: c}, nil
}

// dropConn is a channel that resets what is sent on it after it was dropped.
type dropConn struct {
	net.Conn
	dropped atomic.Bool
}

// idleConns are the idle channels of a runner that drops them.
type idleConns struct {
	mu     sync.Mutex
	ended  bool
	timers map[*dropConn]*time.Timer
}

// Read implements net.Conn.
func (c *dropConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.dropped.Load() {
		if tc, ok := c.Conn.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// observe follows the state of a channel; it is meant for http.Server.ConnState.
func (r *runner) observe(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*dropConn)
	if !ok {
		return
	}
	r.idle.mu.Lock()
	defer r.idle.mu.Unlock()
	if t := r.idle.timers[c]; t != nil {
		t.Stop()
		delete(r.idle.timers, c)
	}
	if state == http.StateIdle && !r.idle.ended {
		if r.idle.timers == nil {
			r.idle.timers = map[*dropConn]*time.Timer{}
		}
		r.idle.timers[c] = time.AfterFunc(dropAfter, func() { c.dropped.Store(true) })
	}
}

// endDrops ends the disruption: no idle channel is dropped from now on, and those that were dropped are
// closed, so that nothing is reset any more.
func (r *runner) endDrops() {
	r.idle.mu.Lock()
	defer r.idle.mu.Unlock()
	r.idle.ended = true
	for c, t := range r.idle.timers {
		t.Stop()
		if c.dropped.Load() {
			_ = c.Close()
		}
	}
	r.idle.timers = nil
}

// idleDrop plays a route that is added while runners drop idle channels without notice.
func idleDrop(f *fleet, trouble bool) (verdict, error) {
	err := f.start(layout{gateways: 2, engines: 5, plain: 1, config: smallConfig(), budgetSlack: grownSlack, hold: holdBusy, behave: func(r *runner) {
		r.dropsIdle = trouble
		r.events, r.gap = 10, 40*time.Millisecond
	}})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(grownStable)
	f.configure(func(c *stub.Config) {
		c.Routes = append(c.Routes, stub.Route{Name: "resume", Host: routeHost, Prefix: "/resume/", Kind: stub.KindStream, TimeoutMS: 5000, ObjectiveMS: 800, GapObjectiveMS: 400, Priority: 1, Service: engines, MaxAttempts: 1})
	})
	time.Sleep(grownStable)
	var mu sync.Mutex
	tally := map[string][2]int{}
	play := func(route string, q request) {
		a := f.send(q)
		mu.Lock()
		defer mu.Unlock()
		t := tally[route]
		t[0]++
		if a.served {
			t[1]++
		}
		tally[route] = t
	}
	first := func(n int) {
		play("first", f.dossier(n, fmt.Sprintf("aa01:300,b%d:40,c%07x:620", n%3, requestNumber.Load())))
	}
	added := func(n int) {
		play("added", request{
			gateway: f.gateways[n%len(f.gateways)], method: "POST", path: fmt.Sprintf("/resume/%d", requestNumber.Load()), body: fmt.Sprintf("summary %d", requestNumber.Load()),
			model: busyModel, prompt: fmt.Sprintf("ff02:300,c%07x:620", requestNumber.Load()), deadline: 5 * time.Second,
		})
	}
	burst := func(n int, do func(n int)) {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { do(i) })
		}
		wg.Wait()
	}
	// Callers of the first route come in bursts, with pauses in which channels are idle.
	for range 3 {
		burst(40, first)
		time.Sleep(1500 * time.Millisecond)
	}
	// Then the first callers of the added route come, one after the other.
	for n := range 16 {
		added(n)
		time.Sleep(50 * time.Millisecond)
	}
	f.rec.notef("at the first requests on the added route, sent and served: %v", tally)
	for _, r := range f.runners {
		r.endDrops()
	}
	f.rec.notef("runners drop no idle channels any more")
	time.Sleep(5 * time.Second)
	mu.Lock()
	tally = map[string][2]int{}
	mu.Unlock()
	f.rec.notef("the steady state begins")
	end := time.Now().Add(15 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { every(300*time.Millisecond, end, first) })
	wg.Go(func() { every(400*time.Millisecond, end, added) })
	wg.Wait()
	return addedRoute(tally)
}

// addedRoute checks how often requests on an added route are served.
func addedRoute(tally map[string][2]int) (verdict, error) {
	a, b := tally["added"], tally["first"]
	if a[0] < 20 || b[0] < 20 || b[1] == 0 {
		return verdict{}, fmt.Errorf("too few requests: %v", tally)
	}
	share, base := float64(a[1])/float64(a[0]), float64(b[1])/float64(b[0])
	return verdict{share < base/4, fmt.Sprintf("CONFIG: in steady state %d of %d requests on the added route were served, %d of %d on the first one", a[1], a[0], b[1], b[0])}, nil
}
