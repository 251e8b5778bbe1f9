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

// stagingDivisor is the part of a model's size that its load needs on top: one byte in ten.
const stagingDivisor = 10

// StagingBytes returns the extra space that a load of a model needs while it runs, in bytes.
func StagingBytes(modelBytes int64) int64 { return modelBytes / stagingDivisor }

// Resident is a model as it was read back from the engine.
type Resident struct {
	Bytes int64
	Ready bool
}

// Snapshot is the engine's real state. Began is the time before the state was asked for.
type Snapshot struct {
	Incarnation string
	RequestedAt time.Time
	TotalBytes  int64
	KVBytes     int64
	// UsedBytes is the memory that the engine reports, in bytes.
	UsedBytes     int64
	Residents     map[string]Resident
	AppliedOrders []string
}

// order is an order that may still take effect.
type order struct {
	model string
	// bytes and staging are the space that a load takes; they are 0 for an unload.
	bytes, staging int64
	// old is the size of the copy that a version change replaces.
	old int64
	// kv is the KV cache of the role that a role change leads to.
	kv int64
	// sent is zero until the call that sent the order has returned.
	sent time.Time
	// applied means that the engine's present incarnation has accepted the order.
	applied bool
}

// Ledger is the account of one endpoint's accelerator memory, in bytes.
type Ledger struct {
	delay  time.Duration
	last   Snapshot
	orders map[string]*order
}

// New returns a ledger for an engine that orders reach within delay or never.
// Nothing can be reserved before the first reading.
func New(delay time.Duration) *Ledger {
	return &Ledger{delay: delay, orders: map[string]*order{}}
}

// Observe takes the engine's real state and settles the orders that it shows to be over.
func (l *Ledger) Observe(r Snapshot) {
	if r.Incarnation != l.last.Incarnation {
		// An engine that restarted has forgotten the order ids it applied, so a
		// late or repeated copy of any recent order can take effect again.
		for _, o := range l.orders {
			o.applied = false
		}
	}
	l.last = r
	for _, id := range r.AppliedOrders {
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

// settled reports whether no copy of an order is under way and its effect is complete.
func (l *Ledger) settled(o *order) bool {
	if o.sent.IsZero() || l.last.RequestedAt.Before(o.sent.Add(l.delay)) {
		return false
	}
	c, resident := l.last.Residents[o.model]
	return !o.applied || !resident || c.Ready
}

// Free returns the space that a new reservation may take.
func (l *Ledger) Free() int64 { return l.last.TotalBytes - l.Used() }

// Used returns the most memory that the engine may come to hold: what was read back
// and all that standing orders can add to it, in any order of arrival.
func (l *Ledger) Used() int64 {
	var declared, pending int64
	kv := l.last.KVBytes
	under := map[string]int64{}
	for _, o := range l.orders {
		kv = max(kv, o.kv)
		switch {
		case !o.applied:
			pending += o.bytes + o.staging
		case o.bytes > 0:
			under[o.model] = o.bytes + o.staging + o.old
		}
	}
	for name, c := range l.last.Residents {
		if c.Ready {
			declared += c.Bytes
		} else {
			declared += max(c.Bytes+StagingBytes(c.Bytes), under[name])
		}
	}
	// An engine that takes the space of a load bit by bit reports too little, and a
	// load that another agent ordered is known from the report alone.
	return max(kv+declared, l.last.UsedBytes+kv-l.last.KVBytes) + pending
}

// HasOutstandingOrder reports whether an order on a model may still take effect.
func (l *Ledger) HasOutstandingOrder(model string) bool {
	for _, o := range l.orders {
		if o.model == model && o.kv == 0 {
			return true
		}
	}
	return false
}

// ReserveLoad holds space for a load before its order is sent. A resident copy of
// another version stays accounted until the new one is ready.
func (l *Ledger) ReserveLoad(id, model string, bytes int64) error {
	o := &order{model: model, bytes: bytes, staging: StagingBytes(bytes), old: l.last.Residents[model].Bytes}
	if l.HasOutstandingOrder(model) {
		return standing(model)
	}
	if need := o.bytes + o.staging; need > l.Free() {
		return full(fmt.Sprintf("loading %q", model), need, l.Free())
	}
	l.orders[id] = o
	return nil
}

// ReserveUnload records an unload before its order is sent; the space stays held
// until a reading shows that the copy is gone.
func (l *Ledger) ReserveUnload(id, model string) error {
	if l.HasOutstandingOrder(model) {
		return standing(model)
	}
	l.orders[id] = &order{model: model}
	return nil
}

// ReserveRole holds the larger KV cache of the present role and the next.
func (l *Ledger) ReserveRole(id string, kv int64) error {
	for _, o := range l.orders {
		if o.kv > 0 {
			return standing("role")
		}
	}
	if need := kv - l.last.KVBytes; need > l.Free() {
		return full("the change of role", need, l.Free())
	}
	l.orders[id] = &order{kv: kv}
	return nil
}

// MarkSent records when the call that sent an order returned, whatever it returned.
func (l *Ledger) MarkSent(id string, now time.Time) {
	if o, ok := l.orders[id]; ok {
		o.sent = now
	}
}

// Cancel drops the reservation of an order that was never sent.
func (l *Ledger) Cancel(id string) { delete(l.orders, id) }

func full(what string, need, free int64) error {
	return fault.New(fault.Unavailable, CodeFull, fmt.Sprintf("%s needs %d bytes and %d are free", what, need, free), "unload another model first")
}

func standing(what string) error {
	return fault.New(fault.Conflict, CodeOrderOutstanding, fmt.Sprintf("an order on %q may still take effect", what), "wait until the engine's state has been read back past it")
}
