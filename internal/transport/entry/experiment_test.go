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
	// capacity is the fleet's number of requests per second.
	capacity = endpoints * slots * int(time.Second/(perToken*tokens))
)

// naive is a proxy without any of the rules: round robin, three tries, health checks every 5 s.
type naive struct {
	mu      sync.Mutex
	next    int
	hosts   []*host
	leaving map[int]bool
}

func (p *naive) pick() *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.next = (p.next + 1) % len(p.hosts)
		if !p.leaving[p.next] {
			return p.hosts[p.next]
		}
	}
}

func (p *naive) send(ctx context.Context, c call) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.patience)
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
	a.took = time.Since(began)
	return a
}

// sender is a system under test: the entry or the naive proxy.
type sender interface {
	send(ctx context.Context, c call) answer
}

func systemOf(name string, r *rig) sender {
	if name == "naive" {
		return &naive{hosts: r.hosts, leaving: map[int]bool{}}
	}
	return r
}

// load sends rate requests a second for a time and returns calls and answers. Arrivals
// have distinct times, so that the order of events is the same in each run.
func load(t *testing.T, s sender, rate int, d time.Duration, shape func(i int, rng *rand.Rand) call) ([]call, []answer) {
	rng := rand.New(rand.NewPCG(1, 2))
	n := rate * int(d/time.Second)
	calls, answers := make([]call, n), make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		gap := time.Second / time.Duration(rate)
		time.Sleep(gap/2 + time.Duration(rng.Int64N(int64(gap))))
		calls[i] = shape(i, rng)
		wg.Go(func() { answers[i] = s.send(t.Context(), calls[i]); answers[i].at = time.Now() })
	}
	wg.Wait()
	return calls, answers
}

// wrong counts what no caller may see: a second run of a request that may not be
// repeated, "not run" for one that ran, an answer to another request.
func wrong(r *rig, calls []call, answers []answer) (twice, ranButNotRun, foreign int) {
	for i, c := range calls {
		n := r.started(c.id)
		if c.once && n > 1 {
			twice++
		}
		if answers[i].outcome == fault.OutcomeNotRun && n > 0 {
			ranButNotRun++
		}
		if answers[i].outcome == fault.OutcomeComplete && answers[i].body != fmt.Sprintf(`{"answer":%q}`, c.id) {
			foreign++
		}
	}
	return twice, ranButNotRun, foreign
}

func (r *rig) total() int {
	n := 0
	for _, h := range r.hosts {
		h.engine.mu.Lock()
		n += h.engine.total
		h.engine.mu.Unlock()
	}
	return n
}

func count(answers []answer) string {
	n := map[fault.Outcome]int{}
	for _, a := range answers {
		n[a.outcome]++
	}
	return fmt.Sprintf("complete=%d not_run=%d failed=%d unknown=%d", n[fault.OutcomeComplete], n[fault.OutcomeNotRun], n[fault.OutcomeFailed], n[fault.OutcomeUnknown])
}

func mixed(i int, _ *rand.Rand) call {
	return call{id: fmt.Sprintf("r%d", i), tokens: tokens, once: i%2 == 1, startBy: 5 * time.Second, patience: 10 * time.Second}
}

// faults breaks connections, engines and agents while requests run.
func faults(t *testing.T, r *rig, s sender) string {
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
			h := r.hosts[rng.IntN(endpoints)]
			switch rng.IntN(4) {
			case 0:
				r.net.Cut(entryID, h.addr)
			case 1:
				r.net.SetFault(entryID, h.addr, netsim.Fault{Silent: true})
				time.AfterFunc(1500*time.Millisecond, func() { r.net.SetFault(entryID, h.addr, netsim.Fault{Delay: time.Millisecond}) })
			case 2:
				h.engine.setFailing(true)
				time.AfterFunc(time.Second, func() { h.engine.setFailing(false) })
			case 3:
				r.restartAgent(t, h)
			}
		}
	})
	calls, answers := load(t, s, capacity/4, 30*time.Second, mixed)
	close(stop)
	wg.Wait()
	twice, ran, foreign := wrong(r, calls, answers)
	// The outcomes depend on which of two events of one instant comes first; the counts of wrong ones must not.
	t.Log(count(answers))
	return fmt.Sprintf("answered=%d\nwrong: run_twice=%d not_run_but_ran=%d foreign_answer=%d\n", len(answers), twice, ran, foreign)
}

// failing has half of the endpoints fail every request.
func failing(t *testing.T, r *rig, s sender) string {
	for i, h := range r.hosts {
		h.engine.setFailing(i%2 == 0)
	}
	calls, answers := load(t, s, capacity/4, 15*time.Second, func(i int, rng *rand.Rand) call {
		c := mixed(i, rng)
		c.once = false
		return c
	})
	return fmt.Sprintf("%s\namplification=%.2f\n", count(answers), float64(r.total())/float64(len(calls)))
}

// overload offers a multiple of the capacity; an answer counts within one second.
func overload(t *testing.T, s sender, times int) string {
	const patience, seconds = time.Second, 8
	end := time.Now().Add(seconds * time.Second)
	_, answers := load(t, s, times*capacity, seconds*time.Second, func(i int, _ *rand.Rand) call {
		return call{id: fmt.Sprintf("r%d", i), tokens: tokens, startBy: patience - tokens*perToken - 50*time.Millisecond, patience: patience}
	})
	good, early := 0, 0
	for _, a := range answers {
		if a.outcome == fault.OutcomeComplete && a.took <= patience && a.at.Before(end) {
			good++
		}
		if a.outcome == fault.OutcomeNotRun && a.retryAfter != "" {
			early++
		}
	}
	return fmt.Sprintf("offered=%d/s goodput=%.0f%% of capacity refused_with_retry_after=%d\n", times*capacity, 100*float64(good)/float64(capacity*seconds), early)
}

// leaving has one endpoint leave under load with a long stream in flight.
func leaving(t *testing.T, r *rig, s sender) string {
	var at time.Time
	h := r.hosts[3]
	time.AfterFunc(5100*time.Millisecond, func() {
		at = time.Now()
		h.agent.Leave()
		if p, ok := s.(*naive); ok {
			time.AfterFunc(4900*time.Millisecond, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.leaving[3] = true
			})
		}
	})
	_, answers := load(t, s, capacity/2, 15*time.Second, mixed)
	return fmt.Sprintf("%s\nlast_new_request_after=%s\n", count(answers), max(h.engine.last.Sub(at), 0).Round(100*time.Millisecond))
}

// TestExperiment compares the system with a naive proxy under failure; the figures
// are golden, so that a change of any rule shows.
func TestExperiment(t *testing.T) {
	datadriven.RunTest(t, "testdata/experiment.txt", func(t *testing.T, d *datadriven.TestData) (out string) {
		var system string
		d.ScanArgs(t, "system", &system)
		inBubble(t, endpoints, perToken, func(t *testing.T, r *rig) {
			s := systemOf(system, r)
			switch d.Cmd {
			case "faults":
				out = faults(t, r, s)
			case "failing":
				out = failing(t, r, s)
			case "overload":
				times := 1
				d.MaybeScanArgs(t, "times", &times)
				out = overload(t, s, times)
			case "leaving":
				out = leaving(t, r, s)
			}
		})
		return out
	})
}
