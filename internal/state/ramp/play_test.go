package ramp_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/ramp"
)

// play is a load on several equal servers, of which the first starts or recovers.
type play struct {
	gateways, servers, slots int
	// perServer is the number of requests a second for each server.
	perServer float64
	// engine is set for engines, which read one prompt at a time.
	engine bool
	// startsAt is when the first server is registered, speed its speed, and fails says that it
	// answers with a failure.
	startsAt time.Duration
	speed    func(at time.Duration) float64
	fails    func(at time.Duration) bool
	late     time.Duration
	noWindow bool
}

type request struct {
	gateway           *view
	prompt, run       time.Duration
	sentAt, estimated time.Duration
}

// view is what one gateway knows of one server.
type view struct {
	inFlight, prefilling, tokens int
	health                       health.Record
	window                       ramp.Window
	seen                         bool
}

// result is what the first server's requests met.
type result struct {
	sent, late, failed int
	// perHalf counts the requests sent to it in each half second.
	perHalf [playLength / half]int
}

const (
	playLength = 12 * time.Second
	half       = 500 * time.Millisecond
	perToken   = 25 * time.Microsecond
)

func (p play) run(seed uint64) result {
	var out result
	rnd := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	m := pick.LatencyModel{PrefillPerToken: perToken, MeanPrefillTokens: 1000, MeanServiceTime: 50 * time.Millisecond, MeanRunTime: 500 * time.Millisecond}
	queues, running, reports := make([][]*request, p.servers), make([][]*request, p.servers), make([]fleet.Status, p.servers)
	views := make([][]view, p.gateways)
	for g := range views {
		views[g] = make([]view, p.servers)
		for i := range views[g] {
			views[g][i].window = ramp.Unlimited(ramp.Size{Slots: p.slots, Gateways: p.gateways}, ramp.Place(fmt.Sprint("g", g), fmt.Sprint("e", i)))
		}
	}
	size := ramp.Size{Slots: p.slots, Gateways: p.gateways}
	respond := func(i int, r *request, at time.Duration) {
		now, v := start.Add(at), r.gateway
		v.health = v.health.WithResult(true, now).WithLatency(at-r.sentAt, r.estimated, now)
		if !p.noWindow {
			v.window = v.window.With(ramp.Response{Latency: at - r.sentAt, Estimate: r.estimated}, v.inFlight, now)
		}
		if i == 0 && at-r.sentAt > p.late {
			out.late++
		}
	}
	next := time.Duration(0)
	for at := time.Duration(0); at < playLength; at += time.Millisecond {
		now := start.Add(at)
		for i := range queues {
			work := time.Millisecond
			if i == 0 {
				work = time.Duration(p.speed(at) * float64(work))
			}
			for len(queues[i]) > 0 && len(running[i]) < p.slots && (!p.engine || work > 0) {
				r := queues[i][0]
				if p.engine {
					n := min(work, r.prompt)
					work, r.prompt = work-n, r.prompt-n
					if r.prompt > 0 {
						break
					}
					respond(i, r, at)
					r.gateway.prefilling--
					r.gateway.tokens -= r.gateway.tokens / (r.gateway.prefilling + 1)
				}
				queues[i], running[i] = queues[i][1:], append(running[i], r)
			}
			var left []*request
			for _, r := range running[i] {
				if i == 0 {
					r.run -= time.Duration(p.speed(at) * float64(time.Millisecond))
				} else {
					r.run -= time.Millisecond
				}
				if r.run > 0 {
					left = append(left, r)
					continue
				}
				if !p.engine {
					respond(i, r, at)
				}
				r.gateway.inFlight--
			}
			running[i] = left
			if at%(200*time.Millisecond) == 0 {
				reports[i] = fleet.Status{ReceivedAt: now, Alive: true, Running: len(running[i]), Prefilling: len(queues[i]), Models: []fleet.Resident{{Model: "m"}}}
			}
		}
		for ; next <= at; next += time.Duration(rnd.ExpFloat64() * float64(time.Second) / (p.perServer * float64(p.servers))) {
			g := rnd.IntN(p.gateways)
			tokens := 200 + int(rnd.ExpFloat64()*800)
			req := pick.Request{Service: "s", Gateway: fmt.Sprint("g", g), Gateways: p.gateways, Repeatable: true}
			if p.engine {
				req.ModelName, req.Parts = fleet.ModelName{Model: "m"}, []pick.PromptPart{{Tokens: tokens}}
			}
			for attempt := 0; attempt < 3; attempt++ {
				var list []pick.Candidate
				for i := range p.servers {
					v := &views[g][i]
					if i == 0 && at < p.startsAt {
						continue
					}
					if i == 0 && !v.seen && !p.noWindow && p.startsAt > 0 {
						v.seen, v.window = true, ramp.New(size, ramp.Place(req.Gateway, "e0"), now)
					}
					c := pick.Candidate{
						Slots: p.slots, InFlight: v.inFlight, Prefilling: v.prefilling, PrefillTokens: v.tokens, IdleConnection: true, Health: v.health,
						State: fleet.State{Endpoint: fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s"}, Status: reports[i], StatusSupersedes: p.engine},
					}
					if p.engine {
						v.window = v.window.WithReport(p.slots-reports[i].Running, reports[i].Prefilling, reports[i].ReceivedAt)
					}
					v.window, _, _ = v.window.Ended(now)
					if c.WindowFull = v.window.Limiting() && !v.window.Room(v.inFlight, now); c.WindowFull {
						v.window = v.window.WithExcluded(now)
					}
					c.Forgiven, c.Probing = v.window.Forgiven(), v.window.Probing()
					list = append(list, c)
				}
				ch, ok := pick.BestInWindow(req, list, m, now, 8, rnd.Float64, func(ch pick.Choice) bool { return ch.Estimate < 5*time.Second })
				if !ok {
					break
				}
				i := 0
				for ch.ID != fmt.Sprint("e", i) {
					i++
				}
				v := &views[g][i]
				v.window = v.window.WithSend(now)
				if i == 0 {
					out.sent++
					out.perHalf[at/half]++
					if p.fails != nil && p.fails(at) {
						out.failed++
						v.health = v.health.WithResult(false, now)
						if !p.noWindow {
							v.window = v.window.With(ramp.Failure{}, v.inFlight, now)
						}
						req.Tried = append(req.Tried, ch.ID)
						continue
					}
				}
				r := &request{gateway: v, sentAt: at, estimated: ch.Estimate, run: time.Duration(float64(25*time.Millisecond) * (1 + rnd.ExpFloat64()))}
				v.inFlight++
				if p.engine {
					r.prompt, r.run = time.Duration(tokens)*perToken, 500*time.Millisecond
					v.prefilling++
					v.tokens += tokens
				}
				queues[i] = append(queues[i], r)
				break
			}
		}
	}
	return out
}

func steady(speed float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return speed }
}

