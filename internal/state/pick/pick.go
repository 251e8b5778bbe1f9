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
	// PrefixHash identifies the part together with the model and all parts before it.
	PrefixHash uint64
	Tokens     int
}

// Request is what the choice depends on.
type Request struct {
	Service string
	// ModelName is empty for a plain service.
	ModelName fleet.ModelName
	Parts     []PromptPart
	// SharedParts is the number of parts that other requests have too.
	SharedParts int
	// OutputTokens is the largest number of tokens of the answer.
	OutputTokens int
	// FailureDomain is the gateway's failure domain.
	FailureDomain string
	// Tried are endpoints that are left out.
	Tried []string
}

// PromptTokens returns the tokens of the whole prompt.
func (r Request) PromptTokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Candidate is an endpoint with what the gateway knows of it.
type Candidate struct {
	State fleet.State
	// Slots is the number of requests that run at once.
	Slots int
	// InFlight are this gateway's requests there; Unread are the prompt tokens of those
	// without a first token.
	InFlight, Prefilling, PrefillTokens int
	// IdleConnection is set when a connection is idle there.
	IdleConnection bool
	// CachedTokens is the number of leading tokens of the prompt that the endpoint keeps.
	CachedTokens int
	Health       health.Record
}

// LatencyModel says how time is estimated.
type LatencyModel struct {
	// PrefillPerToken is the time to read one prompt token.
	PrefillPerToken time.Duration
	// MeanPrefillTokens is the mean number of tokens that a request has to read.
	MeanPrefillTokens int
	// MeanServiceTime is the mean time of a request at a plain service.
	MeanServiceTime time.Duration
}

// Choice is the endpoint chosen.
type Choice struct {
	ID string
	// Estimate is the time to the first token, or to the answer of a plain service.
	Estimate time.Duration
	// LoadAdapter is set when the endpoint has to fetch the adapter first.
	LoadAdapter bool
	// CandidateCount counts the endpoints that could take the request.
	CandidateCount int
	// PrefillTokens is the number of tokens of the prompt that the endpoint has to read, Backlog
	// that of the prompts before it.
	PrefillTokens, BacklogTokens int
	// BacklogTime is the time to read the backlog.
	BacklogTime time.Duration
}

// TimeToLastToken returns the estimated time to the last token of an answer. While prompts are read
// a piece of one goes before each token; as many are thought to come as wait now.
func (c Choice) TimeToLastToken(output int) time.Duration {
	return c.Estimate + time.Duration(output)*quietStep + min(time.Duration(output)*pieceStep, 2*c.BacklogTime)
}

// The weights of the choice. Times that are no estimate order equal endpoints.
const (
	// otherDomain is the cost of another failure domain: the way there and back, and its
	// priced bytes, which are worth some milliseconds of work.
	otherDomain = 5 * time.Millisecond
	// perRunning is the longer step for each running request.
	perRunning = 100 * time.Microsecond
	// fetchAdapter is the time to order an adapter and to wait for it, evictAdapter the
	// time until another one has made way.
	fetchAdapter, evictAdapter = 15 * time.Millisecond, 10 * time.Millisecond
	// orderPrice is what an order is worth in time: at the platform's prices, an order
	// costs some hundredths of a request's worth, and an adapter that moves about costs
	// two orders with each request.
	orderPrice = 60 * time.Millisecond
	// newConnection is the time to open a connection and what it is worth at the platform's
	// prices.
	newConnection = 20 * time.Millisecond
	// failCost is the cost of a request that fails and is sent again.
	failCost = 600 * time.Millisecond
	// fullWait is the wait for a place in a full batch: a part of a typical run.
	fullWait = 300 * time.Millisecond
	// homeShare is the part of the shared prompt that the home of a prompt is thought to
	// keep when the gateway has not seen it itself, because all gateways share homes.
	homeShare = 0.6
	// quietStep is the time of an output token in a batch, pieceStep that of a piece of
	// 2,048 prompt tokens before it.
	quietStep, pieceStep = 7 * time.Millisecond, 45 * time.Millisecond
	// noPlace is the wait where all adapters are in use: a part of a typical run.
	noPlace = 400 * time.Millisecond
	// loadingWait is the wait for an adapter while the engine loads a model and takes no
	// order: half of a load of 3 s.
	loadingWait = 1500 * time.Millisecond
	// silentCost keeps requests off a host that may be frozen where there is another, and
	// silentReading bounds those that wait there for a first token.
	silentCost, silentReading = 500 * time.Millisecond, 1
	// memoryFull is the share of an engine's memory beyond which requests are preempted.
	memoryFull = 0.92
	// stale is the age at which a keeper's report counts half.
	stale = 600 * time.Millisecond
)

// Best returns the best endpoint for a request, or false when none can take it.
func Best(req Request, list []Candidate, m LatencyModel, now time.Time, adapterSlots int, draw func() float64) (Choice, bool) {
	var best Choice
	bestCost := time.Duration(0)
	n := 0
	home := Home(req, list)
	for _, c := range list {
		if !usable(req, c, now) {
			continue
		}
		n++
		var ch Choice
		var cost time.Duration
		if req.ModelName.Model == "" {
			ch, cost = plain(req, c, m, now)
			// Gateways don't see each other's requests; a draw keeps them apart.
			cost += time.Duration(draw() * float64(m.MeanServiceTime) / 4)
		} else {
			ch, cost = engine(req, c, m, now, adapterSlots, home)
		}
		if n == 1 || cost < bestCost {
			best, bestCost = ch, cost
		}
	}
	best.CandidateCount = n
	return best, n > 0
}

