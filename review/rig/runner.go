package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

// The header fields of the users' protocol.
const (
	headerID             = "X-Chervilhead-Request-Id"
	headerDeadline       = "X-Chervilhead-Deadline-Ms"
	headerSeal           = "X-Chervilhead-Response-Seal"
	headerNotRun         = "X-Chervilhead-Not-Executed"
	headerExpectInstance = "X-Chervilhead-Expect-Instance"
	headerModel          = "X-Chervilhead-Model"
	headerInstance       = "X-Chervilhead-Instance-Id"
)

// deadlyBody is the body of a request that crashes each runner that begins to run it.
const deadlyBody = "deadly"

const (
	plainSlots  = 6
	plainQueue  = 24
	engineSlots = 64
	// plainWork is the time of a run at a plain service.
	plainWork = 60 * time.Millisecond
)

// run is one run at a runner.
type run struct {
	id, body, instance, service string
	at                          time.Time
	// gateway is the address of the machine that sent the request.
	gateway string
}

// runner is a stand-in for a server of the users: a plain service, or an engine that holds the
// only model.
type runner struct {
	f                      *fleet
	name, service, address string
	work                   time.Duration
	slots                  chan struct{}
	waiting                atomic.Int64
	// engine is nil for a plain service.
	engine *engine

	mu    sync.Mutex
	lives int
	id    string
	born  int64
	// clockOffset is what the machine's time of day differs by.
	clockOffset time.Duration
	// keepsID makes the next life use the id of this one.
	keepsID bool
	// version is that of the software.
	version  string
	up       bool
	conns    map[net.Conn]struct{}
	listener net.Listener
	stop     context.CancelFunc
	runs     []run
	crashes  []time.Time
}

func (f *fleet) addRunner(service, name string) (*runner, error) {
	host := f.host()
	port, err := freePort(host)
	if err != nil {
		return nil, err
	}
	slots := plainSlots
	if service == modelsService || service == talkService {
		slots = engineSlots
	}
	r := &runner{f: f, name: name, service: service, address: fmt.Sprintf("%s:%d", host, port), work: plainWork, version: oldVersion, slots: make(chan struct{}, slots), conns: map[net.Conn]struct{}{}}
	if service == modelsService && f.twoVersions && len(f.serviceRunners(service))%2 == 1 {
		r.version = newVersion
	}
	if service == modelsService {
		r.engine = &engine{r: r, resident: true}
	}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	return r, r.start()
}

func (f *fleet) serviceRunners(service string) []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*runner
	for _, r := range f.runners {
		if r.service == service {
			out = append(out, r)
		}
	}
	return out
}

// start begins a new lifetime and registers it.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("start runner %s: %w", r.name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	if r.lives++; r.lives > 1 && r.engine != nil {
		r.engine.restart()
	}
	if !r.keepsID {
		r.id = fmt.Sprintf("i-%s-%d", r.name, r.lives)
	}
	r.born = time.Now().Add(r.clockOffset).UnixMilli()
	r.up, r.listener, r.stop = true, l, cancel
	id, born, version := r.id, r.born, r.version
	r.mu.Unlock()
	srv := &http.Server{
		Handler: r, ReadHeaderTimeout: time.Minute, BaseContext: func(net.Listener) context.Context { return ctx },
		ConnState: func(c net.Conn, s http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch s {
			case http.StateNew:
				r.conns[c] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(r.conns, c)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	go func() { _ = srv.Serve(l) }()
	r.f.rec.add("runner %s started as %s, born %d, version %s", r.name, id, born, version)
	r.register()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				r.register()
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	reg := stub.Registration{Service: r.service, Address: r.address, Zone: "east", Slots: cap(r.slots), State: stub.StateReady, Born: r.born, SoftwareVersion: r.version}
	if r.service == modelsService {
		reg.Models, reg.Sequence, _ = r.held()
	}
	r.f.store.Register(r.id, reg)
}

// setClock sets what the time of day on the runner's machine differs by.
func (r *runner) setClock(ahead time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockOffset != ahead {
		r.clockOffset = ahead
		r.f.rec.add("the time of day on the machine of %s is %v ahead", r.name, ahead)
	}
}

// crash ends the lifetime: its channels are reset. The registration lapses after three heartbeats.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashes = append(r.crashes, time.Now())
	id, life := r.id, r.lives
	conns := r.conns
	r.conns = map[net.Conn]struct{}{}
	_ = r.listener.Close()
	for c := range conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	r.stop()
	r.mu.Unlock()
	r.f.rec.add("runner %s crashed", id)
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		successor := r.lives != life && r.id == id
		r.mu.Unlock()
		if !successor {
			r.f.store.Unregister(id)
		}
	})
}

