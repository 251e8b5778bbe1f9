package trial

import (
	"container/heap"
	"container/list"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/state/prefix"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
)

// ChatResult is the outcome of a scenario under one set of routing rules.
type ChatResult struct {
	Offered, MetObjective, Finished int
	CachedTokens, PromptTokens      int
	FirstTokenTimes                 []time.Duration
	// LoadImbalance is the number of turns served by the busiest initial engine over the mean.
	LoadImbalance float64
	// NewCopyFirstTokenTimes are the times to first token at replicas younger than 30 s.
	NewCopyFirstTokenTimes []time.Duration
	Permits                int
}

type chatRun struct {
	s       ChatScenario
	rules   RoutingRules
	r       *rand.Rand
	now     time.Duration
	seq     int
	chats   int
	events  events
	engines []*chatEngine
	byID    map[string]int
	index   []*route.Index
	entries []*chatEntry
	holders [][]int
	result  ChatResult
}

// RunChats simulates a scenario under one set of routing rules.
func RunChats(s ChatScenario, rules RoutingRules) ChatResult {
	f := &chatRun{s: s, rules: rules, r: rand.New(rand.NewPCG(20261203, 5)), byID: map[string]int{}}
	for range s.Engines {
		f.addEngine()
	}
	for range s.Entries {
		f.entries = append(f.entries, &chatEntry{reports: map[[2]int]loadReport{}, inFlight: map[string]int{}, dispatches: prefix.NewIndex(dispatchIndexDigests)})
	}
	f.holders = make([][]int, s.Models)
	f.index = make([]*route.Index, s.Models)
	for m := range s.Models {
		for k := range s.Copies {
			i := (m*s.Engines/s.Models + k) % s.Engines
			f.holders[m] = append(f.holders[m], i)
			f.engines[i].residentSince[m] = -time.Hour
		}
		f.place(m)
	}
	if s.EngineJoins {
		f.after(s.Horizon/2, f.join)
	}
	f.arrive()
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	total, busiest := 0, 0
	for _, e := range f.engines[:s.Engines] {
		total, busiest = total+e.served, max(busiest, e.served)
	}
	f.result.LoadImbalance = float64(busiest) * float64(s.Engines) / float64(total)
	slices.Sort(f.result.FirstTokenTimes)
	slices.Sort(f.result.NewCopyFirstTokenTimes)
	return f.result
}

func (f *chatRun) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, do: do})
}

func (f *chatRun) place(m int) {
	var cs []route.Candidate
	var ids []string
	for _, i := range f.holders[m] {
		cs, ids = append(cs, route.Candidate{Endpoint: f.engines[i].id}), append(ids, f.engines[i].id)
	}
	f.index[m] = route.NewIndex(cs, ids)
}

// join adds an engine that holds every model and may be slow at first.
func (f *chatRun) join() {
	f.addEngine()
	for m := range f.s.Models {
		f.holders[m] = append(f.holders[m], len(f.engines)-1)
		f.engines[len(f.engines)-1].residentSince[m] = f.now
		f.engines[len(f.engines)-1].slowUntil = f.now + 20*time.Second
		f.place(m)
	}
}

func (f *chatRun) addEngine() {
	e := &chatEngine{id: fmt.Sprintf("engine-%03d", len(f.engines)), estimate: prefix.NewCacheEstimate(cacheEstimateDigests), perToken: prefillPerToken, digestAtBlock: map[uint64]uint64{}, residentSince: map[int]time.Duration{}}
	e.cache = blockCache{size: f.s.CacheTokens / blockTokens, order: list.New(), elements: map[uint64]*list.Element{}, evicted: func(k uint64) { f.blockEvicted(e, k) }}
	f.byID[e.id] = len(f.engines)
	f.engines = append(f.engines, e)
}

