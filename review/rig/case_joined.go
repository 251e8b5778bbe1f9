package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// clockStep is by how much the time of day of a runner's machine is ahead for a while.
	clockStep = 2400 * time.Millisecond
	// maxJoined is the number of streams that may hold events of two software versions.
	maxJoined = 2
	// streamEvents and streamPause are the length and the pace of a stream.
	streamEvents = 40
	streamPause  = 100 * time.Millisecond
	// crashTime is how long a crashed runner is down.
	crashTime = 4500 * time.Millisecond
	// streamCallers is the number of callers of each gateway.
	streamCallers = 48
)

// joinedCase checks that no stream goes on at a runner of another software version than the one that
// began it. One runner was replaced in place by the newer version, under its id, and the time of day
// on its machine jumped back between its last two starts. Later two others crash, one
// after the other.
func joinedCase(f *fleet, trouble bool) (bool, error) {
	if err := f.deploy(2, 2, 0, 2, 6); err != nil {
		return false, err
	}
	talkers := f.serviceRunners(talkService)
	target := talkers[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var streams []stream
	for _, g := range f.gateways() {
		for n := range streamCallers {
			callers.Go(func() {
				c := &client{f: f}
				defer c.drop()
				time.Sleep(time.Duration(n) * streamEvents * streamPause / streamCallers)
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					s := c.stream(g, newStream("", fmt.Sprintf("%s-%d-%d", g.name, n, i), streamDeadline))
					mu.Lock()
					streams = append(streams, s)
					mu.Unlock()
					if s.status != 200 {
						time.Sleep(300 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		target.setClock(clockStep)
	}
	// The runner starts again, and is replaced by the newer version 1.3 s later.
	for _, version := range []string{oldVersion, newVersion} {
		target.crash()
		time.Sleep(500 * time.Millisecond)
		target.mu.Lock()
		target.keepsID, target.version = true, version
		target.mu.Unlock()
		if err := target.start(); err != nil {
			return false, err
		}
		time.Sleep(800 * time.Millisecond)
		target.setClock(0)
	}
	time.Sleep(12 * time.Second)
	for _, victim := range talkers[1:3] {
		victim.crash()
		time.Sleep(crashTime)
		if err := victim.start(); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	callers.Wait()

	joined, complete, resumed := 0, 0, 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
		if len(s.runners) > 1 {
			resumed++
		}
		if len(s.versions) > 1 {
			joined++
			f.rec.add("%s: events of versions %v, from runners %v, in one answer; complete: %v", s.id, s.versions, s.runners, s.complete)
		}
	}
	f.rec.conclude("ORDER: of %d streams, %d of them complete and %d resumed at another runner, %d hold events of two software versions, allowed %d", len(streams), complete, resumed, joined, maxJoined)
	return joined > maxJoined, nil
}
