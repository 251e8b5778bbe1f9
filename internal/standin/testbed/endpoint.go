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

// EndpointFault is a fault that an endpoint injects into a request.
type EndpointFault uint8

// The faults of endpoints. Streams ignore EndpointFaultTrailingBytes and EndpointFaultWrongID.
const (
	EndpointFaultNone EndpointFault = iota
	// EndpointFaultStatus500 answers 500 after a plain run or instead of a new stream.
	EndpointFaultStatus500
	// EndpointFaultTruncate closes the connection in the middle of the answer.
	EndpointFaultTruncate
	// EndpointFaultTrailingBytes sends a second, unrequested answer after the complete one.
	EndpointFaultTrailingBytes
	// EndpointFaultWrongID first sends an answer with the id of another request.
	EndpointFaultWrongID
)

// EndpointSettings configures an endpoint.
type EndpointSettings struct {
	Service, Zone string
	Slots         int
	// ListenAddress is the address that the endpoint serves, RegisteredAddress the one in its
	// registration; they differ behind a proxy.
	ListenAddress, RegisteredAddress string
	// ProcessingTime is the duration of a plain run; StreamEvents and EventInterval are the
	// length and pace of a stream.
	ProcessingTime time.Duration
	StreamEvents   int
	EventInterval  time.Duration
	// HeartbeatInterval is the time between two writes of the registration.
	HeartbeatInterval time.Duration
	// FaultFraction is the fraction of requests that get a fault.
	FaultFraction float64
	// Engine is set for endpoints with models; InitialModels are resident at the first start.
	Engine        *stub.Engine
	InitialModels []string
	// SoftwareVersion is in the registration, and the bytes of the endpoint's events depend on it.
	SoftwareVersion string
}

// Endpoint is a simulated endpoint, a plain service or a model engine, that registers in the store.
type Endpoint struct {
	cfg     EndpointSettings
	store   *stub.Store
	checker *Checker
	headers headerNames

	mu          sync.Mutex
	incarnation int
	id          string
	// keepID makes the next incarnation use the id of the current one.
	keepID bool
	// nextVersion is the software version of the next incarnation, or nil if it is the current one.
	nextVersion *string
	startMillis int64
	state       stub.State
	// drainingSince is when the endpoint's registration first said that it drains.
	drainingSince time.Time
	// rateLimit is the limit of requests a second that answers name, or empty.
	rateLimit string
	// leaving is set once answers say that the endpoint leaves.
	leaving bool
	// pausedUntil is the end of the pause that the endpoint asks for.
	pausedUntil time.Time
	// crashing is set while a deadly prompt part ends the incarnation.
	crashing bool
	// deadlyPart is the prompt part that crashes the endpoint, or empty.
	deadlyPart string
	// deadlyBody is the body of the request that crashes the endpoint, or empty.
	deadlyBody string
	// clockOffset is how far the time of day on the endpoint's machine is ahead.
	clockOffset time.Duration
	srv         *http.Server
	cancel      context.CancelFunc
	waiting     int
	running     int
	model       *modelState
	// endServing ends the period in which the incarnation serves all new requests, nil outside one.
	endServing func()
	ended      bool
	wg         sync.WaitGroup

	// lifecycle is held while an incarnation ends, or is started after a crash, and kills counts the
	// ends. Who ended the last incarnation starts the next one.
	lifecycle sync.Mutex
	kills     int
}

// headerNames are the names of the platform's header fields.
type headerNames struct {
	id, model, instance, expectInstance, notRun, signature, deadline, lastEvent, rateLimit, leaving, prompt, tokens, resumes, key, group string
}

func newHeaderNames() headerNames {
	h := platform.Headers()
	return headerNames{h.RequestID, h.Model, h.InstanceID, h.ExpectInstance, h.NotRun, h.Signature, h.Deadline, h.LastEventID, h.RateLimit, h.Leaving, h.PromptPrefix, h.TokenCounts, h.Resumes, h.Key, h.Group}
}

// NewEndpoint returns an endpoint that hasn't been started.
func NewEndpoint(cfg EndpointSettings, s *stub.Store, checker *Checker) *Endpoint {
	return &Endpoint{cfg: cfg, store: s, checker: checker, headers: newHeaderNames()}
}

// Start starts a new incarnation and registers it before it returns.
func (e *Endpoint) Start() error {
	if err := e.start(); err != nil {
		return err
	}
	e.register()
	return nil
}

