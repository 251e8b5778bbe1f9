package sender

import "time"

// MaxDelay is how long a message may be on its way. A process whose messages stop coming for longer
// may have been replaced by one that numbers its incarnation lower, because the time of day jumped.
const MaxDelay = 500 * time.Millisecond

// Order is the newest message of one sender. It is immutable; the zero value has no message.
type Order struct {
	incarnation int64
	sequence    uint64
	receivedAt  time.Time
}

// With returns the order after a message that arrives now, or false if the message is older than the
// newest one. A lower incarnation is older only while the higher one goes on sending.
func (o Order) With(incarnation int64, sequence uint64, now time.Time) (Order, bool) {
	next := Order{incarnation, sequence, now}
	switch {
	case o.receivedAt.IsZero():
		return next, true
	case incarnation == o.incarnation:
		return next, sequence > o.sequence
	default:
		return next, incarnation > o.incarnation || now.Sub(o.receivedAt) >= MaxDelay
	}
}

// Incarnation returns the sender's incarnation in its newest message.
func (o Order) Incarnation() int64 { return o.incarnation }
