package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// linkMbps is linkMbps of the smaller frontend machines of the grown site.
	linkMbps = 10
	// oddRows is the number of rows that another writer leaves, oddBytes is rowBytes, the longest.
	oddRows  = 12
	oddBytes = 65536
	// recoverTime is recoverS of the grown site.
	recoverTime = 15 * time.Second
)

// oddCase checks that the deployment serves again after all processes were killed while another
// writer's unreadable rows lie among the runners' entries.
func oddCase(f *fleet, trouble bool) (bool, error) {
	f.linkMbps = linkMbps
	if err := f.deploy(3, 4, 0, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for _, g := range f.gateways() {
		for n := range 4 {
			callers.Go(func() {
				c := &client{f: f}
				defer c.drop()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					a := c.do(g, request{method: "GET", path: fmt.Sprintf("/lookup/%s-%d-%d", g.name, n, i), deadline: 3 * time.Second})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range oddRows {
			f.store.PutRaw("servers", "", fmt.Sprintf("odd-%02d", i), bytes.Repeat([]byte{0xff}, oddBytes))
		}
		f.rec.add("another writer left %d rows of %d bytes that can't be read", oddRows, oddBytes)
	}
	time.Sleep(4 * time.Second)
	killedAt := time.Now()
	if err := f.killAll(); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(recoverTime + 10*time.Second)
	close(stop)
	callers.Wait()

	served := func(from, to time.Time) (n int, share float64) {
		ok := 0
		for _, a := range answers {
			if a.sentAt.After(from) && a.sentAt.Before(to) {
				n++
				if a.status == 200 {
					ok++
				}
			}
		}
		return n, float64(ok) / float64(max(1, n))
	}
	before, shareBefore := served(time.Time{}, killedAt.Add(-time.Second))
	after, shareAfter := served(back.Add(recoverTime), time.Now())
	f.rec.conclude("RECOVER: %.2f of %d requests served before all processes were killed, %.2f of %d that were sent later than recoverS after they were back", shareBefore, before, shareAfter, after)
	return shareBefore >= 0.25 && shareAfter < 0.25, nil
}
