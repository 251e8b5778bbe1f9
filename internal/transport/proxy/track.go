package proxy

import (
	"container/list"
	"strings"
	"sync"
	"time"

	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/health"
	"chervilhead/internal/state/pick"
)

// maxPrompts bounds the parts of prompts that are remembered for one endpoint.
const maxPrompts = 4096

// tracker is what the gateway knows from its own requests.
type tracker struct {
	mu     sync.Mutex
	nodes  map[string]*node
	models map[string]pick.LatencyModel
	// pace is how many times longer a model takes than the mean model.
	pace   map[string]float64
	budget map[string]*budget.Retries
	limit  budget.Limit
	start  time.Time
}

// node is one incarnation of an endpoint.
type node struct {
	born            int64
	inFlight        int
	reading, unread int
	trust           health.Record
	prompts         map[uint64]*list.Element
	recent          *list.List
	// used are the adapters asked for since the last look, active the names with requests in flight.
	used   map[string]struct{}
	active map[string]int
	// read are the shared parts read since the last look.
	read    []uint64
	lastUse time.Time
}

// The estimates before anything has been measured.
const (
	// firstPerToken is 40 prompt tokens a millisecond, the pace of today's engines.
	firstPerToken = 25 * time.Microsecond
	// firstUnread is the length of a typical prompt beyond its shared parts.
	firstUnread = 1500
	// firstWork is the time of a typical plain call.
	firstWork = 50 * time.Millisecond
	// learn is the weight of a new measurement in the means.
	learn = 0.05
	// paceTokens is the length of a prompt that says something of a model's pace.
	paceTokens = 400
	// paceLearn is the weight of a measurement in a model's pace, which stays between
	// minPace and maxPace.
	paceLearn        = 0.1
	minPace, maxPace = 0.25, 3
)

func newTracker(limit budget.Limit) *tracker {
	return &tracker{nodes: map[string]*node{}, models: map[string]pick.LatencyModel{}, pace: map[string]float64{}, budget: map[string]*budget.Retries{}, limit: limit, start: time.Now()}
}

func (t *tracker) node(e fleet.Endpoint) *node {
	n, ok := t.nodes[e.ID]
	if !ok || n.born != e.Incarnation {
		// A new incarnation keeps nothing; its requests in flight are gone with the old one.
		n = &node{born: e.Incarnation, prompts: map[uint64]*list.Element{}, recent: list.New(), used: map[string]struct{}{}, active: map[string]int{}}
		t.nodes[e.ID] = n
	}
	return n
}

func (t *tracker) model(service string) pick.LatencyModel {
	m, ok := t.models[service]
	if !ok {
		m = pick.LatencyModel{PrefillPerToken: firstPerToken, MeanPrefillTokens: firstUnread, MeanServiceTime: firstWork}
	}
	return m
}

// candidates returns the endpoints of a service with what is known of them.
func (t *tracker) candidates(states []fleet.State, slots int, req pick.Request, connected func(e fleet.Endpoint) bool) []pick.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]pick.Candidate, 0, len(states))
	for _, s := range states {
		if s.Service != req.Service {
			continue
		}
		n := t.node(s.Endpoint)
		c := pick.Candidate{State: s, Slots: s.Slots, InFlight: n.inFlight, Prefilling: n.reading, PrefillTokens: n.unread, Health: n.trust, IdleConnection: connected(s.Endpoint)}
		if c.Slots == 0 {
			c.Slots = slots
		}
		for _, p := range req.Parts {
			if _, ok := n.prompts[p.PrefixHash]; !ok {
				break
			}
			c.CachedTokens += p.Tokens
		}
		out = append(out, c)
	}
	return out
}

// begin notes that a request goes to an endpoint. The returned functions note its first
// token and its end; each has an effect once.
func (t *tracker) begin(e fleet.Endpoint, req pick.Request, unread int) (first func(), end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	n.inFlight++
	n.reading++
	n.unread += unread
	n.lastUse = time.Now()
	name := req.ModelName.String()
	if req.ModelName.Adapter != "" && len(n.used) < maxUsed {
		n.used[name] = struct{}{}
	}
	n.active[name]++
	reading, running := true, true
	first = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if reading {
			reading = false
			n.reading--
			n.unread -= unread
		}
	}
	end = func() {
		first()
		t.mu.Lock()
		defer t.mu.Unlock()
		if running {
			running = false
			n.inFlight--
			if n.active[name]--; n.active[name] <= 0 {
				delete(n.active, name)
			}
		}
	}
	return first, end
}

