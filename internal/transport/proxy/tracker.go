package proxy

import (
	"container/list"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
	"chervilhead/internal/state/notice"
	"chervilhead/internal/state/pace"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/ramp"
	"chervilhead/internal/state/resume"
)

// maxCachedPrefixes bounds the prompt prefixes in the cache estimate of one endpoint.
const maxCachedPrefixes = 4096

// tracker keeps what the gateway learns of endpoints from its own requests, and prompt prefixes
// that other gateways report.
type tracker struct {
	mu            sync.Mutex
	endpoints     map[string]*endpointRecord
	latencyModels map[string]pick.LatencyModel
	// prefillRatios holds, by model, the measured prefill time relative to the mean model's.
	prefillRatios map[string]float64
	retryBudgets  map[string]*budget.Retries
	retryLimit    budget.Limit
	firstStart    bool
	start         time.Time
	statements    map[fleet.IncarnationID]*statements
	// pauses are those that endpoints asked this gateway for.
	pauses *notice.Pauses
	// ramps is nil unless requests to endpoints that have just started are limited.
	ramps *ramps
}

// endpointRecord is what is known of one endpoint incarnation.
type endpointRecord struct {
	incarnation               fleet.IncarnationID
	inFlight                  int
	prefilling, prefillTokens int
	// sends are the latest requests to the endpoint with their tokens to prefill, oldest first.
	sends          []prefillSend
	health         health.Record
	cachedPrefixes map[uint64]*list.Element
	lru            *list.List
	// breaks are those of connections to the endpoint, also of ones that could not be opened.
	breaks resume.Breaks
	// usedAdapters are the adapters requested since the last takeUsedAdapters.
	usedAdapters map[string]struct{}
	// activeNames counts the requests in flight by model name.
	activeNames map[string]int
	// prefilledPrefixes are the shared prompt prefixes prefilled since the last takePrefilledPrefixes.
	prefilledPrefixes []uint64
}

// prefillSend is the prefill that one request to an endpoint needs.
type prefillSend struct {
	at     time.Time
	tokens int
}

// maxSends bounds the requests that are kept to tell what an endpoint was sent lately.
const maxSends = 64

// sentSince returns the number of requests, and their prompt tokens to prefill, since a time.
func (r *endpointRecord) sentSince(since time.Time) (requests, tokens int) {
	for _, s := range slices.Backward(r.sends) {
		if s.at.Before(since) {
			break
		}
		requests++
		tokens += s.tokens
	}
	return requests, tokens
}

const (
	// initialPrefillPerToken is a prefill rate of 40 prompt tokens a millisecond, that of
	// current engines.
	initialPrefillPerToken = 25 * time.Microsecond
	// initialPrefillTokens is the length of a typical prompt beyond its shared parts, assumed
	// until requests have been measured.
	initialPrefillTokens = 1500
	// initialServiceTime is the time of a typical plain call, assumed until calls have been
	// measured.
	initialServiceTime = 50 * time.Millisecond
	// initialRunTime is the time of a typical run at an engine, assumed until runs have been
	// measured.
	initialRunTime = time.Second
	// meanWeight is the weight of a new measurement in the moving means.
	meanWeight = 0.05
	// minRatioTokens is the number of prefill tokens above which a request is used to measure
	// its model's prefill ratio.
	minRatioTokens = 400
	// ratioWeight is the weight of a new measurement in a model's prefill ratio, which stays
	// between minPrefillRatio and maxPrefillRatio.
	ratioWeight                      = 0.1
	minPrefillRatio, maxPrefillRatio = 0.25, 3
)

func newTracker(limit budget.Limit, firstStart bool) *tracker {
	return &tracker{endpoints: map[string]*endpointRecord{}, latencyModels: map[string]pick.LatencyModel{}, prefillRatios: map[string]float64{}, retryBudgets: map[string]*budget.Retries{}, retryLimit: limit, firstStart: firstStart, start: time.Now(), statements: map[fleet.IncarnationID]*statements{}, pauses: notice.NewPauses()}
}

func (t *tracker) endpoint(e fleet.Endpoint) *endpointRecord {
	r, ok := t.endpoints[e.ID]
	if !ok || r.incarnation != e.IncarnationID() {
		// A new incarnation has an empty cache, and the requests in flight ended with the old one.
		r = &endpointRecord{incarnation: e.IncarnationID(), cachedPrefixes: map[uint64]*list.Element{}, lru: list.New(), usedAdapters: map[string]struct{}{}, activeNames: map[string]int{}}
		t.endpoints[e.ID] = r
	}
	return r
}

