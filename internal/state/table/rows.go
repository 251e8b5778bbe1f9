package table

// Group is the row of one group, a team or customer.
type Group struct {
	Name string `json:"name" yaml:"name"`
	// Weight is the group's share of contended accelerator time, relative to other groups.
	Weight float64 `json:"weight" yaml:"weight"`
	// MaxConcurrent is the hard limit on requests in flight over the fleet; 0 means no limit.
	MaxConcurrent int `json:"max_concurrent" yaml:"max_concurrent"`
	// MaxRequestsPerSecond is the hard limit on the request rate over the fleet; 0 means no limit.
	MaxRequestsPerSecond float64 `json:"max_requests_per_second" yaml:"max_requests_per_second"`
	// MaxTokensPerSecond is the hard limit on generated tokens over the fleet; 0 means no limit.
	MaxTokensPerSecond float64 `json:"max_tokens_per_second" yaml:"max_tokens_per_second"`
	// MaxMemoryBytes limits the accelerator memory of the group's models; 0 means no limit.
	MaxMemoryBytes int64 `json:"max_memory_bytes" yaml:"max_memory_bytes"`
	// QueueBound is the most requests of the group that one agent queues; 0 means the default.
	QueueBound int `json:"queue_bound" yaml:"queue_bound"`
	// PriorityCeiling is the highest priority that a request of the group can have.
	PriorityCeiling int    `json:"priority_ceiling" yaml:"priority_ceiling"`
	Revision        uint64 `json:"revision" yaml:"-"`
}

// Model is the row of a model, or of an adapter when Base is set.
type Model struct {
	Name string `json:"name" yaml:"name"`
	// Groups lists the groups that may use the model.
	Groups []string `json:"groups" yaml:"groups"`
	// Base is the name of an adapter's base model; empty for a model.
	Base        string `json:"base,omitempty" yaml:"base"`
	Version     string `json:"version" yaml:"version"`
	MemoryBytes int64  `json:"memory_bytes" yaml:"memory_bytes"`
	// LeastCopies is the lowest number of replicas to keep resident.
	LeastCopies int    `json:"least_copies" yaml:"least_copies"`
	Revision    uint64 `json:"revision" yaml:"-"`
}

// Route is a method and path of a plain service.
type Route struct {
	Method string `json:"method" yaml:"method"`
	Path   string `json:"path" yaml:"path"`
}

// Service is the row of a plain service.
type Service struct {
	Name   string   `json:"name" yaml:"name"`
	Groups []string `json:"groups" yaml:"groups"`
	// NonIdempotent lists the routes whose requests may not be repeated.
	NonIdempotent []Route `json:"non_idempotent" yaml:"non_idempotent"`
	Revision      uint64  `json:"revision" yaml:"-"`
}

// Key is the row of a bearer key; only the key's hash is stored.
type Key struct {
	Name string `json:"name" yaml:"name"`
	Hash string `json:"hash" yaml:"hash"`
	// Group is the group that the key authenticates; an operator's key may leave it empty.
	Group    string `json:"group,omitempty" yaml:"group"`
	Operator bool   `json:"operator,omitempty" yaml:"operator"`
	Revision uint64 `json:"revision" yaml:"-"`
}
