package pick

import (
	"strconv"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
	"chervilhead/internal/state/poison"
)

// PromptPart is a part of a prompt.
type PromptPart struct {
	// PrefixHash is the hash of the model, all parts before this one and this one.
	PrefixHash uint64
	Tokens     int
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Service string
	// ModelName is empty for a plain service.
	ModelName fleet.ModelName
	Parts     []PromptPart
	// SharedParts is the number of leading parts that other requests share.
	SharedParts int
	// OutputTokens is the largest number of output tokens.
	OutputTokens int
	// FailureDomain is the gateway's failure domain, Gateway its name, and Gateways the number of
	// gateways in the deployment.
	FailureDomain, Gateway string
	Gateways               int
	// GapObjective is the latency objective for the gap between two events of a stream, or 0.
	GapObjective time.Duration
	// MaxPause is the longest rest of an endpoint's pause that the request waits for.
	MaxPause time.Duration
	// HeldOnly excludes endpoints that would have to load the adapter first.
	HeldOnly bool
	// Repeatable is set when the request may be sent again after it may have run.
	Repeatable bool
	// Tried are the IDs of endpoints that are excluded because of an earlier attempt.
	Tried []string
}

// PromptTokens returns the number of tokens of the whole prompt.
func (r Request) PromptTokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// SharedTokens returns the number of tokens of the parts that other requests share.
func (r Request) SharedTokens() int {
	n := 0
	for _, p := range r.Parts[:min(r.SharedParts, len(r.Parts))] {
		n += p.Tokens
	}
	return n
}

// Candidate is an endpoint with the gateway's view of it.
type Candidate struct {
	State fleet.State
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// InFlight counts this gateway's requests at the endpoint, Prefilling those of them
	// without a first token, and PrefillTokens the prompt tokens that these still need.
	InFlight, Prefilling, PrefillTokens int
	// IdleConnection is set when the gateway has an idle connection to the endpoint.
	IdleConnection bool
	// CachedTokens is the number of leading prompt tokens in the endpoint's prefix cache.
	CachedTokens int
	// SentTokens is the number of prompt tokens that this gateway sent to the endpoint for
	// prefill within the request's gap objective.
	SentTokens int
	// SentSinceReport counts this gateway's requests that the keeper's report doesn't show yet.
	SentSinceReport int
	Health          health.Record
	// RateWait is the time until this gateway's share of the endpoint's rate limit allows
	// another request, 0 if it does now or there is no limit.
	RateWait time.Duration
	// PauseLeft is what is left of the pause that the endpoint asked this gateway for.
	PauseLeft time.Duration
	// WindowFull is set when the endpoint has just started or recovered and this gateway has as
	// many requests in flight there as it may (package ramp).
	WindowFull bool
	// Forgiven is set when the endpoint's failures lie before its window, which bounds what
	// further ones cost. They then add no cost, so that an endpoint that recovers isn't idle.
	Forgiven bool
	// Probing is set when it has not responded since its last failure.
	Probing bool
}

// forgives reports whether a candidate's failures add no cost. An endpoint that has not responded
// yet may fail the request too, which another attempt then has to serve.
func (r Request) forgives(c Candidate) bool {
	return c.Forgiven && (!c.Probing || r.Repeatable && len(r.Tried) == 0)
}

// LatencyModel holds the parameters of the latency estimates.
type LatencyModel struct {
	// PrefillPerToken is the prefill time of one prompt token.
	PrefillPerToken time.Duration
	// MeanPrefillTokens is the mean number of tokens that a request has to prefill.
	MeanPrefillTokens int
	// MeanServiceTime is the mean time of a request at a plain service.
	MeanServiceTime time.Duration
	// MeanRunTime is the mean time from a request's dispatch to its end at an engine.
	MeanRunTime time.Duration
	// ModelLoadTime is the time to load a model from the weight store.
	ModelLoadTime time.Duration
}

