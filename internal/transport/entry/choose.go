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
	// sampleSize is the number of endpoints compared for one attempt.
	sampleSize = 2
	// loadFresh is how long a load report is used again.
	loadFresh    = 100 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
)

type loadReport struct {
	load wire.ProbeReply
	at   time.Time
}

// choose picks an endpoint for the next attempt of a request and logs the decision.
func (e *Entry) choose(ctx context.Context, req *request, tried tried) (route.Candidate, bool) {
	index := e.index(req)
	sample := e.pick(req, index, tried)
	e.probe(ctx, req, sample)
	i := route.Choose(sample)
	if i >= 0 && e.spills(req, sample[i], tried) {
		others := e.others(index, sample)
		e.probe(ctx, req, others)
		sample = append(sample, others...)
		i = route.Choose(sample)
	}
	e.logChoice(req, index.Len(), sample, i)
	if i < 0 {
		return route.Candidate{}, false
	}
	return sample[i], true
}

// tried is where earlier attempts of a request went.
type tried struct {
	endpoints sets.Set[string]
	domains   sets.Set[string]
}

// catalog holds the indexes of one version of the plan and the host list. The index of
// a model is built when the first request needs it.
type catalog struct {
	plan, hosts uint64
	built       map[catalogKey]*route.Index
	// before holds the indexes of the version before.
	before map[catalogKey]*route.Index
}

type catalogKey struct {
	service bool
	name    string
}

// index returns the endpoints that may run a request.
func (e *Entry) index(req *request) *route.Index {
	v, members := e.view.Load(), e.members.View()
	key := catalogKey{service: req.kind == wire.KindService, name: req.model}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := &e.catalog; c.built == nil || c.plan != v.plan.Version || c.hosts != members.Seq() {
		*c = catalog{plan: v.plan.Version, hosts: members.Seq(), built: map[catalogKey]*route.Index{}, before: c.built}
	}
	x, ok := e.catalog.built[key]
	if !ok {
		endpoints := v.byModel[req.model]
		if key.service {
			endpoints = v.services[req.model]
		}
		x = e.newIndex(e.catalog.before[key], endpoints, members)
		e.catalog.built[key] = x
	}
	return x
}

func (e *Entry) newIndex(before *route.Index, endpoints []plan.Endpoint, members member.View) *route.Index {
	usable, holders := make([]route.Candidate, 0, len(endpoints)), make([]string, 0, len(endpoints))
	for _, ep := range endpoints {
		holders = append(holders, ep.ID)
		if members.Live(ep.ID) {
			usable = append(usable, route.Candidate{
				Endpoint: ep.ID, Address: ep.Address, FailureDomain: ep.FailureDomain, Local: ep.FailureDomain == e.cfg.FailureDomain,
			})
		}
	}
	return before.Rebuild(usable, holders)
}

// pick samples the candidates of an attempt. When an ejected endpoint is due to be
// tried again, an idempotent request is sent to it alone.
func (e *Entry) pick(req *request, index *route.Index, tried tried) []route.Candidate {
	q := route.Query{Tried: tried.endpoints, TriedDomains: tried.domains}
	if req.kind != wire.KindService {
		q.HomeKey = req.homeKey()
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.idempotent {
		id, ok := e.fleet.NextProbe(now, e.rand.IntN, func(id string) bool {
			_, known := index.Get(id)
			return known && !tried.endpoints.Has(id)
		})
		if ok {
			e.fleet = e.fleet.WithProbe(id, now)
			c, _ := index.Get(id)
			c.DomainTried = tried.domains.Has(c.FailureDomain)
			return []route.Candidate{c}
		}
	}
	fleet := e.fleet
	q.Available = func(id string) bool {
		_, open := fleet.State(id, now).(retry.Available)
		return open
	}
	return index.Sample(e.rand, sampleSize, q)
}

// others samples endpoints beyond the homes of a chat.
func (e *Entry) others(index *route.Index, homes []route.Candidate) []route.Candidate {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	fleet := e.fleet
	return index.SampleNonHomes(e.rand, sampleSize, homes, func(id string) bool {
		_, open := fleet.State(id, now).(retry.Available)
		return open
	})
}

// probe fills in the load of the sampled candidates, all at once.
func (e *Entry) probe(ctx context.Context, req *request, sample []route.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	done := make(chan struct{}, len(sample))
	for i := range sample {
		c := &sample[i]
		go func() {
			defer func() { done <- struct{}{} }()
			load, asked, ok := e.load(ctx, c.Endpoint, c.Address, req)
			if !ok {
				return
			}
			c.LoadKnown, c.Resident, c.Running, c.Slots = true, load.Resident, load.Running, load.Slots
			c.Wait, c.Leaving = time.Duration(load.WaitMillis)*time.Millisecond, load.Leaving
			c.PrefillPerToken = time.Duration(load.PromptTokenNanos)
			c.CachedTokens = -1
			if asked {
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
		c.InFlight = e.inFlight[c.Endpoint]
		if req.kind == wire.KindService {
			continue
		}
		c.PromptTokens = req.promptTokens
		if c.PrefillPerToken <= 0 {
			c.PrefillPerToken = defaultPerToken
		}
		if c.CachedTokens < 0 || !c.LoadKnown {
			// The report was made for another prompt: what the entry remembers takes its place.
			c.CachedTokens = e.hints.CachedTokens(c.Endpoint, req.marks)
		}
	}
}

// load returns a fresh load report of an agent, probing it when none is held; asked
// says that the report was made for this request.
func (e *Entry) load(ctx context.Context, endpoint, address string, req *request) (l wire.ProbeReply, asked, ok bool) {
	key := endpoint + "\x00" + req.model
	e.mu.Lock()
	held, ok := e.loads[key]
	e.mu.Unlock()
	if ok && time.Since(held.at) < loadFresh {
		return held.load, false, true
	}
	link, err := e.pool.Get(ctx, address)
	if err != nil {
		return wire.ProbeReply{}, false, false
	}
	if err := link.Call(ctx, wire.MethodProbe, wire.Probe{Model: req.model, Prefix: req.marks, Versions: e.docs.Versions()}, &l); err != nil {
		return wire.ProbeReply{}, false, false
	}
	e.mu.Lock()
	e.loads[key] = loadReport{load: l, at: time.Now()}
	e.mu.Unlock()
	return l, true, true
}

// sweep drops load reports that are no longer fresh.
func (e *Entry) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, r := range e.loads {
		if now.Sub(r.at) >= loadFresh {
			delete(e.loads, k)
		}
	}
}

// ExpireLoadReports sweeps stale state until the context ends.
func (e *Entry) ExpireLoadReports(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			e.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) logChoice(req *request, all int, sample []route.Candidate, i int) {
	scores := make([]string, 0, len(sample))
	for _, c := range sample {
		scores = append(scores, fmt.Sprintf("%s=%.4f", c.Endpoint, route.Score(c)))
	}
	choice, reason := "", "no endpoint of the plan can take the request"
	if i >= 0 {
		choice, reason = sample[i].Endpoint, route.Reason(sample, i)
		e.cfg.Metrics.choice(reason)
	}
	e.log.WithFields(logrus.Fields{
		"request": req.id, "group": req.group, "model": req.model, "candidates": all,
		"scores": scores, "choice": choice, "reason": reason,
	}).Info("routing: endpoint chosen")
}
