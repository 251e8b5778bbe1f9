package engine

import (
	"context"
	"encoding/json"

	"chervilhead/internal/protocol/wire"
)

// Paths and headers that the engine protocol adds to the OpenAI-compatible API.
const (
	PathState       = "/engine/v1/state"
	PathOrders      = "/engine/v1/orders"
	PathRequests    = "/engine/v1/requests/"
	PathEvents      = "/engine/v1/events"
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderIncarnation carries the engine's incarnation in the responses to generations,
	// and the expected incarnation in a resume.
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Request asks an engine for one generation; Body is the caller's JSON body.
type Request struct {
	ID       string
	Kind     wire.AttemptKind
	Body     []byte
	Stream   bool
	Priority int
}

// Result describes what has been received of a response. It is complete if the call that
// returned it had no error; otherwise a resume can continue from it.
type Result struct {
	// Incarnation is the engine's incarnation, or empty if no response header arrived.
	Incarnation string
	// Events is the number of events received; a response that is not streamed is one event.
	Events int
	Usage  wire.Usage
	// FinishReason is the engine's reason for ending the response.
	FinishReason string
	// UsageEvent is the engine's usage event of a stream, or nil.
	UsageEvent json.RawMessage
}

// Sink receives the events of a response in order.
type Sink func(item json.RawMessage)

// OrderKind is the change that an order asks for.
type OrderKind string

// Order kinds.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	// OrderFence changes nothing but the fencing token that the engine checks.
	OrderFence OrderKind = "fence"
)

// Order changes an engine's resident models, role or fencing token. An engine applies an order id once.
type Order struct {
	ID           string    `json:"order_id"`
	FencingToken uint64    `json:"fence"`
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Base         string    `json:"base,omitempty"`
	Version      string    `json:"version,omitempty"`
	MemoryBytes  int64     `json:"memory_bytes,omitempty"`
	Role         string    `json:"role,omitempty"`
}

// ResidentModel is a model or adapter that is resident on an engine or loading.
type ResidentModel struct {
	Model       string `json:"model"`
	Base        string `json:"base,omitempty"`
	Version     string `json:"version"`
	MemoryBytes int64  `json:"memory_bytes"`
	Ready       bool   `json:"ready"`
	// ServingVersion is the version that serves requests while this one loads, or empty.
	ServingVersion string `json:"serves,omitempty"`
}

// Usable reports whether the engine serves requests for the model.
func (r ResidentModel) Usable() bool { return r.Ready || r.ServingVersion != "" }

// State is the actual state of an engine when it was read.
type State struct {
	// Incarnation changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	// FencingToken is the highest token seen. An engine that rejects stale tokens must keep it
	// across restarts; one that does not is treated as not checking tokens.
	FencingToken     uint64 `json:"fence"`
	Role             string `json:"role"`
	MemoryTotalBytes int64  `json:"memory_total_bytes"`
	MemoryUsedBytes  int64  `json:"memory_used_bytes"`
	KVBytes          int64  `json:"kv_bytes"`
	// RoleKVBytes is the KV cache size in each role that the engine can change to.
	RoleKVBytes map[string]int64 `json:"role_kv_bytes,omitempty"`
	Residents   []ResidentModel  `json:"residents"`
	Running     []string         `json:"running"`
	Waiting     int              `json:"waiting"`
	Restarts    int              `json:"restarts"`
	// AppliedOrders lists the ids of the orders that the engine has accepted recently.
	AppliedOrders []string `json:"applied"`
}

// CacheEvent reports that a prefix was added to or evicted from the engine's prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Model  string `json:"model"`
	Prefix string `json:"prefix"`
	Added  bool   `json:"added"`
}

// CacheEventPage is a page of cache events; a jump in Seq means that events were missed.
type CacheEventPage struct {
	Events []CacheEvent `json:"events"`
}

// Engine is a model engine as an agent uses it.
type Engine interface {
	// Run generates a response and returns after its finish reason. It returns an
	// engine_crashed error if the connection to the engine broke and a stream_truncated
	// error if the response ended without a finish reason. The result of a failed call
	// says how much of the response was received.
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
	// Resume continues a response that Run or Resume has received in part. It never
	// starts a generation. The engine refuses with one of the codes CodeRestarted,
	// CodeResumeUnsupported, CodeUnknownRequest or CodeOffsetDropped. CodeUnreachable
	// means that it did not reply; other errors are those of Run.
	Resume(ctx context.Context, req Request, received Result, sink Sink) (Result, error)
	// Cancel cancels a generation; an unknown id is no error.
	Cancel(ctx context.Context, id string) error
	// Order sends an order; nil means that the engine has accepted it, not that it is done.
	Order(ctx context.Context, o Order) error
	// State reads the engine's actual state.
	State(ctx context.Context) (State, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, since uint64) (CacheEventPage, error)
}
