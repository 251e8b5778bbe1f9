package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"chervilhead/internal/standin/testbed"
)

const (
	// minVersionEngines lets two versions have two endpoints each, as the platform's bound for
	// resumptions needs.
	minVersionEngines = 4
	// cutFraction is the share of resumable streams that callers cut and resume, so that one seed
	// has more than the 12 resumptions of a version from which the platform's bound holds.
	cutFraction = 0.3
	// cutTime bounds the time after which a caller cuts a stream; one takes about half a second.
	cutTime = 450 * time.Millisecond
	// maxResumptions and resumeTimeout bound the attempts to resume one stream; gateways remember
	// streams for 30 s.
	maxResumptions = 8
	resumeTimeout  = 10 * time.Second
	// maxResumeDelay bounds the time after which a caller resumes a broken stream.
	maxResumeDelay = 600 * time.Millisecond
	// wrongResumesFraction is the share of resumptions that don't name the attempt that delivered
	// the first event.
	wrongResumesFraction = 0.1
)

// softwareVersions are the versions of the engines; they have no order.
var softwareVersions = []string{"r118", "r97", "hotfix"}

// initialVersions are the versions that serve at the start of a run.
func (cfg Settings) initialVersions() []string {
	if !cfg.Versions {
		return nil
	}
	return softwareVersions[:2]
}

// rollOut replaces engines of one version by engines of another: one, half of them, all of them,
// or one that is killed and returns under the same id.
func (s *soak) rollOut(e faultEvent) {
	from := e.target % len(softwareVersions)
	next := softwareVersions[(from+1+e.variant%2)%len(softwareVersions)]
	var chosen []int
	for i, x := range s.env.EngineEndpoints {
		if x.SoftwareVersion() == softwareVersions[from] {
			chosen = append(chosen, i)
		}
	}
	form := e.variant / 2 % 4
	switch form {
	case 0, 1:
		chosen = chosen[:min(1, len(chosen))]
	case 2:
		chosen = chosen[:(len(chosen)+1)/2]
	}
	done := s.recordFault(&s.pathFaults)
	defer done()
	var wg sync.WaitGroup
	for _, i := range chosen {
		wg.Go(func() { s.replaceEngine(i, next, form == 0, e) })
	}
	wg.Wait()
}

// replaceEngine ends an engine and starts it with another version.
func (s *soak) replaceEngine(i int, version string, kill bool, e faultEvent) {
	slot := len(s.env.PlainEndpoints) + i
	if !s.reserve(&s.busyEndpoints, slot) {
		return
	}
	defer s.release(&s.busyEndpoints, slot)
	x := s.env.EngineEndpoints[i]
	if kill {
		x.Kill()
		time.Sleep(e.duration / 4)
	} else {
		x.Drain(drainPeriod + drainLinger)
	}
	s.stepClock(x, e)
	x.SetNextVersion(version, kill)
	s.recordError(x.Start())
}

// disruptGateways kills or freezes all gateways that no other fault has reserved at once.
func (s *soak) disruptGateways(e faultEvent) {
	reserved := s.reserveProcs(len(s.gateways))
	if e.kind == gatewaysKill {
		s.killProcs(reserved, e.duration)
		return
	}
	var endFaults []func()
	for _, i := range reserved {
		endFaults = append(endFaults, s.gateways[i].beginFault())
		s.gateways[i].signal(syscall.SIGSTOP)
	}
	time.Sleep(e.duration)
	for _, i := range reserved {
		s.gateways[i].signal(syscall.SIGCONT)
	}
	time.Sleep(resumeDelay)
	for n, i := range reserved {
		endFaults[n]()
		s.release(&s.busyProcs, i)
	}
}

// resume continues a stream, over several attempts and at any gateway, until it ends or the
// caller gives it up.
func (s *soak) resume(ctx context.Context, r *rand.Rand, c *testbed.Client, req testbed.Request, res testbed.Result) {
	began := time.Now()
	for n := 0; n < maxResumptions && time.Since(began) < resumeTimeout; n++ {
		next, ok := req.Resumption(res)
		if !ok {
			return
		}
		if wait(ctx, max(res.RetryAfter, time.Duration(r.Int64N(int64(maxResumeDelay))))) != nil {
			return
		}
		g := s.pickGateway(r)
		next.Gateway = g.callers
		next.CancelAfter = cutAfter(r)
		if r.Float64() < wrongResumesFraction {
			// Missing, malformed, and of no stream.
			next.WrongResumes, next.Resumes = true, []string{"", "a\tb", "r00000000-0"}[r.IntN(3)]
		}
		sentAt := time.Now()
		res = c.Do(next)
		s.checkResult(g, next, res, sentAt)
		s.env.Checker.Increment("resumed_" + res.Outcome.String())
		req = next
	}
}

// cutAfter returns the time after which a caller cuts a stream, or 0 if it doesn't.
func cutAfter(r *rand.Rand) time.Duration {
	if r.Float64() >= cutFraction {
		return 0
	}
	return time.Duration(1 + r.Int64N(int64(cutTime)))
}

// checkResumptions checks that streams were resumed, over the whole run and, so that many others don't
// hide them, among those around losses of processes alone. If all processes end while the store is
// harmed, records may be lost with them, and harm to the link of one endpoint may concern one version
// alone.
func (s *soak) checkResumptions() {
	excused := func(afterLoss bool) func(string, time.Time, time.Time) bool {
		return func(_ string, from, to time.Time) bool {
			since := from.Add(-resumeTimeout)
			loss, harmed := s.faultDuring(&s.powerLosses, since, to), s.faultDuring(&s.storeFaults, since, to)
			return loss && harmed || afterLoss && !loss || s.faultDuring(&s.linkFaults, from, to)
		}
	}
	s.env.Checker.CheckResumptions(excused(false))
	s.env.Checker.CheckResumptions(excused(true))
}
