package main

import (
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

// The header fields of the users' pages.
const (
	headerID       = "X-Chervilhead-Request-Id"
	headerModel    = "X-Chervilhead-Model"
	headerTokens   = "X-Chervilhead-Token-Count"
	headerPrompt   = "X-Chervilhead-Prompt-Prefix"
	headerDeadline = "X-Chervilhead-Deadline-Ms"
	headerSeal     = "X-Chervilhead-Response-Seal"
	headerExpect   = "X-Chervilhead-Expect-Instance"
	headerInstance = "X-Chervilhead-Instance-Id"
	headerNotRun   = "X-Chervilhead-Not-Executed"
	headerLast     = "Last-Event-Id"
	headerResumes  = "Resumes"
)

// downTime is how long a runner that crashed is away.
const downTime = 2500 * time.Millisecond

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, prompt string
	at                 time.Time
	// ran is unset for a request that the runner turned away.
	ran bool
}

// runner is a stand-in for a runner: a model engine, or a plain service if it has no engine.
type runner struct {
	f       *fleet
	service string
	address string
	engine  *stub.Engine
	// deadly reports whether a prompt crashes the runner that begins to write an answer on it.
	deadly func(prompt string) bool
	// eventsBeforeCrash is the number of events that it writes before a deadly prompt crashes it.
	eventsBeforeCrash int
	// dropsIdle makes it drop idle channels without notice; idle are the channels that are idle now.
	dropsIdle bool
	idle      idleConns
	// events and gap are the length and pace of a stream, work is the time of a plain run.
	events    int
	gap, work time.Duration

	mu     sync.Mutex
	starts int
	// version is that of the runner's software.
	version  string
	id       string
	born     int64
	models   []string
	onDisk   []string
	sequence int64
	loading  string
	loadEnd  time.Time
	running  int
	up       bool
	srv      *http.Server
	stopBeat chan struct{}
	arrivals []arrival
	// losesUntil is the end of the time in which answers are lost, runs counts the runs in it.
	losesUntil time.Time
	runs       int
	crashes    []time.Time
}

func newRunner(f *fleet, service, address string, engine *stub.Engine) *runner {
	return &runner{f: f, service: service, address: address, engine: engine, events: 10, gap: 25 * time.Millisecond, work: 30 * time.Millisecond}
}

// start begins a lifetime.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("start a runner: %w", err)
	}
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(r.address), r.starts)
	r.born, r.sequence, r.loading, r.running, r.up = time.Now().UnixMilli(), 0, "", 0, true
	if r.starts > 1 {
		r.models = nil
	}
	id, version := r.id, r.version
	r.srv = &http.Server{Handler: r.handler(id, version), ReadHeaderTimeout: time.Minute, ConnState: r.observe}
	if r.dropsIdle {
		l = dropListener{l}
	}
	r.stopBeat = make(chan struct{})
	srv, stop := r.srv, r.stopBeat
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	r.register()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				r.register()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// end ends the lifetime as a crash does: all channels break, and nothing is said to the store.
func (r *runner) end() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id, born, srv := r.id, r.born, r.srv
	close(r.stopBeat)
	r.mu.Unlock()
	_ = srv.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		succeeded := r.id == id && r.born != born
		r.mu.Unlock()
		if !succeeded {
			r.f.store.Unregister(id)
		}
	})
}

// crash ends the lifetime and begins the next one some seconds later.
func (r *runner) crash(id, why string) {
	r.mu.Lock()
	if !r.up || r.id != id {
		r.mu.Unlock()
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.f.rec.notef("runner %s crashes: %s", id, why)
	r.end()
	time.AfterFunc(downTime, func() {
		if err := r.start(); err != nil {
			r.f.rec.notef("runner at %s did not start again: %v", r.address, err)
			return
		}
		r.f.rec.notef("runner at %s is back as %s", r.address, r.currentID())
	})
}

func (r *runner) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	reg := stub.Registration{Service: r.service, Address: r.address, Zone: "charguia", Slots: 6, State: stub.StateReady, Born: r.born, Sequence: r.sequence, SoftwareVersion: r.version}
	if r.engine != nil {
		reg.Slots, reg.Models = r.engine.Slots, r.residents()
	}
	r.f.store.Register(r.id, reg)
}

// residents returns the models that the runner holds; the caller holds mu.
func (r *runner) residents() []stub.Resident {
	if r.loading != "" && !time.Now().Before(r.loadEnd) {
		r.models = append(r.models, r.loading)
		if !slices.Contains(r.onDisk, r.loading) {
			r.onDisk = append(r.onDisk, r.loading)
		}
		r.loading = ""
	}
	out := []stub.Resident{}
	for _, m := range r.models {
		out = append(out, stub.Resident{Name: m, Version: 1, Adapters: []string{}})
	}
	return out
}

