package proxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/events"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
	"chervilhead/internal/transport/guard"
	"chervilhead/internal/transport/httpd"
)

// ControlPlane gives the handler the endpoints' live states and takes its reports of demand
// and crashes.
type ControlPlane interface {
	// States returns all endpoints with their newest keeper reports.
	States() []fleet.State
	// LoadAdapter asks the keeper of an endpoint to load an adapter and waits until it is loaded.
	LoadAdapter(ctx context.Context, e fleet.Endpoint, name fleet.ModelName) error
	// AwaitStateChange waits, for a bounded time, until the models or adapters of an endpoint
	// change, and tells the planner that a request waits for a model.
	AwaitStateChange(ctx context.Context, service, model string) error
	// RecordDemand records a request for a model with its prefill and output tokens.
	RecordDemand(service, model string, prefillTokens, outputTokens int)
	// TrackRunning counts a request for a model as sent to an endpoint until the returned
	// function is called.
	TrackRunning(service, model string) (ended func())
	// RecordNoCapacity records that a request for a model found no free slot or adapter slot.
	RecordNoCapacity(service, model string)
	// BroadcastCrashReports sends crash reports to the other gateways.
	BroadcastCrashReports(reports []poison.CrashReport)
	// KeepersAbsent reports whether a service's endpoints have no keepers, so that neither models
	// nor adapters can be loaded there.
	KeepersAbsent(service string) bool
	// RecordLeaving records that an endpoint incarnation said that it leaves, and reports whether
	// that is new.
	RecordLeaving(e fleet.Endpoint) bool
	// SendStreamRecords sends records of streams to the keepers that hold them.
	SendStreamRecords(service string, recs []resume.Record)
	// QueryStreamRecord asks the keepers for the record of a stream and waits a bounded time.
	QueryStreamRecord(ctx context.Context, service string, key uint64) (resume.Record, resume.Source)
	// GatewayCount returns the number of gateways, or a default until it is known.
	GatewayCount() int
	// GatewayBound returns a number that isn't below that of the gateways that may be sending. The
	// slack of retry budgets and the rate limits of endpoints are divided by it.
	GatewayBound() int
}

// Settings configure a handler.
type Settings struct {
	Headers HeaderNames
	// GatewayID is the gateway's name, FailureDomain its failure domain.
	GatewayID, FailureDomain string
	RetryBudget              budget.Limit
	// FirstStart is set if no gateway has run here before, so that nothing of the retry budget can
	// have been spent.
	FirstStart bool
	// Random supplies the draws that keep gateways from acting in step; nil uses a random source.
	Random jitter.Random
	// ConfigStaleAfter is the age from which an unconfirmed configuration may lack a route; a
	// request without a route is then rejected with 503 rather than 404.
	ConfigStaleAfter time.Duration
	Revocation       Revocation
	// Elapsed returns the local time on the clock of watch.View.ConfigProvenAt; nil stands for
	// lease.Elapsed.
	Elapsed func() time.Duration
	// ConfirmEndpoints waits until the view holds what the store lists after the call began; nil
	// means that the view is always of the present.
	ConfirmEndpoints func(context.Context) error
	// Ramp limits the requests to endpoints that have just started or recovered.
	Ramp bool
	// Quotas bounds what groups may use; nil bounds nothing.
	Quotas Quotas
	// Durable keeps what must outlive all processes; nil keeps nothing.
	Durable Durable
	// MaxBodyBytes is the longest body that the memory for clients holds; 0 sets no limit beyond
	// the configuration's.
	MaxBodyBytes int64
}

// Handler forwards clients' requests to endpoints. It implements http.Handler.
type Handler struct {
	cfg           Settings
	view          func() *watch.View
	control       ControlPlane
	pool          *http1.Pool
	tracker       *tracker
	poisonTracker *poisonTracker
	endings       *endings
	versions      *streamVersions
	log           *logrus.Entry
	metrics       *Metrics
	// fingerprintKey is the key of the fingerprints of callers' keys.
	fingerprintKey []byte
	quotaLog       quotaLog

	// stop is nil unless the gateway stops; cut ends cutCtx, and thereby all requests.
	stop   atomic.Pointer[Stop]
	cutCtx context.Context
	cut    context.CancelCauseFunc
}

