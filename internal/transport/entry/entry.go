package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/claim"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/quota"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/prefix"
	"chervilhead/internal/state/retry"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/peer"
)

// Settings configure one entry.
type Settings struct {
	ID            string
	FailureDomain string
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// StartTimeout is the time within which a request must start if its caller sets none.
	StartTimeout time.Duration
	// ReconnectWindow is how long the entry tries to reconnect to an agent before the
	// outcome of the attempt is unknown.
	ReconnectWindow time.Duration
	// Seed seeds the entry's random choices; 0 means a random seed.
	Seed uint64
	// Metrics receives the request metrics; nil disables them.
	Metrics *Metrics
}

// DefaultSettings returns the default settings of the entry id in a failure domain.
func DefaultSettings(id, domain string) Settings {
	return Settings{ID: id, FailureDomain: domain, MaxBodyBytes: 1 << 20, BodyTimeout: 2 * time.Minute, StartTimeout: 30 * time.Second, ReconnectWindow: 3 * time.Second}
}

// Entry serves callers' requests.
type Entry struct {
	cfg            Settings
	docs           *gossip.Store
	members        *member.Watcher
	pool           *peer.Pool
	log            *logrus.Entry
	incarnation    string
	epoch          time.Time
	requestLeave   func()
	leaveRequested <-chan struct{}
	view           atomic.Pointer[view]
	claims         *claim.Manager
	limits         *quota.Limiter
	poison         *peer.PoisonTracker
	jitter         jitter.Random

	mu               sync.Mutex
	inboxes          map[string]*inbox
	loadReports      map[string]loadReport
	attemptsInFlight map[string]int
	activeRequests   int
	rng              *rand.Rand
	indexCache       indexCache
	// prefixIndex estimates which endpoints have which prompt prefixes cached.
	prefixIndex *prefix.Index
	// chatsInFlight counts the chats in flight by fingerprint.
	chatsInFlight map[string]int
	outliers      retry.Outliers
	retryBudgets  map[string]retry.Budget
	crashCharges  retry.CrashCharges
	modelWaits    modelWaits

	// bufferedBytes is the total size of the items in all inboxes.
	bufferedBytes atomic.Int64
}

// New returns an entry that connects to agents with dial.
func New(cfg Settings, docs *gossip.Store, members *member.Watcher, dial peer.Dialer, log *logrus.Entry) *Entry {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	e := &Entry{
		cfg: cfg, docs: docs, members: members, log: log, incarnation: ident.New("inc-"), epoch: time.Now(),
		inboxes: map[string]*inbox{}, loadReports: map[string]loadReport{}, attemptsInFlight: map[string]int{},
		prefixIndex: prefix.NewIndex(prefixIndexSize), chatsInFlight: map[string]int{},
		retryBudgets: map[string]retry.Budget{}, modelWaits: newModelWaits(), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), jitter: jitter.Seeded(cfg.Seed),
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.requestLeave, e.leaveRequested = cancel, ctx.Done()
	e.view.Store(&view{replaced: make(chan struct{})})
	e.pool = peer.NewPool(dial, e, e.hello, log)
	e.poison = peer.NewPoisonTracker(e.holderAddresses, e.jitter)
	docs.Subscribe(e.applyDocument)
	return e
}

// Pool returns the pool of connections to other processes.
func (e *Entry) Pool() *peer.Pool { return e.pool }

func (e *Entry) hello() wire.Hello {
	return wire.Hello{Node: e.cfg.ID, Role: "entry", Incarnation: e.incarnation, Versions: e.docs.Versions()}
}

// Ready reports whether the entry has received a table and a plan and is not draining.
func (e *Entry) Ready() bool {
	v := e.view.Load()
	return v.table.Revision > 0 && v.plan.Version > 0 && !e.leaving()
}

// InFlight returns the number of callers' requests in progress.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeRequests
}

// Close waits a bounded time for claims to be settled, then closes the connections to
// other processes.
func (e *Entry) Close() {
	e.closeClaims()
	e.pool.Close()
}