func (t *tracker) serviceLatencyModel(service string) pick.LatencyModel {
	m, ok := t.latencyModels[service]
	if !ok {
		m = pick.LatencyModel{PrefillPerToken: initialPrefillPerToken, MeanPrefillTokens: initialPrefillTokens, MeanServiceTime: initialServiceTime, MeanRunTime: initialRunTime}
	}
	return m
}

// candidates returns the endpoints that serve the request's model, or its service if it names
// none, with what the gateway knows of them; gateways is the number of gateways that share an
// endpoint's rate limit.
func (t *tracker) candidates(states []fleet.State, slots int, req pick.Request, gateways int, connected func(e fleet.Endpoint) bool) []pick.Candidate {
	now := time.Now()
	t.ramps.observe(states, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]pick.Candidate, 0, len(states))
	for _, s := range states {
		if s.Service != req.Service || s.Replaced {
			continue
		}
		if req.ModelName.Model != "" {
			if held, _ := fleet.Holds(s.Residents(), req.ModelName); !held {
				continue
			}
		}
		r := t.endpoint(s.Endpoint)
		c := pick.Candidate{State: s, Slots: s.Slots, InFlight: r.inFlight, Prefilling: r.prefilling, PrefillTokens: r.prefillTokens, Health: r.health, IdleConnection: connected(s.Endpoint)}
		if c.Slots == 0 {
			c.Slots = slots
		}
		if said, ok := t.statements[s.IncarnationID()]; ok && said.rateLimit.named {
			c.RateWait = said.pace.Wait(now, pace.NewShare(said.rateLimit.perSecond, gateways))
		}
		c.PauseLeft = t.pauses.Left(s.IncarnationID(), now)
		t.ramps.look(&c, gateways, now)
		if req.GapObjective > 0 {
			_, c.SentTokens = r.sentSince(now.Add(-req.GapObjective))
		}
		if s.StatusSupersedes {
			c.SentSinceReport, _ = r.sentSince(s.Status.ReceivedAt)
		}
		for _, p := range req.Parts {
			if _, ok := r.cachedPrefixes[p.PrefixHash]; !ok {
				break
			}
			c.CachedTokens += p.Tokens
		}
		out = append(out, c)
	}
	return out
}

// beginRequest records that a request is dispatched to an endpoint. The returned functions
// record its first token and its end; each takes effect once.
func (t *tracker) beginRequest(e fleet.Endpoint, req pick.Request, prefillTokens int) (first func(), end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	r.inFlight++
	r.prefilling++
	r.prefillTokens += prefillTokens
	if len(r.sends) == maxSends {
		r.sends = slices.Delete(r.sends, 0, maxSends/2)
	}
	r.sends = append(r.sends, prefillSend{time.Now(), prefillTokens})
	name := req.ModelName.String()
	if req.ModelName.Adapter != "" && len(r.usedAdapters) < maxUsedAdapters {
		r.usedAdapters[name] = struct{}{}
	}
	r.activeNames[name]++
	began := time.Now()
	prefilling, running := true, true
	first = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if prefilling {
			prefilling = false
			r.prefilling--
			r.prefillTokens -= prefillTokens
		}
	}
	end = func() {
		t.mu.Lock()
		ran := running && !prefilling && req.ModelName.Model != ""
		t.mu.Unlock()
		first()
		t.mu.Lock()
		defer t.mu.Unlock()
		if ran {
			m := t.serviceLatencyModel(req.Service)
			m.MeanRunTime += time.Duration(meanWeight * float64(time.Since(began)-m.MeanRunTime))
			t.latencyModels[req.Service] = m
		}
		if running {
			running = false
			r.inFlight--
			if r.activeNames[name]--; r.activeNames[name] <= 0 {
				delete(r.activeNames, name)
			}
		}
	}
	return first, end
}

// recentUse is how long an endpoint counts as recently used after a request: a gateway returns
// to it within that time if it needs it at all.
const recentUse = 3 * time.Second

// recentlyUsed reports whether an endpoint has a request in flight or was sent one lately.
func (t *tracker) recentlyUsed(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.endpoints[id]
	return ok && (r.inFlight > 0 || len(r.sends) > 0 && now.Sub(r.sends[len(r.sends)-1].at) < recentUse)
}

// maxPrefilledPrefixes bounds the prompt prefixes that one takePrefilledPrefixes returns.
const maxPrefilledPrefixes = 48

// maxUsedAdapters bounds the adapters that one takeUsedAdapters returns.
const maxUsedAdapters = 64

// takeUsedAdapters returns the adapters used on an endpoint since the last call, including
// those in use now.
func (t *tracker) takeUsedAdapters(id string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.endpoints[id]
	if !ok {
		return nil
	}
	for name := range r.activeNames {
		if strings.Contains(name, "/") && len(r.usedAdapters) < maxUsedAdapters {
			r.usedAdapters[name] = struct{}{}
		}
	}
	out := make([]string, 0, len(r.usedAdapters))
	for u := range r.usedAdapters {
		out = append(out, u)
	}
	clear(r.usedAdapters)
	return out
}

