package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

const (
	deadlyPart = "91bd3f06"
	sharedPart = "5c1e07a2"
	// partCrashes is the crash from whose end on maxRetries further requests may reach runners.
	partCrashes = 5
)

// deadlyPartAfterEvent plays BUDGET: one part of prompts crashes each runner once it has written the
// first event of its answer.
func deadlyPartAfterEvent(w *world) (broken bool, err error) {
	const (
		gateways, sides = 3, 6
		back            = 3 * time.Second
		pause           = 1500 * time.Millisecond
		sends           = 24
	)
	spec := &stub.Engine{Slots: 64, CacheTokens: 231_707, WeightsMB: 220_000, AdapterSlots: 5, LoadsPerS: 2.1, Models: []stub.Model{{Name: "m0", WeightsMB: 65_100, AdapterMB: 40, LoadS: 5, WarmS: 0.38, DiskS: 1}}}
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "redac", HealthPath: "/healthz", MaxConns: 360, Engine: spec}}
		c.Routes = []stub.Route{{Name: "dossier-fr", Host: routeHost, Prefix: "/dossier/", Kind: stub.KindStream, TimeoutMS: 5000, ObjectiveMS: 800, GapObjectiveMS: 400, Service: "redac", MaxAttempts: 1}}
	})
	var mu sync.Mutex
	var reached []time.Time
	for range sides {
		r, err := w.addRunner("redac", newEngine(spec, "m0"), func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
			parts := strings.Split(req.Header.Get(headerPrefix+"Prompt-Prefix"), ",")
			deadly := w.trouble && len(parts) > 2 && strings.HasPrefix(parts[1], deadlyPart)
			rw.Header().Set("Content-Type", "text/event-stream")
			if deadly {
				mu.Lock()
				reached = append(reached, time.Now())
				mu.Unlock()
				w.note("run", "%s runs %s, whose part crashes it", r.address, req.Header.Get(headerPrefix+"Request-Id"))
			}
			for n := 1; n <= 10; n++ {
				stub.Sleep(req.Context(), 20*time.Millisecond)
				fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", n)
				_ = http.NewResponseController(rw).Flush()
				r.made(req.Header.Get(headerPrefix + "Request-Id"))
				if deadly {
					stub.Sleep(req.Context(), 5*time.Millisecond)
					go r.crash(back)
					<-req.Context().Done()
					panic(http.ErrAbortHandler)
				}
			}
		})
		if err != nil {
			return false, err
		}
		if _, err := w.addKeeper(r); err != nil {
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
	time.Sleep(5 * time.Second)
	prompt := func(i int, part string) map[string]string {
		return map[string]string{
			headerPrefix + "Model": "m0", headerPrefix + "Token-Count": "9190,50",
			headerPrefix + "Prompt-Prefix": fmt.Sprintf("%s:6300,%s:2000,%08x:890", sharedPart, part, 0x1000+i),
		}
	}
	for i := range sends {
		time.Sleep(pause)
		g := fronts[i%len(fronts)]
		res := w.send(g, call{method: http.MethodPost, path: "/dossier/1", body: fmt.Sprintf("dossier %d", i), header: prompt(2*i, deadlyPart), deadline: 5 * time.Second})
		w.note("client", "%s at %s: status %d, %d bytes, %v", res.id, g.name, res.status, len(res.body), res.err)
		sound := w.send(g, call{method: http.MethodPost, path: "/dossier/1", body: fmt.Sprintf("dossier %d, sound", i), header: prompt(2*i+1, "e4402b7d"), deadline: 5 * time.Second})
		w.note("client", "%s at %s, a sound one: status %d, %d bytes, %v", sound.id, g.name, sound.status, len(sound.body), sound.err)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range reached {
		if len(reached) >= partCrashes && at.After(reached[partCrashes-1].Add(stableTime)) {
			late++
		}
		w.note("runs", "%d at %.3f s", i+1, at.Sub(w.began).Seconds())
	}
	w.note("check", "%d requests with the part reached runners, %d of them later than %v after the fifth crash; %d are allowed", len(reached), late, stableTime, maxRetries)
	return late > maxRetries, nil
}
