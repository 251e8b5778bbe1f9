package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/poison"
)

// ControlPlane is what the handler sees of the endpoints beyond the store's view.
type ControlPlane interface {
	// States returns all endpoints with the newest reports.
	States() []fleet.State
	// LoadAdapter asks the keeper of an endpoint for an adapter and waits until it is there.
	LoadAdapter(ctx context.Context, e fleet.Endpoint, name fleet.ModelName) error
	// AwaitStateChange waits until what endpoints hold changes, for some time at most, and tells the
	// planner that a request waits for a model.
	AwaitStateChange(ctx context.Context, service, model string) error
	// RecordDemand notes demand: a request for a model whose prompt has so many tokens to read
	// and whose answer so many tokens to make.
	RecordDemand(service, model string, read, made int)
	// TrackRunning notes that an endpoint has a request for a model until the returned function
	// is called.
	TrackRunning(service, model string) (ended func())
	// RecordNoCapacity notes that a request for a model found no place for itself or its adapter.
	RecordNoCapacity(service, model string)
	// BroadcastCrashRecord tells the other gateways of a request that may crash endpoints.
	BroadcastCrashRecord(m poison.CrashRecord)
	// GatewayCount returns the number of gateways, as far as it is known.
	GatewayCount() int
}

// Settings shape a handler.
type Settings struct {
	Headers HeaderNames
	// FailureDomain is the gateway's failure domain.
	FailureDomain string
	RetryBudget   budget.Limit
	// Random draws the choices that keep gateways from acting together; nil is random.
	Random jitter.Random
	// ConfigStaleAfter is the age from which an unconfirmed configuration may lack a route.
	ConfigStaleAfter time.Duration
}

// Handler passes requests on. It implements http.Handler.
type Handler struct {
	cfg   Settings
	view  func() *watch.View
	fleet ControlPlane
	pool  *http1.Pool
	track *tracker
	// suspects are requests that may crash endpoints.
	suspects *suspects
	log      *logrus.Entry
	met      *Metrics

	draining atomic.Bool
	bodies   atomic.Int64
}

// New returns a handler.
func New(cfg Settings, view func() *watch.View, f ControlPlane, pool *http1.Pool, met *Metrics, log *logrus.Entry) *Handler {
	return &Handler{cfg: cfg, view: view, fleet: f, pool: pool, track: newTracker(cfg.RetryBudget), suspects: newSuspects(), log: log, met: met}
}

// draw returns a number in [0, 1).
func (h *Handler) draw() float64 {
	const steps = 1 << 30
	return float64(h.cfg.Random.N(steps)) / steps
}

// Drain makes the handler end each connection after its answer.
func (h *Handler) Drain() { h.draining.Store(true) }

// TakeUsage returns the adapters used on an endpoint and the shared parts of prompts that it
// has read since the last call.
func (h *Handler) TakeUsage(id string) (adapters []string, read []uint64) {
	return h.track.used(id), h.track.read(id)
}

// AddCachedPrefixes notes shared parts of prompts that other gateways saw an endpoint read.
func (h *Handler) AddCachedPrefixes(e fleet.Endpoint, chains []uint64) { h.track.learn(e, chains) }

// Sweep drops what is kept for endpoints that are gone.
func (h *Handler) Sweep() {
	known := map[string]bool{}
	for id, e := range h.view().Endpoints {
		known[id] = true
		known[poolKey(e)] = true
	}
	h.track.forget(func(id string) bool { return known[id] })
	h.pool.EvictIdle(time.Now(), func(key string) bool { return known[key] })
}

// maxBodies bounds the bodies held at once in bytes, a fifth of a small host's memory.
const maxBodies = 48 << 20

// call is one request of a client on its way.
type call struct {
	id    string
	began time.Time
	route fleet.Route
	req   pick.Request
	body  []byte
	in    *http.Request
	w     http.ResponseWriter
	// ctx ends when the client leaves, at its deadline or at the route's timeout.
	ctx context.Context
	// limit is when ctx ends.
	limit time.Time
	// tries counts the endpoints that the request was sent to, runs those that may have run it.
	tries, runs int
	// begun is set once the client has received a part of the answer.
	begun  bool
	choice pick.Choice
	// reportAge is the age of the keeper's report that the choice rests on, config the
	// version of the configuration in force.
	reportAge time.Duration
	config    uint64
	lastID    string
	// print identifies equal requests once it was asked for.
	print string
	// full are endpoints that had no place for the adapter.
	full []string
	// crowded is set once the request found no place for itself or its adapter.
	crowded bool
	// outcome says in the log how the request ended.
	outcome string
	status  int
	first   time.Duration
}

