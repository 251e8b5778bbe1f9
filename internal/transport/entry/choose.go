package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/member"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/retry"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
)

const (
	// sampleSize is the number of endpoints sampled at a time.
	sampleSize = 2
	// loadReportTTL is how long a load report is reused.
	loadReportTTL = 100 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

type loadReport struct {
	load wire.ProbeReply
	at   time.Time
}

// choose chooses the endpoint for the next attempt of a request and logs the decision.
func (e *Entry) choose(ctx context.Context, req *request, tried triedTargets) (route.Candidate, bool) {
	index := e.index(req)
	sample := e.sample(req, index, tried)
	e.fillLoads(ctx, req, sample)
	i := route.Choose(sample)
	if i >= 0 && e.mayUseNonHomes(req, sample[i], tried) {
		nonHomes := e.sampleNonHomes(index, sample)
		e.fillLoads(ctx, req, nonHomes)
		sample = append(sample, nonHomes...)
		i = route.Choose(sample)
	}
	e.logChoice(req, index.Len(), sample, i)
	if i < 0 {
		return route.Candidate{}, false
	}
	return sample[i], true
}

// triedTargets are the endpoints and failure domains of a request's earlier attempts.
type triedTargets struct {
	endpoints sets.Set[string]
	domains   sets.Set[string]
}

// indexCache holds the indexes for one version of the plan and the host list. The index
// of a model or service is built for its first request.
type indexCache struct {
	plan, hosts uint64
	current     map[indexKey]*route.Index
	// previous holds the indexes of the last version, from which new ones are rebuilt.
	previous map[indexKey]*route.Index
}

type indexKey struct {
	service bool
	name    string
}

// index returns the index of the endpoints that may run a request.
func (e *Entry) index(req *request) *route.Index {
	v, members := e.view.Load(), e.members.View()
	key := indexKey{service: req.kind == wire.KindService, name: req.model}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := &e.indexCache; c.current == nil || c.plan != v.plan.Version || c.hosts != members.Seq() {
		*c = indexCache{plan: v.plan.Version, hosts: members.Seq(), current: map[indexKey]*route.Index{}, previous: c.current}
	}
	x, ok := e.indexCache.current[key]
	if !ok {
		endpoints := v.modelEndpoints[req.model]
		if key.service {
			endpoints = v.serviceEndpoints[req.model]
		}
		x = e.newIndex(e.indexCache.previous[key], endpoints, members)
		e.indexCache.current[key] = x
	}
	return x
}

func (e *Entry) newIndex(previous *route.Index, endpoints []plan.Endpoint, members member.View) *route.Index {
	usable, holders := make([]route.Candidate, 0, len(endpoints)), make([]string, 0, len(endpoints))
	for _, ep := range endpoints {
		holders = append(holders, ep.ID)
		if members.Live(ep.ID) {
			usable = append(usable, route.Candidate{
				Endpoint: ep.ID, Address: ep.Address, FailureDomain: ep.FailureDomain, Local: ep.FailureDomain == e.cfg.FailureDomain,
			})
		}
	}
	return previous.Rebuild(usable, holders)
}

// sample returns the candidates for an attempt. If an ejected endpoint is due for a
// probe, it is the only candidate for an idempotent request.
func (e *Entry) sample(req *request, index *route.Index, tried triedTargets) []route.Candidate {
	q := route.Query{Tried: tried.endpoints, TriedDomains: tried.domains}
	if req.kind != wire.KindService {
		q.HomeKey = req.homeKey()
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.idempotent {
		id, ok := e.outliers.NextProbe(now, e.rng.IntN, func(id string) bool {
			_, known := index.Get(id)
			return known && !tried.endpoints.Has(id)
		})
		if ok {
			e.outliers = e.outliers.WithProbe(id, now)
			c, _ := index.Get(id)
			c.DomainTried = tried.domains.Has(c.FailureDomain)
			return []route.Candidate{c}
		}
	}
	outliers := e.outliers
	q.Available = func(id string) bool {
		_, available := outliers.State(id, now).(retry.Available)
		return available
	}
	return index.Sample(e.rng, sampleSize, q)
}

// sampleNonHomes samples endpoints that are not homes of a chat.
func (e *Entry) sampleNonHomes(index *route.Index, homes []route.Candidate) []route.Candidate {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	outliers := e.outliers
	return index.SampleNonHomes(e.rng, sampleSize, homes, func(id string) bool {
		_, available := outliers.State(id, now).(retry.Available)
		return available
	})
}

// fillLoads fetches the loads of the candidates concurrently and fills them in.
func (e *Entry) fillLoads(ctx context.Context, req *request, sample []route.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	done := make(chan struct{}, len(sample))
	for i := range sample {
		c := &sample[i]
		go func() {
			defer func() { done <- struct{}{} }()
			load, probed, ok := e.fetchLoad(ctx, c.Endpoint, c.Address, req)
			if !ok {
				return
			}
			c.LoadKnown, c.Resident, c.Running, c.Slots = true, load.Resident, load.Running, load.Slots
			c.Wait, c.Leaving = time.Duration(load.WaitMillis)*time.Millisecond, load.Leaving
			c.PrefillPerToken = time.Duration(load.PrefillPerTokenNanos)
			c.CachedTokens = -1
			if probed {
				c.CachedTokens = load.CachedTokens
			}
		}()
	}
	for range sample {
		<-done
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range sample {
		c := &sample[i]
		c.InFlight = e.attemptsInFlight[c.Endpoint]
		if req.kind == wire.KindService {
			continue
		}
		c.PromptTokens = req.promptTokens
		if c.PrefillPerToken <= 0 {
			c.PrefillPerToken = defaultPrefillPerToken
		}
		if c.CachedTokens < 0 || !c.LoadKnown {
			// The report was made for another prompt; use the entry's own cache estimate.
			c.CachedTokens = e.prefixIndex.CachedTokens(c.Endpoint, req.prefixDigests)
		}
	}
}

// fetchLoad returns an agent's load report: the cached one while it is fresh, otherwise a
// new one. probed is set for a new report, which was made for this request's prompt.
func (e *Entry) fetchLoad(ctx context.Context, endpoint, address string, req *request) (load wire.ProbeReply, probed, ok bool) {
	key := endpoint + "\x00" + req.model
	e.mu.Lock()
	cached, ok := e.loadReports[key]
	e.mu.Unlock()
	if ok && time.Since(cached.at) < loadReportTTL {
		return cached.load, false, true
	}
	conn, err := e.pool.Get(ctx, address)
	if err != nil {
		return wire.ProbeReply{}, false, false
	}
	if err := conn.Call(ctx, wire.MethodProbe, wire.Probe{Model: req.model, Prefix: req.prefixDigests, Versions: e.docs.Versions()}, &load); err != nil {
		return wire.ProbeReply{}, false, false
	}
	e.mu.Lock()
	e.loadReports[key] = loadReport{load: load, at: time.Now()}
	e.mu.Unlock()
	return load, true, true
}

// dropStaleLoads drops load reports past their TTL.
func (e *Entry) dropStaleLoads(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, report := range e.loadReports {
		if now.Sub(report.at) >= loadReportTTL {
			delete(e.loadReports, k)
		}
	}
}

// ExpireLoadReports drops stale load reports every second until the context ends.
func (e *Entry) ExpireLoadReports(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			e.dropStaleLoads(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) logChoice(req *request, candidates int, sample []route.Candidate, i int) {
	scores := make([]string, 0, len(sample))
	for _, c := range sample {
		scores = append(scores, fmt.Sprintf("%s=%.4f", c.Endpoint, route.Score(c)))
	}
	choice, reason := "", "no endpoint of the plan can take the request"
	if i >= 0 {
		choice, reason = sample[i].Endpoint, route.Reason(sample, i)
		e.cfg.Metrics.recordChoice(reason)
	}
	e.log.WithFields(logrus.Fields{
		"request": req.id, "group": req.group, "model": req.model, "candidates": candidates,
		"scores": scores, "choice": choice, "reason": reason,
	}).Info("routing: endpoint chosen")
}