// New returns a handler that reads the configuration and endpoints from view.
func New(cfg Settings, view func() *watch.View, control ControlPlane, pool *http1.Pool, metrics *Metrics, log *logrus.Entry) *Handler {
	if cfg.Elapsed == nil {
		cfg.Elapsed = lease.Elapsed
	}
	h := &Handler{cfg: cfg, view: view, control: control, pool: pool, tracker: newTracker(cfg.RetryBudget, cfg.FirstStart), poisonTracker: newPoisonTracker(), endings: newEndings(), versions: newStreamVersions(), log: log, metrics: metrics, fingerprintKey: newFingerprintKey()}
	h.cutCtx, h.cut = context.WithCancelCause(context.Background())
	if cfg.Ramp {
		h.tracker.ramps = newRamps(cfg.GatewayID, h.tracker.start, metrics.ramp, log)
	}
	return h
}

// draw returns a random number in [0, 1).
func (h *Handler) draw() float64 {
	const steps = 1 << 30
	return float64(h.cfg.Random.N(steps)) / steps
}

// TakeUsage returns the adapters used on an endpoint and the hashes of the shared prompt
// prefixes that it has prefilled since the last call.
func (h *Handler) TakeUsage(id string) (adapters []string, prefixes []uint64) {
	return h.tracker.takeUsedAdapters(id), h.tracker.takePrefilledPrefixes(id)
}

// RecentlyUsed reports whether the gateway has sent an endpoint a request lately.
func (h *Handler) RecentlyUsed(id string) bool { return h.tracker.recentlyUsed(id, time.Now()) }

// AddCachedPrefixes adds hashes of shared prompt prefixes that an endpoint has prefilled for
// other gateways.
func (h *Handler) AddCachedPrefixes(e fleet.Endpoint, hashes []uint64) { h.tracker.merge(e, hashes) }

// Sweep drops the records and idle connections of endpoints that are gone.
func (h *Handler) Sweep() {
	h.tracker.ramps.sweep(h.view().Endpoints, time.Now())
	known := map[string]bool{}
	for id, e := range h.view().Endpoints {
		known[id] = true
		known[poolKey(e)] = true
	}
	h.tracker.retain(func(id string) bool { return known[id] })
	h.endings.retain(func(key string) bool { return known[key] })
	h.pool.EvictIdle(time.Now(), func(key string) bool { return known[key] })
	h.metrics.keys.observeView(h.view(), h.cfg.Elapsed())
	// A service becomes unsettled without a new view if the store falls silent.
	h.shareRecords()
}

// defaultBodyBytes is the limit of one body where neither the configuration nor the memory for
// clients sets one.
const defaultBodyBytes = 48 << 20

