package dgram

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chervilhead/internal/coordination/store"
)

// MaxBytes bounds a datagram, so that it fits one packet of a local network with room to spare.
const MaxBytes = 8192

// Message is one of *KeeperRequest, *EndpointState, *Demand, *PlannerStatus, *CreditRequest,
// *CreditGrant, *StreamRecords, *StreamQuery, *StreamsKept, *NewerConfig and *CrashReports. Fields are
// encoded in order, without their names.
type Message interface{ kind() byte }

// KeeperRequest is a gateway's request to a keeper; it also subscribes the gateway to the
// keeper's endpoint state reports.
type KeeperRequest struct {
	// Gateway is the sender's name.
	Gateway string
	// Endpoint and Incarnation identify the endpoint incarnation that the request is for.
	Endpoint    string
	Incarnation int64
	// EngineConfigHash is the hash of the engine's configuration at the gateway.
	EngineConfigHash uint64
	// ReportInterval is the longest time between two reports that the gateway asks for; 0 means
	// the keeper's own interval. A change other than of the load is reported at once.
	ReportInterval time.Duration
	// UsedAdapters are the adapters that requests used on the endpoint since the last message.
	UsedAdapters []string
	// CachedPrefixes are the hashes of shared prompt prefixes that the endpoint has prefilled
	// since the last message.
	CachedPrefixes []uint64
	// WantedAdapters are adapters that requests wait for.
	WantedAdapters []string
	// Move is the planner's move for the endpoint, or nil.
	Move *Move
	// ConfigVersion is the version of the configuration in force at the gateway.
	ConfigVersion uint64
}

// Move tells a keeper to unload models from its endpoint, then to load one.
type Move struct {
	// FencingToken is that of the planner's lease; a keeper follows the highest that it has seen.
	FencingToken uint64
	// ID increases with each move under one fencing token.
	ID     uint64
	Unload []string
	Load   string
}

// EndpointState is an endpoint state report of a keeper.
type EndpointState struct {
	// Address is the endpoint's address.
	Address string
	// Endpoint is the id that the endpoint itself reported, or empty.
	Endpoint    string
	Incarnation int64
	// KeeperIncarnation and MessageSequence order the reports of one keeper.
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
	// LoadingModels are models whose load is in progress.
	LoadingModels    []string
	InMemory, OnDisk []string
	// WeightStoreLoadAges are the ages of recent loads from the weight store; 0 may also be a
	// load that has yet to begin.
	WeightStoreLoadAges []time.Duration
	// CachedPrefixes are the hashes of prompt prefixes that the endpoint prefilled lately, as
	// gateways report.
	CachedPrefixes []uint64
	// AdaptersInUse counts the adapters that requests use; RefusedAdapters are adapters that
	// were wanted lately and could not be loaded.
	AdaptersInUse   int
	RefusedAdapters []string
	// MoveFencingToken and MoveID identify the newest move; MoveDone is set once it has ended.
	MoveFencingToken, MoveID uint64
	MoveDone                 bool
	// Gateways is the number of gateways that subscribe to this keeper.
	Gateways int
	// ReservedMB is the memory that adapters take, or that unanswered orders may take, beside
	// the weights of resident models.
	ReservedMB float64
	// Leaving is set once the endpoint says that it leaves.
	Leaving bool
	// ConfigVersion is the highest version of the configuration that a gateway has named to this
	// keeper, and ConfigHolder the address of the one that did so last.
	ConfigVersion uint64
	ConfigHolder  string
}

// Model is a resident model with its adapters.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

// Demand is the demand for models at one gateway.
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
	// OfferedLoad is the endpoint time, in seconds, that the requests of a second need.
	OfferedLoad float64
	// Waiting counts requests that no endpoint could take because none holds the model.
	Waiting int
	// Running counts requests that run on endpoints.
	Running int
}

// PlannerStatus is the planner announcement: what the planner's gateway last read in the
// store, or that it has resigned.
type PlannerStatus struct {
	// StoreVersion is the store's version, EndpointsDigest the digest of the endpoints at it.
	StoreVersion    store.Version
	EndpointsDigest uint64
	// ModelsDigest is the digest of the models in the endpoints' registrations.
	ModelsDigest uint64
	// ConfigVersion is the version of the configuration; ConfigConfirmedAge is the time since
	// the store last confirmed that this version is the current one.
	ConfigVersion      uint64
	ConfigConfirmedAge time.Duration
	// Gateways is the number of gateways that report demand to the planner, with its own.
	Gateways int
	// Resigned is set when the gateway no longer is the planner.
	Resigned bool
	// YieldedToken is the fencing token of a lease that the gateway yielded while the store
	// didn't answer it, or 0 if it released the lease in the store.
	YieldedToken uint64
	// ConfigProofEra and ConfigProofTime are the latest time of the store at which the
	// configuration is proven to have been the newest one; a time of 0 means none.
	ConfigProofEra  uint64
	ConfigProofTime time.Duration
}

func (*KeeperRequest) kind() byte { return 1 }
func (*EndpointState) kind() byte { return 2 }
func (*Demand) kind() byte        { return 3 }
func (*PlannerStatus) kind() byte { return 4 }

var errInvalidMessage = errors.New("the datagram is no message of this protocol; check what sends to this port")

// Encode returns a message as a datagram, or an error if it is larger than MaxBytes.
func Encode(m Message) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(m.kind())
	enc := msgpack.NewEncoder(&b)
	// Field names would take up most of a datagram.
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(m); err != nil {
		return nil, fmt.Errorf("encode a message: %w", err)
	}
	if b.Len() > MaxBytes {
		return nil, fmt.Errorf("a message of %d bytes is over the limit of %d", b.Len(), MaxBytes)
	}
	return b.Bytes(), nil
}

// Decode returns the message of a datagram, or an error if the datagram is invalid.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 || !validLengths(data[1:]) {
		return nil, errInvalidMessage
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
	case (*CreditRequest)(nil).kind():
		m = &CreditRequest{}
	case (*CreditGrant)(nil).kind():
		m = &CreditGrant{}
	case (*StreamRecords)(nil).kind():
		m = &StreamRecords{}
	case (*StreamQuery)(nil).kind():
		m = &StreamQuery{}
	case (*StreamsKept)(nil).kind():
		m = &StreamsKept{}
	case (*NewerConfig)(nil).kind():
		m = &NewerConfig{}
	case (*CrashReports)(nil).kind():
		m = &CrashReports{}
	default:
		return nil, errInvalidMessage
	}
	if err := msgpack.Unmarshal(data[1:], m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	return m, nil
}