func (e *Endpoint) start() error {
	l, err := listenAgain(e.ListenAddress())
	if err != nil {
		return fmt.Errorf("start an endpoint: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.cfg.ListenAddress = l.Addr().String()
	if e.cfg.RegisteredAddress == "" {
		e.cfg.RegisteredAddress = e.cfg.ListenAddress
	}
	if e.id == "" || !e.keepID {
		e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(e.cfg.RegisteredAddress), e.incarnation)
	}
	e.keepID = false
	if e.nextVersion != nil {
		e.cfg.SoftwareVersion, e.nextVersion = *e.nextVersion, nil
	}
	e.startMillis, e.state, e.cancel, e.drainingSince, e.rateLimit = time.Now().Add(e.clockOffset).UnixMilli(), stub.StateReady, cancel, time.Time{}, ""
	e.leaving, e.pausedUntil, e.crashing = false, time.Time{}, false
	e.waiting, e.running = 0, 0
	e.ended = false
	e.updateServing()
	if e.cfg.Engine != nil {
		e.model = newModelState(e.cfg.Engine, e.cfg.InitialModels, e.checker)
		// After a restart no model is resident.
		e.cfg.InitialModels = nil
	}
	e.srv = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	srv := e.srv
	e.wg.Go(func() { _ = srv.Serve(l) })
	e.wg.Go(func() { e.heartbeat(ctx) })
	return nil
}

// ListenAddress returns the address that the endpoint serves.
func (e *Endpoint) ListenAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.ListenAddress
}

// ID returns the id of the endpoint's newest incarnation.
func (e *Endpoint) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// SoftwareVersion returns the version of the endpoint's newest incarnation.
func (e *Endpoint) SoftwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.SoftwareVersion
}

// SetNextVersion sets the software version of the next incarnation, and whether that uses the
// id of the current one.
func (e *Endpoint) SetNextVersion(version string, keepID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextVersion, e.keepID = &version, keepID
}

// SetClock sets how far the time of day on the endpoint's machine is ahead, which its next incarnation
// names as its start.
func (e *Endpoint) SetClock(ahead time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockOffset = ahead
}

// LimitRate makes the endpoint's answers name a limit of requests a second until its
// incarnation ends; 0 withdraws it.
func (e *Endpoint) LimitRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = ""
	if perSecond > 0 {
		e.rateLimit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
	e.updateServing()
	e.checker.setRateLimit(e.id, perSecond)
}

// Drain registers the endpoint as draining, says so in its answers too, keeps serving for d, then ends the incarnation.
func (e *Endpoint) Drain(d time.Duration) {
	e.mu.Lock()
	e.state, e.leaving = stub.StateDraining, true
	id := e.id
	e.updateServing()
	e.mu.Unlock()
	e.register()
	e.mu.Lock()
	e.drainingSince = time.Now()
	e.mu.Unlock()
	time.Sleep(d)
	e.Kill()
	e.store.Unregister(id)
}

func (e *Endpoint) heartbeat(ctx context.Context) {
	for {
		stub.Sleep(ctx, e.cfg.HeartbeatInterval)
		if ctx.Err() != nil {
			return
		}
		e.register()
	}
}

func (e *Endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := stub.Registration{
		Service: e.cfg.Service, Address: e.cfg.RegisteredAddress, Zone: e.cfg.Zone, Slots: e.cfg.Slots, State: e.state, Born: e.startMillis, SoftwareVersion: e.cfg.SoftwareVersion,
	}
	if e.model != nil {
		r.Sequence, r.Models = e.model.sequence(), e.model.list()
	}
	e.store.Register(e.id, r)
}

func (e *Endpoint) handler() http.Handler {
	id, model, version := e.id, e.model, e.cfg.SoftwareVersion
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.addOwnFields(w.Header())
		switch {
		case r.URL.Path == "/healthz":
			w.Header().Set(e.headers.instance, id)
		case r.URL.Path == "/report" && model != nil:
			e.mu.Lock()
			out := model.report(e.startMillis, e.state, e.waiting, e.running)
			e.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(out)
		case r.URL.Path == "/order" && model != nil:
			if want := r.Header.Get(e.headers.expectInstance); want != "" && want != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if crashed := model.order(w, r); crashed {
				go e.Kill()
			}
		default:
			e.serve(w, r, id, version, model)
		}
	})
}