// slotWait returns the wait for a slot of an engine whose slots are all in use, with a number
// of requests waiting before this one: a slot becomes free each run time divided by the slots.
func (m LatencyModel) slotWait(slots, waiting int) time.Duration {
	return m.MeanRunTime * time.Duration(waiting+1) / time.Duration(max(1, slots))
}

// Choice is the endpoint chosen for a request, with the estimates behind the choice.
type Choice struct {
	ID string
	// Estimate is the time to first token, or to the answer of a plain service.
	Estimate time.Duration
	// LoadAdapter is set when the endpoint has to load the adapter first.
	LoadAdapter bool
	// CandidateCount is the number of endpoints that could take the request.
	CandidateCount int
	// PrefillTokens is the number of prompt tokens that the endpoint has to prefill for the
	// request, BacklogTokens the number that it has to prefill for the requests before it.
	PrefillTokens, BacklogTokens int
	// BacklogTime is the time to prefill the backlog.
	BacklogTime time.Duration
	// StartWait is the wait for the endpoint's rate limit, or for the end of its pause, which
	// precedes Estimate.
	StartWait time.Duration
}

// TimeToLastToken returns the estimated time to the last of a number of output tokens. While
// prompts are prefilled, one chunk precedes each output token; as much prefill is assumed to
// arrive during the run as is queued now.
func (c Choice) TimeToLastToken(output int) time.Duration {
	return c.StartWait + c.Estimate + time.Duration(output)*decodeStep + min(time.Duration(output)*prefillChunkStep, 2*c.BacklogTime)
}

// The terms of an estimate, and the costs that are added to it to compare endpoints.
const (
	// crossDomainCost is the cost of another failure domain: the round trip, and the
	// platform's price of the bytes, which equals some milliseconds of work.
	crossDomainCost = 5 * time.Millisecond
	// stepPerRunning is the time by which each running request lengthens an engine's step.
	stepPerRunning = 100 * time.Microsecond
	// adapterLoadTime is the time to order an adapter and to wait for it.
	adapterLoadTime = 15 * time.Millisecond
	// adapterEvictTime is the time until another adapter is evicted.
	adapterEvictTime = 10 * time.Millisecond
	// orderCost is the platform's price of an order as an equivalent time. An order costs a few
	// hundredths of what running a request is worth at the platform's prices, and an adapter
	// that keeps changing endpoints needs two orders for each request.
	orderCost = 60 * time.Millisecond
	// newConnectionCost is the cost of a new connection in time: the time to open it, and the
	// platform's price of a connection as an equivalent time.
	newConnectionCost = 20 * time.Millisecond
	// failureCost is the cost of an attempt that fails and is retried.
	failureCost = 600 * time.Millisecond
	// homeCachedShare is the part of the shared prompt that is assumed to be in the prefix
	// cache of the prompt's home, even if this gateway sent nothing there, because all
	// gateways prefer the same homes.
	homeCachedShare = 0.6
	// decodeStep is the time between two output tokens of a request in a batch.
	decodeStep = 7 * time.Millisecond
	// prefillChunkStep is the time by which the prefill of a chunk of 2,048 prompt tokens delays
	// an output token.
	prefillChunkStep = 45 * time.Millisecond
	// adapterSlotRunShare is the part of a typical run after which one of the adapters in use on
	// an engine is free: its runs began at different times.
	adapterSlotRunShare = 0.25
	// modelLoadShare is the part of a model's load that is left on average, while the engine
	// accepts no order for an adapter.
	modelLoadShare = 0.5
	// preemptionRuns is the time that a request loses, in typical runs, per unit of KV cache that
	// is missing for it.
	preemptionRuns = 2
	// silentKeeperCost keeps requests off a host whose keeper is silent, because it may be
	// frozen, as long as another host can take them. A freeze lasts seconds whatever the
	// request's objective is.
	silentKeeperCost = 500 * time.Millisecond
	// maxSilentPrefills bounds this gateway's requests that wait for a first token from an
	// endpoint whose keeper is silent.
	maxSilentPrefills = 1
	// kvPreemptionShare is the used share of an engine's KV cache beyond which it preempts
	// requests.
	kvPreemptionShare = 0.92
	// reportHalfWeightAge is the age at which a keeper's report has half its weight.
	reportHalfWeightAge = 600 * time.Millisecond
)

