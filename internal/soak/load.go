package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

const (
	// balanceEvery is the pause between the balancer's questions; two misses take a gateway out.
	balanceEvery = time.Second
	// deadline is what clients give a plain request, streamDeadline a stream.
	deadline       = 3 * time.Second
	streamDeadline = 5 * time.Second
	// leaveShare is the share of requests whose clients leave early.
	leaveShare = 0.05
)

// balance keeps the rotation as the platform's balancer does.
func (s *soak) balance(ctx context.Context) {
	misses := make([]int, len(s.gateways))
	for {
		var in []*proc
		for i, g := range s.gateways {
			if testbed.GatewayReady(ctx, g.ready) {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if misses[i] < 2 {
				in = append(in, g)
			}
		}
		if len(in) == 0 {
			in = s.gateways
		}
		s.mu.Lock()
		s.rotation = in
		s.mu.Unlock()
		if wait(ctx, balanceEvery) != nil {
			return
		}
	}
}

func (s *soak) pick(r *rand.Rand) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rotation) == 0 {
		return s.gateways[r.IntN(len(s.gateways))]
	}
	return s.rotation[r.IntN(len(s.rotation))]
}

// client sends requests one after another and uses a connection until it is gone.
func (s *soak) client(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+number)))
	c := testbed.NewClient(s.town.Checker)
	defer c.Close()
	var g *proc
	for ctx.Err() == nil {
		if g == nil {
			g = s.pick(r)
		}
		call := s.draw(r)
		call.Gateway = g.callers
		began := time.Now()
		res := c.Do(call)
		s.judge(g, call, res, began)
		switch res.Outcome {
		case testbed.OutcomeServed, testbed.OutcomeRefused, testbed.OutcomeFailed:
			if res.ConnClose {
				g = nil
			}
		case testbed.OutcomeNotSent, testbed.OutcomeConnectionLost, testbed.OutcomeTimedOut, testbed.OutcomeCancelled:
			g = nil
		}
		_ = wait(ctx, time.Duration(r.IntN(40))*time.Millisecond)
	}
}

func (s *soak) draw(r *rand.Rand) testbed.Request {
	call := testbed.Request{Path: "x", Deadline: deadline, Body: strings.Repeat("b", r.IntN(6000))}
	switch n := r.IntN(10); {
	case n < 4:
		call.Route = s.town.Route("get")
	case n < 7:
		call.Route = s.town.Route("post")
	case n < 9:
		call.Route = s.town.Route("chat")
	default:
		call.Route = s.town.Route("talk")
	}
	if call.Route.Kind == stub.KindStream {
		call.Deadline = streamDeadline
		// The first models are asked for most.
		call.Model = testbed.Models[min(r.IntN(len(testbed.Models)), r.IntN(len(testbed.Models)))]
		if r.IntN(4) == 0 {
			call.Model += "/a" + string(rune('1'+r.IntN(6)))
		}
	}
	if r.Float64() < leaveShare {
		call.CancelAfter = time.Duration(1+r.IntN(300)) * time.Millisecond
	}
	return call
}

// judge checks how an attempt ended against what was wrong at the time.
func (s *soak) judge(g *proc, call testbed.Request, res testbed.Result, began time.Time) {
	now := time.Now()
	l := s.town.Checker
	l.Increment(call.Route.Name + "_" + res.Outcome.String())
	sound := g.sound(began, now)
	switch res.Outcome {
	case testbed.OutcomeConnectionLost:
		// A stream whose endpoint broke off can't end whole; a plain request gets an answer.
		spoilt := call.Route.Kind == stub.KindStream && (l.FaultInjected(res.ID) || s.wrong(&s.wayHarm, began.Add(-time.Second), now))
		if sound && !spoilt {
			l.AddViolation("LOST", "request %s (%s) at %s ended without a whole answer after %v: %s", res.ID, call.Route.Name, g.name, now.Sub(began), res.Detail)
		}
	case testbed.OutcomeTimedOut:
		if sound {
			l.AddViolation("CONFIG", "request %s (%s) at %s had no whole answer %v after it was sent: %s", res.ID, call.Route.Name, g.name, now.Sub(began), res.Detail)
		}
	case testbed.OutcomeFailed:
		if res.Status == http.StatusNotFound || res.Status == http.StatusBadRequest {
			l.AddViolation("DENIED", "request %s (%s) at %s got status %d", res.ID, call.Route.Name, g.name, res.Status)
		}
	case testbed.OutcomeServed, testbed.OutcomeRefused, testbed.OutcomeNotSent, testbed.OutcomeCancelled:
	}
}

// recovered checks that the fleet serves again, and that a new configuration is in force
// in time, once nothing is wrong any more.
func (s *soak) recovered(ctx context.Context) {
	l := s.town.Checker
	if err := s.whenReady(ctx); err != nil {
		l.AddViolation("RECOVER", "%v", err)
		return
	}
	_ = wait(ctx, stable+outerMore)
	c := testbed.NewClient(l)
	defer c.Close()
	for _, g := range s.gateways {
		for _, route := range []string{"get", "post", "chat", "talk"} {
			served := 0
			const asks = 6
			for range asks {
				call := testbed.Request{Gateway: g.callers, Route: s.town.Route(route), Path: "y", Deadline: streamDeadline}
				if call.Route.Kind == stub.KindStream {
					call.Model = testbed.Models[0]
				}
				if res := c.Do(call); res.Outcome == testbed.OutcomeServed {
					served++
				}
			}
			if served < asks/2 {
				l.AddViolation("RECOVER", "%s serves %d of %d requests on %s after the faults", g.name, served, asks, route)
			}
		}
	}
	name := s.town.AddRoute()
	_ = wait(ctx, applyIn)
	for _, g := range s.gateways {
		res := c.Do(testbed.Request{Gateway: g.callers, Route: s.town.Route(name), Path: "z", Deadline: deadline})
		if res.Status == http.StatusNotFound || res.Outcome == testbed.OutcomeRefused {
			l.AddViolation("CONFIG", "%s answers status %d on a route that was added %v ago", g.name, res.Status, applyIn)
		}
	}
}

// checkArrivals checks what reached endpoints that had left, and repeated requests.
func (s *soak) checkArrivals() {
	l := s.town.Checker
	list := l.Arrivals()
	first, again, from := 0, 0, 0
	for _, a := range list {
		if a.DrainingFor > drainFor+50*time.Millisecond && !s.excused(a.At) {
			l.AddViolation("DRAIN", "a request reached an endpoint %v after it began to leave", a.DrainingFor)
		}
		if a.Repeated {
			again++
		} else {
			first++
		}
		for ; a.At.Sub(list[from].At) >= budgetIn; from++ {
			if list[from].Repeated {
				again--
			} else {
				first--
			}
		}
		if float64(again) > budgetPart*float64(first)+budgetMore {
			l.AddViolation("BUDGET", "%d arrivals beyond the first of %d requests within %v", again, first, budgetIn)
			return
		}
	}
}

// excused reports whether something was wrong lately that keeps gateways from knowing.
func (s *soak) excused(at time.Time) bool {
	from := at.Add(-drainFor - stable)
	if s.wrong(&s.storeHarm, from, at) {
		return true
	}
	for _, g := range s.gateways {
		if !g.sound(from, at) {
			return true
		}
	}
	return false
}