// addOwnFields adds what the endpoint says of itself in each answer.
func (e *Endpoint) addOwnFields(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rateLimit != "" {
		h.Set(e.headers.rateLimit, e.rateLimit)
	}
	if e.leaving {
		h.Set(e.headers.leaving, "1")
	}
}

// reject answers with a status and the promise that the request hasn't run.
func (e *Endpoint) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(e.headers.notRun, "1")
	w.Header().Set(e.headers.id, r.Header.Get(e.headers.id))
	w.WriteHeader(status)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, self, version string, model *modelState) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(e.headers.id)
	w.Header().Set(e.headers.instance, self)
	switch want := r.Header.Get(e.headers.expectInstance); {
	case id == "":
		e.reject(w, r, http.StatusBadRequest)
		return
	case want != "" && want != self:
		e.reject(w, r, http.StatusMisdirectedRequest)
		return
	case model != nil && !model.holds(r.Header.Get(e.headers.model)):
		e.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	e.checker.addArrival(id, self, e.drainingFor())
	e.checker.checkCaller(id, self, r.Header, r.Trailer, e.headers)
	if e.rejectIfPaused(w, r, id, self) {
		return
	}
	if !e.acquireSlot(r.Context()) {
		e.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.checker.addRun(id, self, r.Method, r.URL.RequestURI(), r.Header.Get(e.headers.model), string(body))
	f := e.drawFault(id, self)
	if f != EndpointFaultNone {
		e.checker.markFaulted(id)
	}
	e.crashOnBody(r, self, string(body))
	if model != nil {
		e.crashIfDeadly(w, r, id, self)
		e.stream(w, r, id, version, f)
		return
	}
	stub.Sleep(r.Context(), e.cfg.ProcessingTime)
	e.answer(w, r, id, f)
}

// drainingFor returns the time since the endpoint announced that it drains, 0 if it didn't.
func (e *Endpoint) drainingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drainingSince.IsZero() {
		return 0
	}
	return time.Since(e.drainingSince)
}

// acquireSlot waits for a slot; it returns false if as many requests wait as there are slots
// or the caller has gone.
func (e *Endpoint) acquireSlot(ctx context.Context) bool {
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

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// drawFault returns the fault of a run, a function of the request's and the endpoint's ids only.
func (e *Endpoint) drawFault(id, self string) EndpointFault {
	const steps = 1 << 20
	x := xxhash.Sum64String(id + self)
	if float64(x%steps)/steps >= e.cfg.FaultFraction {
		return EndpointFaultNone
	}
	return EndpointFaultStatus500 + EndpointFault(x>>32%4)
}

// answer sends the answer of a plain run, altered by the fault.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id string, f EndpointFault) {
	body := []byte(strings.Repeat("answer to "+id+"\n", 20))
	status := http.StatusOK
	if f == EndpointFaultStatus500 {
		status = http.StatusInternalServerError
	}
	if f == EndpointFaultNone || f == EndpointFaultStatus500 {
		w.Header().Set(e.headers.id, id)
		w.Header().Set(e.headers.signature, sign(id, body))
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
	own := ""
	for _, name := range []string{e.headers.rateLimit, e.headers.leaving} {
		if v := w.Header().Get(name); v != "" {
			own += name + ": " + v + "\r\n"
		}
	}
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n", e.headers.id, id, e.headers.signature, sign(id, body), own, len(body))
	}
	switch f {
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

// stream sends the events of a run that follow the last one the caller has received.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id, version string, f EndpointFault) {
	from := 0
	if last := r.Header.Get(e.headers.lastEvent); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 1 {
			e.reject(w, r, http.StatusBadRequest)
			return
		}
		from = n
	}
	if f == EndpointFaultStatus500 && from == 0 {
		w.Header().Set(e.headers.id, id)
		w.Header().Set(e.headers.signature, sign(id, nil))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(e.headers.id, id)
	w.Header().Set(e.headers.signature, sign(id, nil))
	w.Header().Set("Content-Type", "text/event-stream")
	out := newStreamWriter(w, id)
	defer out.end()
	for n := from + 1; n <= e.cfg.StreamEvents; n++ {
		stub.Sleep(r.Context(), e.cfg.EventInterval)
		data := event(id, version, n)
		if n == e.cfg.StreamEvents {
			data = endMark + data
		}
		frame := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
		if r.Context().Err() != nil || f == EndpointFaultTruncate && n == from+e.cfg.StreamEvents/2 {
			out.breakOff(frame)
			return
		}
		if !out.write(frame) {
			return
		}
	}
}
