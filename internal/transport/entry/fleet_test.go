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
	slots     = 2
	domains   = 4
	testKey   = "key"
	entryID   = "entry"
	testModel = "m"
)

// fakeEngine runs a prompt of the form "ID TOKENS" and takes a fixed time per token.
type fakeEngine struct {
	perToken time.Duration
	slotSem  chan struct{}

	mu      sync.Mutex
	failing bool
	started map[string]int
	stopped map[string]int
	// attempt is the ID of the latest attempt.
	attempt   string
	runCount  int
	lastStart time.Time
}

func newFakeEngine(interval time.Duration, slots int) *fakeEngine {
	return &fakeEngine{perToken: interval, slotSem: make(chan struct{}, slots), started: map[string]int{}, stopped: map[string]int{}}
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
	f.runCount++
	f.lastStart = time.Now()
	return f.failing
}

func (f *fakeEngine) runs(id string) (started, stopped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id], f.stopped[id]
}

func (f *fakeEngine) Run(ctx context.Context, req engine.Request, sink engine.Sink) (engine.Result, error) {
	select {
	case f.slotSem <- struct{}{}:
	case <-ctx.Done():
		return engine.Result{}, ctx.Err()
	}
	defer func() { <-f.slotSem }()
	var body struct{ Prompt string }
	_ = json.Unmarshal(req.Body, &body)
	id, tokens := "", 0
	_, _ = fmt.Sscanf(body.Prompt, "%s %d", &id, &tokens)
	failing := f.begin(id, req.ID)
	for i := range tokens {
		select {
		case <-time.After(f.perToken):
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

// host is a host with one endpoint, a fake engine, and its agent.
type host struct {
	engine *fakeEngine
	agent  *agent.Agent
	addr   string
	lis    io.Closer
	stop   context.CancelFunc
}

// testFleet is a fleet of real agents and one real entry on an in-memory network.
type testFleet struct {
	net   *netsim.Network
	hosts []*host
	entry *entry.Entry
	log   *logrus.Entry
	docs  *gossip.Store
}

// newTestFleet starts a fleet of n hosts that runs until the end of the test.
func newTestFleet(t *testing.T, n int, interval time.Duration) *testFleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &testFleet{net: netsim.New(), log: log.WithField("test", t.Name()), docs: gossip.NewStore()}
	f.net.SetFault("", "", netsim.Fault{Delay: time.Millisecond})
	p := plan.Plan{Version: 1}
	for i := range n {
		h := &host{engine: newFakeEngine(interval, slots), addr: fmt.Sprintf("agent-%d", i)}
		f.hosts = append(f.hosts, h)
		f.startAgent(t, h)
		p.Endpoints = append(p.Endpoints, plan.Endpoint{
			ID: h.addr, Address: h.addr, FailureDomain: fmt.Sprintf("domain-%d", i%domains), Models: []string{testModel},
		})
	}
	tab := table.New(1, []table.Group{{Name: "g", Weight: 1}}, []table.Model{{Name: testModel, Groups: []string{"g"}, MemoryBytes: 1, LeastCopies: 1}},
		nil, []table.Key{{Name: "k", Hash: ident.HashKey(testKey), Group: "g"}})
	f.docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(tab)})
	f.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: 1, Data: plan.Encode(p)})
	cfg := entry.DefaultSettings(entryID, "domain-0")
	cfg.Seed = 1
	f.entry = entry.New(cfg, f.docs, member.NewWatcher(nil, time.Second, f.log), f.net.Dialer(entryID), f.log)
	t.Cleanup(func() {
		f.entry.Close()
		for _, h := range f.hosts {
			h.stop()
			h.lis.Close()
		}
		f.net.ResetConnections("", "")
		time.Sleep(2 * time.Hour) // virtual time, in which the timers of retained answers fire
	})
	return f
}

// startAgent starts a new incarnation of a host's agent.
func (f *testFleet) startAgent(t *testing.T, h *host) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.agent = agent.New(ctx, agent.Settings{ID: h.addr, Slots: slots, QueueBound: 64, AnswerRetention: 30 * time.Second},
		agent.EngineBackend{Engine: h.engine}, gossip.NewStore(), f.log)
	h.agent.SetEngineState(&engine.State{Residents: []engine.ResidentModel{{Model: testModel, Ready: true}}})
	l, err := f.net.Listen(h.addr)
	if err != nil {
		t.Fatal(err)
	}
	h.lis = l
	go peer.Serve(ctx, l, h.agent, f.log)
}

// restartAgent replaces a host's agent by a new incarnation without the old one's state.
func (f *testFleet) restartAgent(t *testing.T, h *host) {
	h.lis.Close()
	f.net.ResetConnections("", h.addr)
	h.stop()
	f.startAgent(t, h)
}

// call describes one request of a caller.
type call struct {
	id            string
	tokens        int
	stream        bool
	nonIdempotent bool
	startBy       time.Duration
	timeout       time.Duration
}

// answer is the answer that the caller received.
type answer struct {
	outcome     fault.Outcome
	status      int
	body        string
	retryAfter  string
	latency     time.Duration
	completedAt time.Time
}

func (f *testFleet) send(ctx context.Context, c call) answer {
	start := time.Now()
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %d","stream":%v}`, testModel, c.id, c.tokens, c.stream)
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, openai.PathCompletions, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	if c.nonIdempotent {
		req.Header.Set(openai.HeaderIdempotent, "false")
	}
	if c.startBy > 0 {
		req.Header.Set(openai.HeaderTimeout, fmt.Sprint(c.startBy.Seconds()))
	}
	w := httptest.NewRecorder()
	f.entry.Handler().ServeHTTP(w, req)
	return answer{
		outcome: fault.Outcome(w.Result().Header.Get(openai.HeaderOutcome) + w.Result().Trailer.Get(openai.HeaderOutcome)),
		status:  w.Code, body: w.Body.String(), retryAfter: w.Header().Get("Retry-After"), latency: time.Since(start),
	}
}

// executions counts the executions of a request on all endpoints.
func (f *testFleet) executions(id string) int {
	n := 0
	for _, h := range f.hosts {
		s, _ := h.engine.runs(id)
		n += s
	}
	return n
}

func inBubble(t *testing.T, n int, interval time.Duration, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) { test(t, newTestFleet(t, n, interval)) })
}
