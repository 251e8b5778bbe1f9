package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

// faultKind is a kind of injected fault.
type faultKind uint8

const (
	storeFault faultKind = iota
	linkFault
	endpointKill
	endpointDrain
	gatewayTerm
	gatewayKill
	gatewayPause
	keeperKill
	keeperPause
	powerLoss
	newRoute
	historyDrop
	// faultKindCount ends the kinds that schedule draws; the others have schedules of their own.
	faultKindCount
	storeRestore
	rateLimit
	endpointLeave
	endpointPause
	rollout
	gatewaysKill
	gatewaysFreeze
	keyChange
	quotaChange
	keyRevoke
	gatewayRefusal
	largeChange
	herdKill
)

// String returns the kind's name in reports.
func (k faultKind) String() string {
	return [...]string{
		"store_fault", "way_harm", "endpoint_kill", "endpoint_drain", "gateway_term", "gateway_kill", "gateway_pause",
		"keeper_kill", "keeper_pause", "power_loss", "new_route", "history_drop", "", "store_restore", "rate_limit", "endpoint_leave", "endpoint_pause",
		"rollout", "gateways_kill", "gateways_freeze", "key_change", "quota_change", "key_revoke", "gateway_refusal", "large_change", "herd_kill",
	}[k]
}

// faultEvent is one scheduled fault.
type faultEvent struct {
	at   time.Duration
	kind faultKind
	// target selects the affected component, variant the form of the fault; both are
	// taken modulo the number of choices.
	target, variant int
	duration        time.Duration
}

// String returns the event as reports show it.
func (e faultEvent) String() string {
	return fmt.Sprintf("%.1fs %s %d/%d for %.1fs", e.at.Seconds(), e.kind, e.target, e.variant, e.duration.Seconds())
}

const (
	// meanFaultInterval is the mean time between the starts of faults, which may overlap.
	meanFaultInterval = 700 * time.Millisecond
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 3 * time.Second
)

// schedule returns the faults of a seed, ordered by time.
func schedule(seed uint64, length time.Duration) []faultEvent {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []faultEvent
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
		if at >= length {
			return out
		}
		e := faultEvent{at: at, kind: faultKind(r.IntN(int(faultKindCount))), target: r.IntN(1 << 16), variant: r.IntN(1 << 16)}
		e.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if e.kind == powerLoss && r.IntN(3) > 0 {
			// Power loss ends all other faults of processes, so most draws of it add a route instead.
			e.kind = newRoute
		}
		out = append(out, e)
	}
}

