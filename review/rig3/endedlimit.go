package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

// tally counts the requests of one route.
type tally struct{ asked, served, refused atomic.Int64 }

func (t *tally) add(status int) {
	t.asked.Add(1)
	switch status {
	case http.StatusOK:
		t.served.Add(1)
	case http.StatusServiceUnavailable:
		t.refused.Add(1)
	}
}

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(1, t.asked.Load())) }

// endedLimit plays CONFIG: the servers of an added route name a rate limit for some seconds, and name none
// any more.
func endedLimit(w *world) (broken bool, err error) {
	const (
		gateways, first, added = 31, 2, 2
		perSecond              = 60
		limit                  = 0.2
		need                   = 6 * time.Second
		window                 = 20 * time.Second
	)
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "results-api", HealthPath: "/healthz", MaxConns: 250}, {Name: "podium", HealthPath: "/healthz", MaxConns: 250}}
		c.Routes = []stub.Route{{Name: "bib-lookup", Host: routeHost, Prefix: "/bib/", Kind: stub.KindIdempotent, TimeoutMS: 1500, ObjectiveMS: 300, Service: "results-api", MaxAttempts: 2}}
	})
	var inNeed atomic.Bool
	for i := range first + added {
		service := "results-api"
		if i >= first {
			service = "podium"
		}
		if _, err := w.addRunner(service, nil, func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
			if r.service == "podium" && inNeed.Load() {
				rw.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			}
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
	if err := w.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	w.configure(func(c *stub.Config) {
		c.Routes = append(c.Routes, stub.Route{Name: "podium-look", Host: routeHost, Prefix: "/podium/", Kind: stub.KindIdempotent, TimeoutMS: 1500, ObjectiveMS: 300, Service: "podium", MaxAttempts: 2})
	})
	time.Sleep(4 * time.Second)

	var clients sync.WaitGroup
	play := func(name string, d time.Duration) (old, added *tally) {
		old, added = &tally{}, &tally{}
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond / 2 * float64(time.Second)))
			g, t, path := fronts[rand.IntN(len(fronts))], old, "/bib/"
			if i%2 == 1 {
				t, path = added, "/podium/"
			}
			clients.Go(func() {
				res := w.send(g, call{method: http.MethodGet, path: path + strconv.Itoa(i), deadline: 1500 * time.Millisecond})
				t.add(res.status)
				if res.status != http.StatusOK {
					w.note("client", "%s %s at %s: status %d, %q, Retry-After %q, %v", res.id, path, g.name, res.status, res.body, res.header.Get("Retry-After"), res.err)
				}
			})
		}
		clients.Wait()
		w.note(name, "first route: %d asked, %d served; added route: %d asked, %d served, %d refused with 503", old.asked.Load(), old.served.Load(), added.asked.Load(), added.served.Load(), added.refused.Load())
		return old, added
	}
	play("before", 6*time.Second)
	if w.trouble {
		inNeed.Store(true)
		w.note("trouble", "the runners of the added route name Server-Limit: %v", limit)
	}
	play("in need", need)
	inNeed.Store(false)
	w.note("trouble", "they name no limit any more")
	play("not yet", stableTime)
	old, late := play("steady", window)
	w.note("check", "in the steady state the added route is served %.2f as often as asked, the first one %.2f", late.share(), old.share())
	if late.asked.Load() < 20 {
		return false, fmt.Errorf("%w: too few requests", errNotReady)
	}
	return late.share() < old.share()/4, nil
}
