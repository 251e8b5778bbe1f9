package credit

import (
	"time"

	"chervilhead/internal/state/fleet"
)

// Request is what a gateway asks the planner for.
type Request struct {
	Gateway     string
	Incarnation int64
	// Sequence increases with each new request of an incarnation; a repeated request has the
	// same one.
	Sequence uint64
	Entries  []Entry
}

// Entry is the part of a request that concerns one group. Amounts are whole units.
type Entry struct {
	Group string
	// Held is the credit that the gateway holds; Returned is what it has given back since its
	// last request.
	Held, Returned uint32
	// Need is the sum of the requests that wait for credit, Least the smallest of them.
	Need, Least uint32
	// Ahead is the credit wanted beyond Need.
	Ahead uint32
	// UsedPerSecond is the rate at which the gateway uses the group's credit.
	UsedPerSecond uint32
}

// Grant is the planner's reply to a request.
type Grant struct {
	// Term is the fencing token of the planner's lease.
	Term     uint64
	Sequence uint64
	// Entries are in the order of the request's entries.
	Entries []GrantEntry
}

// GrantEntry is the part of a grant that concerns one group.
type GrantEntry struct {
	Granted uint32
	// Wait is the time until the group's budget covers the smallest request that waits, if
	// Granted doesn't cover it.
	Wait time.Duration
	// AboveShare is set while the group uses more than its share.
	AboveShare bool
}

const (
	// reportedWithin is the time within which a gateway that is reached reports at least twice.
	reportedWithin = time.Second
	// replyLostAfter is the time without a planner's reply after which a gateway uses its
	// fallback bucket. It is longer than reportedWithin, so that the planner reserves the share
	// of a gateway before the gateway uses it.
	replyLostAfter = 1500 * time.Millisecond
	// maxReplyAge is the time from the first send of a request after which its reply is not
	// accepted: it may have waited in the socket buffer of a frozen process.
	maxReplyAge = time.Second
	// lifetime is the time from the first send of a confirmed request after which a gateway's
	// credit ends. The planner counts the credit of a silent gateway for the same time.
	lifetime = 2 * time.Second
	// unusedAfter is the time after which credit that isn't used is returned: another gateway
	// may need it.
	unusedAfter = time.Second
	// configSpread is the time after which the planner has a configuration that a gateway has. The
	// platform requires a configuration to apply within 3 s, and replies take up to maxReplyAge.
	configSpread = 4 * time.Second
	// resendAfter is the time after which a request without a reply is sent again: a few round
	// trips, and half of what a caller's request waits for credit.
	resendAfter = 40 * time.Millisecond
	// maxSends bounds the sends of one request.
	maxSends = 3
	// heartbeat is the time between requests of a gateway without demand, half of reportedWithin.
	heartbeat = 500 * time.Millisecond
	// maxRefusal is the time for which a gateway relies on the planner's refusal: that between
	// its reports. The planner's wait can be a minute, in which the quota or the use may change.
	maxRefusal = heartbeat
	// demandAhead is the time for which credit is requested ahead.
	demandAhead = 600 * time.Millisecond
	// refillInterval is the least time between requests that no caller waits for; a planner that
	// has less credit than is wanted would otherwise be asked again at once.
	refillInterval = 100 * time.Millisecond
	// refillBelow is the part of the credit wanted ahead below which more is requested.
	refillBelow = 0.5
	// surplusFrom is the multiple of the credit wanted ahead from which the rest is returned, so
	// that demand that varies by half doesn't return and request credit in turn.
	surplusFrom = 2
	// rateTime is the time constant of the measured rates of demand and use. Demand moves
	// between gateways within seconds.
	rateTime = time.Second
	// fallbackPart is the part of a quota that all gateways may use together without a planner;
	// the rest covers gateways that count too few others.
	fallbackPart = 0.5
)

// ReturnWithin is the time within which a request that has not run returns its credit. Credit
// that comes back later was granted for an earlier window, in which it counts as used.
const ReturnWithin = 250 * time.Millisecond

// The capacity of a group's bucket beyond its burst. The platform allows 0.1 x (8 s x rate +
// burst) + 110,000 units beyond the quota in each window of 8 s; a full capacity and a starting
// one together use up to 0.5 s of the rate, 7% of the burst and 60,000 tokens of that; what is
// returned within ReturnWithin takes 0.25 s more.
const (
	extraRateTime  = 400 * time.Millisecond
	extraBurstPart = 0.05
	extraTokens    = 40_000
	startRateTime  = 100 * time.Millisecond
	startBurstPart = 0.02
	startTokens    = 20_000
)

// capacity returns the units that a group's bucket and all gateways may hold together.
func capacity(q fleet.Quota) float64 {
	c := q.Burst + extraRateTime.Seconds()*q.PerSecond + extraBurstPart*q.Burst
	if q.Unit == fleet.QuotaTokens {
		c += extraTokens
	}
	return max(c, 1)
}

// startCapacity returns the capacity while gateways may hold credit that this planner doesn't
// know of.
func startCapacity(q fleet.Quota) float64 {
	c := startRateTime.Seconds()*q.PerSecond + startBurstPart*q.Burst
	if q.Unit == fleet.QuotaTokens {
		c += startTokens
	}
	return min(max(c, 1), capacity(q))
}
