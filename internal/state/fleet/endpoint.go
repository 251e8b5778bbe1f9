package fleet

import (
	"slices"
	"strings"
	"time"
)

// Endpoint is one back end as it registered itself.
type Endpoint struct {
	ID, Service, Address, FailureDomain string
	Slots                               int
	// Leaving is set once the endpoint says that it drains.
	Leaving bool
	// PreemptionNotice is the time left to an endpoint that is taken away at short notice; 0 means none.
	PreemptionNotice time.Duration
	// Sequence counts the orders that the endpoint has accepted since its start.
	Sequence int64
	// Incarnation is the Unix time of the endpoint's start in milliseconds; it tells
	// incarnations under one id apart.
	Incarnation int64
	Models      []Resident
}

// Resident is a model that an endpoint holds, with its adapters.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// ModelName is a model, or an adapter of a model.
type ModelName struct{ Model, Adapter string }

// ParseModelName splits the name that a request gives.
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

// Holds reports whether the model, and whether the adapter too, is in a list of residents.
func Holds(list []Resident, n ModelName) (model, whole bool) {
	for _, r := range list {
		if r.Model == n.Model {
			return true, n.Adapter == "" || slices.Contains(r.Adapters, n.Adapter)
		}
	}
	return false, false
}

// Status is what the keeper beside an endpoint reports of it.
type Status struct {
	// ReceivedAt is when the gateway received the report.
	ReceivedAt time.Time
	// Incarnation is the start of the incarnation that the report is of.
	Incarnation int64
	// Alive is unset when the endpoint doesn't answer its keeper.
	Alive            bool
	Running, Waiting int
	// Prefilling is the number of requests whose prompts are being read.
	Prefilling int
	// KVUsedTokens is the memory in tokens that cannot yield, of CacheTotal.
	KVUsedTokens, KVTotalTokens int
	Sequence                    int64
	// ExecutingOrder is set while an order is carried out.
	ExecutingOrder bool
	Models         []Resident
	// LoadingAdapters are adapters, Loading models on their way.
	LoadingAdapters []ModelName
	LoadingModels   []string
	// ReservedMB is the memory beside resident models that adapters take, or that orders
	// without an answer may take.
	ReservedMB float64
	// AdaptersInUse counts the adapters that requests use; they can't make way.
	AdaptersInUse int
	// InMemory and OnDisk are the models whose weights the host keeps outside the accelerator.
	InMemory, OnDisk []string
	// StoreLoadStarts are the times at which loads from the weight store began, or may have begun.
	StoreLoadStarts []time.Time
}

// State is an endpoint with the newest report of its keeper, which may be missing.
type State struct {
	Endpoint
	Status Status
	// Reported is set while the newest report says more than the registration.
	Reported bool
	// KeeperSilent is set when the keeper reported until lately and no longer does: its host may
	// be frozen or cut off, and what is sent there may arrive long after.
	KeeperSilent bool
}

// Residents returns what the endpoint holds by the newest source.
func (s State) Residents() []Resident {
	if s.Reported {
		return s.Status.Models
	}
	return s.Models
}