// inject applies a fault, waits until it is over and reverts it.
func (s *soak) inject(e faultEvent) {
	switch e.kind {
	case storeFault:
		l := s.storeListeners[e.target%len(s.storeListeners)]
		f := []stub.Fault{stub.FaultNoReply, stub.FaultUnavailable, stub.FaultReset, stub.FaultLostReply, stub.FaultSlow, stub.FaultDelayedWrite}[e.variant%6]
		done := s.recordFault(&s.storeFaults)
		l.SetFault(f)
		time.Sleep(e.duration)
		l.SetFault(stub.NoFault)
		done()
	case linkFault:
		p := s.env.Proxies[e.target%len(s.env.Proxies)]
		done, linkDone := s.recordFault(&s.pathFaults), s.recordFault(&s.linkFaults)
		p.SetFault([]testbed.LinkFault{testbed.LinkFaultDelay, testbed.LinkFaultBlackhole, testbed.LinkFaultDropReplies, testbed.LinkFaultReset}[e.variant%4])
		time.Sleep(e.duration)
		p.SetFault(testbed.LinkFaultNone)
		done()
		linkDone()
	case endpointKill, endpointDrain, endpointLeave:
		all := s.endpoints()
		i := e.target % len(all)
		if !s.reserve(&s.busyEndpoints, i) {
			return
		}
		defer s.release(&s.busyEndpoints, i)
		done := s.recordFault(&s.pathFaults)
		switch e.kind {
		case endpointKill:
			all[i].Kill()
			s.stepClock(all[i], e)
			time.Sleep(e.duration)
		case endpointLeave:
			all[i].Leave(drainPeriod + leaveStretch*e.duration)
		default:
			all[i].Drain(drainPeriod + drainLinger)
		}
		s.recordError(all[i].Start())
		done()
	case gatewayTerm, gatewayKill, gatewayPause:
		i := e.target % len(s.gateways)
		if !s.reserve(&s.busyProcs, i) {
			return
		}
		defer s.release(&s.busyProcs, i)
		s.disruptProc(s.gateways[i], e)
	case keeperKill, keeperPause:
		if len(s.keepers) == 0 {
			return
		}
		i := e.target % len(s.keepers)
		if !s.reserve(&s.busyProcs, len(s.gateways)+i) {
			return
		}
		defer s.release(&s.busyProcs, len(s.gateways)+i)
		done := s.recordFault(&s.pathFaults)
		s.disruptProc(s.keepers[i], e)
		done()
	case powerLoss:
		s.killAll(e.duration)
	case rollout:
		s.rollOut(e)
	case gatewaysKill, gatewaysFreeze:
		s.disruptGateways(e)
	case keyChange:
		s.changeKeys(e)
	case quotaChange:
		s.changeQuota(e)
	case keyRevoke:
		s.revokeKey(e)
	case gatewayRefusal:
		s.refuseGateway(e)
	case largeChange:
		s.changeLargeConfig(e)
	case herdKill:
		s.killHerd(e)
	case newRoute:
		s.env.AddRoute()
	case historyDrop:
		s.env.Store.DropHistory()
	case storeRestore:
		s.restoreStore(e)
	case rateLimit:
		s.limitRate(e)
	case endpointPause:
		s.pauseEndpoints(e)
	case faultKindCount:
	}
}

func (s *soak) disruptProc(p *proc, e faultEvent) {
	switch e.kind {
	case gatewayTerm:
		// A graceful stop is not recorded as a fault: it must lose no request.
		if !p.stop(true, gracePeriod) {
			s.env.Checker.AddViolation("LOST", "%s was still running %v after SIGTERM", p.name, gracePeriod)
		}
		done := p.beginFault()
		s.recordError(p.start())
		done()
	case gatewayPause, keeperPause:
		done := p.beginFault()
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		p.signal(syscall.SIGCONT)
		time.Sleep(resumeDelay)
		done()
	default:
		done := p.beginFault()
		p.stop(false, 0)
		time.Sleep(e.duration / 4)
		s.recordError(p.start())
		done()
	}
}

// killAll kills all processes that no other fault has reserved at once and restarts them.
func (s *soak) killAll(duration time.Duration) {
	reserved := s.reserveProcs(len(s.procs()))
	done, powerDone := s.recordFault(&s.pathFaults), s.recordFault(&s.powerLosses)
	s.killProcs(reserved, duration)
	done()
	powerDone()
}

// reserveProcs reserves those of the first n processes that no other fault has reserved.
func (s *soak) reserveProcs(n int) []int {
	var out []int
	for i := range n {
		if s.reserve(&s.busyProcs, i) {
			out = append(out, i)
		}
	}
	return out
}

// killProcs kills reserved processes at once, restarts them and releases them.
func (s *soak) killProcs(reserved []int, duration time.Duration) {
	var endFaults []func()
	for _, i := range reserved {
		endFaults = append(endFaults, s.procs()[i].beginFault())
		s.procs()[i].signal(syscall.SIGKILL)
	}
	time.Sleep(duration / 4)
	for n, i := range reserved {
		s.procs()[i].stop(false, 0)
		s.recordError(s.procs()[i].start())
		endFaults[n]()
		s.release(&s.busyProcs, i)
	}
}
