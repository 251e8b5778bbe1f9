package wire

import (
	"encoding/json"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/prefix"
)

// Methods of the protocol between the system's own processes.
const (
	MethodHello   = "peer.hello"
	MethodDigest  = "peer.digest"
	MethodFetch   = "peer.fetch"
	MethodSuspect = "peer.suspect"
	MethodPermit  = "attempt.permit"
	MethodStart   = "attempt.start"
	MethodCancel  = "attempt.cancel"
	MethodResume  = "attempt.resume"
	MethodChunk   = "attempt.chunk"
	MethodEnd     = "attempt.end"
	MethodProbe   = "agent.probe"
	MethodAwait   = "agent.await"
	MethodStatus  = "peer.status"
	MethodLeave   = "peer.leave"
)

// Versions are the newest document versions that the sender holds, by kind of document.
type Versions map[string]uint64

// Hello introduces the sender of a connection.
type Hello struct {
	Node        string   `json:"node"`
	Role        string   `json:"role"`
	Incarnation string   `json:"incarnation"`
	Versions    Versions `json:"versions"`
}

// HelloReply introduces the receiver; ClockMillis is its monotonic clock.
type HelloReply struct {
	Node          string   `json:"node"`
	Role          string   `json:"role"`
	Incarnation   string   `json:"incarnation"`
	FailureDomain string   `json:"failure_domain"`
	ClockMillis   int64    `json:"clock_ms"`
	Versions      Versions `json:"versions"`
}

// Digest offers the sender's document versions.
type Digest struct {
	Node     string   `json:"node"`
	Versions Versions `json:"versions"`
}

// Fetch asks for a document newer than Have.
type Fetch struct {
	Kind string `json:"kind"`
	Have uint64 `json:"have"`
}

