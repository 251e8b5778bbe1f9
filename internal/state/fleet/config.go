package fleet

import (
	"strings"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind uint8

// The kinds of routes.
const (
	// AtMostOnce allows at most one run of each request that a client sends.
	AtMostOnce RouteKind = iota
	// Idempotent allows any number of runs.
	Idempotent
	// Stream answers with events; a request may run again only if the route is resumable.
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
	routes   map[routeKey]Route
	services map[string]Service
	Limits   Limits
	// groups are nil if callers need no keys; keys maps the digests of keys to group names.
	groups map[string]Group
	keys   map[KeyDigest]string
}

// routeKey identifies a route by its host name in lower case and its prefix.
type routeKey struct{ host, prefix string }

// Limits bounds what a client may send.
type Limits struct {
	BodyBytes int64
}

// Route maps the requests of a host name and path prefix to services. Each prefix begins and
// ends with a slash.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the latency objective for the whole answer, or for a stream's first event.
	Objective time.Duration
	// GapObjective is the latency objective for the gap between two events of a stream.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Targets are the services with their weights; the sum of the weights is positive.
	Targets   []Target
	Resumable bool
	// Public routes ask callers for no key even if the configuration names groups.
	Public bool
}

// Target is one service of a route and its weight.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// The platform's clients abandon a stream after a gap, also before its first event, that is
// longer than the largest of these.
const (
	minClientIdleTimeout = 2 * time.Second
	objectiveMultiple    = 4
	gapObjectiveMultiple = 8
)

// ClientIdleTimeout returns the gap between events after which clients abandon a stream; 0 means
// that they wait until the request's timeout.
func (r Route) ClientIdleTimeout() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(minClientIdleTimeout, objectiveMultiple*r.Objective, gapObjectiveMultiple*r.GapObjective)
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots int
	// KVCacheTokens is the capacity of an endpoint's KV cache, in tokens.
	KVCacheTokens int
	// WeightsMB is the accelerator memory of an endpoint for model weights and adapters.
	WeightsMB float64
	// AdapterSlots is the most adapters that can be resident on an endpoint.
	AdapterSlots int
	// LoadsPerSecond is the rate at which the weight store allows loads, over all endpoints.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a registered model; AdapterMB is the size of each of its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	// StoreLoadTime, MemoryLoadTime and DiskLoadTime are the times to load the weights from the
	// weight store, from the host's memory and from its disk.
	StoreLoadTime, MemoryLoadTime, DiskLoadTime time.Duration
}

// NewConfig returns a configuration.
func NewConfig(version uint64, routes []Route, services []Service, limits Limits) Config {
	c := Config{Version: version, routes: make(map[routeKey]Route, len(routes)), services: make(map[string]Service, len(services)), Limits: limits}
	for _, r := range routes {
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if _, known := c.routes[key]; !known {
			c.routes[key] = r
		}
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Route returns the route with the longest prefix that matches a host name, with or without
// port, and path.
func (c Config) Route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.ToLower(host)
	for {
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return Route{}, false
		}
		if r, ok := c.routes[routeKey{host, path[:i+1]}]; ok {
			return r, true
		}
		path = path[:i]
	}
}

// Service returns a service by name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services.
func (c Config) Services() map[string]Service { return c.services }

// PickService returns one of the route's services by weight; draw is a random number in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 && t.Weight > 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
