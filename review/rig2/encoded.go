package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

// lostOf and lostIn say how many of the answers of a runner that loses answers are lost.
const lostOf, lostIn = 2, 5

// losesAnswer reports whether the answer of the run that has just ended is lost.
func (r *runner) losesAnswer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.losesUntil) {
		return false
	}
	r.runs++
	return r.runs%lostIn < lostOf
}

// loseAnswer resets the channel of a request that has run.
func loseAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

// encodedSlash plays requests whose path holds an encoded slash, while answers of runners are lost.
func encodedSlash(f *fleet, trouble bool) (verdict, error) {
	cfg := smallConfig()
	cfg.Routes = append(cfg.Routes,
		stub.Route{Name: "avis", Host: routeHost, Prefix: "/avis/", Kind: stub.KindOnce, TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: portal, MaxAttempts: 1},
		stub.Route{Name: "avis-lire", Host: routeHost, Prefix: "/avis/lire/", Kind: stub.KindIdempotent, TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: portal, MaxAttempts: 2},
	)
	if err := f.start(layout{gateways: 2, engines: 2, plain: 4, config: cfg, hold: holdBusy, behave: func(r *runner) { r.work = 60 * time.Millisecond }}); err != nil {
		return verdict{}, err
	}
	// Gateways that have just started have a small part of the retry budget.
	time.Sleep(2 * stable)
	if trouble {
		lossy := 0
		for _, r := range f.runners {
			if r.engine == nil && lossy < 2 {
				lossy++
				r.mu.Lock()
				r.losesUntil = time.Now().Add(4 * time.Second)
				r.mu.Unlock()
			}
		}
	}
	var mu sync.Mutex
	once := map[string]bool{}
	every(15*time.Millisecond, time.Now().Add(6*time.Second), func(n int) {
		// The notice's name, "lire/N", is one segment of the path, so that its slash is encoded.
		a := f.send(request{
			gateway: f.gateways[n%len(f.gateways)], method: "POST", path: fmt.Sprintf("/avis/lire%%2F%d", n), body: fmt.Sprintf("publish notice lire/%d", n), deadline: 1500 * time.Millisecond,
		})
		mu.Lock()
		defer mu.Unlock()
		once[a.id] = true
	})
	runs := map[string]int{}
	for _, a := range f.allArrivals() {
		if a.ran && once[a.id] {
			runs[a.id]++
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			f.rec.notef("%s ran %d times", id, n)
		}
	}
	return verdict{twice > 0, fmt.Sprintf("TWICE: %d of %d requests on the route /avis/, which isn't idempotent, ran more than once", twice, len(once))}, nil
}
