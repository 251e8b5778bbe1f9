package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilhead/platform/stub"
)

const (
	headerPrefix = "X-Chervilhead-"
	// The slots and queues are those of the site file.
	plainSlots, plainQueue = 6, 24
	engineQueue            = 134
	// defaultPriority is that of a request that names none.
	defaultPriority = 5
)

// runner is a server that registers in the store.
type runner struct {
	w       *world
	service string
	address string
	// serve answers a request; nil answers with a short body.
	serve func(r *runner, rw http.ResponseWriter, req *http.Request, body []byte)
	// engine holds the models of a model runner, nil for a plain one.
	engine *engine

	// slots is how many requests run at once, queue how many more wait.
	slots, queue int

	mu      sync.Mutex
	id      string
	lives   int
	born    int64
	state   stub.State
	version string
	srv     *http.Server
	cancel  context.CancelFunc
	down    bool
	arrived []arrival
	running map[string]run
	waiting int
	// away counts the requests that came when the runner was full.
	away int
	// places holds one entry for each request that runs.
	places chan struct{}
}

// run is a request that runs, with its prompt's tokens and the events that it has made.
type run struct{ tokens, events, priority int }

// arrival is a request that has reached a runner.
type arrival struct {
	at              time.Time
	id, path, body  string
	runner, lastID  string
	tenant, expects string
}

// engine holds what a model runner holds.
type engine struct {
	spec *stub.Engine

	mu       sync.Mutex
	sequence int64
	models   []stub.Resident
	// memory and disk list the models with copies of their weights there.
	memory  []string
	disk    []string
	loading string
	until   time.Time
}

// addRunner starts a runner on a further machine.
func (w *world) addRunner(service string, e *engine, serve func(*runner, http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	return w.addVersion(service, "", e, serve)
}

// addVersion starts a runner of a software version on a further machine.
func (w *world) addVersion(service, version string, e *engine, serve func(*runner, http.ResponseWriter, *http.Request, []byte)) (*runner, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.host(), "0"))
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, service: service, address: l.Addr().String(), version: version, serve: serve, engine: e, state: stub.StateReady}
	r.slots, r.queue = plainSlots, plainQueue
	if e != nil {
		r.slots, r.queue = e.spec.Slots, engineQueue
	}
	r.run(l)
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r, nil
}

// run begins a new lifetime.
func (r *runner) run(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.lives++
	r.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":", "-").Replace(r.address), r.lives)
	r.born, r.cancel, r.down = time.Now().UnixMilli(), cancel, false
	r.running, r.waiting, r.places = map[string]run{}, 0, make(chan struct{}, r.slots)
	id := r.id
	r.srv = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { r.handle(id, rw, req) }), ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx }}
	srv := r.srv
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	r.register()
	go func() {
		for ctx.Err() == nil {
			stub.Sleep(ctx, heartbeat)
			if ctx.Err() == nil {
				r.register()
			}
		}
	}()
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := stub.Registration{Service: r.service, Address: r.address, Zone: "charguia", Slots: r.slots, State: r.state, Born: r.born, SoftwareVersion: r.version}
	if r.engine != nil {
		reg.Models, reg.Sequence = r.engine.list(), r.engine.seq()
	}
	r.w.store.Register(r.id, reg)
}

// stop ends the lifetime; its registration lapses after three pings of silence.
func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	r.cancel()
	_ = r.srv.Close()
	id := r.id
	time.AfterFunc(3*heartbeat, func() { r.w.store.Unregister(id) })
}

// crash ends the lifetime, and begins another one after a time.
func (r *runner) crash(back time.Duration) {
	r.stop()
	r.w.note("runner", "%s crashed", r.address)
	time.AfterFunc(back, func() {
		if r.engine != nil {
			r.engine.empty()
		}
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.w.note("runner", "%s is not back: %v", r.address, err)
			return
		}
		r.run(l)
		r.w.note("runner", "%s is back", r.address)
	})
}