// recordPrefill records that an endpoint has prefilled and cached a prompt, whose first
// shared parts occur in other requests too.
func (t *tracker) recordPrefill(e fleet.Endpoint, parts []pick.PromptPart, shared int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	for i, p := range parts {
		r.addCached(p.PrefixHash)
		if i < shared && len(r.prefilledPrefixes) < maxPrefilledPrefixes {
			r.prefilledPrefixes = append(r.prefilledPrefixes, p.PrefixHash)
		}
	}
}

// merge adds to the cache estimate the prefixes that an endpoint has prefilled for other gateways.
func (t *tracker) merge(e fleet.Endpoint, prefixes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	for _, p := range prefixes {
		r.addCached(p)
	}
}

// takePrefilledPrefixes returns the shared prefixes that an endpoint has prefilled since the
// last call.
func (t *tracker) takePrefilledPrefixes(id string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.endpoints[id]
	if !ok {
		return nil
	}
	out := r.prefilledPrefixes
	r.prefilledPrefixes = nil
	return out
}

func (r *endpointRecord) addCached(prefix uint64) {
	if el, ok := r.cachedPrefixes[prefix]; ok {
		r.lru.MoveToFront(el)
		return
	}
	r.cachedPrefixes[prefix] = r.lru.PushFront(prefix)
	if r.lru.Len() > maxCachedPrefixes {
		last := r.lru.Back()
		delete(r.cachedPrefixes, r.lru.Remove(last).(uint64))
	}
}

// recordResult records in the health record whether an endpoint served a request.
func (t *tracker) recordResult(e fleet.Endpoint, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	r.health = r.health.WithResult(ok, time.Now())
	if !ok {
		t.ramps.record(e, ramp.Failure{}, time.Now())
	}
}

func (t *tracker) recordConnectFailure(e fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	r.health = r.health.WithConnectFailure(time.Now())
	t.ramps.record(e, ramp.Failure{}, time.Now())
	r.breaks = r.breaks.WithBreak(time.Now())
}

// recordLatency records a measured time to the first token, or to a plain response.
func (t *tracker) recordLatency(e fleet.Endpoint, req pick.Request, ch pick.Choice, measured time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	r.health = r.health.WithLatency(measured, ch.Estimate, time.Now())
	t.ramps.record(e, ramp.Response{Latency: measured, Estimate: ch.Estimate}, time.Now())
	m := t.serviceLatencyModel(req.Service)
	if model := req.ModelName.Model; model != "" {
		m.MeanPrefillTokens += int(meanWeight * float64(ch.PrefillTokens-m.MeanPrefillTokens))
		if ch.BacklogTokens == 0 && ch.PrefillTokens > minRatioTokens && !ch.LoadAdapter {
			ratio := float64(measured) / float64(time.Duration(ch.PrefillTokens)*m.PrefillPerToken)
			old, ok := t.prefillRatios[model]
			if !ok {
				old = 1
			}
			t.prefillRatios[model] = old + ratioWeight*(min(maxPrefillRatio, max(minPrefillRatio, ratio))-old)
		}
	} else {
		m.MeanServiceTime += time.Duration(meanWeight * float64(measured-m.MeanServiceTime))
	}
	t.latencyModels[req.Service] = m
}

// latencyModel returns the latency model for a model of a service.
func (t *tracker) latencyModel(service, model string) pick.LatencyModel {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.serviceLatencyModel(service)
	if ratio, ok := t.prefillRatios[model]; ok {
		m.PrefillPerToken = time.Duration(float64(m.PrefillPerToken) * ratio)
	}
	return m
}

func (t *tracker) retryBudget(service string) *budget.Retries {
	b, ok := t.retryBudgets[service]
	if !ok {
		b = budget.New(t.retryLimit, t.firstStart)
		t.retryBudgets[service] = b
	}
	return b
}

// recordFirstAttempt counts a request for a service towards its retry budget.
func (t *tracker) recordFirstAttempt(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryBudget(service).AddRequest(time.Since(t.start))
}

// takeRetry takes a retry from the service's budget, if one is left, and returns what the budget
// counted before.
func (t *tracker) takeRetry(service string, gateways int) (budget.Usage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, now := t.retryBudget(service), time.Since(t.start)
	return b.Usage(now, gateways), b.Take(now, gateways)
}

// retain drops the records of endpoints that are no longer known, by id or pool key.
func (t *tracker) retain(known func(key string) bool) {
	now := time.Now()
	t.pauses.DropEnded(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retainStatements(known, now)
	for id := range t.endpoints {
		if !known(id) {
			delete(t.endpoints, id)
		}
	}
}
