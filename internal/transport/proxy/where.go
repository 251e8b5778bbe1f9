package proxy

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
)

// The fields of a question to WhereHandler, as parameters of the query.
const (
	WhereHost  = "host"
	WherePath  = "path"
	WhereModel = "model"
	// WhereTokens holds PROMPT,OUTPUT token counts, WherePrompt the parts of the prompt as ID:TOKENS.
	WhereTokens = "tokens"
	WherePrompt = "prompt"
	// WhereGroup names the group of the caller.
	WhereGroup = "group"
)

// Where says where a request would go now. Times are in milliseconds.
type Where struct {
	Gateway string `json:"gateway"`
	// Verdict is what would become of the request: verdictSent, or why it would not be sent at once.
	Verdict  string `json:"verdict"`
	Endpoint string `json:"endpoint,omitempty"`
	Route    string `json:"route,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Service  string `json:"service,omitempty"`
	Group    string `json:"group,omitempty"`
	// Quota is the group's quota, nil if it has none.
	Quota       *WhereQuota `json:"quota,omitempty"`
	EstimateMS  int64       `json:"estimate_ms"`
	StartWaitMS int64       `json:"start_wait_ms"`
	LoadAdapter bool        `json:"load_adapter,omitempty"`
	// Gateways is the number of gateways that the decision counts with.
	Gateways             int              `json:"gateways"`
	ConfigVersion        uint64           `json:"config_version"`
	ConfigAgeMS          int64            `json:"config_age_ms"`
	RegistrationsAgeMS   int64            `json:"registrations_age_ms"`
	RegistrationsCertain bool             `json:"registrations_certain"`
	Candidates           []WhereCandidate `json:"candidates"`
}

// WhereQuota is the quota of a group, in units a second and units at once.
type WhereQuota struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// WhereCandidate is an endpoint of the request's service.
type WhereCandidate struct {
	Endpoint string `json:"endpoint"`
	// Why is the reason against the endpoint, empty for the chosen one.
	Why         string `json:"why,omitempty"`
	EstimateMS  int64  `json:"estimate_ms"`
	CostMS      int64  `json:"cost_ms"`
	StartWaitMS int64  `json:"start_wait_ms"`
	// InFlight and Slots count this gateway's requests and what the endpoint runs at once.
	InFlight      int     `json:"in_flight"`
	Slots         int     `json:"slots"`
	PrefillTokens int     `json:"prefill_tokens"`
	BacklogTokens int     `json:"backlog_tokens"`
	FailureRate   float64 `json:"failure_rate"`
	LatencyRatio  float64 `json:"latency_ratio"`
	WindowFull    bool    `json:"window_full,omitempty"`
	// ReportAgeMS is the age of the keeper's report that is used, -1 if none is.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// verdictSent means that the request would be sent to an endpoint; the other verdicts are the
// outcomes of requests.
const verdictSent = "sent"

// The reasons against an endpoint that could take the request.
const (
	whyWindowFull = "window_full"
	whyCost       = "costs_more"
)

// WhereHandler answers questions where a request would go now, as JSON.
func (h *Handler) WhereHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "use GET", http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(h.where(r)); err != nil {
			h.log.WithError(err).Debug("the answer to a question was not sent")
		}
	})
}

// where answers a question. It sends nothing and changes nothing on which decisions depend.
func (h *Handler) where(r *http.Request) Where {
	now, q, v := time.Now(), r.URL.Query(), h.view()
	out := Where{Gateway: h.cfg.GatewayID, Gateways: h.control.GatewayBound(), ConfigAgeMS: ageMS(now, v.ConfigConfirmedAt), RegistrationsAgeMS: ageMS(now, v.EndpointsConfirmedAt), RegistrationsCertain: !v.EndpointsUncertain}
	if !v.HasConfig {
		out.Verdict = "no_config"
		return out
	}
	out.ConfigVersion = v.Config.Version
	route, ok := v.Config.Route(q.Get(WhereHost), q.Get(WherePath))
	if !ok {
		out.Verdict = "no_route"
		if now.Sub(v.ConfigConfirmedAt) > h.cfg.ConfigStaleAfter {
			out.Verdict = "config_stale"
		}
		return out
	}
	out.Route, out.Kind = route.Name, route.Kind.String()
	if out.setGroup(v, q.Get(WhereGroup)); v.Config.HasGroups() && !route.Public && out.Group == "" {
		out.Verdict = "unknown_group"
		return out
	}
	service, ok := v.Config.Service(route.PickService(h.draw()))
	if !ok {
		out.Verdict = "no_service"
		return out
	}
	out.Service = service.Name
	in := &http.Request{Method: http.MethodPost, Host: q.Get(WhereHost), URL: &url.URL{Path: q.Get(WherePath)}, Header: http.Header{}}
	for name, param := range map[string]string{h.cfg.Headers.Model: WhereModel, h.cfg.Headers.TokenCounts: WhereTokens, h.cfg.Headers.PromptPrefix: WherePrompt} {
		if value := q.Get(param); value != "" {
			in.Header.Set(name, value)
		}
	}
	c := &call{began: now, in: in, route: route, ctx: r.Context()}
	c.deadline = now.Add(h.timeLimit(in, route) - responseMargin)
	c.req = h.parseRequest(c, service)
	h.setChoice(&out, c, service, now)
	return out
}

// setGroup sets the group that the question names.
func (w *Where) setGroup(v *watch.View, name string) {
	g, ok := v.Config.Group(name)
	if !ok {
		return
	}
	w.Group = g.Name
	if g.Quota.Limited() {
		w.Quota = &WhereQuota{PerSecond: g.Quota.PerSecond, Burst: g.Quota.Burst}
	}
}

// setChoice sets the endpoint that the request would go to, and the reasons against the others.
func (h *Handler) setChoice(out *Where, c *call, service fleet.Service, now time.Time) {
	opts := h.optionsFor(c, service, h.control.States(), out.Gateways, now)
	ch, ok := h.bestOf(c, opts, now)
	out.Verdict = h.verdict(c, service, opts, ch, ok, now)
	if out.Verdict == verdictSent {
		out.Endpoint = ch.ID
	}
	out.EstimateMS, out.StartWaitMS, out.LoadAdapter = ch.Estimate.Milliseconds(), ch.StartWait.Milliseconds(), ch.LoadAdapter
	listed := map[string]bool{}
	for _, a := range pick.Assess(c.req, opts.candidates, opts.latency, now, opts.adapterSlots) {
		listed[a.Candidate.State.ID] = true
		wc := candidateOfState(a.Candidate.State, now)
		wc.Why, wc.EstimateMS, wc.CostMS, wc.StartWaitMS = string(a.Excluded), a.Choice.Estimate.Milliseconds(), a.Cost.Milliseconds(), a.Choice.StartWait.Milliseconds()
		wc.InFlight, wc.Slots, wc.PrefillTokens, wc.BacklogTokens = a.Candidate.InFlight, a.Candidate.Slots, a.Choice.PrefillTokens, a.Choice.BacklogTokens
		wc.FailureRate, wc.LatencyRatio, wc.WindowFull = a.Candidate.Health.FailureRate(now), a.Candidate.Health.LatencyRatio(now), a.Candidate.WindowFull
		switch {
		case wc.Why != "" || ok && wc.Endpoint == ch.ID:
		case wc.WindowFull:
			wc.Why = whyWindowFull
		default:
			wc.Why = whyCost
		}
		out.Candidates = append(out.Candidates, wc)
	}
	for _, s := range h.control.States() {
		if s.Service == service.Name && !listed[s.ID] {
			wc := candidateOfState(s, now)
			wc.Why = string(pick.NoModel)
			out.Candidates = append(out.Candidates, wc)
		}
	}
}

// verdict returns what would become of a request for which a choice was made, or none if ok is
// unset. It follows the order in which choose decides for the first attempt.
func (h *Handler) verdict(c *call, service fleet.Service, opts options, ch pick.Choice, ok bool, now time.Time) string {
	if service.Engine != nil {
		if _, known := service.Engine.Models[c.req.ModelName.Model]; !known {
			return "unknown_model"
		}
	}
	switch {
	case !ok && pick.PauseLeft(c.req, opts.candidates, now) > 0:
		return "paused"
	case !ok && service.Engine == nil:
		return "no_endpoint"
	case !ok && h.control.KeepersAbsent(service.Name):
		return "no_keeper"
	case !ok:
		return "model_not_resident"
	case waitsTooLong(c, ch):
		return "rate_limited"
	case h.tooLate(c, ch):
		return "too_late"
	default:
		return verdictSent
	}
}

// candidateOfState returns what is known of an endpoint without the request.
func candidateOfState(s fleet.State, now time.Time) WhereCandidate {
	c := WhereCandidate{Endpoint: s.ID, Slots: s.Slots, LatencyRatio: 1, ReportAgeMS: -1}
	if s.StatusSupersedes {
		c.ReportAgeMS = now.Sub(s.Status.ReceivedAt).Milliseconds()
	}
	return c
}

// ageMS returns the age of what was confirmed at a time, -1 if it never was.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