// warming returns a speed that rises from a first value to 1 within a time after the start.
func warming(first float64, start, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return min(1, first+(1-first)*max(0, float64(at-start))/float64(length))
	}
}

// timeToShare returns the time from a start until the server gets four fifths of its share, as
// a mean over one second.
func (r result) timeToShare(from time.Duration, share float64) time.Duration {
	for i := int(from / half); i+1 < len(r.perHalf); i++ {
		if float64(r.perHalf[i]+r.perHalf[i+1])/2 >= 0.8*share {
			return time.Duration(i)*half - from
		}
	}
	return playLength
}

// share returns the mean number of requests in a half second from a time on.
func (r result) share(from time.Duration) float64 {
	n := 0
	for _, k := range r.perHalf[from/half:] {
		n += k
	}
	return float64(n) / float64(len(r.perHalf)-int(from/half))
}

// TestPlays guards against a server that is flooded when it starts or recovers, or left idle after that.
func TestPlays(t *testing.T) {
	const gateways = 31
	// maxIdle is the time within which a server has to carry its share: that in which the
	// gateways' own start ends.
	const maxIdle = 3 * time.Second
	engine := play{gateways: gateways, servers: 4, slots: 64, perServer: 20, engine: true, startsAt: 2 * time.Second, late: 250 * time.Millisecond}
	plain := play{gateways: gateways, servers: 4, slots: 6, perServer: 60, speed: steady(1), late: 250 * time.Millisecond}
	slowStart, slow, starts, recovers, failsAgain := engine, engine, plain, plain, plain
	slowStart.speed, slow.speed = warming(0.1, 2*time.Second, 3*time.Second), steady(0.55)
	starts.startsAt, failsAgain.startsAt = 2*time.Second, 2*time.Second
	recovers.speed = func(at time.Duration) float64 {
		if at < 2*time.Second {
			return 1
		}
		return warming(0.2, 4*time.Second, time.Second)(at)
	}
	recovers.fails = func(at time.Duration) bool { return at >= 2*time.Second && at < 4*time.Second }
	failsAgain.fails = func(at time.Duration) bool { return at >= 3*time.Second && at < 6*time.Second }
	for _, tc := range []struct {
		name string
		p    play
		// ready is when the server can carry its share.
		ready time.Duration
		// maxFailed is one request of each gateway, and ten a second from all of them while the
		// server fails.
		maxFailed int
		// maxLate bounds the late requests, as a part of those without windows, if it isn't 0.
		maxLate float64
	}{
		{"an engine that starts slow", slowStart, 5 * time.Second, 0, 0.5},
		{"an engine with a speed of 0.55", slow, 2 * time.Second, 0, 1},
		{"a plain service that starts", starts, 2 * time.Second, 0, 0},
		{"a plain service that comes back", recovers, 4 * time.Second, gateways + 20, 0},
		{"a plain service that fails again", failsAgain, 6 * time.Second, gateways + 30, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			late, lateWithout := 0, 0
			for seed := range uint64(8) {
				got := tc.p.run(seed)
				p := tc.p
				p.noWindow = true
				without := p.run(seed)
				p.startsAt, p.fails = 0, nil
				if tc.p.fails != nil {
					p.speed = steady(1)
				}
				// The server's share is what it gets if it has neither started nor failed; its speed
				// in the end is the same.
				share := p.run(seed).share(6 * time.Second)
				p.speed = steady(1)
				warm := p.run(seed)
				idle, idleWithout := got.timeToShare(tc.ready, share), without.timeToShare(tc.ready, share)
				t.Logf("seed %d: late %d (%d without windows, %d at a warm server), failed %d (%d), share after %s (%s)", seed, got.late, without.late, warm.late, got.failed, without.failed, idle, idleWithout)
				if idle > maxIdle {
					t.Errorf("seed %d: the server carries its share after %s", seed, idle)
				}
				// Each gateway may learn from one late request.
				if got.late > warm.late+gateways || got.failed > tc.maxFailed {
					t.Errorf("seed %d: %d late and %d failed requests", seed, got.late, got.failed)
				}
				late, lateWithout = late+max(0, got.late-warm.late), lateWithout+max(0, without.late-warm.late)
			}
			if tc.maxLate > 0 && float64(late) > tc.maxLate*float64(lateWithout) {
				t.Errorf("%d late requests beyond those at a warm server, %d without windows", late, lateWithout)
			}
		})
	}
}

