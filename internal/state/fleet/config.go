package fleet

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated of a request.
type RouteKind uint8

// The kinds of a route.
const (
	// AtMostOnce allows one run for each attempt of the client.
	AtMostOnce RouteKind = iota
	// Idempotent allows any number of runs.
	Idempotent
	// Stream answers with events; only a resumable one may run again.
	Stream
)

// String returns the kind's name in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	routes   []Route
	services map[string]Service
	Limits   Limits
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes int64
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency objective: to the whole answer, or to a stream's first event.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Targets are the services with their weights; their sum is positive.
	Targets   []Target
	Resumable bool
}

// Target is one service of a route and its weight.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// The platform's clients give a stream up after a gap, also before its first event, that is
// longer than each of these.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// ClientIdleTimeout returns the gap after which clients give an answer up, 0 if they wait for the
// whole of their time.
func (r Route) ClientIdleTimeout() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(leastPatience, objectivePatience*r.Objective, gapPatience*r.GapObjective)
}

// Service is a set of equal endpoints.
type Service struct {
	Name       string
	HealthPath string
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots int
	// KVCacheTokens is the memory for prompts and answers.
	KVCacheTokens int
	// WeightsMB bounds the weights and adapters that an endpoint holds.
	WeightsMB float64
	// AdapterSlots bounds the adapters that an endpoint holds.
	AdapterSlots int
	// LoadsPerSecond is the rate of the weight store, over all endpoints.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a registered model.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	// StoreLoadTime, Warm and Disk are the times to load the weights from the weight store, from
	// the host's memory and from its disk.
	StoreLoadTime, MemoryLoadTime, DiskLoadTime time.Duration
}

// NewConfig returns a configuration.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) Config {
	c := Config{Version: version, routes: slices.Clone(routes), services: make(map[string]Service, len(services)), Limits: limits}
	// The longest prefix of a host goes first, so that the first match decides.
	slices.SortStableFunc(c.routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Route returns the route of a host and path.
func (c Config) Route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routes {
		if strings.HasPrefix(path, r.Prefix) && strings.EqualFold(r.Host, host) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services.
func (c Config) Services() map[string]Service { return c.services }

// PickService returns the service of a route for a draw in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 && t.Weight > 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
