package main

import (
	"slices"
	"sync"
	"time"
)

const (
	// deadlyInterval is the time after which the deadly request comes again. It is longer than
	// restartDelay and stableTime together, so that the gateways are in touch.
	deadlyInterval = 4500 * time.Millisecond
	// deadlyRounds is the number of sends in each period.
	deadlyRounds = 4
	// herdKills is the number of times that all processes are killed.
	herdKills = 2
	// maxDeadlyRetries is the number of retries that may reach runners.
	maxDeadlyRetries = 3
)

// forgetCase checks that a request that crashes runners reaches no more of them once it has crashed
// three, while all processes are killed at once.
func forgetCase(f *fleet, trouble bool) (bool, error) {
	if err := f.deploy(3, 6, 0, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for _, g := range f.gateways() {
		for range 4 {
			callers.Go(func() {
				c := &client{f: f}
				defer c.drop()
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					a := c.do(g, request{method: "POST", path: "/post/entry?work=200", body: []byte("bib"), deadline: 3 * time.Second})
					if a.status == 502 || a.status == 504 {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				}
			})
		}
	}
	inTouch := map[string]bool{}
	next := 0
	send := func() {
		g := f.gateways()[next%len(f.gateways())]
		next++
		c := &client{f: f}
		defer c.drop()
		touch := g.inTouch(time.Now())
		a := c.do(g, request{method: "POST", path: "/post/bib-1204", body: []byte(deadlyBody), deadline: 3 * time.Second})
		inTouch[a.id] = touch
		f.rec.add("%s: the deadly request, sent by %s, in touch: %v", a.id, g.name, touch)
	}
	for period := range herdKills + 1 {
		for round := range deadlyRounds {
			send()
			if trouble && round == deadlyRounds-1 && period < herdKills {
				time.Sleep(200 * time.Millisecond)
				if err := f.killAll(); err != nil {
					return false, err
				}
				time.Sleep(deadlyInterval - 200*time.Millisecond - restartDelay)
				continue
			}
			time.Sleep(deadlyInterval)
		}
	}
	close(stop)
	callers.Wait()

	var crashed []run
	for _, r := range f.allRuns() {
		if r.body == deadlyBody {
			crashed = append(crashed, r)
		}
	}
	slices.SortFunc(crashed, func(a, b run) int { return a.at.Compare(b.at) })
	retries := 0
	for i, r := range crashed {
		if i >= 3 && r.at.Sub(crashed[2].at) > stableTime && inTouch[r.id] {
			retries++
			f.rec.add("%s: reached %s %.1f s after the third crash", r.id, r.instance, r.at.Sub(crashed[2].at).Seconds())
		}
	}
	f.rec.conclude("BUDGET: the deadly request crashed %d runners; %d retries reached runners later than stableMs after the third crash from gateways in touch, allowed %d; %d other requests ended 502 or 504", len(crashed), retries, maxDeadlyRetries, lost)
	return retries > maxDeadlyRetries, nil
}

// killAll kills all processes at once and starts them again.
func (f *fleet) killAll() error {
	var wg sync.WaitGroup
	for _, p := range f.processes() {
		wg.Go(func() { p.kill("all processes are killed at once") })
	}
	wg.Wait()
	time.Sleep(restartDelay)
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}