// errTimeout ends requests at their deadline or at the route's timeout.
var errTimeout = errors.New("the time of the request is over")

// ServeHTTP passes one request on.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	c := &call{id: in.Header.Get(h.cfg.Headers.RequestID), began: time.Now(), in: in, w: w}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	v := h.view()
	if !v.HasConfig {
		h.refuse(c, "no_config", startWait)
		return
	}
	route, ok := v.Config.Route(in.Host, in.URL.Path)
	if !ok {
		if time.Since(v.ConfigConfirmedAt) > h.cfg.ConfigStaleAfter {
			h.refuse(c, "config_stale", startWait)
			return
		}
		h.end(c, http.StatusNotFound, "no_route")
		return
	}
	c.route, c.config = route, v.Config.Version
	service, ok := v.Config.Service(route.PickService(h.draw()))
	if !ok {
		h.refuse(c, "no_service", startWait)
		return
	}
	if !h.readBody(c, v.Config.Limits) {
		return
	}
	defer h.bodies.Add(-int64(len(c.body)))

	left := route.Timeout
	if ms, err := strconv.ParseInt(in.Header.Get(h.cfg.Headers.Deadline), 10, 64); err == nil {
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	c.limit = c.began.Add(left - wayBack)
	ctx, cancel := context.WithDeadlineCause(in.Context(), c.limit, errTimeout)
	defer cancel()
	c.ctx = ctx
	c.req = h.describe(c, service)
	h.track.fresh(service.Name)
	h.serve(c, service)
	h.note(c)
}

const (
	// startWait is how long a caller waits for a gateway that is starting.
	startWait = 300 * time.Millisecond
	// wayBack is the time for an answer to reach the client.
	wayBack = 8 * time.Millisecond
)

// readBody reads the request's body whole; it answers and returns false if it can't.
func (h *Handler) readBody(c *call, limits fleet.Limits) bool {
	most := limits.BodyBytes
	if most <= 0 {
		most = maxBodies
	}
	if c.in.ContentLength > most {
		h.end(c, http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if h.bodies.Load() > maxBodies {
		h.refuse(c, "memory", startWait)
		return false
	}
	if c.in.ContentLength == 0 {
		return true
	}
	body, err := io.ReadAll(io.LimitReader(c.in.Body, most+1))
	if err != nil {
		// The client left or its framing is broken; there is nobody to answer.
		c.outcome = "body_broken"
		h.note(c)
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > most {
		h.end(c, http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	c.body = body
	h.bodies.Add(int64(len(body)))
	return true
}

// describe decodes what the choice of an endpoint depends on.
func (h *Handler) describe(c *call, service fleet.Service) pick.Request {
	req := pick.Request{Service: service.Name, FailureDomain: h.cfg.FailureDomain}
	if service.Engine == nil {
		return req
	}
	req.ModelName = fleet.ParseModelName(c.in.Header.Get(h.cfg.Headers.Model))
	req.Parts = pick.ParsePromptParts(req.ModelName, c.in.Header.Get(h.cfg.Headers.PromptPrefix))
	prompt, output := pick.ParseTokenCounts(c.in.Header.Get(h.cfg.Headers.TokenCounts))
	req.OutputTokens = output
	if hint, err := strconv.Atoi(c.in.Header.Get(h.cfg.Headers.LengthHint)); err == nil && hint > 0 {
		// The limit is far above what most answers take.
		req.OutputTokens = min(hint, max(1, output))
	}
	if len(req.Parts) == 0 && prompt > 0 {
		req.Parts = []pick.PromptPart{{Tokens: prompt}}
	}
	// The last part is the request's own or its session's.
	req.SharedParts = max(0, len(req.Parts)-1)
	return req
}

func poolKey(e fleet.Endpoint) string { return e.ID + "/" + strconv.FormatInt(e.Incarnation, 36) }
