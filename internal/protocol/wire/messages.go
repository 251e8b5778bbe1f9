package wire

import (
	"encoding/json"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/prefix"
)

// Methods of the peer protocol. MethodChunk does not appear on the wire, because chunks have
// frames of their own.
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

// Versions maps each kind of document to the newest version that the sender holds.
type Versions map[string]uint64

// Hello identifies the process that opened a connection.
type Hello struct {
	Node        string   `json:"node"`
	Role        string   `json:"role"`
	Incarnation string   `json:"incarnation"`
	Versions    Versions `json:"versions"`
}

// HelloReply identifies the process that accepted a connection; ClockMillis is its monotonic clock.
type HelloReply struct {
	Node          string   `json:"node"`
	Role          string   `json:"role"`
	Incarnation   string   `json:"incarnation"`
	FailureDomain string   `json:"failure_domain"`
	ClockMillis   int64    `json:"clock_ms"`
	Versions      Versions `json:"versions"`
}

// Digest tells a peer the sender's document versions; the reply is the peer's Digest.
type Digest struct {
	Node     string   `json:"node"`
	Versions Versions `json:"versions"`
}

// Fetch asks for the document of a kind if the peer holds a version newer than Have.
type Fetch struct {
	Kind string `json:"kind"`
	Have uint64 `json:"have"`
}

// Document answers a Fetch with one version of a document: in full in Data, or as deltas
// from BaseVersion. Both are empty when the peer holds nothing newer. Checksum is that of
// the document at Version.
type Document struct {
	Kind        string          `json:"kind"`
	Version     uint64          `json:"version"`
	BaseVersion uint64          `json:"base,omitempty"`
	Deltas      []gossip.Delta  `json:"deltas,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	Checksum    uint32          `json:"sum,omitempty"`
}

// AttemptKind is the API that an attempt calls on its endpoint.
type AttemptKind string

// Attempt kinds: the engine's two generation APIs, and an HTTP call of a plain service.
const (
	KindChat       AttemptKind = "chat"
	KindCompletion AttemptKind = "completion"
	KindService    AttemptKind = "service"
)

// Start asks an agent to run one attempt. StartByMillis is on the agent's monotonic
// clock; an attempt that has not started by then is never started.
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
	// HomeKey is the key from which rendezvous hashing picks the request's homes; if it is
	// empty, the fingerprint is the key. Equal requests carry equal keys.
	HomeKey string `json:"home_key,omitempty"`
	// Prefix holds the digests of the prompt's prefixes, the shortest first.
	Prefix       prefix.Digests `json:"prefix,omitempty"`
	PromptTokens int            `json:"prompt_tokens"`
	MaxTokens    int            `json:"max_tokens"`
	Versions     Versions       `json:"versions"`
}

// HTTPRequest is the request line and header of an HTTP call of a plain service.
type HTTPRequest struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
}

// HTTPResponseHead is the first item of a plain service's response; the body follows in further items.
type HTTPResponseHead struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
}

// StartReply accepts an attempt, or refuses it with an error. A refused attempt is never started.
type StartReply struct {
	Refused  *fault.Error `json:"refused,omitempty"`
	Versions Versions     `json:"versions"`
}

// Chunk carries consecutive items of a response; Offset is the index of the first.
type Chunk struct {
	AttemptID   string            `json:"attempt_id"`
	Incarnation string            `json:"agent_incarnation"`
	Offset      int               `json:"offset"`
	Items       []json.RawMessage `json:"items"`
}

// Usage holds the token counts of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// End reports that an attempt has ended. Items is the number of items in the response.
type End struct {
	AttemptID   string        `json:"attempt_id"`
	Incarnation string        `json:"agent_incarnation"`
	Items       int           `json:"items"`
	Outcome     fault.Outcome `json:"outcome"`
	Error       *fault.Error  `json:"error,omitempty"`
	Usage       *Usage        `json:"usage,omitempty"`
}

// EndReply acknowledges an End. Complete is false while the entry is missing items, which it
// then asks for with a Resume.
type EndReply struct {
	Complete bool `json:"whole"`
}

// Cancel cancels an attempt; one that has not arrived yet is refused when it does.
type Cancel struct {
	AttemptID     string `json:"attempt_id"`
	Incarnation   string `json:"agent_incarnation"`
	StartByMillis int64  `json:"start_by_ms"`
}

// AttemptState is the state of an attempt on its agent.
type AttemptState string

// States of an attempt.
const (
	// NeverStarted means that the attempt has not started and never will.
	NeverStarted AttemptState = "never_started"
	// Started means that the attempt is running.
	Started AttemptState = "started"
	// Finished means that the attempt ran and ended.
	Finished AttemptState = "finished"
	// Queued means that the attempt waits for a slot.
	Queued AttemptState = "queued"
	// NotFound means that the agent does not know the attempt or no longer holds the items
	// asked for; the attempt may have run.
	NotFound AttemptState = "forgotten"
)

// CancelReply says whether the cancelled attempt had started.
type CancelReply struct {
	State AttemptState `json:"state"`
}

// Resume asks for the items of an attempt's response from an offset on, over the connection
// that carries the call.
type Resume struct {
	AttemptID   string `json:"attempt_id"`
	Incarnation string `json:"agent_incarnation"`
	Offset      int    `json:"offset"`
}

// ResumeReply reports the attempt's state; the items follow if it is Queued, Started or Finished.
type ResumeReply struct {
	State AttemptState `json:"state"`
}

// Probe asks an agent for the load that the next request for a model would meet. Prefix
// holds the prefix digests of that request's prompt.
type Probe struct {
	Model    string         `json:"model"`
	Prefix   prefix.Digests `json:"prefix,omitempty"`
	Versions Versions       `json:"versions"`
}

// AwaitReport tells an agent that requests wait for a model that has no replica; the agent
// includes the model in its report to the planner.
type AwaitReport struct {
	Model    string   `json:"model"`
	Versions Versions `json:"versions"`
}

// ProbeReply is an agent's load in reply to a Probe.
type ProbeReply struct {
	Endpoint string `json:"endpoint"`
	Resident bool   `json:"resident"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Queued   int    `json:"queued"`
	// WaitMillis is the expected time until the prefill of a new request begins: the wait in the
	// queue and the prefills before it.
	WaitMillis int64 `json:"wait_ms"`
	Leaving    bool  `json:"leaving"`
	// CachedTokens is the cache estimate: how many of the prompt's tokens the engine probably has cached.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// PrefillPerTokenNanos is the engine's prefill time per token.
	PrefillPerTokenNanos int64    `json:"prompt_token_ns,omitempty"`
	Versions             Versions `json:"versions"`
}

// Status describes a process to operators.
type Status struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Revision      uint64 `json:"revision"`
	// RevisionAgeMillis is the time since the process took on the revision.
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