// arrive begins a chat and schedules the next one.
func (f *chatRun) arrive() {
	f.chats++
	// Each conversation has its own random sequence, so that all rule sets get the same load.
	c := &chat{id: f.chats, r: rand.New(rand.NewPCG(20261203, uint64(f.chats)))}
	c.model, c.turns = c.r.IntN(f.s.Models), 1+c.r.IntN(2*f.s.MeanTurns-1)
	if c.r.Float64() >= f.s.SharedInstructionsShare {
		c.template = 1 + c.r.IntN(templatesPerModel-1)
	}
	c.homeKey = fmt.Sprint(c.id)
	if c.r.Float64() < f.s.SharedFirstMessageShare {
		c.homeKey = fmt.Sprint("examples of model ", c.model)
	}
	f.send(c)
	if gap := time.Duration(c.r.ExpFloat64() / (f.s.ChatRate * float64(f.s.Engines)) * float64(time.Second)); f.now+gap < f.s.Horizon {
		f.after(gap, f.arrive)
	}
}

func (f *chatRun) send(c *chat) {
	c.turn++
	t := c.nextTurn(f.now)
	f.result.Offered++
	en := f.entries[f.r.IntN(len(f.entries))]
	t.entry = en
	sample := f.sample(en, t)
	i := route.Choose(sample)
	if f.rules.LeaveBusyHomes && sample[i].Wait >= spillWait {
		others := f.index[c.model].SampleNonHomes(f.r, sampleSize, sample, nil)
		f.report(en, t, others)
		sample = append(sample, others...)
		i = route.Choose(sample)
	}
	e := f.engines[f.byID[sample[i].Endpoint]]
	en.inFlight[e.id]++
	if f.rules.DispatchIndex {
		en.dispatches.Add(e.id, t.digests)
	}
	var delay time.Duration
	if sample[i].NeedsPermit {
		f.result.Permits++
		delay = permitDelay
	}
	f.after(delay, func() {
		e.queue = append(e.queue, t)
		f.start(e)
	})
}

// sample returns the sampled candidates as an entry sees them.
func (f *chatRun) sample(en *chatEntry, t *turn) []route.Candidate {
	home := t.c.homeKey
	if !f.rules.ConversationHomes {
		home = fmt.Sprint(t.c.id, " ", t.c.turn)
	}
	q := route.Query{HomeKey: home, Tried: sets.Of[string]()}
	cs := f.index[t.c.model].Sample(f.r, sampleSize, q)
	f.report(en, t, cs)
	return cs
}

// report fills candidates with the agents' load reports and the entry's own records.
func (f *chatRun) report(en *chatEntry, t *turn, cs []route.Candidate) {
	for i := range cs {
		c := &cs[i]
		n := f.byID[c.Endpoint]
		e := f.engines[n]
		key := [2]int{n, t.c.model}
		rep, ok := en.reports[key]
		fresh := !ok || f.now-rep.at >= reportMaxAge
		if fresh {
			rep = loadReport{at: f.now, busy: e.running, wait: f.wait(e), perToken: e.perToken}
			en.reports[key] = rep
		}
		c.LoadKnown, c.Resident, c.Slots, c.Running, c.Wait = true, true, slots, rep.busy, rep.wait
		c.InFlight = en.inFlight[c.Endpoint]
		if !f.rules.DigestsInProbes && !f.rules.DispatchIndex {
			continue
		}
		c.PromptTokens, c.PrefillPerToken = t.digests[len(t.digests)-1].Tokens, rep.perToken
		if f.rules.DigestsInProbes && fresh {
			c.CachedTokens = e.estimate.CachedTokens(t.digests)
		} else if f.rules.DispatchIndex {
			c.CachedTokens = en.dispatches.CachedTokens(c.Endpoint, t.digests)
		}
	}
}

func (f *chatRun) wait(e *chatEngine) time.Duration {
	var w time.Duration
	if e.running >= slots || len(e.queue) > 0 {
		w = serviceTime * time.Duration(len(e.queue)+1) / slots
	}
	if f.rules.PrefillBacklog {
		w += time.Duration(e.prefillTokens) * e.perToken
	}
	return w
}