func (r *runner) handle(self string, rw http.ResponseWriter, req *http.Request) {
	h := rw.Header()
	r.mu.Lock()
	if r.state == stub.StateDraining {
		h.Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	switch {
	case req.URL.Path == "/healthz":
		h.Set(headerPrefix+"Instance-Id", self)
		return
	case req.URL.Path == "/report" && r.engine != nil:
		r.mu.Lock()
		out := r.engine.report(r.born, r.state)
		out.Running, out.Waiting = len(r.running), r.waiting
		for id, x := range r.running {
			out.CacheUsed += x.tokens
			out.Runs = append(out.Runs, []any{id, x.tokens, x.events, x.priority})
		}
		r.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(out)
		return
	case req.URL.Path == "/order" && r.engine != nil:
		if want := req.Header.Get(headerPrefix + "Expect-Instance"); want != "" && want != self {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rw.WriteHeader(r.engine.order(r.w, req))
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(headerPrefix + "Request-Id")
	h.Set(headerPrefix+"Request-Id", id)
	h.Set(headerPrefix+"Instance-Id", self)
	notRun := func(status int) {
		h.Set(headerPrefix+"Not-Executed", "1")
		rw.WriteHeader(status)
	}
	switch want := req.Header.Get(headerPrefix + "Expect-Instance"); {
	case id == "":
		notRun(http.StatusBadRequest)
		return
	case want != "" && want != self, r.engine != nil && !r.engine.holds(req.Header.Get(headerPrefix+"Model")):
		notRun(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{
		at: time.Now(), id: id, path: req.URL.RequestURI(), body: string(body), runner: r.address,
		lastID: req.Header.Get("Last-Event-Id"), tenant: req.Header.Get(headerPrefix + "Tenant"), expects: req.Header.Get(headerPrefix + "Expect-Instance"),
	}
	r.mu.Lock()
	r.arrived = append(r.arrived, a)
	r.mu.Unlock()
	if !r.begin(req, id) {
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer r.end(id)
	h.Set(headerPrefix+"Response-Seal", "seal-of-"+id)
	if r.serve != nil {
		r.serve(r, rw, req, body)
		return
	}
	answer(rw, id)
}

// begin waits for a slot; it returns false if the queue is full or the caller has gone.
func (r *runner) begin(req *http.Request, id string) bool {
	r.mu.Lock()
	places := r.places
	if len(places) == cap(places) && r.waiting >= r.queue {
		r.away++
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	taken := false
	select {
	case places <- struct{}{}:
		taken = true
	case <-req.Context().Done():
	}
	prompt, _, _ := strings.Cut(req.Header.Get(headerPrefix+"Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	priority, err := strconv.Atoi(req.Header.Get(headerPrefix + "Request-Priority"))
	if err != nil {
		priority = defaultPriority
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if places == r.places {
		r.waiting--
		if taken {
			r.running[id] = run{tokens: tokens, priority: priority}
		}
	}
	return taken
}

// turnedAway returns how many requests the runner has turned away because it was full.
func (r *runner) turnedAway() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// made counts an event of a run.
func (r *runner) made(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.running[id]; ok {
		x.events++
		r.running[id] = x
	}
}

// end frees a request's slot.
func (r *runner) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.running[id]; ok {
		delete(r.running, id)
		<-r.places
	}
}

// answer sends the usual answer of a plain runner.
func answer(rw http.ResponseWriter, id string) {
	stub.Sleep(context.Background(), 20*time.Millisecond)
	_, _ = io.WriteString(rw, "answer to "+id+"\n")
}

// arrivals returns all requests that reached runners and satisfy a condition, in order.
func (w *world) arrivals(keep func(arrival) bool) []arrival {
	var out []arrival
	for _, r := range w.runners {
		r.mu.Lock()
		for _, a := range r.arrived {
			if keep(a) {
				out = append(out, a)
			}
		}
		r.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

func newEngine(spec *stub.Engine, holds ...string) *engine {
	e := &engine{spec: spec}
	for _, m := range holds {
		e.models = append(e.models, stub.Resident{Name: m, Version: 1, Adapters: []string{}})
		e.memory, e.disk = append(e.memory, m), append(e.disk, m)
	}
	return e
}

// empty makes the engine hold nothing, as after a restart, which preserves the disk.
func (e *engine) empty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence, e.models, e.memory, e.loading = 0, nil, nil, ""
}

func (e *engine) seq() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

// settle makes a model resident once its load has ended; the caller holds mu.
func (e *engine) settle() {
	if e.loading != "" && !time.Now().Before(e.until) {
		e.models = append(e.models, stub.Resident{Name: e.loading, Version: 1, Adapters: []string{}})
		for _, list := range []*[]string{&e.memory, &e.disk} {
			if !slices.Contains(*list, e.loading) {
				*list = append(*list, e.loading)
			}
		}
		e.loading = ""
	}
}

func (e *engine) list() []stub.Resident {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return slices.Clone(e.models)
}

func (e *engine) holds(name string) bool {
	return slices.ContainsFunc(e.list(), func(r stub.Resident) bool { return r.Name == name })
}

func (e *engine) report(born int64, state stub.State) stub.Report {
	models := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	return stub.Report{
		Models: models, Busy: e.loading != "", Sequence: e.sequence, CacheTokens: e.spec.CacheTokens, State: state, Born: born,
		Pending: []string{}, Runs: [][]any{}, Available: stub.Available{InMemory: append([]string{}, e.memory...), OnDisk: append([]string{}, e.disk...)},
	}
}

// order carries out an order and returns the status of its answer. No scenario uses adapters.
func (e *engine) order(w *world, req *http.Request) int {
	o, err := stub.ReadOrder(req.Body)
	if err != nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	w.note("order", "%s %s of %s", o.Op, o.Model, o.Holder)
	i := slices.IndexFunc(e.models, func(r stub.Resident) bool { return r.Name == o.Model })
	switch {
	case e.loading != "", o.ExpectedSequence != nil && *o.ExpectedSequence != e.sequence:
		return http.StatusConflict
	case o.Op == stub.OpLoad && i >= 0, o.Op == stub.OpUnload && i < 0:
		return http.StatusOK
	case o.Op == stub.OpUnload:
		e.models = slices.Delete(e.models, i, i+1)
	default:
		load := 0.0
		for _, m := range e.spec.Models {
			switch {
			case m.Name != o.Model:
			case slices.Contains(e.memory, m.Name):
				load = m.WarmS
			case slices.Contains(e.disk, m.Name):
				load = m.DiskS
			default:
				load = m.LoadS
			}
		}
		e.loading, e.until = o.Model, time.Now().Add(time.Duration(load*float64(time.Second)))
	}
	e.sequence++
	return http.StatusAccepted
}