// Best returns the endpoint of the least cost for a request, or false if none can take it.
// draw returns a random number in [0, 1).
func Best(req Request, list []Candidate, m LatencyModel, now time.Time, adapterSlots int, draw func() float64) (Choice, bool) {
	return bestOf(req, list, m, now, adapterSlots, draw, func(Candidate) bool { return true })
}

// bestOf is Best among the candidates for which may is true. The others count for the home, so
// that the home doesn't change for a short time.
func bestOf(req Request, list []Candidate, m LatencyModel, now time.Time, adapterSlots int, draw func() float64, may func(Candidate) bool) (Choice, bool) {
	var best Choice
	bestCost := time.Duration(0)
	n := 0
	home := Home(req, list)
	for _, c := range list {
		if !eligible(req, c, now) || !may(c) {
			continue
		}
		n++
		ch, cost := score(req, c, m, now, adapterSlots, home, draw)
		if n == 1 || cost < bestCost {
			best, bestCost = ch, cost
		}
	}
	best.CandidateCount = n
	return best, n > 0
}

// score returns the choice of a candidate with its cost.
func score(req Request, c Candidate, m LatencyModel, now time.Time, adapterSlots int, home string, draw func() float64) (Choice, time.Duration) {
	var ch Choice
	var cost time.Duration
	if req.ModelName.Model == "" {
		ch, cost = scorePlain(req, c, m, now)
		// Gateways don't see each other's requests; the random term keeps them from
		// choosing the same endpoint.
		cost += time.Duration(draw() * float64(m.MeanServiceTime) / 4)
	} else {
		ch, cost = scoreEngine(req, c, m, now, adapterSlots, home)
	}
	ch.StartWait = c.startWait()
	return ch, cost + ch.StartWait
}

// startWait returns the time until the endpoint may get the request.
func (c Candidate) startWait() time.Duration { return max(c.RateWait, c.PauseLeft) }

// PauseLeft returns the time until the first of the endpoints that could take a request, but for
// a pause, may get it. It is 0 if one of them isn't paused or there is none.
func PauseLeft(req Request, list []Candidate, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, c := range list {
		switch {
		case !usable(req, c, now):
		case c.PauseLeft <= 0:
			return 0
		case left == 0 || c.PauseLeft < left:
			left = c.PauseLeft
		}
	}
	return left
}

// eligible reports whether an endpoint can take a request in time.
func eligible(req Request, c Candidate, now time.Time) bool {
	return exclusion(req, c, now) == Included
}

// usable reports whether an endpoint can take a request now or after a wait.
func usable(req Request, c Candidate, now time.Time) bool {
	return unusable(req, c, now) == Included
}

func scorePlain(req Request, c Candidate, m LatencyModel, now time.Time) (Choice, time.Duration) {
	slots := max(1, c.Slots)
	wait := time.Duration(float64(m.MeanServiceTime) * float64(c.InFlight) / float64(slots))
	if c.InFlight >= slots {
		wait += m.MeanServiceTime
	}
	est := time.Duration(float64(m.MeanServiceTime+wait) * c.Health.LatencyRatio(now))
	return Choice{ID: c.State.ID, Estimate: est}, est + extraCost(req, c, now)
}

