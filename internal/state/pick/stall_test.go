package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
)

// simEngine decodes one token of each stream a step and prefills one chunk of the prompts
// before it, as the engines of the deployments do.
type simEngine struct {
	slowdown float64
	// busyUntil is the end of the current step.
	busyUntil time.Duration
	queue     []*simStream
	running   []*simStream
	// report is the newest one for gateways that use the engine, idleReport for the others.
	report, idleReport simReport
}

type simPrefill struct {
	at     time.Duration
	tokens int
}

type simReport struct {
	at                  time.Duration
	prefilling, running int
}

type simStream struct {
	prompt, tokens, stride int
	sentAt, lastEvent      time.Duration
	started, measured      bool
	estimate               time.Duration
	decoded                int
	first, gap             time.Duration
}

const (
	simStep         = 5230 * time.Microsecond
	simPrefillToken = 26 * time.Microsecond
	simChunk        = 1024
	simGapObjective = 150 * time.Millisecond
	simFirst        = 250 * time.Millisecond
	simReportPeriod = 200 * time.Millisecond
	// simIdleReportPeriod is the time between reports of engines that a gateway has not used
	// within simUse.
	simIdleReportPeriod = time.Second
	simUse              = 3 * time.Second
	// simRatePerEngine is half of what an engine can serve.
	simRatePerEngine = 17
)

// step runs one step of the engine that ends after now, and completes streams.
func (e *simEngine) step(now time.Duration, done func(*simStream)) {
	tokens := 0
	for _, s := range e.queue {
		n := min(s.prompt, simChunk-tokens)
		s.prompt -= n
		tokens += n
	}
	took := time.Duration(e.slowdown * float64(simStep+time.Duration(tokens)*simPrefillToken))
	if len(e.queue) == 0 && len(e.running) == 0 {
		e.busyUntil = now + time.Millisecond
		return
	}
	e.busyUntil = now + took
	var queue []*simStream
	for _, s := range e.queue {
		if s.prompt > 0 {
			queue = append(queue, s)
			continue
		}
		e.running = append(e.running, s)
	}
	e.queue = queue
	var running []*simStream
	for _, s := range e.running {
		s.decoded++
		if s.decoded == 1 || s.decoded%s.stride == 0 || s.decoded == s.tokens {
			if s.started {
				s.gap = max(s.gap, e.busyUntil-s.lastEvent)
			} else {
				s.first = e.busyUntil - s.sentAt
			}
			s.started, s.lastEvent = true, e.busyUntil
		}
		if s.decoded >= s.tokens {
			done(s)
			continue
		}
		running = append(running, s)
	}
	e.running = running
}

// domain returns the failure domain of the i-th gateway or engine.
func domain(i int) string { return string(rune('a' + i%3)) }

// fleetSize is the size of a played deployment.
type fleetSize struct{ gateways, engines int }

// policy is what the choice considers.
type policy struct{ stalls, affinity bool }

// playStalls plays streams over a fleet and returns the share of streams that missed the
// objective of their first event and that of their gaps. Some gateways get more requests than
// others.
func playStalls(seed uint64, size fleetSize, length time.Duration, pol policy) (lateFirst, lateGap float64) {
	rnd, draws := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	engines := make([]*simEngine, size.engines)
	for i := range engines {
		engines[i] = &simEngine{slowdown: []float64{1, 1, 1.3}[i%3]}
	}
	type own struct {
		health health.Record
		sent   []simPrefill
		open   []*simStream
	}
	gateways := make([][]own, size.gateways)
	for i := range gateways {
		gateways[i] = make([]own, len(engines))
	}
	m := LatencyModel{PrefillPerToken: simPrefillToken, MeanPrefillTokens: 550}
	total, first, gap := 0, 0, 0
	done := func(s *simStream) {
		total++
		switch {
		case s.first > simFirst:
			first++
		case s.gap > simGapObjective:
			gap++
		}
	}
	next := time.Duration(0)
	sum := func(list []simPrefill, since time.Duration) int {
		n := 0
		for _, p := range list {
			if p.at >= since {
				n += p.tokens
			}
		}
		return n
	}
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for _, e := range engines {
			if now >= e.busyUntil {
				e.step(now, done)
			}
			if now >= e.report.at+simReportPeriod {
				e.report = simReport{at: now, prefilling: len(e.queue), running: len(e.running) + len(e.queue)}
				if now >= e.idleReport.at+simIdleReportPeriod {
					e.idleReport = e.report
				}
			}
		}
		for ; next <= now; next += time.Duration(rnd.ExpFloat64() * float64(time.Second) / float64(simRatePerEngine*size.engines)) {
			n := min(rnd.IntN(size.gateways), rnd.IntN(size.gateways))
			g := gateways[n]
			prompt := 100 + int(rnd.ExpFloat64()*440)
			req := Request{Service: "s", ModelName: fleet.ModelName{Model: "m"}, Parts: []PromptPart{{Tokens: prompt}}, FailureDomain: domain(n)}
			if pol.stalls {
				req.GapObjective = simGapObjective
			}
			if pol.affinity {
				req.Gateway, req.Gateways = fmt.Sprint("g", n), size.gateways
			}
			var list []Candidate
			for i, e := range engines {
				report := e.idleReport
				if k := len(g[i].sent); k > 0 && now-g[i].sent[k-1].at < simUse {
					report = e.report
				}
				c := Candidate{Slots: 64, IdleConnection: true, State: fleet.State{
					Endpoint:         fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", FailureDomain: domain(i)},
					StatusSupersedes: true,
					Status: fleet.Status{
						ReceivedAt: testTime.Add(report.at), Alive: true, Running: report.running, Prefilling: report.prefilling,
						Models: []fleet.Resident{{Model: "m"}},
					},
				}}
				for _, s := range g[i].open {
					if s.decoded < s.tokens {
						c.InFlight++
					}
					if s.started && !s.measured {
						s.measured = true
						g[i].health = g[i].health.WithLatency(s.first, s.estimate, testTime.Add(now))
					}
					if !s.started {
						c.Prefilling++
						c.PrefillTokens += s.prompt
					}
				}
				c.Health = g[i].health
				c.SentTokens = sum(g[i].sent, now-simGapObjective)
				list = append(list, c)
			}
			ch, ok := Best(req, list, m, testTime.Add(now), 8, draws.Float64)
			if !ok {
				continue
			}
			for i, e := range engines {
				if list[i].State.ID == ch.ID {
					s := &simStream{prompt: prompt, tokens: 30 + rnd.IntN(500), stride: 6, sentAt: now, estimate: ch.Estimate}
					e.queue = append(e.queue, s)
					g[i].sent = append(g[i].sent, simPrefill{now, prompt})
					g[i].open = append(g[i].open, s)
				}
			}
		}
	}
	return float64(first) / float64(total), float64(gap) / float64(total)
}

