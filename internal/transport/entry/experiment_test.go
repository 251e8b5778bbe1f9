package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/state/fault"
)

const (
	endpoints = 8
	perToken  = 20 * time.Millisecond
	tokens    = 10
	// capacity is the fleet's capacity in requests per second.
	capacity = endpoints * slots * int(time.Second/(perToken*tokens))
)

// naiveProxy is the baseline: round robin, up to three attempts, health checks every 5 s.
type naiveProxy struct {
	mu      sync.Mutex
	next    int
	hosts   []*host
	leaving map[int]bool
}

func (p *naiveProxy) pick() *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.next = (p.next + 1) % len(p.hosts)
		if !p.leaving[p.next] {
			return p.hosts[p.next]
		}
	}
}

func (p *naiveProxy) send(ctx context.Context, c call) answer {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := fmt.Appendf(nil, `{"prompt":"%s %d"}`, c.id, c.tokens)
	a := answer{outcome: fault.OutcomeFailed}
	for range 3 {
		_, err := p.pick().engine.Run(ctx, engine.Request{Kind: wire.KindCompletion, Body: body}, func(item json.RawMessage) { a.body = string(item) })
		if err == nil {
			a.outcome = fault.OutcomeComplete
			break
		}
	}
	a.latency = time.Since(start)
	return a
}

// sender is a system under test: the entry or the naive proxy.
type sender interface {
	send(ctx context.Context, c call) answer
}

func newSystem(name string, f *testFleet) sender {
	if name == "naive" {
		return &naiveProxy{hosts: f.hosts, leaving: map[int]bool{}}
	}
	return f
}

// sendLoad sends rate requests per second for a duration and returns calls and answers.
// Arrival times are distinct, so that the order of events is the same in each run.
func sendLoad(t *testing.T, s sender, rate int, d time.Duration, newCall func(i int, rng *rand.Rand) call) ([]call, []answer) {
	rng := rand.New(rand.NewPCG(1, 2))
	n := rate * int(d/time.Second)
	calls, answers := make([]call, n), make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		gap := time.Second / time.Duration(rate)
		time.Sleep(gap/2 + time.Duration(rng.Int64N(int64(gap))))
		calls[i] = newCall(i, rng)
		wg.Go(func() { answers[i] = s.send(t.Context(), calls[i]); answers[i].completedAt = time.Now() })
	}
	wg.Wait()
	return calls, answers
}

// countViolations counts violations of the guarantees to callers: a non-idempotent request
// that ran twice, outcome "not run" for a request that ran, and another request's answer.
func countViolations(f *testFleet, calls []call, answers []answer) (runTwice, ranButNotRun, foreignAnswer int) {
	for i, c := range calls {
		n := f.executions(c.id)
		if c.nonIdempotent && n > 1 {
			runTwice++
		}
		if answers[i].outcome == fault.OutcomeNotRun && n > 0 {
			ranButNotRun++
		}
		if answers[i].outcome == fault.OutcomeComplete && answers[i].body != fmt.Sprintf(`{"answer":%q}`, c.id) {
			foreignAnswer++
		}
	}
	return runTwice, ranButNotRun, foreignAnswer
}

func (f *testFleet) totalExecutions() int {
	n := 0
	for _, h := range f.hosts {
		h.engine.mu.Lock()
		n += h.engine.runCount
		h.engine.mu.Unlock()
	}
	return n
}

func countOutcomes(answers []answer) string {
	n := map[fault.Outcome]int{}
	for _, a := range answers {
		n[a.outcome]++
	}
	return fmt.Sprintf("complete=%d not_run=%d failed=%d unknown=%d", n[fault.OutcomeComplete], n[fault.OutcomeNotRun], n[fault.OutcomeFailed], n[fault.OutcomeUnknown])
}

func mixedCall(i int, _ *rand.Rand) call {
	return call{id: fmt.Sprintf("r%d", i), tokens: tokens, nonIdempotent: i%2 == 1, startBy: 5 * time.Second, timeout: 10 * time.Second}
}

