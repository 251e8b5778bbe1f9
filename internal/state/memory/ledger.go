package memory

import (
	"fmt"
	"time"

	"chervilhead/internal/state/fault"
)

// Codes of the reasons for which a reservation is refused.
const (
	CodeFull             = "memory_full"
	CodeOrderOutstanding = "order_standing"
)

// stagingDivisor gives the extra space of a load: a tenth of the model's size.
const stagingDivisor = 10

// StagingBytes returns the extra space that a load of a model needs while it runs, in bytes.
func StagingBytes(modelBytes int64) int64 { return modelBytes / stagingDivisor }

// Resident is a model in the engine's memory. Ready is unset while it is being loaded.
type Resident struct {
	Bytes int64
	Ready bool
}

// Snapshot is the state of an engine as it was read back. RequestedAt is the time just before
// the state was requested.
type Snapshot struct {
	Incarnation string
	RequestedAt time.Time
	TotalBytes  int64
	KVBytes     int64
	// UsedBytes is the memory that the engine reports as used.
	UsedBytes     int64
	Residents     map[string]Resident
	AppliedOrders []string
}

// order is an outstanding order: one that may still take effect.
type order struct {
	model string
	// loadBytes and stagingBytes are the space that a load takes; they are 0 for other orders.
	loadBytes, stagingBytes int64
	// replacedBytes is the size of the version of the model that the load replaces.
	replacedBytes int64
	// kvBytes is the size of the KV cache after a role change; it is 0 for other orders.
	kvBytes int64
	// returnedAt is zero until the call that sent the order has returned.
	returnedAt time.Time
	// applied is set when the engine's current incarnation has accepted the order.
	applied bool
}

// Ledger is the account of one endpoint's accelerator memory, in bytes.
type Ledger struct {
	orderDelay time.Duration
	snapshot   Snapshot
	orders     map[string]*order
}

// New returns a ledger for an engine that orders reach within orderDelay or never.
// No memory can be reserved before the first call of Observe.
func New(orderDelay time.Duration) *Ledger {
	return &Ledger{orderDelay: orderDelay, orders: map[string]*order{}}
}

// Observe records a state of the engine and drops the orders that can no longer take effect.
func (l *Ledger) Observe(s Snapshot) {
	if s.Incarnation != l.snapshot.Incarnation {
		// A restarted engine has forgotten the ids of the orders that it applied, so a
		// delayed or duplicated message of a recent order can take effect again.
		for _, o := range l.orders {
			o.applied = false
		}
	}
	l.snapshot = s
	for _, id := range s.AppliedOrders {
		if o, ok := l.orders[id]; ok {
			o.applied = true
		}
	}
	for id, o := range l.orders {
		if l.settled(o) {
			delete(l.orders, id)
		}
	}
}

// settled reports whether no message of an order is in transit and its effect is complete.
func (l *Ledger) settled(o *order) bool {
	if o.returnedAt.IsZero() || l.snapshot.RequestedAt.Before(o.returnedAt.Add(l.orderDelay)) {
		return false
	}
	r, resident := l.snapshot.Residents[o.model]
	return !o.applied || !resident || r.Ready
}

// Free returns the bytes that a new reservation may take.
func (l *Ledger) Free() int64 { return l.snapshot.TotalBytes - l.Used() }

// Used returns the most bytes that the engine may come to hold: those of the newest snapshot
// and all that outstanding orders can add, in whatever sequence they arrive.
func (l *Ledger) Used() int64 {
	var declared, pending int64
	kvBytes := l.snapshot.KVBytes
	loading := map[string]int64{}
	for _, o := range l.orders {
		kvBytes = max(kvBytes, o.kvBytes)
		switch {
		case !o.applied:
			pending += o.loadBytes + o.stagingBytes
		case o.loadBytes > 0:
			loading[o.model] = o.loadBytes + o.stagingBytes + o.replacedBytes
		}
	}
	for name, r := range l.snapshot.Residents {
		if r.Ready {
			declared += r.Bytes
		} else {
			declared += max(r.Bytes+StagingBytes(r.Bytes), loading[name])
		}
	}
	// An engine that allocates the memory of a load gradually reports too little at first,
	// and a load that another agent ordered is known only from what the engine reports.
	return max(kvBytes+declared, l.snapshot.UsedBytes+kvBytes-l.snapshot.KVBytes) + pending
}

// HasOutstandingOrder reports whether an order on a model may still take effect.
func (l *Ledger) HasOutstandingOrder(model string) bool {
	for _, o := range l.orders {
		if o.model == model && o.kvBytes == 0 {
			return true
		}
	}
	return false
}

// ReserveLoad reserves space for a load before its order is sent. A resident replica of
// another version stays accounted for until the new one is ready.
func (l *Ledger) ReserveLoad(id, model string, bytes int64) error {
	o := &order{model: model, loadBytes: bytes, stagingBytes: StagingBytes(bytes), replacedBytes: l.snapshot.Residents[model].Bytes}
	if l.HasOutstandingOrder(model) {
		return outstandingOrderError(model)
	}
	if need := o.loadBytes + o.stagingBytes; need > l.Free() {
		return memoryFullError(fmt.Sprintf("loading %q", model), need, l.Free())
	}
	l.orders[id] = o
	return nil
}

// ReserveUnload records an unload before its order is sent; the space stays reserved until
// a snapshot shows that the replica is gone.
func (l *Ledger) ReserveUnload(id, model string) error {
	if l.HasOutstandingOrder(model) {
		return outstandingOrderError(model)
	}
	l.orders[id] = &order{model: model}
	return nil
}

// ReserveRole reserves the larger of the KV caches of the current role and the next one, which
// takes kvBytes, before the order to change the role is sent.
func (l *Ledger) ReserveRole(id string, kvBytes int64) error {
	for _, o := range l.orders {
		if o.kvBytes > 0 {
			return outstandingOrderError("role")
		}
	}
	if need := kvBytes - l.snapshot.KVBytes; need > l.Free() {
		return memoryFullError("changing the role", need, l.Free())
	}
	l.orders[id] = &order{kvBytes: kvBytes}
	return nil
}

// MarkSent records when the call that sent an order returned, with or without an error.
func (l *Ledger) MarkSent(id string, now time.Time) {
	if o, ok := l.orders[id]; ok {
		o.returnedAt = now
	}
}

// Cancel releases the reservation of an order that was never sent.
func (l *Ledger) Cancel(id string) { delete(l.orders, id) }

func memoryFullError(what string, need, free int64) error {
	return fault.New(fault.Unavailable, CodeFull, fmt.Sprintf("%s needs %d bytes and %d are free", what, need, free), "unload another model first")
}

func outstandingOrderError(what string) error {
	return fault.New(fault.Conflict, CodeOrderOutstanding, fmt.Sprintf("an earlier order on %q may still take effect", what), "wait until a later read of the engine's state settles it")
}
