package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/platform"
	"chervilhead/platform/stub"
)

// Mishap is what an endpoint does wrong with a request.
type Mishap uint8

// The mishaps.
const (
	Fine Mishap = iota
	// Fails answers 500 after the run.
	Fails
	// Breaks breaks the connection in the middle of the answer.
	Breaks
	// Garbles sends bytes that belong to no answer after a whole one.
	Garbles
	// Echoes answers with the id of another request first.
	Echoes
)

// EndpointSettings shape an endpoint.
type EndpointSettings struct {
	Service, Zone string
	Slots         int
	// Listen is the address that it serves, Registered the one that it registers; they
	// differ where a proxy stands between.
	Listen, Registered string
	// Work is the time of a plain run, Events and Gap shape a stream.
	Work   time.Duration
	Events int
	Gap    time.Duration
	// Heartbeat is the pause between writes of the registration.
	Heartbeat time.Duration
	// Mishaps is the share of requests that go wrong.
	Mishaps float64
	// Engine is set for endpoints with models, Holds names those that it holds at its start.
	Engine *stub.Engine
	Holds  []string
}

// Endpoint is an endpoint of the platform.
type Endpoint struct {
	cfg    EndpointSettings
	store  *stub.Store
	ledger *Ledger
	names  names

	mu    sync.Mutex
	life  int
	id    string
	born  int64
	state stub.State
	// leftAt is when the endpoint said that it leaves.
	leftAt  time.Time
	srv     *http.Server
	cancel  context.CancelFunc
	waiting int
	running int
	model   *modelState
	wg      sync.WaitGroup
}

// names are the names of header fields.
type names struct{ id, model, self, instance, notRun, seal, deadline, lastEvent string }

func headerNames() names {
	h := platform.Headers()
	return names{h.RequestID, h.Model, h.InstanceID, h.ExpectInstance, h.NotRun, h.Signature, h.Deadline, h.LastEventID}
}

// NewEndpoint returns an endpoint that isn't started.
func NewEndpoint(cfg EndpointSettings, s *stub.Store, l *Ledger) *Endpoint {
	return &Endpoint{cfg: cfg, store: s, ledger: l, names: headerNames()}
}

// Start starts a new incarnation, which is registered when Start returns.
func (e *Endpoint) Start() error {
	if err := e.start(); err != nil {
		return err
	}
	e.write()
	return nil
}

func (e *Endpoint) start() error {
	l, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return fmt.Errorf("start an endpoint: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.cfg.Listen = l.Addr().String()
	if e.cfg.Registered == "" {
		e.cfg.Registered = e.cfg.Listen
	}
	e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(e.cfg.Registered), e.life)
	e.born, e.state, e.cancel, e.leftAt = time.Now().UnixMilli(), stub.StateReady, cancel, time.Time{}
	e.waiting, e.running = 0, 0
	if e.cfg.Engine != nil {
		e.model = newModelState(e.cfg.Engine, e.cfg.Holds, e.ledger)
		// A restarted engine is empty.
		e.cfg.Holds = nil
	}
	e.srv = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	srv := e.srv
	e.wg.Go(func() { _ = srv.Serve(l) })
	e.wg.Go(func() { e.register(ctx) })
	return nil
}

// Listens returns the address that the endpoint serves.
func (e *Endpoint) Listens() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Listen
}

// Kill ends the incarnation at once; its registration lapses.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	id := e.id
	e.cancel()
	srv := e.srv
	e.mu.Unlock()
	_ = srv.Close()
	e.wg.Wait()
	time.AfterFunc(3*e.cfg.Heartbeat, func() { e.store.Unregister(id) })
}

// Drain says that the endpoint leaves, serves on for a time and ends.
func (e *Endpoint) Drain(d time.Duration) {
	e.mu.Lock()
	e.state = stub.StateDraining
	id := e.id
	e.mu.Unlock()
	e.write()
	e.mu.Lock()
	e.leftAt = time.Now()
	e.mu.Unlock()
	time.Sleep(d)
	e.Kill()
	e.store.Unregister(id)
}

func (e *Endpoint) register(ctx context.Context) {
	for {
		stub.Sleep(ctx, e.cfg.Heartbeat)
		if ctx.Err() != nil {
			return
		}
		e.write()
	}
}

func (e *Endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := stub.Registration{
		Service: e.cfg.Service, Address: e.cfg.Registered, Zone: e.cfg.Zone, Slots: e.cfg.Slots, State: e.state, Born: e.born, Version: 1,
	}
	if e.model != nil {
		r.Sequence, r.Models = e.model.sequence(), e.model.list()
	}
	e.store.Register(e.id, r)
}

