package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"chervilhead/internal/standin/testbed"
)

const (
	// secondKillDelay is the time after which processes that recover are killed again.
	secondKillDelay = 700 * time.Millisecond
	// maxClockStep bounds by how much the time of day on an endpoint's machine jumps.
	maxClockStep = 10 * time.Second
	// crashingBody is the body of the request that crashes each endpoint that runs it, crashingPause
	// the mean pause between two of them, and crashTime how long an endpoint is away then.
	crashingBody  = "crashes"
	crashingPause = 400 * time.Millisecond
	crashTime     = 1500 * time.Millisecond
	// blockedAfter is the number of crashes after which the request has to be known, and maxLateRuns
	// the platform's bound for those that run all the same.
	blockedAfter = 3
	maxLateRuns  = 3
)

// killHerd kills all processes, all of one role or some of each at once, in half of the cases again
// while they recover.
func (s *soak) killHerd(e faultEvent) {
	reserved := s.reserveProcs(len(s.procs()))
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(e.variant)))
	var chosen []int
	for _, i := range reserved {
		gateway := i < len(s.gateways)
		if [...]bool{true, gateway, !gateway, r.IntN(2) == 0}[e.variant%4] {
			chosen = append(chosen, i)
			continue
		}
		s.release(&s.busyProcs, i)
	}
	done, lossDone := s.recordFault(&s.pathFaults), s.recordFault(&s.powerLosses)
	defer lossDone()
	defer done()
	s.killProcs(chosen, e.duration)
	if e.variant/4%2 == 0 {
		return
	}
	time.Sleep(secondKillDelay)
	var again []int
	for _, i := range chosen {
		if s.reserve(&s.busyProcs, i) {
			again = append(again, i)
		}
	}
	s.killProcs(again, e.duration)
}

// stepClock lets the time of day on an endpoint's machine jump, if the run has that.
func (s *soak) stepClock(x *testbed.Endpoint, e faultEvent) {
	if !s.cfg.ClockSteps {
		return
	}
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(e.variant)+uint64(e.at)))
	x.SetClock(time.Duration(r.Int64N(int64(2*maxClockStep))) - maxClockStep)
	if r.IntN(2) == 0 {
		x.SetNextVersion(x.SoftwareVersion(), true)
	}
}

// crashingRun is a request that crashes endpoints, as its caller knows it.
type crashingRun struct {
	id string
	// inTouch is set if no fault disturbed the gateway for the stabilization time before.
	inTouch bool
}

// sendCrashing sends the request that crashes endpoints again and again.
func (s *soak) sendCrashing(ctx context.Context) {
	s.env.SetDeadlyBody(crashingBody)
	r := rand.New(rand.NewPCG(s.cfg.Seed, 999))
	for ctx.Err() == nil {
		g, crashes, sentAt := s.pickGateway(r), len(s.env.Checker.Crashes()), time.Now()
		c := testbed.NewClient(s.env.Checker)
		res := c.Do(s.properKey(testbed.Request{Gateway: g.callers, Route: s.env.Route("post"), Path: "x", Body: crashingBody, Deadline: requestDeadline}))
		c.Close()
		s.env.Checker.Increment("crashing_" + res.Outcome.String())
		s.crashing = append(s.crashing, crashingRun{res.ID, g.faultFree(sentAt.Add(-stabilizationTime), sentAt)})
		if len(s.env.Checker.Crashes()) > crashes {
			done := s.recordFault(&s.pathFaults)
			time.AfterFunc(crashTime, done)
		}
		_ = wait(ctx, time.Duration(r.Int64N(int64(2*crashingPause))))
	}
}

// checkCrashing checks that the request that crashes endpoints reached few more of them once it was
// known.
func (s *soak) checkCrashing() {
	crashes := s.env.Checker.Crashes()
	if len(crashes) < blockedAfter {
		return
	}
	late := 0
	for _, run := range s.crashing {
		if at, arrived := s.env.Checker.Arrived(run.id); arrived && run.inTouch && at.Sub(crashes[blockedAfter-1]) > stabilizationTime {
			late++
		}
	}
	if late > maxLateRuns {
		s.env.Checker.AddViolation("BUDGET", "a request that crashes endpoints reached %d of them from undisturbed gateways later than %v after the third crash; %d crashes", late, stabilizationTime, len(crashes))
	}
}