// call is one client request in progress.
type call struct {
	id    string
	began time.Time
	route fleet.Route
	// group is the group of the caller's key; it has no name if the request needs no key.
	group fleet.Group
	// access is how the request was authorized.
	access access
	req    pick.Request
	body   guard.Body
	in     *http.Request
	w      http.ResponseWriter
	// ctx ends when the client leaves, at its deadline or at the route's timeout.
	ctx context.Context
	// deadline is when ctx ends; it is zero until the body has been read.
	deadline time.Time
	// attempts counts all dispatches, possibleRuns those after which the request may have run.
	attempts, possibleRuns int
	// responseBegun is set once the response header has been written to the client.
	responseBegun bool
	choice        pick.Choice
	// reportAge is the age of the keeper's report on which the choice is based.
	reportAge     time.Duration
	configVersion uint64
	lastEventID   string
	// order tells which event may come next in the caller's stream.
	order events.Order
	// resumes is what is known of the stream that the request resumes, nil if it begins one.
	resumes *resume.Evidence
	// trial is set on a blocked request that runs to see whether it still crashes endpoints.
	trial bool
	// bound is set while only endpoints of the software version may get the request, and confirmed
	// once the store has said since the request came which version each is of.
	bound, confirmed bool
	version          string
	// sentAt is when the newest attempt had its connection, or was about to get one.
	sentAt time.Time
	// recordedAt is when the record of the request's stream was last put.
	recordedAt time.Time
	// record is the last one that the call made of its stream, and shared is set once one of them was
	// sent to other processes, which must get those that replace it.
	record resume.Record
	shared bool
	// saved is the record that was last to be kept, at savedAt, and kept is closed once it is; nil if
	// nothing is known of that.
	saved   resume.Record
	savedAt time.Time
	kept    <-chan struct{}
	// replaced is set once another record was to be kept before it.
	replaced bool
	// recordsRead is set once all records that outlive the processes were read for the resumption.
	recordsRead bool
	// redirectChecked is set once the choice was compared with the one without versions.
	redirectChecked bool
	// cachedRequestKey is set by requestKey.
	cachedRequestKey uint64
	// partKeys identify the prompt parts that other requests may hold too.
	partKeys []uint64
	// answerBegun is set once the newest attempt has had a complete event, or a whole plain
	// response.
	answerBegun bool
	// noAdapterSlot lists the ids of endpoints that had no free slot for the adapter.
	noAdapterSlot []string
	// demandRecorded is set once the request was counted as demand for its model.
	demandRecorded bool
	// noCapacityRecorded is set once the planner was told that the request found no capacity.
	noCapacityRecorded bool
	// endWindow ends the request's count in the window of its endpoint, nil if it has none.
	endWindow func()
	// outcome says in the log and the metrics how the request ended.
	outcome          string
	status           int
	timeToFirstEvent time.Duration
	// longestGap is the longest time between two reads that completed events of the stream.
	longestGap  time.Duration
	lastEventAt time.Time
	// framing is that of the newest response, and partialEventBytes what its stream held after
	// the last complete event when it ended.
	framing           string
	partialEventBytes int
	// quotaUnits is what the request took of its group's quota at quotaTakenAt, which is zero if
	// it took nothing.
	quotaUnits   float64
	quotaTakenAt time.Time
}

// lateReason returns which objective of its route an answered request missed, or "".
func (c *call) lateReason() string {
	switch {
	case c.timeToFirstEvent > c.route.Objective && c.route.Objective > 0:
		return "first"
	case c.longestGap > c.route.GapObjective && c.route.GapObjective > 0:
		return "gap"
	default:
		return ""
	}
}

// errTimeout ends requests at their deadline or at the route's timeout.
var errTimeout = errors.New("the request's time limit has passed")

// ServeHTTP forwards one request and relays its response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	c := &call{id: in.Header.Get(h.cfg.Headers.RequestID), began: time.Now(), in: in, w: w, access: access{arrived: h.cfg.Elapsed()}}
	if h.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	// This also replaces the deadline of the connection's previous request.
	h.setWriteDeadline(c, c.began.Add(rejectWriteTimeout))
	v := h.view()
	if !v.HasConfig {
		h.reject(c, "no_config", startRetryAfter)
		return
	}
	route, ok := v.Config.Route(in.Host, in.URL.Path)
	if !ok {
		if time.Since(v.ConfigConfirmedAt) > h.cfg.ConfigStaleAfter {
			h.reject(c, "config_stale", startRetryAfter)
			return
		}
		h.respond(c, http.StatusNotFound, "no_route")
		return
	}
	c.route, c.configVersion = route, v.Config.Version
	if route.Kind == fleet.Stream && route.Resumable {
		c.order = events.After(in.Header.Get(h.cfg.Headers.LastEventID))
	}
	if !h.authorize(c, v) {
		return
	}
	deadline, takes := h.takesUntil(c.began.Add(h.timeLimit(in, route) - responseMargin))
	if !takes {
		h.reject(c, "stopping", stoppingRetryAfter)
		return
	}
	h.setWriteDeadline(c, deadline.Add(lateWriteTimeout))
	h.findStream(c)
	service, ok := v.Config.Service(h.pickService(c))
	if !ok {
		h.reject(c, "no_service", startRetryAfter)
		return
	}
	if !h.readBody(c, v.Config.Limits, deadline) {
		return
	}
	c.deadline = deadline
	ctx, cancel := h.callContext(c)
	defer cancel()
	c.ctx = ctx
	c.req = h.parseRequest(c, service)
	if h.takeQuota(c) {
		defer h.endQuota(c)
		h.tracker.recordFirstAttempt(service.Name)
		if h.bindVersion(c) {
			h.serve(c, service)
		}
	}
	h.recordOutcome(c)
	if c.status == 0 {
		// Without a response the server would send an empty 200.
		httpd.AbortResponse(c.w, c.in)
	}
}