func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		r.up = false
		_ = r.listener.Close()
		r.stop()
	}
}

// seal is the stand-in's signature of a body.
func seal(id string, body []byte) string {
	return fmt.Sprintf("%08x.%d", crc32.ChecksumIEEE(append([]byte(id+"\n"), body...)), len(body))
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.mu.Lock()
	id, born, version := r.id, r.born, r.version
	r.mu.Unlock()
	w.Header().Set(headerInstance, id)
	switch in.URL.Path {
	case "/healthz":
		return
	case "/report":
		r.report(w, born)
		return
	case "/order":
		if r.engine != nil {
			r.engine.serveOrder(w, in, id)
			return
		}
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	reqID := in.Header.Get(headerID)
	w.Header().Set(headerID, reqID)
	reject := func(status int) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(status)
	}
	if reqID == "" {
		reject(http.StatusBadRequest)
		return
	}
	if want := in.Header.Get(headerExpectInstance); want != "" && want != id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if r.engine != nil && !r.engine.holds(in.Header.Get(headerModel)) {
		reject(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := withDeadline(in)
	defer cancel()
	in = in.WithContext(ctx)
	if !r.takeSlot(in.Context()) {
		reject(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	now := time.Now()
	rn := run{id: reqID, instance: id, service: r.service, at: now, gateway: hostOf(in.RemoteAddr)}
	if len(body) < 64 {
		rn.body = string(body)
	}
	r.mu.Lock()
	r.runs = append(r.runs, rn)
	r.mu.Unlock()
	r.f.rec.add("%s runs %s %s (%d bytes) from %s", id, reqID, in.URL.Path, len(body), rn.gateway)
	if rn.body == deadlyBody {
		r.crash()
		time.AfterFunc(2*time.Second, func() { _ = r.start() })
		return
	}
	if r.service == modelsService || r.service == talkService {
		r.serveStream(w, in, id, version, reqID)
		return
	}
	t := time.NewTimer(r.workTime(in))
	defer t.Stop()
	select {
	case <-t.C:
	case <-in.Context().Done():
		w.Header().Set(headerSeal, seal(reqID, nil))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	out := []byte(strings.Repeat("answer to "+reqID+"\n", 20))
	w.Header().Set(headerSeal, seal(reqID, out))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// withDeadline returns a context that ends with the caller, or at the deadline that it names.
func withDeadline(in *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(in.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(in.Context())
	}
	return context.WithTimeout(in.Context(), time.Duration(ms)*time.Millisecond)
}

// workTime returns the time of a run: the runner's, or what the path's query says.
func (r *runner) workTime(in *http.Request) time.Duration {
	if ms, err := strconv.Atoi(in.URL.Query().Get("work")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return r.work
}

// takeSlot waits for a slot; it fails if the queue is full or the caller leaves.
func (r *runner) takeSlot(ctx context.Context) bool {
	if r.waiting.Add(1) > plainQueue {
		r.waiting.Add(-1)
		return false
	}
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) report(w http.ResponseWriter, born int64) {
	models, sequence, busy := r.held()
	out := stub.Report{
		Models: models, Sequence: sequence, Busy: busy, Running: len(r.slots), CacheTokens: 231707,
		State: stub.StateReady, Born: born, Pending: []string{}, Runs: [][]any{}, Available: stub.Available{InMemory: []string{}, OnDisk: []string{modelName}},
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// held returns what an engine holds, its count of orders and whether one is in progress.
func (r *runner) held() (models []stub.Resident, sequence int64, busy bool) {
	sequence, busy = r.engine.state()
	return r.engine.models(), sequence, busy
}

// allRuns returns the runs of all runners.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	runners := append([]*runner(nil), f.runners...)
	f.mu.Unlock()
	var out []run
	for _, r := range runners {
		r.mu.Lock()
		out = append(out, r.runs...)
		r.mu.Unlock()
	}
	return out
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