// Handler returns the handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(openai.PathModels, e.serveModels).Methods(http.MethodGet)
	r.HandleFunc(openai.PathModels+"/{model:.+}", e.serveModel).Methods(http.MethodGet)
	r.HandleFunc(openai.PathChat, e.serveChat).Methods(http.MethodPost)
	r.HandleFunc(openai.PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", e.serveService)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { openai.WriteError(w, errNoRoute(r)) })
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { openai.WriteError(w, errNoRoute(r)) })
	return e.countRequests(r)
}

// countRequests maintains the number of requests in progress.
func (e *Entry) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.activeRequests++
		e.mu.Unlock()
		defer func() {
			e.mu.Lock()
			e.activeRequests--
			e.mu.Unlock()
		}()
		h.ServeHTTP(w, r)
	})
}

// Serve handles calls and notifications from other processes; it implements peer.Handler.
func (e *Entry) Serve(_ context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodEnd:
		m, err := peer.Decode[wire.End](params)
		if err != nil {
			return nil, err
		}
		if in := e.inbox(m.AttemptID); in != nil {
			return wire.EndReply{Complete: in.setEnd(m)}, nil
		}
		return wire.EndReply{Complete: true}, nil // no request waits for this answer any more
	case wire.MethodSuspect:
		return nil, e.receiveCrashRecords(params)
	case wire.MethodHello:
		return e.acceptHello(c, params)
	case wire.MethodStatus:
		return e.Status(), nil
	case wire.MethodLeave:
		e.Leave()
		return e.Status(), nil
	}
	return nil, peer.UnknownMethod(method)
}

// acceptHello replies to the hello of a process that has connected.
func (e *Entry) acceptHello(c *peer.Conn, params json.RawMessage) (any, error) {
	return peer.AcceptHello(c, params, wire.HelloReply{
		Node: e.cfg.ID, Role: "entry", Incarnation: e.incarnation, FailureDomain: e.cfg.FailureDomain,
		ClockMillis: time.Since(e.epoch).Milliseconds(), Versions: e.docs.Versions(),
	})
}

// Status returns the entry's status for operators.
func (e *Entry) Status() wire.Status {
	v := e.docs.Versions()
	return wire.Status{
		ID: e.cfg.ID, Role: "entry", FailureDomain: e.cfg.FailureDomain,
		Revision: v[gossip.KindTable], PlanVersion: v[gossip.KindPlan], Leaving: e.leaving(),
		RevisionAgeMillis: e.docs.Age(gossip.KindTable).Milliseconds(),
	}
}

// Leave starts draining: Ready reports false from then on.
func (e *Entry) Leave() { e.requestLeave() }

// LeaveRequested returns a channel that is closed when the entry starts draining.
func (e *Entry) LeaveRequested() <-chan struct{} { return e.leaveRequested }

func (e *Entry) leaving() bool {
	select {
	case <-e.leaveRequested:
		return true
	default:
		return false
	}
}

// view is an immutable snapshot of the table and the plan.
type view struct {
	table            table.Table
	plan             plan.Plan
	modelEndpoints   map[string][]plan.Endpoint
	serviceEndpoints map[string][]plan.Endpoint
	// replaced is closed when a newer view is stored.
	replaced chan struct{}
}

func (e *Entry) applyDocument(d gossip.Document) {
	last := e.view.Load()
	next := *last
	next.replaced = make(chan struct{})
	switch d.Kind {
	case gossip.KindTable:
		t, err := table.Decode(d.Data)
		if err != nil {
			e.log.WithError(err).Error("table document cannot be decoded; keeping the previous table")
			return
		}
		next.table = t
		e.limits.SetTable(t)
	case gossip.KindPlan:
		p, err := plan.Decode(d.Data)
		if err != nil {
			e.log.WithError(err).Error("plan document cannot be decoded; keeping the previous plan")
			return
		}
		next.setPlan(p)
		e.retainOutliers(p)
	}
	e.view.Store(&next)
	close(last.replaced)
}

func (v *view) setPlan(p plan.Plan) {
	v.plan = p
	v.modelEndpoints = map[string][]plan.Endpoint{}
	v.serviceEndpoints = map[string][]plan.Endpoint{}
	for _, ep := range p.Endpoints {
		for _, m := range ep.Models {
			v.modelEndpoints[m] = append(v.modelEndpoints[m], ep)
		}
		if ep.Service != "" {
			v.serviceEndpoints[ep.Service] = append(v.serviceEndpoints[ep.Service], ep)
		}
	}
}
