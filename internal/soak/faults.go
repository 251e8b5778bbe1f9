package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

// kind is a kind of fault.
type kind uint8

const (
	storeFault kind = iota
	wayHarm
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
	kinds
)

// String returns the kind's name in reports.
func (k kind) String() string {
	return [...]string{
		"store_fault", "way_harm", "endpoint_kill", "endpoint_drain", "gateway_term", "gateway_kill", "gateway_pause",
		"keeper_kill", "keeper_pause", "power_loss", "new_route", "history_drop",
	}[k]
}

// event is one fault of a schedule.
type event struct {
	at   time.Duration
	kind kind
	// which picks what is harmed, how the way of harming it; last is how long it lasts.
	which, how int
	last       time.Duration
}

// String returns the event as reports show it.
func (e event) String() string {
	return fmt.Sprintf("%.1fs %s %d/%d for %.1fs", e.at.Seconds(), e.kind, e.which, e.how, e.last.Seconds())
}

const (
	// faultEvery is the mean pause between faults, which overlap.
	faultEvery = 700 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
)

// schedule draws the faults of a seed.
func schedule(seed uint64, length time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []event
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(faultEvery))
		if at >= length {
			return out
		}
		e := event{at: at, kind: kind(r.IntN(int(kinds))), which: r.IntN(1 << 16), how: r.IntN(1 << 16)}
		e.last = shortest + time.Duration(r.Int64N(int64(longest-shortest)))
		if e.kind == powerLoss && r.IntN(3) > 0 {
			// It ends all other faults; most days have none.
			e.kind = newRoute
		}
		out = append(out, e)
	}
}

// play does one fault from its begin to its end.
func (s *soak) play(e event) {
	switch e.kind {
	case storeFault:
		d := s.doors[e.which%len(s.doors)]
		f := []stub.Fault{stub.FaultNoReply, stub.FaultUnavailable, stub.FaultReset, stub.FaultLostReply, stub.FaultSlow, stub.FaultDelayedWrite}[e.how%6]
		done := s.note(&s.storeHarm)
		d.SetFault(f)
		time.Sleep(e.last)
		d.SetFault(stub.NoFault)
		done()
	case wayHarm:
		p := s.town.Proxies[e.which%len(s.town.Proxies)]
		done := s.note(&s.wayHarm)
		p.SetFault([]testbed.LinkFault{testbed.LinkFaultDelay, testbed.LinkFaultBlackhole, testbed.LinkFaultDropReplies, testbed.LinkFaultReset}[e.how%4])
		time.Sleep(e.last)
		p.SetFault(testbed.LinkFaultNone)
		done()
	case endpointKill, endpointDrain:
		all := append(s.town.PlainEndpoints[:len(s.town.PlainEndpoints):len(s.town.PlainEndpoints)], s.town.EngineEndpoints...)
		i := e.which % len(all)
		if !s.take(&s.busyEndpoints, i) {
			return
		}
		defer s.release(&s.busyEndpoints, i)
		done := s.note(&s.wayHarm)
		if e.kind == endpointKill {
			all[i].Kill()
			time.Sleep(e.last)
		} else {
			all[i].Drain(drainFor + drainLinger)
		}
		s.must(all[i].Start())
		done()
	case gatewayTerm, gatewayKill, gatewayPause:
		i := e.which % len(s.gateways)
		if !s.take(&s.busyProcs, i) {
			return
		}
		defer s.release(&s.busyProcs, i)
		s.harmProc(s.gateways[i], e)
	case keeperKill, keeperPause:
		if len(s.keepers) == 0 {
			return
		}
		i := e.which % len(s.keepers)
		if !s.take(&s.busyProcs, len(s.gateways)+i) {
			return
		}
		defer s.release(&s.busyProcs, len(s.gateways)+i)
		done := s.note(&s.wayHarm)
		s.harmProc(s.keepers[i], e)
		done()
	case powerLoss:
		s.losePower(e.last)
	case newRoute:
		s.town.AddRoute()
	case historyDrop:
		s.town.Store.DropHistory()
	case kinds:
	}
}

func (s *soak) harmProc(p *proc, e event) {
	switch e.kind {
	case gatewayTerm:
		// Nothing may go wrong until the grace is over.
		if !p.end(true, grace) {
			s.town.Checker.AddViolation("LOST", "%s still ran %v after SIGTERM", p.name, grace)
		}
		done := p.harm()
		s.must(p.start())
		done()
	case gatewayPause, keeperPause:
		done := p.harm()
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.last)
		p.signal(syscall.SIGCONT)
		time.Sleep(thaw)
		done()
	default:
		done := p.harm()
		p.end(false, 0)
		time.Sleep(e.last / 4)
		s.must(p.start())
		done()
	}
}

// losePower ends all processes at once and starts them again.
func (s *soak) losePower(last time.Duration) {
	var held []int
	for i := range s.procs() {
		if s.take(&s.busyProcs, i) {
			held = append(held, i)
		}
	}
	done := s.note(&s.wayHarm)
	var ends []func()
	for _, i := range held {
		ends = append(ends, s.procs()[i].harm())
		s.procs()[i].signal(syscall.SIGKILL)
	}
	time.Sleep(last / 4)
	for n, i := range held {
		s.procs()[i].end(false, 0)
		s.must(s.procs()[i].start())
		ends[n]()
		s.release(&s.busyProcs, i)
	}
	done()
}