func usable(req Request, c Candidate, now time.Time) bool {
	if c.State.Leaving || c.State.Service != req.Service || !c.Health.Reachable(now) {
		return false
	}
	for _, id := range req.Tried {
		if id == c.State.ID {
			return false
		}
	}
	if c.State.Reported && !c.State.Status.Alive && now.Sub(c.State.Status.ReceivedAt) < 2*stale {
		return false
	}
	if c.State.KeeperSilent && c.Prefilling >= silentReading {
		return false
	}
	if req.ModelName.Model == "" {
		return true
	}
	model, _ := fleet.Holds(c.State.Residents(), req.ModelName)
	return model
}

func plain(req Request, c Candidate, m LatencyModel, now time.Time) (Choice, time.Duration) {
	slots := max(1, c.Slots)
	wait := time.Duration(float64(m.MeanServiceTime) * float64(c.InFlight) / float64(slots))
	if c.InFlight >= slots {
		wait += m.MeanServiceTime
	}
	est := time.Duration(float64(m.MeanServiceTime+wait) * c.Health.LatencyRatio(now))
	return Choice{ID: c.State.ID, Estimate: est}, est + extras(req, c, now)
}

func engine(req Request, c Candidate, m LatencyModel, now time.Time, adapterSlots int, home string) (Choice, time.Duration) {
	total := req.PromptTokens()
	cached := min(c.CachedTokens, total)
	_, whole := fleet.Holds(c.State.Residents(), req.ModelName)
	if c.State.ID == home && whole {
		shared := 0
		for _, p := range req.Parts[:req.SharedParts] {
			shared += p.Tokens
		}
		cached = max(cached, int(homeShare*float64(shared)))
	}
	unread := total - cached
	backlog := c.PrefillTokens
	if l := c.State.Status; c.State.Reported {
		// The report counts this gateway's requests too; those not yet in it are few.
		others := max(0, l.Prefilling+l.Waiting-c.Prefilling)
		w := 1 / (1 + float64(now.Sub(l.ReceivedAt))/float64(stale))
		backlog += int(w * float64(others*m.MeanPrefillTokens))
	}
	est := time.Duration(backlog+unread) * m.PrefillPerToken
	running := max(c.InFlight, c.State.Status.Running)
	est += time.Duration(running) * perRunning
	if running >= c.Slots && c.Slots > 0 {
		est += fullWait
	}
	if l := c.State.Status; c.State.Reported && l.KVTotalTokens > 0 {
		after := float64(l.KVUsedTokens+unread+req.OutputTokens) / float64(l.KVTotalTokens)
		if after > memoryFull {
			est += time.Duration((after - memoryFull) * float64(10*fullWait))
		}
	}
	orders := 0
	if !whole {
		est += fetchAdapter
		orders = 1
		switch {
		case c.State.Reported && (c.State.Status.ExecutingOrder || len(c.State.Status.LoadingModels) > 0):
			est += loadingWait
		case c.State.Reported && c.State.Status.AdaptersInUse >= adapterSlots:
			est += noPlace
		case adapters(c.State) >= adapterSlots:
			est += evictAdapter
			orders = 2
		}
		if c.State.ID == home {
			// All gateways will use it there.
			orders--
		}
	}
	est = time.Duration(float64(est) * c.Health.LatencyRatio(now))
	cost := est + time.Duration(orders)*orderPrice
	if c.State.KeeperSilent {
		cost += silentCost
	}
	cost += extras(req, c, now)
	return Choice{ID: c.State.ID, Estimate: est, LoadAdapter: !whole, PrefillTokens: unread, BacklogTokens: backlog, BacklogTime: time.Duration(backlog) * m.PrefillPerToken}, cost
}

// extras returns what an endpoint costs beside its time.
func extras(req Request, c Candidate, now time.Time) time.Duration {
	cost := time.Duration(c.Health.FailureRate(now) * float64(failCost))
	if c.State.FailureDomain != req.FailureDomain {
		cost += otherDomain
	}
	if !c.IdleConnection {
		cost += newConnection
	}
	return cost
}

func adapters(s fleet.State) int {
	n := len(s.Status.LoadingAdapters)
	for _, r := range s.Residents() {
		n += len(r.Adapters)
	}
	return n
}

// Home returns the endpoint that all gateways prefer for a prompt's shared beginning,
// or for an adapter, among those that hold the model.
func Home(req Request, list []Candidate) string {
	if req.ModelName.Model == "" {
		return ""
	}
	key := req.ModelName.String()
	// An adapter has one home whatever the prompt, because it takes one of few places.
	if req.ModelName.Adapter == "" && req.SharedParts > 0 && req.SharedParts <= len(req.Parts) {
		key = strconv.FormatUint(req.Parts[req.SharedParts-1].PrefixHash, 36)
	}
	var best string
	var most uint64
	for _, c := range list {
		if c.State.Leaving || c.State.Service != req.Service {
			continue
		}
		if model, _ := fleet.Holds(c.State.Residents(), req.ModelName); !model {
			continue
		}
		if h := poison.RendezvousWeight(key, c.State.ID); best == "" || h > most {
			best, most = c.State.ID, h
		}
	}
	return best
}
