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

// Settings shape one entry.
type Settings struct {
	ID            string
	FailureDomain string
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64
	// StartTimeout is the time within which a request must start when its caller sets none.
	StartTimeout time.Duration
	// ReconnectWindow is how long a lost agent is tried before an attempt counts as unknown.
	ReconnectWindow time.Duration
	// Seed fixes the entry's random choices; 0 draws one.
	Seed uint64
	// Metrics counts requests; nil counts nothing.
	Metrics *Metrics
}

// DefaultSettings returns the settings of an entry with an id in a failure domain.
func DefaultSettings(id, domain string) Settings {
	return Settings{ID: id, FailureDomain: domain, MaxBodyBytes: 1 << 20, StartTimeout: 30 * time.Second, ReconnectWindow: 3 * time.Second}
}

// Entry serves callers.
type Entry struct {
	cfg         Settings
	docs        *gossip.Store
	members     *member.Watcher
	pool        *peer.Pool
	log         *logrus.Entry
	incarnation string
	epoch       time.Time
	leave       func()
	left        <-chan struct{}
	view        atomic.Pointer[view]
	claims      *claim.Manager
	limits      *quota.Limiter
	suspects    *peer.PoisonTracker
	random      jitter.Random

	mu       sync.Mutex
	inboxes  map[string]*inbox
	loads    map[string]loadReport
	inFlight map[string]int
	requests int
	rand     *rand.Rand
	catalog  catalog
	// hints says which endpoints probably hold which beginnings of prompts.
	hints *prefix.Index
	// equal counts the chats in flight by fingerprint.
	equal   map[string]int
	fleet   retry.Outliers
	budgets map[string]retry.Budget
	charges retry.CrashCharges
	awaits  awaits

	// held counts the bytes in all inboxes.
	held atomic.Int64
}

// New returns an entry that reaches agents through dial.
func New(cfg Settings, docs *gossip.Store, members *member.Watcher, dial peer.Dialer, log *logrus.Entry) *Entry {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	e := &Entry{
		cfg: cfg, docs: docs, members: members, log: log, incarnation: ident.New("inc-"), epoch: time.Now(),
		inboxes: map[string]*inbox{}, loads: map[string]loadReport{}, inFlight: map[string]int{},
		hints: prefix.NewIndex(hintMarks), equal: map[string]int{},
		budgets: map[string]retry.Budget{}, awaits: newAwaits(), rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), random: jitter.Seeded(cfg.Seed),
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.leave, e.left = cancel, ctx.Done()
	e.view.Store(&view{replaced: make(chan struct{})})
	e.pool = peer.NewPool(dial, e, e.hello, log)
	e.suspects = peer.NewPoisonTracker(e.holderAddresses, e.random)
	docs.Subscribe(e.document)
	return e
}

// Pool returns the entry's connections to other processes.
func (e *Entry) Pool() *peer.Pool { return e.pool }

func (e *Entry) hello() wire.Hello {
	return wire.Hello{Node: e.cfg.ID, Role: "entry", Incarnation: e.incarnation, Versions: e.docs.Versions()}
}

// Ready reports whether the entry holds a table and a plan and is not leaving.
func (e *Entry) Ready() bool {
	v := e.view.Load()
	return v.table.Revision > 0 && v.plan.Version > 0 && !e.leaving()
}

// InFlight returns the number of callers' requests being served.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// Close closes the connections to other processes.
func (e *Entry) Close() {
	e.closeClaims()
	e.pool.Close()
}

// Handler serves the callers' API.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(openai.PathModels, e.serveModels).Methods(http.MethodGet)
	r.HandleFunc(openai.PathModels+"/{model:.+}", e.serveModel).Methods(http.MethodGet)
	r.HandleFunc(openai.PathChat, e.serveChat).Methods(http.MethodPost)
	r.HandleFunc(openai.PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", e.serveService)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { openai.WriteError(w, errNoRoute(r)) })
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { openai.WriteError(w, errNoRoute(r)) })
	return e.count(r)
}