// runFaults injects faults into connections, engines and agents while requests run.
func runFaults(t *testing.T, f *testFleet, s sender) string {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(3, 4))
		for {
			select {
			case <-stop:
				return
			case <-time.After(300*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))):
			}
			h := f.hosts[rng.IntN(endpoints)]
			switch rng.IntN(4) {
			case 0:
				f.net.ResetConnections(entryID, h.addr)
			case 1:
				f.net.SetFault(entryID, h.addr, netsim.Fault{Blackhole: true})
				time.AfterFunc(1500*time.Millisecond, func() { f.net.SetFault(entryID, h.addr, netsim.Fault{Delay: time.Millisecond}) })
			case 2:
				h.engine.setFailing(true)
				time.AfterFunc(time.Second, func() { h.engine.setFailing(false) })
			case 3:
				f.restartAgent(t, h)
			}
		}
	})
	calls, answers := sendLoad(t, s, capacity/4, 30*time.Second, mixedCall)
	close(stop)
	wg.Wait()
	runTwice, ranButNotRun, foreignAnswer := countViolations(f, calls, answers)
	// The outcomes depend on the order of simultaneous events; the violation counts must not.
	t.Log(countOutcomes(answers))
	return fmt.Sprintf("answered=%d\nwrong: run_twice=%d not_run_but_ran=%d foreign_answer=%d\n", len(answers), runTwice, ranButNotRun, foreignAnswer)
}

// runFailing sends load while half of the endpoints fail every request.
func runFailing(t *testing.T, f *testFleet, s sender) string {
	for i, h := range f.hosts {
		h.engine.setFailing(i%2 == 0)
	}
	calls, answers := sendLoad(t, s, capacity/4, 15*time.Second, func(i int, rng *rand.Rand) call {
		c := mixedCall(i, rng)
		c.nonIdempotent = false
		return c
	})
	return fmt.Sprintf("%s\namplification=%.2f\n", countOutcomes(answers), float64(f.totalExecutions())/float64(len(calls)))
}

// runOverload offers a multiple of the capacity; only answers within one second count.
func runOverload(t *testing.T, s sender, times int) string {
	const timeout, seconds = time.Second, 8
	end := time.Now().Add(seconds * time.Second)
	_, answers := sendLoad(t, s, times*capacity, seconds*time.Second, func(i int, _ *rand.Rand) call {
		return call{id: fmt.Sprintf("r%d", i), tokens: tokens, startBy: timeout - tokens*perToken - 50*time.Millisecond, timeout: timeout}
	})
	good, rejected := 0, 0
	for _, a := range answers {
		if a.outcome == fault.OutcomeComplete && a.latency <= timeout && a.completedAt.Before(end) {
			good++
		}
		if a.outcome == fault.OutcomeNotRun && a.retryAfter != "" {
			rejected++
		}
	}
	return fmt.Sprintf("offered=%d/s goodput=%.0f%% of capacity refused_with_retry_after=%d\n", times*capacity, 100*float64(good)/float64(capacity*seconds), rejected)
}

// runLeaving drains one endpoint under load.
func runLeaving(t *testing.T, f *testFleet, s sender) string {
	var leftAt time.Time
	h := f.hosts[3]
	time.AfterFunc(5100*time.Millisecond, func() {
		leftAt = time.Now()
		h.agent.Leave()
		if p, ok := s.(*naiveProxy); ok {
			time.AfterFunc(4900*time.Millisecond, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.leaving[3] = true
			})
		}
	})
	_, answers := sendLoad(t, s, capacity/2, 15*time.Second, mixedCall)
	return fmt.Sprintf("%s\nlast_new_request_after=%s\n", countOutcomes(answers), max(h.engine.lastStart.Sub(leftAt), 0).Round(100*time.Millisecond))
}

// TestExperiment compares the entry with a naive proxy under faults and overload. The
// golden figures show the effect of any change to routing or retries.
func TestExperiment(t *testing.T) {
	datadriven.RunTest(t, "testdata/experiment.txt", func(t *testing.T, d *datadriven.TestData) (out string) {
		var system string
		d.ScanArgs(t, "system", &system)
		inBubble(t, endpoints, perToken, func(t *testing.T, f *testFleet) {
			s := newSystem(system, f)
			switch d.Cmd {
			case "faults":
				out = runFaults(t, f, s)
			case "failing":
				out = runFailing(t, f, s)
			case "overload":
				times := 1
				d.MaybeScanArgs(t, "times", &times)
				out = runOverload(t, s, times)
			case "leaving":
				out = runLeaving(t, f, s)
			}
		})
		return out
	})
}
