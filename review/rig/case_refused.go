package main

import (
	"fmt"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

const (
	// refusalTime is how long the store turns the gateways away.
	refusalTime = 9 * time.Second
	// configApply and outerBound are the bounds of a change while the core isn't stable.
	configApply = 2 * time.Second
	outerBound  = 5 * time.Second
)

// refusedCase checks that a change of a route is in force in time while the store turns a third of
// the machines away, the gateways, and serves the others and the operator.
func refusedCase(f *fleet, trouble bool) (bool, error) {
	if err := f.deploy(4, 2, 2, 8); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]answer{}
	for _, g := range f.gateways() {
		for n := range 2 {
			callers.Go(func() {
				c := &client{f: f}
				defer c.drop()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					a := c.do(g, request{method: "GET", path: fmt.Sprintf("/lookup/%s-%d-%d", g.name, n, i), deadline: 3 * time.Second})
					mu.Lock()
					sent[a.id] = a
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, g := range f.gateways() {
			g.listener.SetFault(stub.FaultUnavailable)
			g.listener.Cut()
			f.rec.add("the store turns %s away with 503", g.name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	cfg := baseConfig()
	cfg.Version = 9
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == "lookup" {
			cfg.Routes[i].Service = annexService
		}
	}
	f.store.Configure(cfg)
	acked := time.Now()
	f.rec.add("version 9 acknowledged: the route lookup moves from %s to %s", deskService, annexService)
	time.Sleep(refusalTime - 200*time.Millisecond)
	end := time.Now()
	for _, g := range f.gateways() {
		g.listener.SetFault(stub.NoFault)
	}
	f.rec.add("the store serves all machines")
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()

	stale, total := 0, 0
	bound := configApply + outerBound
	for _, r := range f.allRuns() {
		a, ok := sent[r.id]
		if !ok || a.sentAt.Sub(acked) <= bound || a.sentAt.After(end) {
			continue
		}
		total++
		if r.service == deskService {
			stale++
			f.rec.add("%s: sent %.2f s after the acknowledgement, run by %s", r.id, a.sentAt.Sub(acked).Seconds(), r.instance)
		}
	}
	f.rec.conclude("CONFIG: of %d requests sent later than configApplyMs + outerBoundMs after the acknowledgement, %d were run by the old service, allowed 0", total, stale)
	return stale > 0, nil
}
