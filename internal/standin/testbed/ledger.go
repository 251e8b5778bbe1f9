package testbed

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Checker is what clients asked and what endpoints ran; it checks one against the other.
type Checker struct {
	mu     sync.Mutex
	asked  map[string]*ask
	broken []string
	notes  map[string]int
	// arrivals are those at endpoints, also of requests that are turned away.
	arrivals []Arrival
	// spoilt are requests whose run an endpoint broke off or garbled.
	spoilt map[string]bool
}

// Arrival is a request's arrival at an endpoint.
type Arrival struct {
	At time.Time
	// Repeated is set when the request had arrived somewhere before.
	Repeated bool
	// DrainingFor is how long ago the endpoint began to leave, 0 if it didn't.
	DrainingFor time.Duration
}

// ask is one attempt of a client.
type ask struct {
	method, target, model, body string
	once                        bool
	arrived                     bool
	runs                        []string
	// promised is the status that promised that the request hasn't run, or 0.
	promised int
}

// NewChecker returns an empty ledger.
func NewChecker() *Checker {
	return &Checker{asked: map[string]*ask{}, notes: map[string]int{}, spoilt: map[string]bool{}}
}

// Arrivals returns the arrivals in their order.
func (l *Checker) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// FaultInjected reports whether an endpoint broke off or garbled a run of the request.
func (l *Checker) FaultInjected(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spoilt[id]
}

func (l *Checker) arrive(id string, leaving time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Arrival{At: time.Now(), DrainingFor: leaving}
	if q, ok := l.asked[id]; ok {
		a.Repeated = q.arrived
		q.arrived = true
	}
	l.arrivals = append(l.arrivals, a)
}

func (l *Checker) spoil(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spoilt[id] = true
}

// AddViolation notes a broken rule.
func (l *Checker) AddViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violation(rule, format, args...)
}

func (l *Checker) violation(rule, format string, args ...any) {
	l.broken = append(l.broken, rule+": "+fmt.Sprintf(format, args...))
}

// Violations returns the broken rules.
func (l *Checker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Increment adds to a counter of the summary.
func (l *Checker) Increment(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes[what]++
}

// Counts returns the counters.
func (l *Checker) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.notes))
	for k, v := range l.notes {
		out[k] = v
	}
	return out
}

// Runs returns the number of runs of a request.
func (l *Checker) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.asked[id]; ok {
		return len(a.runs)
	}
	return 0
}

func (l *Checker) ask(id string, a *ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = a
}

// ran notes that an endpoint began to run a request.
func (l *Checker) ran(id, endpoint, method, target, model, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.asked[id]
	if !ok {
		l.violation("UNASKED", "endpoint %s ran request %q, which no client sent", endpoint, id)
		return
	}
	if a.method != method || a.target != target || a.model != model || a.body != body {
		l.violation("UNASKED", "endpoint %s ran request %s changed: %s %s model %q, %d bytes", endpoint, id, method, target, model, len(body))
	}
	a.runs = append(a.runs, endpoint)
	if a.once && len(a.runs) > 1 {
		l.violation("TWICE", "request %s ran at %v", id, a.runs)
	}
	if a.once && a.promised != 0 {
		l.violation("REFUSED", "request %s ran at %s after status %d", id, endpoint, a.promised)
	}
}

// promise notes an answer that promises that the request hasn't run.
func (l *Checker) promise(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asked[id]
	a.promised = status
	if a.once && len(a.runs) > 0 {
		l.violation("REFUSED", "request %s got status %d and ran at %v", id, status, a.runs)
	}
}

// seal signs an endpoint's answer.
func seal(id string, body []byte) string {
	x := xxhash.New()
	_, _ = x.WriteString(id)
	_, _ = x.Write(body)
	return hex.EncodeToString(x.Sum(nil))
}

// event returns the data of one event of a request's stream.
func event(id string, n int) string { return seal(id, strconv.AppendInt(nil, int64(n), 10)) }