func scoreEngine(req Request, c Candidate, m LatencyModel, now time.Time, adapterSlots int, home string) (Choice, time.Duration) {
	total := req.PromptTokens()
	cached := min(c.CachedTokens, total)
	_, resident := fleet.Holds(c.State.Residents(), req.ModelName)
	if c.State.ID == home && resident {
		cached = max(cached, int(homeCachedShare*float64(req.SharedTokens())))
	}
	prefill := total - cached
	backlog := c.PrefillTokens
	if s := c.State.Status; c.State.StatusSupersedes {
		// The report includes this gateway's requests, but for the few sent since then.
		others := max(0, s.Prefilling+s.Waiting-c.Prefilling)
		weight := 1 / (1 + float64(now.Sub(s.ReceivedAt))/float64(reportHalfWeightAge))
		backlog += int(weight * float64(others*m.MeanPrefillTokens))
	}
	est := time.Duration(backlog+prefill) * m.PrefillPerToken
	running := max(c.InFlight, c.State.Status.Running+c.SentSinceReport)
	est += time.Duration(running) * stepPerRunning
	if running >= c.Slots && c.Slots > 0 {
		est += m.slotWait(c.Slots, max(c.State.Status.Waiting, running-c.Slots))
	}
	if s := c.State.Status; c.State.StatusSupersedes && s.KVTotalTokens > 0 {
		kvShare := float64(s.KVUsedTokens+prefill+req.OutputTokens) / float64(s.KVTotalTokens)
		if kvShare > kvPreemptionShare {
			est += time.Duration((kvShare - kvPreemptionShare) * float64(preemptionRuns*m.MeanRunTime))
		}
	}
	orders := 0
	if !resident {
		est += adapterLoadTime
		orders = 1
		switch {
		case c.State.StatusSupersedes && (c.State.Status.ExecutingOrder || len(c.State.Status.LoadingModels) > 0):
			est += time.Duration(modelLoadShare * float64(m.ModelLoadTime))
		case c.State.StatusSupersedes && c.State.Status.AdaptersInUse >= adapterSlots:
			est += time.Duration(adapterSlotRunShare * float64(m.MeanRunTime))
		case adapterCount(c.State) >= adapterSlots:
			est += adapterEvictTime
			orders = 2
		}
		if c.State.ID == home {
			// All gateways will use the adapter there, so one order counts less.
			orders--
		}
	}
	est = time.Duration(float64(est) * c.Health.LatencyRatio(now))
	cost := est + time.Duration(orders)*orderCost + stallCost(c.SentTokens, prefill, req.GapObjective, time.Duration(float64(m.PrefillPerToken)*c.Health.LatencyRatio(now)))
	if c.State.KeeperSilent {
		cost += silentKeeperCost
	}
	cost += extraCost(req, c, now) + affinityCost(req, c.State.Endpoint)
	return Choice{ID: c.State.ID, Estimate: est, LoadAdapter: !resident, PrefillTokens: prefill, BacklogTokens: backlog, BacklogTime: time.Duration(backlog) * m.PrefillPerToken}, cost
}

// extraCost returns the cost of an endpoint beside its estimate.
func extraCost(req Request, c Candidate, now time.Time) time.Duration {
	cost := time.Duration(0)
	if !req.forgives(c) {
		cost = time.Duration(c.Health.FailureRate(now) * float64(failureCost))
	}
	if c.State.FailureDomain != req.FailureDomain {
		cost += crossDomainCost
	}
	if !c.IdleConnection {
		cost += newConnectionCost
	}
	return cost
}

func adapterCount(s fleet.State) int {
	n := len(s.Status.LoadingAdapters)
	for _, r := range s.Residents() {
		n += len(r.Adapters)
	}
	return n
}

// Home returns the endpoint that all gateways prefer for a prompt's shared prefix, or for
// an adapter, among the endpoints that hold the model. It is empty for a plain service.
func Home(req Request, list []Candidate) string {
	if req.ModelName.Model == "" {
		return ""
	}
	key := req.ModelName.String()
	// An adapter has one home whatever the prompt, because it takes one of few adapter slots.
	if req.ModelName.Adapter == "" && req.SharedParts > 0 && req.SharedParts <= len(req.Parts) {
		key = strconv.FormatUint(req.Parts[req.SharedParts-1].PrefixHash, 36)
	}
	var best string
	var bestWeight uint64
	for _, c := range list {
		if c.State.Leaving || c.State.Service != req.Service {
			continue
		}
		if model, _ := fleet.Holds(c.State.Residents(), req.ModelName); !model {
			continue
		}
		if w := poison.RendezvousWeight(key, c.State.ID); best == "" || w > bestWeight {
			best, bestWeight = c.State.ID, w
		}
	}
	return best
}
