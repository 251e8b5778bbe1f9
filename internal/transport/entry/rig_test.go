package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/agent"
	"chervilhead/internal/transport/entry"
	"chervilhead/internal/transport/peer"
)

const (
	slots    = 2
	domains  = 4
	testKey  = "key"
	entryID  = "entry"
	oneModel = "m"
)

// fakeEngine runs a prompt "ID TOKENS" for a fixed time per token.
type fakeEngine struct {
	interval time.Duration
	free     chan struct{}

	mu      sync.Mutex
	failing bool
	started map[string]int
	stopped map[string]int
	// attempt is the id of the newest attempt.
	attempt string
	total   int
	last    time.Time
}

func newFakeEngine(interval time.Duration, width int) *fakeEngine {
	return &fakeEngine{interval: interval, free: make(chan struct{}, width), started: map[string]int{}, stopped: map[string]int{}}
}

func (f *fakeEngine) setFailing(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = v
}

func (f *fakeEngine) begin(id, attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempt = attempt
	f.started[id]++
	f.total++
	f.last = time.Now()
	return f.failing
}

func (f *fakeEngine) runs(id string) (started, stopped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id], f.stopped[id]
}

func (f *fakeEngine) Run(ctx context.Context, req engine.Request, sink engine.Sink) (engine.Result, error) {
	select {
	case f.free <- struct{}{}:
	case <-ctx.Done():
		return engine.Result{}, ctx.Err()
	}
	defer func() { <-f.free }()
	var body struct{ Prompt string }
	_ = json.Unmarshal(req.Body, &body)
	id, tokens := "", 0
	_, _ = fmt.Sscanf(body.Prompt, "%s %d", &id, &tokens)
	failing := f.begin(id, req.ID)
	for i := range tokens {
		select {
		case <-time.After(f.interval):
		case <-ctx.Done():
			f.mu.Lock()
			f.stopped[id]++
			f.mu.Unlock()
			return engine.Result{}, fault.New(fault.Upstream, fault.CodeCancelled, "cancelled", "")
		}
		if failing {
			return engine.Result{}, fault.New(fault.Upstream, fault.CodeEngineCrashed, "crashed", "")
		}
		if req.Stream {
			sink(fmt.Appendf(nil, `{"token":"%s-%d"}`, id, i))
		}
	}
	if !req.Stream {
		sink(fmt.Appendf(nil, `{"answer":"%s"}`, id))
	}
	return engine.Result{FinishReason: "stop"}, nil
}

func (f *fakeEngine) Resume(_ context.Context, _ engine.Request, got engine.Result, _ engine.Sink) (engine.Result, error) {
	return got, engine.Restarted("next")
}
func (f *fakeEngine) Cancel(context.Context, string) error        { return nil }
func (f *fakeEngine) Order(context.Context, engine.Order) error   { return nil }
func (f *fakeEngine) State(context.Context) (engine.State, error) { return engine.State{}, nil }
func (f *fakeEngine) CacheEvents(context.Context, uint64) (engine.CacheEventPage, error) {
	return engine.CacheEventPage{}, nil
}

// host is one endpoint: an engine and its agent.
type host struct {
	engine *fakeEngine
	agent  *agent.Agent
	addr   string
	lis    io.Closer
	stop   context.CancelFunc
}

// rig is a fleet of real agents and one real entry on a network in memory.
type rig struct {
	net   *netsim.Network
	hosts []*host
	entry *entry.Entry
	log   *logrus.Entry
	docs  *gossip.Store
}

// newRig starts a fleet; it ends with the test.
func newRig(t *testing.T, n int, interval time.Duration) *rig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &rig{net: netsim.New(), log: log.WithField("test", t.Name()), docs: gossip.NewStore()}
	r.net.SetFault("", "", netsim.Fault{Delay: time.Millisecond})
	p := plan.Plan{Version: 1}
	for i := range n {
		h := &host{engine: newFakeEngine(interval, slots), addr: fmt.Sprintf("agent-%d", i)}
		r.hosts = append(r.hosts, h)
		r.startAgent(t, h)
		p.Endpoints = append(p.Endpoints, plan.Endpoint{
			ID: h.addr, Address: h.addr, FailureDomain: fmt.Sprintf("domain-%d", i%domains), Models: []string{oneModel},
		})
	}
	tab := table.New(1, []table.Group{{Name: "g", Weight: 1}}, []table.Model{{Name: oneModel, Groups: []string{"g"}, MemoryBytes: 1, LeastCopies: 1}},
		nil, []table.Key{{Name: "k", Hash: ident.HashKey(testKey), Group: "g"}})
	r.docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(tab)})
	r.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: 1, Data: plan.Encode(p)})
	cfg := entry.DefaultSettings(entryID, "domain-0")
	cfg.Seed = 1
	r.entry = entry.New(cfg, r.docs, member.NewWatcher(nil, time.Second, r.log), r.net.Dialer(entryID), r.log)
	t.Cleanup(func() {
		r.entry.Close()
		for _, h := range r.hosts {
			h.stop()
			h.lis.Close()
		}
		r.net.Cut("", "")
		time.Sleep(2 * time.Hour) // virtual: lets the timers of kept answers run out
	})
	return r
}

// startAgent starts a new incarnation of a host's agent.
func (r *rig) startAgent(t *testing.T, h *host) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.agent = agent.New(ctx, agent.Settings{ID: h.addr, Slots: slots, QueueBound: 64, AnswerRetention: 30 * time.Second},
		agent.EngineBackend{Engine: h.engine}, gossip.NewStore(), r.log)
	h.agent.SetEngineState(&engine.State{Residents: []engine.ResidentModel{{Model: oneModel, Ready: true}}})
	l, err := r.net.Listen(h.addr)
	if err != nil {
		t.Fatal(err)
	}
	h.lis = l
	go peer.Serve(ctx, l, h.agent, r.log)
}

// restartAgent replaces a host's agent; what the old one held is lost.
func (r *rig) restartAgent(t *testing.T, h *host) {
	h.lis.Close()
	r.net.Cut("", h.addr)
	h.stop()
	r.startAgent(t, h)
}

// call is one caller's request.
type call struct {
	id       string
	tokens   int
	stream   bool
	once     bool
	startBy  time.Duration
	patience time.Duration
}

// answer is what the caller got.
type answer struct {
	outcome    fault.Outcome
	status     int
	body       string
	retryAfter string
	took       time.Duration
	at         time.Time
}

func (r *rig) send(ctx context.Context, c call) answer {
	began := time.Now()
	if c.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.patience)
		defer cancel()
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %d","stream":%v}`, oneModel, c.id, c.tokens, c.stream)
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, openai.PathCompletions, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	if c.once {
		req.Header.Set(openai.HeaderIdempotent, "false")
	}
	if c.startBy > 0 {
		req.Header.Set(openai.HeaderTimeout, fmt.Sprint(c.startBy.Seconds()))
	}
	w := httptest.NewRecorder()
	r.entry.Handler().ServeHTTP(w, req)
	return answer{
		outcome: fault.Outcome(w.Result().Header.Get(openai.HeaderOutcome) + w.Result().Trailer.Get(openai.HeaderOutcome)),
		status:  w.Code, body: w.Body.String(), retryAfter: w.Header().Get("Retry-After"), took: time.Since(began),
	}
}

// started counts the executions of a request over all endpoints.
func (r *rig) started(id string) int {
	n := 0
	for _, h := range r.hosts {
		s, _ := h.engine.runs(id)
		n += s
	}
	return n
}

func inBubble(t *testing.T, n int, interval time.Duration, f func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) { f(t, newRig(t, n, interval)) })
}