// setWriteDeadline bounds the time in which the caller has to read the response.
func (h *Handler) setWriteDeadline(c *call, deadline time.Time) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(deadline); err != nil {
		h.log.WithError(err).WithField("request", c.id).Warn("no deadline could be set for the response; a caller that does not read it is not cut off")
	}
}

// timeLimit returns the time that the caller and the route give a request.
func (h *Handler) timeLimit(in *http.Request, route fleet.Route) time.Duration {
	left := route.Timeout
	if ms, err := strconv.ParseInt(in.Header.Get(h.cfg.Headers.Deadline), 10, 64); err == nil {
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	return left
}

const (
	// startRetryAfter is the Retry-After while the gateway starts, its configuration is stale or
	// lacks the service, or its memory for bodies is in use.
	startRetryAfter = 300 * time.Millisecond
	// responseMargin is the time for a response to reach the client before its deadline.
	responseMargin = 8 * time.Millisecond
	// rejectWriteTimeout bounds the writing of a response to a request without a route.
	rejectWriteTimeout = 5 * time.Second
	// lateWriteTimeout is how long after its request's time limit a response may still be
	// written; a caller on a slow link gets one that is ready late.
	lateWriteTimeout = time.Second
)

// readBody reads the request's body; it responds and returns false when the body is too large, when
// there is no memory for it, or when it doesn't end in time.
func (h *Handler) readBody(c *call, limits fleet.Limits, deadline time.Time) bool {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = cmp.Or(h.cfg.MaxBodyBytes, defaultBodyBytes)
	}
	body, err := guard.ReadBody(c.w, c.in, limit, deadline, 1)
	switch {
	case err == nil:
		c.body = body
		return true
	case errors.Is(err, guard.ErrTooLarge):
		h.respond(c, http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, guard.ErrMemory):
		h.reject(c, "memory", startRetryAfter)
	case errors.Is(err, guard.ErrStalled):
		h.rejectWith(c, http.StatusRequestTimeout, "body_stalled", startRetryAfter)
	case errors.Is(err, guard.ErrTimeout):
		h.rejectWith(c, http.StatusRequestTimeout, "body_timeout", startRetryAfter)
	default:
		// The client left or sent a malformed body; nobody can be answered.
		c.outcome = "body_broken"
		h.recordOutcome(c)
		panic(http.ErrAbortHandler)
	}
	return false
}

// parseRequest parses the headers on which the choice of an endpoint depends.
func (h *Handler) parseRequest(c *call, service fleet.Service) pick.Request {
	req := pick.Request{Service: service.Name, Gateway: h.cfg.GatewayID, FailureDomain: h.cfg.FailureDomain}
	if service.Engine == nil {
		return req
	}
	req.GapObjective = c.route.GapObjective
	c.partKeys = sharedPartKeys(service.Name, c.in.Header.Get(h.cfg.Headers.PromptPrefix))
	req.ModelName = fleet.ParseModelName(c.in.Header.Get(h.cfg.Headers.Model))
	req.Parts = pick.ParsePromptParts(req.ModelName, c.in.Header.Get(h.cfg.Headers.PromptPrefix))
	prompt, output := pick.ParseTokenCounts(c.in.Header.Get(h.cfg.Headers.TokenCounts))
	req.OutputTokens = output
	if hint, err := strconv.Atoi(c.in.Header.Get(h.cfg.Headers.LengthHint)); err == nil && hint > 0 {
		// The token limit is far above the length of most answers.
		req.OutputTokens = min(hint, max(1, output))
	}
	if len(req.Parts) == 0 && prompt > 0 {
		req.Parts = []pick.PromptPart{{Tokens: prompt}}
	}
	// The last part belongs to this request or its session alone.
	req.SharedParts = max(0, len(req.Parts)-1)
	return req
}

// poolKey identifies an endpoint incarnation among the idle connections.
func poolKey(e fleet.Endpoint) string { return incarnationPoolKey(e.IncarnationID()) }

func incarnationPoolKey(id fleet.IncarnationID) string {
	return id.Endpoint + "/" + strconv.FormatInt(id.Incarnation, 36) + "/" + id.SoftwareVersion
}
