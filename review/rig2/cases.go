package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

// The names of the models: the busy one is on all engines, the rare one on one.
const (
	busyModel = "m-busy"
	rareModel = "m-rare"
)

// smallConfig returns the configuration of a small deployment.
func smallConfig() stub.Config {
	engine := &stub.Engine{Slots: 64, CacheTokens: 231707, WeightsMB: 220000, AdapterSlots: 5, LoadsPerS: 2.1, Models: []stub.Model{
		{Name: busyModel, WeightsMB: 65100, LoadS: 1.5, WarmS: 0.4, DiskS: 0.4},
		{Name: rareModel, WeightsMB: 72700, LoadS: 1.5, WarmS: 0.4, DiskS: 0.4},
	}}
	return stub.Config{
		Version: 3,
		Limits:  stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000},
		Services: []stub.Service{
			{Name: engines, HealthPath: "/healthz", MaxConns: 360, Engine: engine},
			{Name: portal, HealthPath: "/healthz", MaxConns: 100},
		},
		Routes: []stub.Route{
			{Name: "dossier", Host: routeHost, Prefix: "/dossier/", Kind: stub.KindStream, TimeoutMS: 5000, ObjectiveMS: 800, GapObjectiveMS: 400, Priority: 1, Service: engines, MaxAttempts: 1},
			{Name: "registre", Host: routeHost, Prefix: "/registre/", Kind: stub.KindIdempotent, TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: portal, MaxAttempts: 2},
		},
	}
}

func holdBusy(int) []string { return []string{busyModel} }

// hasPart reports whether a prompt holds a part other than as its last one.
func hasPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		id, _, _ := strings.Cut(p, ":")
		return id == part
	})
}

// deadlyPart is the id of the prompt part that crashes runners.
const deadlyPart = "dead0001"

func crashOn(part string, trouble bool) func(r *runner) {
	return func(r *runner) {
		if trouble {
			r.deadly = func(prompt string) bool { return hasPart(prompt, part) }
		}
	}
}

// dossier returns a request for a dossier with a prompt; its body differs from all others'.
func (f *fleet) dossier(gateway int, prompt string) request {
	return request{
		gateway: f.gateways[gateway%len(f.gateways)], method: "POST", path: "/dossier/" + fmt.Sprint(gateway), body: "dossier for " + prompt,
		model: busyModel, prompt: prompt, deadline: 5 * time.Second,
	}
}

// every calls do at an interval until a time, each call on its own, and waits for all.
func every(interval time.Duration, until time.Time, do func(n int)) {
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; time.Now().Before(until); n++ {
		wg.Go(func() { do(n) })
		<-tick.C
	}
	wg.Wait()
}