func (r *runner) handler(id, version string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerInstance, id) })
	if r.engine != nil {
		mux.HandleFunc("/report", r.report)
		mux.HandleFunc("/order", func(w http.ResponseWriter, req *http.Request) { r.order(w, req, id) })
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, id, version) })
	return mux
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	out := stub.Report{
		Models: r.residents(), Sequence: r.sequence, Running: r.running, CacheTokens: r.engine.CacheTokens, State: stub.StateReady, Born: r.born,
		Pending: []string{}, Runs: [][]any{}, Available: stub.Available{InMemory: []string{}, OnDisk: slices.Clone(r.onDisk)},
	}
	out.Busy = r.loading != ""
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (r *runner) order(w http.ResponseWriter, req *http.Request, id string) {
	if want := req.Header.Get(headerExpect); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o, err := stub.ReadOrder(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.residents()
	held := slices.Contains(r.models, o.Model)
	switch {
	case r.loading != "", o.ExpectedSequence != nil && *o.ExpectedSequence != r.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case held == (o.Op == stub.OpLoad):
		w.WriteHeader(http.StatusOK)
		return
	}
	r.sequence++
	if o.Op == stub.OpLoad {
		took := r.loadTime(o.Model)
		r.loading, r.loadEnd = o.Model, time.Now().Add(took)
	} else {
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
	}
	r.f.rec.notef("runner %s is ordered: %s %s", id, o.Op, o.Model)
	w.WriteHeader(http.StatusAccepted)
}

// loadTime returns how long a load takes; the caller holds mu.
func (r *runner) loadTime(name string) time.Duration {
	for _, m := range r.engine.Models {
		switch {
		case m.Name != name:
		case slices.Contains(r.onDisk, name):
			return time.Duration(m.DiskS * float64(time.Second))
		default:
			return time.Duration(m.LoadS * float64(time.Second))
		}
	}
	return time.Second
}

// turnAway answers that the request has not run and never will.
func turnAway(w http.ResponseWriter, id string, status int) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set(headerID, id)
	w.WriteHeader(status)
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request, self, version string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id, prompt := req.Header.Get(headerID), req.Header.Get(headerPrompt)
	w.Header().Set(headerInstance, self)
	status := 0
	r.mu.Lock()
	switch want := req.Header.Get(headerExpect); {
	case id == "":
		status = http.StatusBadRequest
	case want != "" && want != self:
		status = http.StatusMisdirectedRequest
	case r.engine != nil && !slices.ContainsFunc(r.residents(), func(m stub.Resident) bool { return m.Name == req.Header.Get(headerModel) }):
		status = http.StatusMisdirectedRequest
		if r.loading == req.Header.Get(headerModel) {
			status = http.StatusServiceUnavailable
		}
	case r.engine != nil && r.running >= r.engine.Slots:
		status = http.StatusServiceUnavailable
	}
	r.arrivals = append(r.arrivals, arrival{id, self, prompt, time.Now(), status == 0})
	if status == 0 {
		r.running++
	}
	r.mu.Unlock()
	if status != 0 {
		r.f.rec.notef("runner %s turns %s away: %d", self, id, status)
		turnAway(w, id, status)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	r.f.rec.notef("runner %s of version %q runs %s from event %q", self, version, id, req.Header.Get(headerLast))
	w.Header().Set(headerID, id)
	if r.engine == nil {
		time.Sleep(r.work)
		if r.losesAnswer() {
			r.f.rec.notef("runner %s has run %s, and its answer is lost", self, id)
			loseAnswer(w)
			return
		}
		body := "answer to " + id + "\n"
		w.Header().Set(headerSeal, "seal."+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	r.stream(w, req, self, version, prompt)
}

// stream writes the events of a run that follow the last one that the client has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, self, version, prompt string) {
	from, _ := strconv.Atoi(req.Header.Get(headerLast))
	deadly := r.deadly != nil && r.deadly(prompt)
	id := w.Header().Get(headerID)
	w.Header().Set(headerSeal, "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := from + 1; n <= r.events; n++ {
		if deadly && n-from > r.eventsBeforeCrash {
			if n == from+1 {
				_ = out.Flush()
			}
			r.crash(self, "it begins to write an answer to "+id)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(r.gap)
		if req.Context().Err() != nil {
			return
		}
		text := fmt.Sprintf("%s piece %d of %d by %s", id, n, r.events, version)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil || out.Flush() != nil {
			return
		}
	}
}
