package fleet

import (
	"slices"
	"strings"
	"time"
)

// Endpoint is one endpoint as it is registered with the platform.
type Endpoint struct {
	ID, Service, Address, FailureDomain string
	Slots                               int
	// Leaving is set once the endpoint says that it drains.
	Leaving bool
	// PreemptionNotice is the time until a leaving endpoint is preempted; 0 means that it isn't.
	PreemptionNotice time.Duration
	// Sequence is the number of orders that the endpoint has accepted since its start.
	Sequence int64
	// Incarnation is the Unix time of the endpoint's start in milliseconds. It distinguishes the
	// incarnations that use one id and doesn't order them, because the time of day may jump.
	Incarnation int64
	Models      []Resident
	// SoftwareVersion is the version of the endpoint's software; endpoints without one are all of
	// the empty version.
	SoftwareVersion string
	// Revision is the store's version of the write that the registration is of, or 0 if not known.
	Revision uint64
	// ListedAt is when this process first read a registration of this incarnation, or zero if its first
	// read held one, which may have been written long before.
	ListedAt time.Time
	// Unconfirmed is set while the registration may be a late write of an incarnation that has ended:
	// the endpoint may be one of another version.
	Unconfirmed bool
	// Replaced is set while another endpoint's registration of the same address was written later: the
	// process that served it has ended.
	Replaced bool
}

// IncarnationID identifies one life of an endpoint's process.
type IncarnationID struct {
	// Endpoint is the endpoint's id, Incarnation the time of its start as in Endpoint.
	Endpoint    string
	Incarnation int64
	// SoftwareVersion is that of the endpoint: one that returns with another version is another
	// incarnation, whatever its start.
	SoftwareVersion string
}

// IncarnationID returns the identity of the endpoint's current life.
func (e Endpoint) IncarnationID() IncarnationID {
	return IncarnationID{e.ID, e.Incarnation, e.SoftwareVersion}
}

// Resident is a model that is resident on an endpoint, with its resident adapters.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// ModelName names a model, or an adapter of a model when Adapter is set.
type ModelName struct{ Model, Adapter string }

// ParseModelName splits the name that a request gives, MODEL or MODEL/ADAPTER.
func ParseModelName(s string) ModelName {
	m, a, _ := strings.Cut(s, "/")
	return ModelName{Model: m, Adapter: a}
}

// String returns the name as a request gives it.
func (n ModelName) String() string {
	if n.Adapter == "" {
		return n.Model
	}
	return n.Model + "/" + n.Adapter
}

// Holds reports whether the list has the model of n, and whether it has all of n: the model
// and, if n names one, the adapter.
func Holds(list []Resident, n ModelName) (modelHeld, nameHeld bool) {
	for _, r := range list {
		if r.Model == n.Model {
			return true, n.Adapter == "" || slices.Contains(r.Adapters, n.Adapter)
		}
	}
	return false, false
}

// Status is the state of an endpoint as its keeper reports it.
type Status struct {
	// ReceivedAt is when the gateway received the report.
	ReceivedAt time.Time
	// Incarnation is the endpoint incarnation that the report describes.
	Incarnation int64
	// Alive is unset when the endpoint doesn't answer its keeper.
	Alive bool
	// Leaving is set once the endpoint says in its answers that it leaves.
	Leaving          bool
	Running, Waiting int
	// Prefilling is the number of running requests that are in prefill.
	Prefilling int
	// KVUsedTokens is the part of the KV cache that cannot be evicted, of KVTotalTokens.
	KVUsedTokens, KVTotalTokens int
	Sequence                    int64
	// ExecutingOrder is set while the endpoint carries out an order.
	ExecutingOrder bool
	Models         []Resident
	// LoadingAdapters and LoadingModels are the adapters and models that are being loaded.
	LoadingAdapters []ModelName
	LoadingModels   []string
	// ReservedMB is the memory that adapters take, or that orders without an answer may still
	// take, in addition to resident models.
	ReservedMB float64
	// AdaptersInUse is the number of adapters that requests use; these can't be evicted.
	AdaptersInUse int
	// InMemory and OnDisk are the models whose weights the host keeps in its own memory and on its disk.
	InMemory, OnDisk []string
	// StoreLoadStarts are the times at which loads from the weight store began, or may have begun.
	StoreLoadStarts []time.Time
}

// State is an endpoint with the newest report of its keeper, if there is one.
type State struct {
	Endpoint
	Status Status
	// StatusSupersedes is set while Status takes precedence over the endpoint's registration.
	// It is unset if there is no report, or if it is too old or the registration is newer.
	StatusSupersedes bool
	// KeeperSilent is set when the keeper reported until recently and no longer does: its host
	// may be frozen or partitioned, and requests sent there may arrive much later.
	KeeperSilent bool
}

// Residents returns the endpoint's resident models, from the report if it takes precedence
// over the registration.
func (s State) Residents() []Resident {
	if s.StatusSupersedes {
		return s.Status.Models
	}
	return s.Models
}
