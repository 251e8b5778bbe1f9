package dgram

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBytes bounds a datagram, so that it fits one packet of a local network with room to spare.
const MaxBytes = 8192

// Message is one of *Ask, *State, *Demand and *Seen.
type Message interface{ kind() byte }

// KeeperRequest is what a gateway wants of a keeper; it is also a subscription to its states.
type KeeperRequest struct {
	// Gateway names the sender.
	Gateway string
	// Endpoint and Born name the incarnation of the endpoint that the gateway means.
	Endpoint    string
	Incarnation int64
	// EngineConfigHash identifies the engine's part of the configuration at the gateway.
	EngineConfigHash uint64
	// UsedAdapters are the names asked for on the endpoint since the last ask.
	UsedAdapters []string
	// CachedPrefixes are the chains of shared prompt parts that the endpoint has read since the last ask.
	CachedPrefixes []uint64
	// CrashRecords tell of requests that may crash endpoints.
	CrashRecords []CrashRecord
	// WantedAdapters are adapters that a request waits for.
	WantedAdapters []string
	// Move is a planner's order, or nil.
	Move *Move
}

// Move tells a keeper to change the models of its endpoint.
type Move struct {
	// FencingToken orders planners; a keeper follows the highest that it has seen.
	FencingToken uint64
	// ID is unique in a term and increases.
	ID     uint64
	Unload []string
	Load   string
}

// EndpointState is the state of an endpoint.
type EndpointState struct {
	// Address is the endpoint's.
	Address string
	// Endpoint is the id that the endpoint itself has said, or empty.
	Endpoint    string
	Incarnation int64
	// KeeperIncarnation and Number order the states of one keeper.
	KeeperIncarnation int64
	MessageSequence   uint64

	Alive                       bool
	Running, Waiting            int
	Prefilling                  int
	KVUsedTokens, KVTotalTokens int
	OrderSequence               int64
	ExecutingOrder              bool
	Models                      []Model
	LoadingAdapters             []string
	// LoadingModels are models on their way.
	LoadingModels    []string
	InMemory, OnDisk []string
	// WeightStoreLoadAges are the ages of loads from the weight store that began lately or may yet begin.
	WeightStoreLoadAges []time.Duration
	// CachedPrefixes are the chains of prompt parts that gateways saw the endpoint read lately.
	CachedPrefixes []uint64
	// CrashRecords are those that gateways sent lately.
	CrashRecords []CrashRecord
	// AdaptersInUse counts the adapters that requests use, Refused are adapters that were asked
	// for lately and found no place.
	AdaptersInUse   int
	RefusedAdapters []string
	// Doing is the newest move's term and id, and whether it has ended.
	MoveFencingToken, MoveID uint64
	MoveDone                 bool
	// Gateways is the number of gateways that ask this keeper.
	Gateways int
	// ReservedMB is the memory beside resident models that adapters take, or that orders
	// without an answer may take.
	ReservedMB float64
}

// CrashRecord is what is known of a request that may crash endpoints.
type CrashRecord struct {
	Fingerprint string
	Model       string
	// CrashedAttempts are the ids of attempts that ended with a broken connection, Cleared those
	// after which an equal request completed.
	CrashedAttempts, ClearedAttempts []string
}

// Model is a resident model with its adapters.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// Demand is what a gateway sees of the demand for models.
type Demand struct {
	Gateway            string
	GatewayIncarnation int64
	MessageSequence    uint64
	Models             []ModelDemand
}

// ModelDemand is the demand for one model at one gateway.
type ModelDemand struct {
	Service string
	Model   string
	// OfferedLoad is the time in seconds that an endpoint needs for a second's requests.
	OfferedLoad float64
	// Waiting counts requests that no endpoint could take for want of the model.
	Waiting int
	// Running counts requests that endpoints have.
	Running int
}

// PlannerStatus is what the planner's gateway read in the store just now.
type PlannerStatus struct {
	// StoreVersion is the store's version, Endpoints the digest of the endpoints at it.
	StoreVersion, EndpointsDigest uint64
	// ConfigVersion is the version of the configuration, ConfigAge how long ago the store
	// confirmed it.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// Resigned is set when the gateway no longer plans.
	Resigned bool
	// YieldedToken is the token of the lease that it had no answer of the store for, or 0 if it
	// gave the lease up there.
	YieldedToken uint64
}

func (*KeeperRequest) kind() byte { return 1 }
func (*EndpointState) kind() byte { return 2 }
func (*Demand) kind() byte        { return 3 }
func (*PlannerStatus) kind() byte { return 4 }

// errMessage means that a datagram is no message of this protocol.
var errMessage = errors.New("the datagram is no message of this protocol; check what sends to this port")

// Encode returns a message as a datagram.
func Encode(m Message) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(m.kind())
	enc := msgpack.NewEncoder(&b)
	// Names of fields would be most of a datagram.
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(m); err != nil {
		return nil, fmt.Errorf("encode a message: %w", err)
	}
	if b.Len() > MaxBytes {
		return nil, fmt.Errorf("a message of %d bytes is over the limit of %d", b.Len(), MaxBytes)
	}
	return b.Bytes(), nil
}

// Decode returns the message of a datagram.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errMessage
	}
	var m Message
	switch data[0] {
	case (*KeeperRequest)(nil).kind():
		m = &KeeperRequest{}
	case (*EndpointState)(nil).kind():
		m = &EndpointState{}
	case (*Demand)(nil).kind():
		m = &Demand{}
	case (*PlannerStatus)(nil).kind():
		m = &PlannerStatus{}
	default:
		return nil, errMessage
	}
	if err := msgpack.Unmarshal(data[1:], m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	return m, nil
}
