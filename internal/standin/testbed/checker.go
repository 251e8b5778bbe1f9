package testbed

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Checker records what clients sent and what endpoints ran, and checks one against the other.
type Checker struct {
	mu         sync.Mutex
	requests   map[string]*sentRequest
	violations []string
	counts     map[string]int
	// arrivals are those at endpoints, also of requests that the endpoint rejects.
	arrivals []Arrival
	// faulted holds the requests with an injected endpoint fault.
	faulted map[string]bool
	// crashes are the times at which endpoints crashed under a deadly prompt part.
	crashes []time.Time
	// rateLimits holds the limits that endpoints named, by their id.
	rateLimits map[string][]rateLimit
	// toldLeaving is when each gateway first passed on an answer that says that its endpoint
	// leaves.
	toldLeaving map[endpointAtGateway]time.Time
	// pauses are the answers that asked for a pause.
	pauses []pause
	// serving are the periods in which endpoint incarnations served new requests.
	serving []*servingPeriod
	// streams are the callers' streams by the id of the attempt that delivered the first event.
	streams map[string]*callerStream
	// attempts are the attempts of streams that a gateway read.
	attempts []streamAttempt
	// keys are those that a configuration held; without any, callers need none.
	keys map[string]*callerKey
	// keyedRuns are the runs of requests with such a key.
	keyedRuns []keyedRun
	// quotas holds the quotas of the groups in the order of their configurations.
	quotas map[string][]quota
}

// Arrival is a request's arrival at an endpoint.
type Arrival struct {
	At time.Time
	// SentAt is when the client sent the request.
	SentAt time.Time
	// Repeated is set when the request had arrived at some endpoint before.
	Repeated bool
	// DrainingFor is the time since the endpoint announced that it drains, 0 if it didn't.
	DrainingFor time.Duration
	// Gateway is the address to which the client sent the request, Endpoint the id of the
	// endpoint.
	Gateway, Endpoint string
	// ID is that of the request.
	ID string
}

// sentRequest is one request of a client as it was sent, and what became of it.
type sentRequest struct {
	gateway                     string
	sentAt                      time.Time
	method, target, model, body string
	once                        bool
	// public is set if the route asks for no key; key is the one that counts, or empty, and
	// secrets are all that the request holds.
	public  bool
	key     string
	secrets []string
	// tokens is the sum of the request's token counts if it has any.
	tokens    int
	hasTokens bool
	arrived   bool
	runs      []string
	// stranger is set for a request of a client that doesn't behave; unfinished says that it never
	// sends the request's end.
	stranger, unfinished bool
	// notRunStatus is the status of an answer that promises that the request hasn't run, or 0.
	notRunStatus int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{requests: map[string]*sentRequest{}, counts: map[string]int{}, faulted: map[string]bool{}, rateLimits: map[string][]rateLimit{}, toldLeaving: map[endpointAtGateway]time.Time{}, streams: map[string]*callerStream{}, keys: map[string]*callerKey{}, quotas: map[string][]quota{}}
}

// Arrivals returns the arrivals in their order.
func (c *Checker) Arrivals() []Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Arrival(nil), c.arrivals...)
}

// FaultInjected reports whether an endpoint drew a fault for a run of the request.
func (c *Checker) FaultInjected(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faulted[id]
}

func (c *Checker) addArrival(id, endpoint string, drainingFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := Arrival{At: time.Now(), DrainingFor: drainingFor, Endpoint: endpoint, ID: id}
	if q, ok := c.requests[id]; ok {
		a.Repeated, a.Gateway, a.SentAt = q.arrived, q.gateway, q.sentAt
		q.arrived = true
	}
	c.arrivals = append(c.arrivals, a)
}

func (c *Checker) markFaulted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faulted[id] = true
}

// AddViolation records that a rule of the platform was violated.
func (c *Checker) AddViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

func (c *Checker) addViolationLocked(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Violations returns the violations in the order in which they were found, each as "RULE: details".
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Increment adds one to a named counter of the summary.
func (c *Checker) Increment(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// Counts returns the counters by name.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

// Runs returns the number of runs of a request.
func (c *Checker) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.requests[id]; ok {
		return len(a.runs)
	}
	return 0
}

func (c *Checker) addRequest(id string, a *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.sentAt = time.Now()
	c.requests[id] = a
}

// AddStranger records a request of a client that doesn't behave. One that is unfinished must not run.
func (c *Checker) AddStranger(id, gateway, method, target string, once, unfinished bool) {
	c.addRequest(id, &sentRequest{gateway: gateway, method: method, target: target, once: once, public: true, stranger: true, unfinished: unfinished})
}

// addRun records that an endpoint began to run a request, and checks it.
func (c *Checker) addRun(id, endpoint, method, target, model, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.requests[id]
	if !ok {
		c.addViolationLocked("UNASKED", "endpoint %s ran request %q, which no client sent", endpoint, id)
		return
	}
	if a.unfinished {
		c.addViolationLocked("UNASKED", "endpoint %s ran request %s, whose end was never sent, with %d bytes of it", endpoint, id, len(body))
	}
	if a.method != method || a.target != target || a.model != model || a.body != body && !a.stranger {
		c.addViolationLocked("UNASKED", "endpoint %s ran request %s differently from how it was sent: %s %s model %q, %d bytes", endpoint, id, method, target, model, len(body))
	}
	a.runs = append(a.runs, endpoint)
	c.checkKeyLocked(id, endpoint, a)
	if a.once && len(a.runs) > 1 {
		c.addViolationLocked("TWICE", "request %s ran at %v", id, a.runs)
	}
	if a.mayNotRunAfter(a.notRunStatus) {
		c.addViolationLocked("REFUSED", "request %s ran at %s after status %d", id, endpoint, a.notRunStatus)
	}
}

// mayNotRunAfter reports whether a request that was answered with a status must not run, neither
// before nor after it. Requests that may run several times may end with 503 after a run.
func (a *sentRequest) mayNotRunAfter(status int) bool {
	return status != 0 && a.once || status == http.StatusUnauthorized || status == http.StatusTooManyRequests
}

// addNotRun records an answer that promises that the request hasn't run.
func (c *Checker) addNotRun(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[id]
	a.notRunStatus = status
	if a.mayNotRunAfter(status) && len(a.runs) > 0 {
		c.addViolationLocked("REFUSED", "request %s got status %d and ran at %v", id, status, a.runs)
	}
}

// sign returns the signature of an endpoint's answer, a hash of request id and body.
func sign(id string, body []byte) string {
	x := xxhash.New()
	_, _ = x.WriteString(id)
	_, _ = x.Write(body)
	return hex.EncodeToString(x.Sum(nil))
}

// endMark begins the data of a stream's last event.
const endMark = "end "

// event returns the data of one event of a request's stream, written by one version of the
// endpoints' software.
func event(id, version string, n int) string {
	return sign(id, strconv.AppendInt([]byte(version+" "), int64(n), 10))
}
