package engine

import (
	"context"
	"encoding/json"

	"chervilhead/internal/protocol/wire"
)

// Paths and headers of the engine's protocol beyond the OpenAI-compatible ones.
const (
	PathState       = "/engine/v1/state"
	PathOrders      = "/engine/v1/orders"
	PathRequests    = "/engine/v1/requests/"
	PathEvents      = "/engine/v1/events"
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderIncarnation carries the engine's incarnation in replies to generations, and
	// in a resume the incarnation that is expected.
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Request is one generation; Body is the caller's JSON body.
type Request struct {
	ID       string
	Kind     wire.AttemptKind
	Body     []byte
	Stream   bool
	Priority int
}

// Result is what has been received of a generation. It is whole when the call that
// returned it had no error; otherwise a resume can continue from it.
type Result struct {
	// Incarnation is the engine's incarnation, or empty when no reply arrived.
	Incarnation string
	// Events is the number of events received; a whole answer is one event.
	Events int
	Usage  wire.Usage
	// FinishReason is the engine's reason for ending the answer.
	FinishReason string
	// UsageEvent is the engine's own usage event of a stream, or nil.
	UsageEvent json.RawMessage
}

// Sink receives the events of an answer in order.
type Sink func(item json.RawMessage)

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	// OrderFence changes nothing but the fencing number that the engine checks.
	OrderFence OrderKind = "fence"
)

// Order changes what an engine holds. An engine applies an order id once.
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

// ResidentModel is a model or adapter that an engine holds or is loading.
type ResidentModel struct {
	Model       string `json:"model"`
	Base        string `json:"base,omitempty"`
	Version     string `json:"version"`
	MemoryBytes int64  `json:"memory_bytes"`
	Ready       bool   `json:"ready"`
	// ServingVersion is the version that answers while this one loads; it is empty when none does.
	ServingVersion string `json:"serves,omitempty"`
}

// Usable reports whether the engine answers requests for the model.
func (r ResidentModel) Usable() bool { return r.Ready || r.ServingVersion != "" }

// State is an engine's real state when it was read.
type State struct {
	// Incarnation changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	// FencingToken is the highest fencing number seen. An engine that refuses old numbers
	// keeps it over a restart; one that forgets it counts as ignoring numbers.
	FencingToken     uint64 `json:"fence"`
	Role             string `json:"role"`
	MemoryTotalBytes int64  `json:"memory_total_bytes"`
	MemoryUsedBytes  int64  `json:"memory_used_bytes"`
	KVBytes          int64  `json:"kv_bytes"`
	// RoleKVBytes is the KV cache of each role that the engine can change to.
	RoleKVBytes map[string]int64 `json:"role_kv_bytes,omitempty"`
	Residents   []ResidentModel  `json:"residents"`
	Running     []string         `json:"running"`
	Waiting     int              `json:"waiting"`
	Restarts    int              `json:"restarts"`
	// AppliedOrders lists the ids of recent orders that the engine has accepted.
	AppliedOrders []string `json:"applied"`
}

// CacheEvent says that a prefix entered or left the engine's prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Model  string `json:"model"`
	Prefix string `json:"prefix"`
	Added  bool   `json:"added"`
}

// CacheEventPage is a page of cache events; a gap shows as a jump in Seq.
type CacheEventPage struct {
	Events []CacheEvent `json:"events"`
}

// Engine is all that an agent needs of a model engine.
type Engine interface {
	// Run generates an answer and returns after its finish marker. It returns an
	// engine_crashed error when the engine went away and a stream_truncated error
	// when the answer ended without its finish marker. The result of a failed call
	// says how much of the answer was received.
	Run(ctx context.Context, req Request, sink Sink) (Result, error)
	// Resume continues the answer to a request that Run or Resume has received in
	// part. It never starts a generation. The engine refuses with one of the codes
	// CodeRestarted, CodeResumeUnsupported, CodeUnknownRequest or CodeOffsetDropped.
	// CodeUnreachable means that it did not reply; other errors are those of Run.
	Resume(ctx context.Context, req Request, got Result, sink Sink) (Result, error)
	// Cancel ends a running generation; an unknown id is no error.
	Cancel(ctx context.Context, id string) error
	// Order asks for a change; nil means that the engine has accepted it.
	Order(ctx context.Context, o Order) error
	// State reads the engine's real state.
	State(ctx context.Context) (State, error)
	// CacheEvents returns cache events after a sequence number.
	CacheEvents(ctx context.Context, since uint64) (CacheEventPage, error)
}
