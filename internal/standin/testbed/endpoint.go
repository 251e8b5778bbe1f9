package testbed

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

// EndpointFault is what an endpoint does wrong with a request.
type EndpointFault uint8

// The mishaps.
const (
	EndpointFaultNone EndpointFault = iota
	// EndpointFaultStatus500 answers 500 after the run.
	EndpointFaultStatus500
	// EndpointFaultTruncate breaks the connection in the middle of the answer.
	EndpointFaultTruncate
	// EndpointFaultTrailingBytes sends bytes that belong to no answer after a whole one.
	EndpointFaultTrailingBytes
	// EndpointFaultWrongID answers with the id of another request first.
	EndpointFaultWrongID
)

// EndpointSettings shape an endpoint.
type EndpointSettings struct {
	Service, Zone string
	Slots         int
	// ListenAddress is the address that it serves, Registered the one that it registers; they
	// differ where a proxy stands between.
	ListenAddress, RegisteredAddress string
	// ProcessingTime is the time of a plain run, Events and Gap shape a stream.
	ProcessingTime time.Duration
	StreamEvents   int
	EventInterval  time.Duration
	// HeartbeatInterval is the pause between writes of the registration.
	HeartbeatInterval time.Duration
	// FaultFraction is the share of requests that go wrong.
	FaultFraction float64
	// Engine is set for endpoints with models, Holds names those that it holds at its start.
	Engine        *stub.Engine
	InitialModels []string
}

// Endpoint is an endpoint of the platform.
type Endpoint struct {
	cfg    EndpointSettings
	store  *stub.Store
	ledger *Checker
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
func NewEndpoint(cfg EndpointSettings, s *stub.Store, l *Checker) *Endpoint {
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
	l, err := net.Listen("tcp", e.cfg.ListenAddress)
	if err != nil {
		return fmt.Errorf("start an endpoint: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.cfg.ListenAddress = l.Addr().String()
	if e.cfg.RegisteredAddress == "" {
		e.cfg.RegisteredAddress = e.cfg.ListenAddress
	}
	e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(e.cfg.RegisteredAddress), e.life)
	e.born, e.state, e.cancel, e.leftAt = time.Now().UnixMilli(), stub.StateReady, cancel, time.Time{}
	e.waiting, e.running = 0, 0
	if e.cfg.Engine != nil {
		e.model = newModelState(e.cfg.Engine, e.cfg.InitialModels, e.ledger)
		// A restarted engine is empty.
		e.cfg.InitialModels = nil
	}
	e.srv = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	srv := e.srv
	e.wg.Go(func() { _ = srv.Serve(l) })
	e.wg.Go(func() { e.register(ctx) })
	return nil
}

// ListenAddress returns the address that the endpoint serves.
func (e *Endpoint) ListenAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.ListenAddress
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
	time.AfterFunc(3*e.cfg.HeartbeatInterval, func() { e.store.Unregister(id) })
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
		stub.Sleep(ctx, e.cfg.HeartbeatInterval)
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
		Service: e.cfg.Service, Address: e.cfg.RegisteredAddress, Zone: e.cfg.Zone, Slots: e.cfg.Slots, State: e.state, Born: e.born, Version: 1,
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
	if m != EndpointFaultNone {
		e.ledger.spoil(id)
	}
	if model != nil {
		e.stream(w, r, id, m)
		return
	}
	stub.Sleep(r.Context(), e.cfg.ProcessingTime)
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
func (e *Endpoint) mishap(id, self string) EndpointFault {
	const steps = 1 << 20
	x := xxhash.Sum64String(id + self)
	if float64(x%steps)/steps >= e.cfg.FaultFraction {
		return EndpointFaultNone
	}
	return EndpointFaultStatus500 + EndpointFault(x>>32%4)
}

// answer sends the answer of a plain run.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id string, m EndpointFault) {
	body := []byte(strings.Repeat("answer to "+id+"\n", 20))
	status := http.StatusOK
	if m == EndpointFaultStatus500 {
		status = http.StatusInternalServerError
	}
	if m == EndpointFaultNone || m == EndpointFaultStatus500 {
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
	case EndpointFaultTruncate:
		_, _ = io.WriteString(conn, head(id)+string(body[:len(body)/2]))
	case EndpointFaultTrailingBytes:
		_, _ = io.WriteString(conn, head(id)+string(body)+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		stub.Sleep(r.Context(), 20*time.Millisecond)
	case EndpointFaultWrongID:
		_, _ = io.WriteString(conn, head("other-"+id)+string(body)+head(id)+string(body))
	case EndpointFaultNone, EndpointFaultStatus500:
	}
}

// stream sends the events of a run from the one after the last that the caller has.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id string, m EndpointFault) {
	from := 0
	if last := r.Header.Get(e.names.lastEvent); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 1 {
			e.turnAway(w, r, http.StatusBadRequest)
			return
		}
		from = n
	}
	if m == EndpointFaultStatus500 && from == 0 {
		w.Header().Set(e.names.id, id)
		w.Header().Set(e.names.seal, seal(id, nil))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(e.names.id, id)
	w.Header().Set(e.names.seal, seal(id, nil))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := from + 1; n <= e.cfg.StreamEvents; n++ {
		stub.Sleep(r.Context(), e.cfg.EventInterval)
		if r.Context().Err() != nil || m == EndpointFaultTruncate && n == from+e.cfg.StreamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		data := event(id, n)
		if n == e.cfg.StreamEvents {
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
