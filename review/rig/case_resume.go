package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// longStream is the number of events of a stream that lasts 8 s.
	longStream = 80
	// resumeCallers is the number of callers of each gateway that take broken streams up again,
	// newCallers of those that only begin streams.
	resumeCallers = 16
	newCallers    = 8
	// minResumed is the number of streams from which the rule holds.
	minResumed = 12
)

// resumePauses are the pauses before a caller's tries to take a broken stream up again.
var resumePauses = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second}

// resumeCase checks that broken streams go on at a runner of their software version, of which there
// are three, after all processes were killed at once. Without the disruption the callers' links fail
// instead.
func resumeCase(f *fleet, trouble bool) (bool, error) {
	f.twoVersions = true
	if err := f.deploy(2, 2, 0, 6); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var clients []*client
	// tried holds the streams that callers took up again at gateways in touch, and begun the new
	// streams sent to such gateways after the break; the value is whether one went on or began.
	tried, begun := map[string]bool{}, map[string]bool{}
	var brokenAt time.Time
	isBroken := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !brokenAt.IsZero()
	}
	ended := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for i, g := range f.gateways() {
		other := f.gateways()[1-i]
		for n := range resumeCallers {
			c := &client{f: f}
			clients = append(clients, c)
			callers.Go(func() {
				defer c.drop()
				time.Sleep(time.Duration(n) * 250 * time.Millisecond)
				for k := 0; !ended() && !isBroken(); k++ {
					q := newStream(modelName, fmt.Sprintf("%s-%d-%d", g.name, n, k), streamDeadline)
					q.events = longStream
					first := c.stream(g, q)
					if first.complete || first.status != 200 || first.last == 0 || !isBroken() {
						continue
					}
					s, deadline := first, first.sentAt.Add(streamDeadline)
					for try, pause := range resumePauses {
						time.Sleep(max(pause, s.retryAfter))
						to := []*proc{other, g}[try%2]
						touch := to.inTouch(time.Now())
						q.resumes, q.lastEvent, q.deadline = first.id, first.last, time.Until(deadline)
						if q.deadline < time.Second {
							break
						}
						s = c.stream(to, q)
						wentOn := s.status == 200 && s.last > first.last
						if touch {
							mu.Lock()
							tried[first.id] = tried[first.id] || wentOn
							mu.Unlock()
						}
						if wentOn {
							f.rec.add("%s: went on at version %v, begun at %v", first.id, s.versions, first.versions)
							break
						}
					}
				}
			})
		}
		for n := range newCallers {
			callers.Go(func() {
				c := &client{f: f}
				defer c.drop()
				for k := 0; !ended(); k++ {
					touch := g.inTouch(time.Now()) && isBroken()
					q := newStream(modelName, fmt.Sprintf("%s-new-%d-%d", g.name, n, k), streamDeadline)
					q.events = 10
					s := c.stream(g, q)
					if touch {
						mu.Lock()
						begun[s.id] = s.status == 200 && s.last > 0
						mu.Unlock()
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(7 * time.Second)
	mu.Lock()
	brokenAt = time.Now()
	mu.Unlock()
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
	} else {
		f.rec.add("the links of the callers fail")
		for _, c := range clients {
			c.sever()
		}
	}
	time.Sleep(12 * time.Second)
	close(stop)
	callers.Wait()

	share := func(m map[string]bool) float64 {
		n := 0
		for _, ok := range m {
			if ok {
				n++
			}
		}
		return float64(n) / float64(max(1, len(m)))
	}
	byVersion := map[string]int{}
	for _, r := range f.serviceRunners(modelsService) {
		byVersion[r.version]++
	}
	for id, ok := range tried {
		if !ok {
			f.rec.add("%s: taken up again at a gateway in touch, and not gone on with", id)
		}
	}
	f.rec.conclude("LOST: of %d streams that callers took up again at gateways in touch %.2f went on; of %d new streams %.2f began; runners by version %v", len(tried), share(tried), len(begun), share(begun), byVersion)
	return len(tried) >= minResumed && share(tried) < share(begun)/2 && !slices.Contains([]int{byVersion[oldVersion], byVersion[newVersion]}, 1), nil
}