// start runs queued turns while slots are free.
func (f *chatRun) start(e *chatEngine) {
	for e.running < slots && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		if f.now-t.at > callerDeadline {
			t.entry.inFlight[e.id]--
			continue
		}
		e.running++
		e.served++
		cached := e.cache.use(t.blocks)
		expected := max(t.digests[len(t.digests)-1].Tokens-e.estimate.CachedTokens(t.digests), 0)
		ahead := e.prefillTokens
		e.prefillTokens += expected
		e.estimate.Add(t.digests)
		for _, m := range t.digests {
			if n := m.Tokens / blockTokens; n <= len(t.blocks) {
				e.digestAtBlock[t.blocks[n-1]] = m.Hash
			}
		}
		prompt := templateTokens + t.c.tokens
		f.result.CachedTokens, f.result.PromptTokens = f.result.CachedTokens+cached, f.result.PromptTokens+prompt
		perToken := prefillPerToken
		if f.s.JoinSlowdown > 0 && f.now < e.slowUntil {
			perToken = time.Duration(f.s.JoinSlowdown * float64(perToken))
		}
		e.prefillDone = max(e.prefillDone, f.now) + time.Duration(prompt-cached)*perToken
		began := f.now
		f.after(e.prefillDone-f.now, func() {
			e.prefillTokens -= expected
			if work := expected + ahead; work >= minMeasuredTokens {
				e.perToken += ((f.now-began)/time.Duration(work) - e.perToken) / perTokenSmoothing
			}
		})
		first := e.prefillDone + tokenInterval - t.at
		f.result.FirstTokenTimes = append(f.result.FirstTokenTimes, first)
		if f.now-e.residentSince[t.c.model] < 30*time.Second {
			f.result.NewCopyFirstTokenTimes = append(f.result.NewCopyFirstTokenTimes, first)
		}
		f.after(e.prefillDone-f.now+answerTokens*tokenInterval, func() {
			e.running--
			t.entry.inFlight[e.id]--
			f.result.Finished++
			if first <= firstTokenObjective {
				f.result.MetObjective++
			}
			f.finishTurn(e, t.c)
			f.start(e)
		})
	}
}

// finishTurn adds the answer to the conversation and schedules the next turn, if any.
func (f *chatRun) finishTurn(e *chatEngine, c *chat) {
	c.tokens += answerTokens
	e.cache.use(c.blockKeys(templateTokens + c.tokens))
	if c.turn < c.turns && f.now < f.s.Horizon {
		f.after(time.Duration(c.r.ExpFloat64()*float64(f.s.MeanThinkTime)), func() { f.send(c) })
	}
}

// blockEvicted reports the eviction of a block to the agent after eventDelay. In every
// tenth second the events are lost; the next event reveals the gap.
func (f *chatRun) blockEvicted(e *chatEngine, block uint64) {
	hash, ok := e.digestAtBlock[block]
	delete(e.digestAtBlock, block)
	if !f.rules.EvictionEvents {
		return
	}
	if int(f.now/time.Second)%10 == 7 {
		e.eventsLost = true
		return
	}
	if e.eventsLost {
		e.eventsLost = false
		f.after(eventDelay, e.estimate.MarkUncertain)
	}
	if ok {
		f.after(eventDelay, func() { e.estimate.Drop(hash) })
	}
}

// PrintChats runs all rule sets on all scenarios and writes the results as a Markdown table.
func PrintChats(w io.Writer, scenarios []ChatScenario) error {
	if _, err := fmt.Fprint(w, "\n| load | without | turns | kept | cached | first token, median | 95th | 95th at fresh copies | spread | permits |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	quantile := func(d []time.Duration, q float64) string {
		if len(d) == 0 {
			return "–"
		}
		return fmt.Sprint(d[int(q*float64(len(d)-1))].Milliseconds(), " ms")
	}
	for _, s := range scenarios {
		results := make([]ChatResult, len(chatRules()))
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, maxParallelRuns)
		for i, rules := range chatRules() {
			wg.Go(func() {
				semaphore <- struct{}{}
				results[i] = RunChats(s, rules)
				<-semaphore
			})
		}
		wg.Wait()
		for i, rules := range chatRules() {
			r := results[i]
			_, err := fmt.Fprintf(w, "| %s | %s | %d | %.1f%% | %.1f%% | %s | %s | %s | %.2f | %d |\n", s.Name, rules.Name, r.Offered,
				100*float64(r.MetObjective)/float64(r.Offered), 100*float64(r.CachedTokens)/float64(r.PromptTokens), quantile(r.FirstTokenTimes, 0.5), quantile(r.FirstTokenTimes, 0.95), quantile(r.NewCopyFirstTokenTimes, 0.95), r.LoadImbalance, r.Permits)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