// crashTimes returns when runners crashed, the first one first.
func (f *fleet) crashTimes() []time.Time {
	var out []time.Time
	for _, r := range f.runners {
		r.mu.Lock()
		out = append(out, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

func (f *fleet) allArrivals() []arrival {
	var out []arrival
	for _, r := range f.runners {
		r.mu.Lock()
		out = append(out, r.arrivals...)
		r.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

// The bounds of the rules on a deadly part of a prompt.
const (
	toldAfterCrashes = 5
	maxLateDeadly    = 3
)

// lateDeadly returns how many requests with the deadly part reached runners later than stable after
// the fifth crash.
func (f *fleet) lateDeadly(part string) (late, crashes int) {
	at := f.crashTimes()
	if len(at) < toldAfterCrashes {
		return 0, len(at)
	}
	for _, a := range f.allArrivals() {
		if hasPart(a.prompt, part) && a.ran && a.at.Sub(at[toldAfterCrashes-1]) > stable {
			late++
		}
	}
	return late, len(at)
}

// playDeadly sends sound requests and ones with the deadly part, and counts those that reach runners
// too late. prompt returns a prompt with some parts before its own last one.
func (f *fleet) playDeadly(d time.Duration, prompt func(n int, deadly bool) string) verdict {
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	wg.Go(func() {
		every(200*time.Millisecond, end, func(n int) { f.send(f.dossier(n, prompt(n, false))) })
	})
	wg.Go(func() {
		every(time.Second, end, func(n int) { f.send(f.dossier(n, prompt(1_000_000+n, true))) })
	})
	wg.Wait()
	late, crashes := f.lateDeadly(deadlyPart)
	return verdict{late > maxLateDeadly, fmt.Sprintf("BUDGET: %d requests with the part reached runners later than %v after crash number %d, %d are allowed; %d crashes in all", late, stable, toldAfterCrashes, maxLateDeadly, crashes)}
}

// longPrompt plays prompts of 18 parts, of which the last but one crashes runners.
func longPrompt(f *fleet, trouble bool) (verdict, error) {
	err := f.start(layout{gateways: 2, engines: 5, plain: 1, config: smallConfig(), hold: holdBusy, behave: crashOn(deadlyPart, trouble)})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stable)
	const turns = 16
	return f.playDeadly(30*time.Second, func(n int, deadly bool) string {
		parts := []string{"aa01:300"}
		for t := range turns - 1 {
			parts = append(parts, fmt.Sprintf("b%d%02x:40", n%3, t))
		}
		if deadly {
			parts = append(parts, deadlyPart+":50")
		}
		return strings.Join(append(parts, fmt.Sprintf("c%07x:20", n)), ",")
	}), nil
}

// firstEvent plays a part that crashes each runner once it has written the first event of an answer.
func firstEvent(f *fleet, trouble bool) (verdict, error) {
	err := f.start(layout{gateways: 2, engines: 5, plain: 1, config: smallConfig(), hold: holdBusy, behave: func(r *runner) {
		crashOn(deadlyPart, trouble)(r)
		r.eventsBeforeCrash = 1
	}})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stable)
	return f.playDeadly(30*time.Second, func(n int, deadly bool) string {
		if deadly {
			return fmt.Sprintf("aa01:300,%s:50,c%07x:20", deadlyPart, n)
		}
		return fmt.Sprintf("aa01:300,b%d:40,c%07x:20", n%3, n)
	}), nil
}

// firstPart plays a part that crashes runners while the first part of its prompts, which sound ones
// share, has not been answered since the gateways were restarted in turn.
func firstPart(f *fleet, trouble bool) (verdict, error) {
	err := f.start(layout{gateways: 2, engines: 5, plain: 1, config: smallConfig(), hold: holdBusy, behave: crashOn(deadlyPart, trouble)})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stable)
	const first = "aa01:300"
	var mu sync.Mutex
	count := func(sent, begun *int) func(n int) {
		return func(n int) {
			a := f.send(f.dossier(n, fmt.Sprintf("%s,b%d:40,c%07x:20", first, n%3, requestNumber.Load())))
			mu.Lock()
			defer mu.Unlock()
			*sent++
			if a.begun {
				*begun++
			}
		}
	}
	var calmSent, calmBegun, sent, begun int
	every(150*time.Millisecond, time.Now().Add(4500*time.Millisecond), count(&calmSent, &calmBegun))
	if err := f.restartInTurn(); err != nil {
		return verdict{}, err
	}
	time.Sleep(stable + time.Second)
	end := time.Now().Add(26 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		every(1200*time.Millisecond, end, func(n int) {
			f.send(f.dossier(n, fmt.Sprintf("%s,%s:50,d%07x:20", first, deadlyPart, n)))
		})
	})
	time.Sleep(8 * time.Second)
	if trouble {
		crashes := f.crashTimes()
		if len(crashes) == 0 {
			return verdict{}, fmt.Errorf("no runner crashed")
		}
		from := crashes[min(len(crashes), toldAfterCrashes)-1].Add(2*stable + 500*time.Millisecond)
		time.Sleep(time.Until(from))
	}
	f.rec.notef("the count of sound requests begins")
	every(200*time.Millisecond, end, count(&sent, &begun))
	wg.Wait()
	if sent < 20 || calmSent < 20 {
		return verdict{}, fmt.Errorf("too few sound requests: %d and %d", calmSent, sent)
	}
	share, calm := float64(begun)/float64(sent), float64(calmBegun)/float64(calmSent)
	return verdict{share < calm/2, fmt.Sprintf("LOST: %d of %d sound requests with the same first part began while deadly ones came, %d of %d before; %d crashes", begun, sent, calmBegun, calmSent, len(f.crashTimes()))}, nil
}

// equalRequest plays callers that ask the same of a rare model, whose runner crashes once.
func equalRequest(f *fleet, trouble bool) (verdict, error) {
	hold := func(i int) []string {
		if i == 0 {
			return []string{busyModel, rareModel}
		}
		return []string{busyModel}
	}
	err := f.start(layout{gateways: 2, engines: 5, plain: 1, config: smallConfig(), hold: hold, behave: func(r *runner) {
		if r.engine != nil {
			r.events, r.gap = 40, 40*time.Millisecond
		}
	}})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(stable)
	f.configure(func(c *stub.Config) {
		c.Routes = append(c.Routes, stub.Route{Name: "resume", Host: routeHost, Prefix: "/resume/", Kind: stub.KindStream, TimeoutMS: 5000, ObjectiveMS: 800, GapObjectiveMS: 400, Priority: 1, Service: engines, MaxAttempts: 1})
	})
	time.Sleep(stable)
	var mu sync.Mutex
	tally := map[string][2]int{}
	play := func(route string, q request) {
		a := f.send(q)
		mu.Lock()
		defer mu.Unlock()
		t := tally[route]
		t[0]++
		if a.served {
			t[1]++
		}
		tally[route] = t
	}
	// The callers ask for the summary of the same notice, but for one in ten; only the request's id and
	// the last part of the prompt, which is its own, differ.
	added := func(n int) {
		notice := "avis-4711"
		if n%10 == 9 {
			notice = fmt.Sprintf("avis-%d", 5000+requestNumber.Load())
		}
		play("added", request{
			gateway: f.gateways[n%len(f.gateways)], method: "POST", path: "/resume/" + notice, body: fmt.Sprintf(`{"summary_of":%q}`, notice),
			model: rareModel, prompt: fmt.Sprintf("aa01:300,cc%07x:20", requestNumber.Load()), deadline: 5 * time.Second,
		})
	}
	first := func(n int) {
		play("first", f.dossier(n, fmt.Sprintf("aa01:300,b%d:40,c%07x:20", n%3, requestNumber.Load())))
	}
	round := func(d time.Duration) {
		end := time.Now().Add(d)
		var wg sync.WaitGroup
		wg.Go(func() { every(400*time.Millisecond, end, added) })
		wg.Go(func() { every(300*time.Millisecond, end, first) })
		wg.Wait()
	}
	var wg sync.WaitGroup
	wg.Go(func() { round(6 * time.Second) })
	time.Sleep(5 * time.Second)
	if trouble {
		r := f.runners[0]
		r.crash(r.currentID(), "as runners do")
	}
	wg.Wait()
	f.rec.notef("before and during the crash, sent and served: %v", tally)
	// The runner is back after seconds, and the model is loaded again.
	time.Sleep(10 * time.Second)
	mu.Lock()
	tally = map[string][2]int{}
	mu.Unlock()
	f.rec.notef("the steady state begins")
	round(15 * time.Second)
	return addedRoute(tally)
}