func (e *Endpoint) handler() http.Handler {
	id, model := e.id, e.model
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/healthz":
			w.Header().Set(e.names.self, id)
		case r.URL.Path == "/report" && model != nil:
			e.mu.Lock()
			out := model.report(e.born, e.state, e.waiting, e.running)
			e.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(out)
		case r.URL.Path == "/order" && model != nil:
			if want := r.Header.Get(e.names.instance); want != "" && want != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if crashed := model.order(w, r); crashed {
				go e.Kill()
			}
		default:
			e.serve(w, r, id, model)
		}
	})
}

// turnAway answers that the request hasn't run.
func (e *Endpoint) turnAway(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(e.names.notRun, "1")
	w.Header().Set(e.names.id, r.Header.Get(e.names.id))
	w.WriteHeader(status)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, self string, model *modelState) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(e.names.id)
	w.Header().Set(e.names.self, self)
	switch want := r.Header.Get(e.names.instance); {
	case id == "":
		e.turnAway(w, r, http.StatusBadRequest)
		return
	case want != "" && want != self:
		e.turnAway(w, r, http.StatusMisdirectedRequest)
		return
	case model != nil && !model.holds(r.Header.Get(e.names.model)):
		e.turnAway(w, r, http.StatusMisdirectedRequest)
		return
	}
	e.ledger.arrive(id, e.leaving())
	if !e.enter(r.Context()) {
		e.turnAway(w, r, http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.ledger.ran(id, self, r.Method, r.URL.RequestURI(), r.Header.Get(e.names.model), string(body))
	m := e.mishap(id, self)
	if m != Fine {
		e.ledger.spoil(id)
	}
	if model != nil {
		e.stream(w, r, id, m)
		return
	}
	stub.Sleep(r.Context(), e.cfg.Work)
	e.answer(w, r, id, m)
}

// leaving returns how long ago the endpoint said that it leaves, 0 if it didn't.
func (e *Endpoint) leaving() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leftAt.IsZero() {
		return 0
	}
	return time.Since(e.leftAt)
}

// enter waits for a slot; it returns false if too many wait or the caller is gone.
func (e *Endpoint) enter(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= e.cfg.Slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	defer func() { e.waiting--; e.mu.Unlock() }()
	for e.running >= e.cfg.Slots && ctx.Err() == nil {
		e.mu.Unlock()
		stub.Sleep(ctx, 5*time.Millisecond)
		e.mu.Lock()
	}
	if ctx.Err() != nil {
		return false
	}
	e.running++
	return true
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// mishap draws what goes wrong; the draw depends on the request and the endpoint only.
func (e *Endpoint) mishap(id, self string) Mishap {
	const steps = 1 << 20
	x := xxhash.Sum64String(id + self)
	if float64(x%steps)/steps >= e.cfg.Mishaps {
		return Fine
	}
	return Fails + Mishap(x>>32%4)
}

// answer sends the answer of a plain run.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id string, m Mishap) {
	body := []byte(strings.Repeat("answer to "+id+"\n", 20))
	status := http.StatusOK
	if m == Fails {
		status = http.StatusInternalServerError
	}
	if m == Fine || m == Fails {
		w.Header().Set(e.names.id, id)
		w.Header().Set(e.names.seal, seal(id, body))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", e.names.id, id, e.names.seal, seal(id, body), len(body))
	}
	switch m {
	case Breaks:
		_, _ = io.WriteString(conn, head(id)+string(body[:len(body)/2]))
	case Garbles:
		_, _ = io.WriteString(conn, head(id)+string(body)+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		stub.Sleep(r.Context(), 20*time.Millisecond)
	case Echoes:
		_, _ = io.WriteString(conn, head("other-"+id)+string(body)+head(id)+string(body))
	case Fine, Fails:
	}
}

// stream sends the events of a run from the one after the last that the caller has.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id string, m Mishap) {
	from := 0
	if last := r.Header.Get(e.names.lastEvent); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 1 {
			e.turnAway(w, r, http.StatusBadRequest)
			return
		}
		from = n
	}
	if m == Fails && from == 0 {
		w.Header().Set(e.names.id, id)
		w.Header().Set(e.names.seal, seal(id, nil))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(e.names.id, id)
	w.Header().Set(e.names.seal, seal(id, nil))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := from + 1; n <= e.cfg.Events; n++ {
		stub.Sleep(r.Context(), e.cfg.Gap)
		if r.Context().Err() != nil || m == Breaks && n == from+e.cfg.Events/2 {
			panic(http.ErrAbortHandler)
		}
		data := event(id, n)
		if n == e.cfg.Events {
			data = "end"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
	}
}
