package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

const (
	stableTime = 4 * time.Second
	crashBody  = "notice 4711 that crashes its server"
	maxRetries = 3
)

// crashingRequest plays BUDGET: a request that crashes each plain runner comes again and again at all
// gateways, while all side machines are lost.
func crashingRequest(w *world) (broken bool, err error) {
	const (
		gateways, sides, plain = 4, 4, 4
		back                   = 3 * time.Second
		pause                  = 1500 * time.Millisecond
		sends                  = 24
	)
	spec := &stub.Engine{Slots: 64, CacheTokens: 231_707, WeightsMB: 220_000, AdapterSlots: 5, LoadsPerS: 2.1, Models: []stub.Model{{Name: "m0", WeightsMB: 65_100, AdapterMB: 40, LoadS: 5, WarmS: 0.38, DiskS: 1}}}
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "portail", HealthPath: "/healthz", MaxConns: 100}, {Name: "redac", HealthPath: "/healthz", MaxConns: 360, Engine: spec}}
		c.Routes = []stub.Route{
			{Name: "avis-get", Host: routeHost, Prefix: "/avis/", Kind: stub.KindOnce, TimeoutMS: 3000, ObjectiveMS: 300, Service: "portail", MaxAttempts: 1},
			{Name: "lot-check", Host: routeHost, Prefix: "/lot/", Kind: stub.KindStream, TimeoutMS: 15000, ObjectiveMS: 500, GapObjectiveMS: 400, Service: "redac", MaxAttempts: 2, Resumable: true},
		}
	})
	for range plain {
		if _, err := w.addRunner("portail", nil, func(r *runner, rw http.ResponseWriter, req *http.Request, body []byte) {
			if string(body) != crashBody {
				answer(rw, req.Header.Get(headerPrefix+"Request-Id"))
				return
			}
			w.note("run", "%s runs %s, which crashes it", r.address, req.Header.Get(headerPrefix+"Request-Id"))
			go r.crash(back)
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}); err != nil {
			return false, err
		}
	}
	var engines []*runner
	for range sides {
		r, err := w.addRunner("redac", newEngine(spec, "m0"), nil)
		if err != nil {
			return false, err
		}
		engines = append(engines, r)
	}
	var keepers, fronts []*proc
	for _, r := range engines {
		k, err := w.addKeeper(r)
		if err != nil {
			return false, err
		}
		keepers = append(keepers, k)
	}
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
	time.Sleep(6 * time.Second)
	if w.trouble {
		for i, k := range keepers {
			k.signal(syscall.SIGKILL, true)
			engines[i].stop()
		}
		w.note("trouble", "all side machines are lost")
	}
	time.Sleep(6 * time.Second)
	for i := range sends {
		time.Sleep(pause)
		g := fronts[i%len(fronts)]
		res := w.send(g, call{method: http.MethodPost, path: "/avis/4711", body: crashBody, deadline: 3 * time.Second})
		w.note("client", "%s at %s: status %d, %q, %v", res.id, g.name, res.status, res.body, res.err)
		sound := w.send(g, call{method: http.MethodPost, path: "/avis/1", body: fmt.Sprintf("notice %d", i), deadline: 3 * time.Second})
		w.note("client", "%s at %s, a sound one: status %d, %v", sound.id, g.name, sound.status, sound.err)
	}
	runs := w.arrivals(func(a arrival) bool { return a.body == crashBody })
	late := 0
	for i, a := range runs {
		if len(runs) >= maxRetries && a.at.After(runs[maxRetries-1].at.Add(stableTime)) {
			late++
		}
		w.note("runs", "%d: %s at %s, %.3f s", i+1, a.id, a.runner, a.at.Sub(w.began).Seconds())
	}
	w.note("check", "%d runs, %d of them later than %v after the third crash; %d are allowed", len(runs), late, stableTime, maxRetries)
	return late > maxRetries, nil
}
