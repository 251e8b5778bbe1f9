package dgram

import "time"

// CreditRequest is a gateway's request to the planner for credit in the groups' quotas.
type CreditRequest struct {
	// Gateway is the sender's name, GatewayIncarnation its run.
	Gateway            string
	GatewayIncarnation int64
	// Sequence increases with each new request; the planner repeats its reply to a request that
	// is sent again with the same one.
	Sequence uint64
	Groups   []GroupCredit
}

// GroupCredit is a gateway's credit in one group, in units of the group's quota.
type GroupCredit struct {
	Group string
	// Held is the credit at the gateway, Returned what it gives back.
	Held, Returned uint32
	// Need is what requests wait for, Least the smallest of them, Ahead what is wanted beyond.
	Need, Least, Ahead uint32
	// UsedPerSecond is the rate of the group's use at the gateway.
	UsedPerSecond uint32
}

// CreditGrant is the planner's reply to a CreditRequest.
type CreditGrant struct {
	// Term is the fencing token of the planner's lease.
	Term uint64
	// GatewayIncarnation and Sequence are those of the request.
	GatewayIncarnation int64
	Sequence           uint64
	// Groups are in the order of the request's groups.
	Groups []GroupGrant
}

// GroupGrant is the credit granted in one group.
type GroupGrant struct {
	Granted uint32
	// WaitMs is the time until the smallest waiting request can be covered, 0 if it is.
	WaitMs uint32
	// AboveShare is set while the group uses more than its share.
	AboveShare bool
}

// Wait returns WaitMs as a duration.
func (g GroupGrant) Wait() time.Duration { return time.Duration(g.WaitMs) * time.Millisecond }

func (*CreditRequest) kind() byte { return 5 }
func (*CreditGrant) kind() byte   { return 6 }