// TestStallsAvoided plays streams with a gap objective of 150 ms at half of the engines'
// capacity, where prompts that arrive together at one engine hold its streams up. It guards
// against a choice in which the gap objective or the gateways' affinity no longer helps.
func TestStallsAvoided(t *testing.T) {
	for _, tc := range []struct {
		size  fleetSize
		seeds uint64
		// maxShare bounds the late streams, as a share of those that are late if the choice
		// considers neither.
		maxShare float64
	}{
		{fleetSize{5, 6}, 24, 0.5},
		{fleetSize{15, 24}, 4, 0.5},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d engines", tc.size.gateways, tc.size.engines), func(t *testing.T) {
			mean := func(pol policy) (first, gap float64) {
				for seed := range tc.seeds {
					f, g := playStalls(seed, tc.size, 8*time.Second, pol)
					first, gap = first+f/float64(tc.seeds), gap+g/float64(tc.seeds)
				}
				return first, gap
			}
			firstBefore, before := mean(policy{})
			_, stalls := mean(policy{stalls: true})
			_, affinity := mean(policy{affinity: true})
			first, both := mean(policy{stalls: true, affinity: true})
			t.Logf("late gap: %.3f, with stalls %.3f, with affinity %.3f, with both %.3f; late first event %.4f, with both %.4f", before, stalls, affinity, both, firstBefore, first)
			if both > tc.maxShare*before {
				t.Errorf("%.3f of the streams miss their gap objective, %.3f if the choice considers neither", both, before)
			}
			if first > firstBefore+0.01 {
				t.Errorf("%.3f of the streams begin late, %.3f if the choice considers neither", first, firstBefore)
			}
		})
	}
}

// TestAffinity checks which requests go to engines that the gateway prefers, and that a queue
// outweighs the preference.
func TestAffinity(t *testing.T) {
	n := fleet.ParseModelName("m")
	alone := Request{Service: "s", ModelName: n, Parts: ParsePromptParts(n, "aa:200,bb:600"), SharedParts: 1, FailureDomain: "z", Gateways: 30}
	list := func() []Candidate { return []Candidate{candidate("a", nil), candidate("b", nil), candidate("c", nil)} }
	chosen := func(req Request, list []Candidate) map[string]int {
		out := map[string]int{}
		for i := range 60 {
			req.Gateway = fmt.Sprint("g", i)
			ch, ok := Best(req, list, latencyModel, testTime, 8, zeroDraw)
			if !ok {
				t.Fatal("no endpoint was chosen")
			}
			out[ch.ID]++
		}
		return out
	}
	for id, n := range chosen(alone, list()) {
		if n < 10 || n > 30 {
			t.Errorf("%d of 60 gateways prefer %s, want about 20", n, id)
		}
	}
	shared := alone
	shared.Parts = ParsePromptParts(n, "aa:6300,bb:2890")
	adapter := alone
	adapter.ModelName = fleet.ParseModelName("m/x")
	for name, req := range map[string]Request{"a prompt that is mostly shared": shared, "an adapter": adapter} {
		if got := chosen(req, list()); len(got) != 1 {
			t.Errorf("%s goes to %v, want one home", name, got)
		}
	}
	busy := list()
	for i := range busy[1:] {
		busy[i+1].PrefillTokens = 8000
	}
	if got := chosen(alone, busy); got["a"] != 60 {
		t.Errorf("%v chose the endpoints, two of which have a long queue", got)
	}
}