// count keeps the number of requests in flight.
func (e *Entry) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.requests++
		e.mu.Unlock()
		defer func() {
			e.mu.Lock()
			e.requests--
			e.mu.Unlock()
		}()
		h.ServeHTTP(w, r)
	})
}

// Serve handles notifications from agents; it implements peer.Handler.
func (e *Entry) Serve(_ context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodEnd:
		m, err := peer.Decode[wire.End](params)
		if err != nil {
			return nil, err
		}
		if in := e.inbox(m.AttemptID); in != nil {
			return wire.EndReply{Complete: in.finish(m)}, nil
		}
		return wire.EndReply{Complete: true}, nil // nobody needs the answer any more
	case wire.MethodSuspect:
		return nil, e.suspected(params)
	case wire.MethodHello:
		return e.welcome(c, params)
	case wire.MethodStatus:
		return e.Status(), nil
	case wire.MethodLeave:
		e.Leave()
		return e.Status(), nil
	}
	return nil, peer.UnknownMethod(method)
}

// welcome introduces the entry to a process that connects to it.
func (e *Entry) welcome(c *peer.Conn, params json.RawMessage) (any, error) {
	return peer.AcceptHello(c, params, wire.HelloReply{
		Node: e.cfg.ID, Role: "entry", Incarnation: e.incarnation, FailureDomain: e.cfg.FailureDomain,
		ClockMillis: time.Since(e.epoch).Milliseconds(), Versions: e.docs.Versions(),
	})
}

// Status describes the entry to operators.
func (e *Entry) Status() wire.Status {
	v := e.docs.Versions()
	return wire.Status{
		ID: e.cfg.ID, Role: "entry", FailureDomain: e.cfg.FailureDomain,
		Revision: v[gossip.KindTable], PlanVersion: v[gossip.KindPlan], Leaving: e.leaving(),
		RevisionAgeMillis: e.docs.Age(gossip.KindTable).Milliseconds(),
	}
}

// Leave marks the entry as leaving; its readiness fails from then on.
func (e *Entry) Leave() { e.leave() }

// LeaveRequested is closed when the entry leaves.
func (e *Entry) LeaveRequested() <-chan struct{} { return e.left }

func (e *Entry) leaving() bool {
	select {
	case <-e.left:
		return true
	default:
		return false
	}
}

// view is an immutable snapshot of all that a request's decisions need.
type view struct {
	table    table.Table
	plan     plan.Plan
	byModel  map[string][]plan.Endpoint
	services map[string][]plan.Endpoint
	// replaced is closed when a newer view is in force.
	replaced chan struct{}
}

func (e *Entry) document(d gossip.Document) {
	last := e.view.Load()
	next := *last
	next.replaced = make(chan struct{})
	switch d.Kind {
	case gossip.KindTable:
		t, err := table.Decode(d.Data)
		if err != nil {
			e.log.WithError(err).Error("table document does not decode; the previous one stays in force")
			return
		}
		next.table = t
		e.limits.SetTable(t)
	case gossip.KindPlan:
		p, err := plan.Decode(d.Data)
		if err != nil {
			e.log.WithError(err).Error("plan document does not decode; the previous one stays in force")
			return
		}
		next.setPlan(p)
		e.keepKnown(p)
	}
	e.view.Store(&next)
	close(last.replaced)
}

func (v *view) setPlan(p plan.Plan) {
	v.plan = p
	v.byModel = map[string][]plan.Endpoint{}
	v.services = map[string][]plan.Endpoint{}
	for _, ep := range p.Endpoints {
		for _, m := range ep.Models {
			v.byModel[m] = append(v.byModel[m], ep)
		}
		if ep.Service != "" {
			v.services[ep.Service] = append(v.services[ep.Service], ep)
		}
	}
}