// Document is one version of a relayed document: whole in Data, or as deltas from
// version Base. Both are empty when nothing newer is held. Sum is the checksum of
// the document at Version.
type Document struct {
	Kind        string          `json:"kind"`
	Version     uint64          `json:"version"`
	BaseVersion uint64          `json:"base,omitempty"`
	Deltas      []gossip.Delta  `json:"deltas,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	Checksum    uint32          `json:"sum,omitempty"`
}

// AttemptKind says how an attempt's body is to be run.
type AttemptKind string

// The kinds of attempt.
const (
	KindChat       AttemptKind = "chat"
	KindCompletion AttemptKind = "completion"
	KindService    AttemptKind = "service"
)

// Start asks an agent to run one attempt. StartByMillis is on the agent's
// monotonic clock; an attempt that has not started by then never starts.
type Start struct {
	AttemptID     string       `json:"attempt_id"`
	Incarnation   string       `json:"agent_incarnation"`
	Group         string       `json:"group"`
	Model         string       `json:"model"`
	Kind          AttemptKind  `json:"kind"`
	Stream        bool         `json:"stream"`
	Body          []byte       `json:"body"`
	HTTPRequest   *HTTPRequest `json:"call,omitempty"`
	Priority      int          `json:"priority"`
	StartByMillis int64        `json:"start_by_ms"`
	Idempotent    bool         `json:"idempotent"`
	Fingerprint   string       `json:"fingerprint"`
	// HomeKey is what the homes of the request are chosen by; empty stands for the
	// fingerprint. Equal requests carry equal keys.
	HomeKey string `json:"home_key,omitempty"`
	// Prefix describes the beginnings of the prompt, the shortest first.
	Prefix       prefix.Digests `json:"prefix,omitempty"`
	PromptTokens int            `json:"prompt_tokens"`
	MaxTokens    int            `json:"max_tokens"`
	Versions     Versions       `json:"versions"`
}

// HTTPRequest is the HTTP call of a plain service.
type HTTPRequest struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
}

// HTTPResponseHead is the first item of a plain service's answer; the body follows in further items.
type HTTPResponseHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
}

// StartReply accepts an attempt, or refuses it with an error. A refused attempt never starts.
type StartReply struct {
	Refused  *fault.Error `json:"refused,omitempty"`
	Versions Versions     `json:"versions"`
}

// Chunk carries consecutive items of an answer; Offset is the index of the first.
type Chunk struct {
	AttemptID   string            `json:"attempt_id"`
	Incarnation string            `json:"agent_incarnation"`
	Offset      int               `json:"offset"`
	Items       []json.RawMessage `json:"items"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// End closes an attempt. Items is the number of items that the answer has.
type End struct {
	AttemptID   string        `json:"attempt_id"`
	Incarnation string        `json:"agent_incarnation"`
	Items       int           `json:"items"`
	Outcome     fault.Outcome `json:"outcome"`
	Error       *fault.Error  `json:"error,omitempty"`
	Usage       *Usage        `json:"usage,omitempty"`
}

// EndReply confirms an end. Whole is false while the entry misses items, which it then asks for.
type EndReply struct {
	Complete bool `json:"whole"`
}

// Cancel withdraws an attempt, also one that has not arrived yet.
type Cancel struct {
	AttemptID     string `json:"attempt_id"`
	Incarnation   string `json:"agent_incarnation"`
	StartByMillis int64  `json:"start_by_ms"`
}

// AttemptState is the state of an attempt at its agent.
type AttemptState string

// The states that an agent reports for an attempt.
const (
	// NeverStarted means that the attempt did not start and never will.
	NeverStarted AttemptState = "never_started"
	// Started means that the attempt is running.
	Started AttemptState = "started"
	// Finished means that the attempt ran and ended.
	Finished AttemptState = "finished"
	// Queued means that the attempt waits for a place on the engine.
	Queued AttemptState = "queued"
	// NotFound means that the agent does not know the attempt.
	NotFound AttemptState = "forgotten"
)

// CancelReply says whether the cancelled attempt had started.
type CancelReply struct {
	State AttemptState `json:"state"`
}

// Resume asks for the items of an attempt from an offset on.
type Resume struct {
	AttemptID   string `json:"attempt_id"`
	Incarnation string `json:"agent_incarnation"`
	Offset      int    `json:"offset"`
}

// ResumeReply says whether the items will be sent.
type ResumeReply struct {
	State AttemptState `json:"state"`
}

// Probe asks an agent for its load as seen by a model's next request, whose prompt has
// the beginnings in Prefix.
type Probe struct {
	Model    string         `json:"model"`
	Prefix   prefix.Digests `json:"prefix,omitempty"`
	Versions Versions       `json:"versions"`
}

// AwaitReport tells an agent that requests wait for a model without a copy; the agent's
// report carries it to the planner.
type AwaitReport struct {
	Model    string   `json:"model"`
	Versions Versions `json:"versions"`
}

// ProbeReply is an agent's answer to a probe.
type ProbeReply struct {
	Endpoint string `json:"endpoint"`
	Resident bool   `json:"resident"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	// WaitMillis is the expected time until a new prompt is begun: queue and prompts before it.
	WaitMillis int64 `json:"wait_ms"`
	Leaving    bool  `json:"leaving"`
	// CachedTokens is the part of the probe's prompt that the engine probably has cached.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// PromptTokenNanos is the time in which the engine computes a token of a prompt.
	PromptTokenNanos int64    `json:"prompt_token_ns,omitempty"`
	Versions         Versions `json:"versions"`
}

// Status describes a process to operators.
type Status struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Revision      uint64 `json:"revision"`
	// RevisionAgeMillis is the time since the revision came into force on the process.
	RevisionAgeMillis int64           `json:"revision_age_ms,omitempty"`
	PlanVersion       uint64          `json:"plan_version"`
	Leaving           bool            `json:"leaving"`
	Endpoint          *EndpointStatus `json:"endpoint,omitempty"`
}

// EndpointStatus describes the endpoint beside an agent.
type EndpointStatus struct {
	ID               string   `json:"id"`
	FailureDomain    string   `json:"failure_domain"`
	State            string   `json:"state"`
	Service          string   `json:"service,omitempty"`
	Restarts         int      `json:"restarts"`
	Models           []string `json:"models"`
	Running          int      `json:"running"`
	Queued           int      `json:"queued"`
	MemoryUsedBytes  int64    `json:"memory_used_bytes"`
	MemoryTotalBytes int64    `json:"memory_total_bytes"`
}
