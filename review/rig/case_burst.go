package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// uploadBytes is maxBodyBytes of the configuration, the longest body that a client may send.
	uploadBytes = 4194304
	// uploadTime is how long a client on a slow link takes for it, within uploadDeadline.
	uploadTime     = 6800 * time.Millisecond
	uploadDeadline = 12 * time.Second
	// uploadRate is the calm rate of uploads a second at each gateway.
	uploadRate = 9.5
	// burstFactor and burstTime are the dose of the burst.
	burstFactor = 2.6
	burstTime   = 5100 * time.Millisecond
	calmTime    = 12 * time.Second
	afterTime   = 8 * time.Second
	// maxClosed is the number of kept channels that may be closed without an answer.
	maxClosed = 3
)

// burstCase checks that gateways within their memory answer what they have passed on while many
// clients upload at once. The platform kills a process over its memory.
func burstCase(f *fleet, trouble bool) (bool, error) {
	if err := f.deploy(2, 4, 0, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watchers, callers sync.WaitGroup
	kills := 0
	var mu sync.Mutex
	peaks := map[string]int64{}
	for _, g := range f.gateways() {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				rss := g.rss()
				mu.Lock()
				peaks[g.name] = max(peaks[g.name], rss)
				mu.Unlock()
				if rss <= memoryMB<<20 {
					continue
				}
				mu.Lock()
				kills++
				mu.Unlock()
				g.kill(fmt.Sprintf("%d MB is over memoryMb %d", rss>>20, memoryMB))
				time.Sleep(restartDelay)
				if err := g.start(); err != nil {
					f.rec.add("%v", err)
				}
			}
		})
	}
	var answers []answer
	for _, g := range f.gateways() {
		for n := range 8 {
			callers.Go(func() {
				c := &client{f: f}
				for i := 0; ; i++ {
					select {
					case <-stop:
						c.drop()
						return
					default:
					}
					a := c.do(g, request{method: "GET", path: fmt.Sprintf("/lookup/%s-%d-%d?work=250", g.name, n, i), deadline: 3 * time.Second})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if a.status != 200 {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	body := make([]byte, uploadBytes)
	began := time.Now()
	var uploads sync.WaitGroup
	outcomes := map[int]int{}
	for _, g := range f.gateways() {
		uploads.Go(func() {
			for n := 0; ; n++ {
				since := time.Since(began)
				if since > calmTime+burstTime+afterTime {
					return
				}
				rate := uploadRate
				if trouble && since > calmTime && since < calmTime+burstTime {
					rate *= burstFactor
				}
				time.Sleep(time.Duration(float64(time.Second) / rate))
				uploads.Go(func() {
					c := &client{f: f}
					defer c.drop()
					a := c.do(g, request{method: "POST", path: fmt.Sprintf("/roster/%s-%d", g.name, n), body: body, over: uploadTime, deadline: uploadDeadline})
					mu.Lock()
					outcomes[a.status]++
					mu.Unlock()
				})
			}
		})
	}
	uploads.Wait()
	close(stop)
	callers.Wait()
	watchers.Wait()

	ran := map[string]bool{}
	for _, r := range f.allRuns() {
		ran[r.id] = true
	}
	closed := 0
	for _, a := range answers {
		if a.kept && a.closed && ran[a.id] {
			closed++
			f.rec.add("%s: passed on to a runner from a kept channel, which was closed without an answer", a.id)
		}
	}
	f.rec.conclude("LOST: %d requests from kept channels were passed on and their channels closed without an answer, allowed %d; processes ended over their memory: %d; peaks %v bytes; uploads by status %v", closed, maxClosed, kills, peaks, outcomes)
	return closed > maxClosed, nil
}