// maxRead bounds the parts of prompts that are reported as read between two asks.
const maxRead = 48

// maxUsed bounds the names that are reported as used between two asks.
const maxUsed = 64

// used returns the adapters used on an endpoint since the last call, among them those
// that are in use.
func (t *tracker) used(id string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.nodes[id]
	if !ok {
		return nil
	}
	for name := range n.active {
		if strings.Contains(name, "/") && len(n.used) < maxUsed {
			n.used[name] = struct{}{}
		}
	}
	out := make([]string, 0, len(n.used))
	for u := range n.used {
		out = append(out, u)
	}
	clear(n.used)
	return out
}

// kept notes that an endpoint keeps a prompt's parts, the first shared of which other
// requests have too.
func (t *tracker) kept(e fleet.Endpoint, parts []pick.PromptPart, shared int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	for i, p := range parts {
		n.keep(p.PrefixHash)
		if i < shared && len(n.read) < maxRead {
			n.read = append(n.read, p.PrefixHash)
		}
	}
}

// learn notes what other gateways saw an endpoint read.
func (t *tracker) learn(e fleet.Endpoint, chains []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	for _, c := range chains {
		n.keep(c)
	}
}

// read returns the shared parts that an endpoint has read since the last call.
func (t *tracker) read(id string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.nodes[id]
	if !ok {
		return nil
	}
	out := n.read
	n.read = nil
	return out
}

func (n *node) keep(chain uint64) {
	if el, ok := n.prompts[chain]; ok {
		n.recent.MoveToFront(el)
		return
	}
	n.prompts[chain] = n.recent.PushFront(chain)
	if n.recent.Len() > maxPrompts {
		last := n.recent.Back()
		delete(n.prompts, n.recent.Remove(last).(uint64))
	}
}

// result notes whether an endpoint answered.
func (t *tracker) result(e fleet.Endpoint, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	n.trust = n.trust.WithResult(ok, time.Now())
}

func (t *tracker) unreached(e fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	n.trust = n.trust.WithConnectFailure(time.Now())
}

// latency notes a measured time to the first token, or to a plain answer.
func (t *tracker) latency(e fleet.Endpoint, req pick.Request, ch pick.Choice, measured time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.node(e)
	n.trust = n.trust.WithLatency(measured, ch.Estimate, time.Now())
	m := t.model(req.Service)
	if model := req.ModelName.Model; model != "" {
		m.MeanPrefillTokens += int(learn * float64(ch.PrefillTokens-m.MeanPrefillTokens))
		if ch.BacklogTokens == 0 && ch.PrefillTokens > paceTokens && !ch.LoadAdapter {
			ratio := float64(measured) / float64(time.Duration(ch.PrefillTokens)*m.PrefillPerToken)
			old, ok := t.pace[model]
			if !ok {
				old = 1
			}
			t.pace[model] = old + paceLearn*(min(maxPace, max(minPace, ratio))-old)
		}
	} else {
		m.MeanServiceTime += time.Duration(learn * float64(measured-m.MeanServiceTime))
	}
	t.models[req.Service] = m
}

// estimates returns how time is estimated for a model of a service.
func (t *tracker) estimates(service, model string) pick.LatencyModel {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.model(service)
	if pace, ok := t.pace[model]; ok {
		m.PrefillPerToken = time.Duration(float64(m.PrefillPerToken) * pace)
	}
	return m
}

func (t *tracker) budgetOf(service string) *budget.Retries {
	b, ok := t.budget[service]
	if !ok {
		b = budget.New(t.limit)
		t.budget[service] = b
	}
	return b
}

// fresh counts a request for a service.
func (t *tracker) fresh(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgetOf(service).AddRequest(time.Since(t.start))
}

// repeat reports whether a request may be sent once more.
func (t *tracker) repeat(service string, gateways int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgetOf(service).Take(time.Since(t.start), gateways)
}

// forget drops endpoints that are no longer known.
func (t *tracker) forget(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.nodes {
		if !known(id) {
			delete(t.nodes, id)
		}
	}
}
