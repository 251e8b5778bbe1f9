package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"chervilhead/internal/config"
	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

const (
	// revokeTimeout is the platform's bound from the acknowledgement of a configuration without a
	// key to the sending of the last request that may run with it.
	revokeTimeout = 5 * time.Second
	// wrongKeyFraction is the share of requests without a proper key, removedKeyFraction that of
	// requests with a key that was removed.
	wrongKeyFraction   = 0.05
	removedKeyFraction = 0.05
	// publicFraction is the share of requests for the public route.
	publicFraction = 0.05
	// forgedGroupFraction is the share of requests that claim a group.
	forgedGroupFraction = 0.05
	// minPromptTokens and maxPromptTokens bound the cost of requests for models: the platform's
	// requests have 1,000 to 10,000 tokens.
	minPromptTokens = 1_000
	maxPromptTokens = 9_900
	outputTokens    = 100
	// quotaStretch makes raised quotas last about as long as the window of a quota.
	quotaStretch = 5
)

// callerGroups returns the groups of the first configuration: two with quotas of tokens, of which
// the second sends more than its quota allows, one with a quota of requests and one without.
// The quotas are the platform's largest and smallest.
func callerGroups(cfg Settings) []stub.Group {
	if !cfg.Keys {
		return nil
	}
	urgent := 0
	groups := []stub.Group{
		{Name: "wide", Unit: stub.UnitTokens, PlainTokens: 3_000, PerSecond: 610_000, Burst: 610_000, Priority: &urgent},
		{Name: "narrow", Unit: stub.UnitTokens, PlainTokens: 10_000, PerSecond: 29_000, Burst: 29_000},
		{Name: "counted", PerSecond: 8, Burst: 16},
		{Name: "free"},
	}
	for i := range groups {
		if !cfg.Quotas {
			groups[i].PerSecond, groups[i].Burst = 0, 0
		}
		for range 3 {
			groups[i].Keys = append(groups[i].Keys, testbed.NewKey())
		}
	}
	return groups
}

// gatewaySettings returns a gateway's settings for its file.
func (s *soak) gatewaySettings(cfg config.Gateway) (any, error) {
	if !s.cfg.StrictRevocation {
		return cfg, nil
	}
	data, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("encode a gateway's settings: %w", err)
	}
	var out map[string]any
	if err := yaml.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("decode a gateway's settings: %w", err)
	}
	out["revocation"] = map[string]any{"strict": true, "bound": revokeTimeout.String()}
	return out, nil
}

// withCaller gives a request a key of the client's group, or another one, and token counts.
func (s *soak) withCaller(r *rand.Rand, number int, req testbed.Request) testbed.Request {
	if !s.cfg.Keys {
		return req
	}
	group := s.groups[number%len(s.groups)]
	keys := s.env.Keys(group)
	own := keys[r.IntN(len(keys))]
	req.Keys = []string{own}
	if req.Model != "" {
		req.PromptTokens, req.OutputTokens = minPromptTokens+r.IntN(maxPromptTokens-minPromptTokens), outputTokens
	}
	switch x := r.Float64(); {
	case x < wrongKeyFraction:
		// Unknown, missing, two fields, two in one field, in a trailer only.
		switch r.IntN(5) {
		case 0:
			req.Keys = []string{testbed.NewKey()}
		case 1:
			req.Keys = nil
		case 2:
			req.Keys = []string{own, own}
		case 3:
			req.Keys = []string{own + "," + own}
		case 4:
			req.Keys, req.TrailerKey = nil, own
		}
	case x < wrongKeyFraction+removedKeyFraction:
		if removed := s.env.RemovedKeys(); len(removed) > 0 {
			req.Keys = []string{removed[r.IntN(len(removed))]}
		}
	case x < wrongKeyFraction+removedKeyFraction+publicFraction:
		req = testbed.Request{Path: req.Path, Deadline: requestDeadline, Body: req.Body, Route: s.env.Route("open"), Keys: req.Keys[r.IntN(2):]}
	}
	if r.Float64() < forgedGroupFraction {
		req.ForgedGroup = s.groups[r.IntN(len(s.groups))]
	}
	return req
}

// properKey gives a check's own request a key that every configuration holds.
func (s *soak) properKey(req testbed.Request) testbed.Request {
	if s.cfg.Keys {
		// Keys of the group without a quota are never removed.
		req.Keys = s.env.Keys(s.groups[len(s.groups)-1])[:1]
	}
	return req
}

// changeKeys adds a key to a group or removes one; the group without a quota keeps its keys.
func (s *soak) changeKeys(e faultEvent) {
	group := s.groups[e.target%(len(s.groups)-1)]
	if keys := s.env.Keys(group); e.variant%2 == 0 {
		s.env.RemoveKey(keys[e.variant/2%len(keys)])
		return
	}
	s.env.AddKey(group)
}

// changeQuota doubles the quota of the group that sends too much for a while.
func (s *soak) changeQuota(e faultEvent) {
	const group, perSecond = "narrow", 29_000
	s.env.SetQuota(group, 2*perSecond, 2*perSecond)
	time.Sleep(quotaStretch * e.duration)
	s.env.SetQuota(group, perSecond, perSecond)
}

// checkRefusal checks a response that says that a caller may not do what it asked.
func (s *soak) checkRefusal(req testbed.Request, res testbed.Result) {
	checker := s.env.Checker
	switch res.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		checker.CheckDenied(req, res, configApplyTimeout, s.disconnected)
	case http.StatusTooManyRequests:
		group := ""
		if len(req.Keys) == 1 && !req.Route.Public {
			group = checker.GroupOf(req.Keys[0])
		}
		if !checker.HasQuota(group) {
			checker.AddViolation("DENIED", "request %s (%s) at %s got status %d; its group %q has no quota", res.ID, req.Route.Name, req.Gateway, res.Status, group)
		}
		checker.Increment("quota_refused_" + group)
	}
}

// checkGroups checks runs against the times of their keys and the quotas.
func (s *soak) checkGroups() {
	strict := time.Duration(0)
	if s.cfg.StrictRevocation {
		strict = revokeTimeout
	}
	s.env.Checker.CheckKeys(configApplyTimeout, strict, s.disconnected)
	s.env.Checker.CheckQuotas(configApplyTimeout)
}

// disconnected reports whether a gateway was not connected at some time of a period: it, or the
// store, was harmed then or shortly before.
func (s *soak) disconnected(gateway string, from, to time.Time) bool {
	i := slices.IndexFunc(s.gateways, func(g *proc) bool { return g.callers == gateway })
	from = from.Add(-stabilizationTime)
	return i < 0 || !s.gateways[i].faultFree(from, to) || s.faultDuring(&s.storeFaults, from, to)
}
