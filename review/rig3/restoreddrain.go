package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

const drainTime = 3 * time.Second

// leave makes the runner say that it drains, in its registration and in all its answers.
func (r *runner) leave() {
	r.mu.Lock()
	r.state = stub.StateDraining
	r.mu.Unlock()
	r.register()
	r.w.note("runner", "%s drains; the store has acknowledged that", r.address)
}

// restoredDrain plays DRAIN: the store comes back from a copy that is older than a runner's word that it
// drains, which the gateways had read.
func restoredDrain(w *world) (broken bool, err error) {
	const (
		gateways, plain = 16, 4
		perSecond       = 200
		away            = 500 * time.Millisecond
		copyAge         = 6 * time.Second
	)
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "portail", HealthPath: "/healthz", MaxConns: 100}}
		c.Routes = []stub.Route{{Name: "registre-get", Host: routeHost, Prefix: "/registre/", Kind: stub.KindIdempotent, TimeoutMS: 3000, ObjectiveMS: 300, Service: "portail", MaxAttempts: 2}}
	})
	for range plain {
		if _, err := w.addRunner("portail", nil, func(_ *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
			stub.Sleep(req.Context(), 40*time.Millisecond)
			rw.Header().Set("Keep-Alive", "timeout=20")
			answer(rw, req.Header.Get(headerPrefix+"Request-Id"))
		}); err != nil {
			return false, err
		}
	}
	var fronts []*proc
	for range gateways {
		g, err := w.addGateway()
		if err != nil {
			return false, err
		}
		fronts = append(fronts, g)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
				g := fronts[rand.IntN(len(fronts))]
				clients.Go(func() {
					res := w.send(g, call{method: http.MethodGet, path: fmt.Sprintf("/registre/%d", i), deadline: 3 * time.Second})
					if res.status != http.StatusOK {
						w.note("client", "%s: status %d, %q, %v", res.id, res.status, res.body, res.err)
					}
				})
			case <-stop:
				return
			}
		}
	})
	time.Sleep(8 * time.Second)
	backup := w.store.Backup()
	taken := time.Now()
	w.note("platform", "a copy of the store is taken")
	time.Sleep(time.Second)
	leaving := w.runners[0]
	leaving.leave()
	acked := time.Now()
	time.Sleep(time.Until(taken.Add(copyAge)))
	if w.trouble {
		for _, p := range w.procs {
			p.link.SetFault(stub.FaultUnavailable)
		}
		time.Sleep(away)
		w.store.Restore(backup)
		for _, p := range w.procs {
			p.link.SetFault(stub.NoFault)
		}
		w.note("trouble", "the store is back after %v, from the copy; the runners write again with their next pings", away)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	all := w.arrivals(func(a arrival) bool { return a.at.After(acked.Add(drainTime)) })
	late := w.arrivals(func(a arrival) bool { return a.runner == leaving.address && a.at.After(acked.Add(drainTime)) })
	for _, a := range late {
		w.note("runs", "%s reaches %s, %.2f s after the ack", a.id, a.runner, a.at.Sub(acked).Seconds())
	}
	w.note("check", "%d of %d requests later than %v after the ack reached the runner that drains; none may", len(late), len(all), drainTime)
	return len(late) > 0, nil
}
