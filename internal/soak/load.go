package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

const (
	// balancerInterval is the pause between the load balancer's health checks; two
	// failures in a row take a gateway out of rotation.
	balancerInterval = time.Second
	// requestDeadline is the deadline of plain requests.
	requestDeadline = 3 * time.Second
	// streamDeadline is the deadline of streams.
	streamDeadline = 5 * time.Second
	// cancelFraction is the share of requests that clients cancel early.
	cancelFraction = 0.05
)

// balance updates the gateway rotation as the platform's load balancer does.
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
		if wait(ctx, balancerInterval) != nil {
			return
		}
	}
}

func (s *soak) pickGateway(r *rand.Rand) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rotation) == 0 {
		return s.gateways[r.IntN(len(s.gateways))]
	}
	return s.rotation[r.IntN(len(s.rotation))]
}

// client sends requests one after another and stays with a gateway until the connection
// closes or fails.
func (s *soak) client(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+number)))
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	var g *proc
	for ctx.Err() == nil {
		if g == nil {
			g = s.pickGateway(r)
		}
		req := s.withCaller(r, number, s.randomRequest(r))
		req.Gateway = g.callers
		sentAt := time.Now()
		res := c.Do(req)
		s.checkResult(g, req, res, sentAt)
		if s.cfg.Versions {
			s.resume(ctx, r, c, req, res)
		}
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

func (s *soak) randomRequest(r *rand.Rand) testbed.Request {
	req := testbed.Request{Path: "x", Deadline: requestDeadline, Body: strings.Repeat("b", r.IntN(6000))}
	switch n := r.IntN(10); {
	case n < 4:
		req.Route = s.env.Route("get")
	case n < 7:
		req.Route = s.env.Route("post")
	case n < 9:
		req.Route = s.env.Route("chat")
	default:
		req.Route = s.env.Route("talk")
	}
	if req.Route.Kind == stub.KindStream {
		req.Deadline = streamDeadline
		// Skews the load towards the first models.
		req.Model = testbed.Models[min(r.IntN(len(testbed.Models)), r.IntN(len(testbed.Models)))]
		if r.IntN(4) == 0 {
			req.Model += "/a" + string(rune('1'+r.IntN(6)))
		}
	}
	if r.Float64() < cancelFraction {
		req.CancelAfter = time.Duration(1+r.IntN(300)) * time.Millisecond
	}
	if s.cfg.Versions && req.CancelAfter == 0 && req.Route.Resumable {
		req.CancelAfter = cutAfter(r)
	}
	return req
}

// checkResult checks the outcome of a request against the faults active at the time.
func (s *soak) checkResult(g *proc, req testbed.Request, res testbed.Result, sentAt time.Time) {
	now := time.Now()
	checker := s.env.Checker
	checker.Increment(req.Route.Name + "_" + res.Outcome.String())
	faultFree := g.faultFree(sentAt, now)
	s.checkRefusal(req, res)
	switch res.Outcome {
	case testbed.OutcomeConnectionLost:
		// A stream may be cut short when its endpoint fails; a plain request must get a
		// response all the same.
		streamBroken := req.Route.Kind == stub.KindStream && (checker.FaultInjected(res.ID) || s.faultDuring(&s.pathFaults, sentAt.Add(-time.Second), now))
		if faultFree && !streamBroken {
			checker.AddViolation("LOST", "request %s (%s) at %s lost its connection before a complete response, after %v: %s", res.ID, req.Route.Name, g.name, now.Sub(sentAt), res.Detail)
		}
	case testbed.OutcomeTimedOut:
		if faultFree {
			checker.AddViolation("CONFIG", "request %s (%s) at %s had no complete response %v after it was sent: %s", res.ID, req.Route.Name, g.name, now.Sub(sentAt), res.Detail)
		}
	case testbed.OutcomeFailed:
		if res.Status == http.StatusNotFound || res.Status == http.StatusBadRequest {
			checker.AddViolation("DENIED", "request %s (%s) at %s got status %d", res.ID, req.Route.Name, g.name, res.Status)
		}
	case testbed.OutcomeServed, testbed.OutcomeRefused, testbed.OutcomeNotSent, testbed.OutcomeCancelled:
	}
}

// checkRecovery checks, after the last fault, that all gateways serve again and apply a new
// configuration within configApplyTimeout.
func (s *soak) checkRecovery(ctx context.Context) {
	checker := s.env.Checker
	if err := s.waitReady(ctx); err != nil {
		checker.AddViolation("RECOVER", "%v", err)
		return
	}
	_ = wait(ctx, stabilizationTime+storeRecoveryTime)
	var gateways sync.WaitGroup
	for _, g := range s.gateways {
		gateways.Go(func() { s.checkServes(g) })
	}
	gateways.Wait()
	c := testbed.NewClient(checker)
	defer c.Close()
	name := s.env.AddRoute()
	_ = wait(ctx, s.configBound())
	for _, g := range s.gateways {
		res := c.Do(s.properKey(testbed.Request{Gateway: g.callers, Route: s.env.Route(name), Path: "z", Deadline: requestDeadline}))
		if res.Status == http.StatusNotFound || res.Outcome == testbed.OutcomeRefused {
			checker.AddViolation("CONFIG", "%s returned status %d on a route added %v ago", g.name, res.Status, s.configBound())
		}
	}
}

// configBound is the time in which a change has to be in force. Deployments whose links are thin give
// it longer.
func (s *soak) configBound() time.Duration {
	if s.cfg.LargeConfigs {
		return largeConfigBound
	}
	return configApplyTimeout
}

// checkServes checks that a gateway serves each kind of route after the last fault.
func (s *soak) checkServes(g *proc) {
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	for _, route := range []string{"get", "post", "chat", "talk"} {
		served := 0
		const attempts = 6
		for range attempts {
			req := testbed.Request{Gateway: g.callers, Route: s.env.Route(route), Path: "y", Deadline: streamDeadline}
			if req.Route.Kind == stub.KindStream {
				req.Model = testbed.Models[0]
			}
			if res := c.Do(s.properKey(req)); res.Outcome == testbed.OutcomeServed {
				served++
			}
		}
		if served < attempts/2 {
			s.env.Checker.AddViolation("RECOVER", "%s served only %d of %d requests on route %s after the last fault", g.name, served, attempts, route)
		}
	}
}

// checkArrivals checks that no request reached an endpoint after its drain period, and that
// repeated arrivals stayed within the retry budget.
func (s *soak) checkArrivals() {
	checker := s.env.Checker
	list := checker.Arrivals()
	firsts, repeats, oldest := 0, 0, 0
	for _, a := range list {
		if a.DrainingFor > drainPeriod+50*time.Millisecond && !s.gatewaysDisturbed(a.At) {
			checker.AddViolation("DRAIN", "a request reached an endpoint %v after it began to drain", a.DrainingFor)
		}
		if a.Repeated {
			repeats++
		} else {
			firsts++
		}
		for ; a.At.Sub(list[oldest].At) >= retryBudgetWindow; oldest++ {
			if list[oldest].Repeated {
				repeats--
			} else {
				firsts--
			}
		}
		if float64(repeats) > retryBudgetRatio*float64(firsts)+retryBudgetSlack {
			checker.AddViolation("BUDGET", "%d repeated arrivals to %d first arrivals within %v exceed the retry budget", repeats, firsts, retryBudgetWindow)
			return
		}
	}
}

// gatewaysDisturbed reports whether a recent fault may have kept a gateway from learning
// that an endpoint drains.
func (s *soak) gatewaysDisturbed(at time.Time) bool {
	from := at.Add(-drainPeriod - stabilizationTime)
	if s.faultDuring(&s.storeFaults, from, at) {
		return true
	}
	for _, g := range s.gateways {
		if !g.faultFree(from, at) {
			return true
		}
	}
	return false
}