// TestRoomReturns guards against an endpoint that gets no request any more, whatever became of those before.
func TestRoomReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		size := ramp.Size{Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Gateways: rapid.IntRange(1, 103).Draw(t, "gateways")}
		w := ramp.Unlimited(size, rapid.Float64Range(0, 1).Draw(t, "place"))
		if rapid.Bool().Draw(t, "starts") {
			w = ramp.New(size, rapid.Float64Range(0, 1).Draw(t, "place"), now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			w, _, _ = w.Ended(now)
			n := rapid.IntRange(1, 20).Draw(t, "in flight")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w = w.With(ramp.Failure{}, n, now)
			case 1:
				w = w.With(ramp.TurnedAway{}, n, now)
			case 2:
				w = w.WithSend(now)
			default:
				w = w.With(ramp.Response{Latency: time.Duration(rapid.IntRange(1, 2000).Draw(t, "latency")) * time.Millisecond, Estimate: 100 * time.Millisecond}, n, now)
			}
		}
		// All gateways have begun after seven doublings, and probes of 103 gateways are 10.3 s apart.
		if !w.Room(0, now.Add(11*time.Second)) {
			t.Fatalf("no request may be sent after 11 s: %+v", w)
		}
		if _, _, open := w.Open(); open && w.Limit() < 1 {
			t.Fatalf("a limit of %d", w.Limit())
		}
	})
}

// TestEnded guards against windows that end early or never.
func TestEnded(t *testing.T) {
	start := time.Unix(1000, 0)
	size := ramp.Size{Slots: 64, Gateways: 1}
	inTime := ramp.Response{Latency: 10 * time.Millisecond, Estimate: 10 * time.Millisecond}
	for _, tc := range []struct {
		responses, inFlight int
		after               time.Duration
		want                ramp.Reason
	}{
		{0, 1, 9 * time.Second, ""},
		{0, 1, 11 * time.Second, ramp.Unused},
		{7, 1, 2 * time.Second, ""},
		{8, 1, 500 * time.Millisecond, ""},
		{8, 1, 2 * time.Second, ramp.NotLimiting},
		{80, 64, 500 * time.Millisecond, ramp.AllSlots},
	} {
		w := ramp.New(size, 0, start)
		for range tc.responses {
			w = w.With(inTime, tc.inFlight, start)
		}
		if _, reason, _ := w.Ended(start.Add(tc.after)); reason != tc.want {
			t.Errorf("after %d responses and %s: %q, want %q", tc.responses, tc.after, reason, tc.want)
		}
	}
}
