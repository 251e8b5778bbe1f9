package control

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/credit"
)

// countInterval is the time between two counts of the gateways for the quotas. Requests for
// credit come a thousand times a second, and a count looks at the reports of all keepers.
const countInterval = 100 * time.Millisecond

// maxPoolGap is the time without a reply after which a pool is not used any more. The planner's
// own gateway asks every 0.5 s; after a longer time the lease was lost meanwhile, and gateways may
// have used their shares of the quotas.
const maxPoolGap = time.Second

// creditPool grants credit in the groups' quotas while this gateway is the planner.
type creditPool struct {
	plane *Plane

	mu        sync.Mutex
	pool      *credit.Pool
	handledAt time.Time
	gateways  int
	countedAt time.Time
}

// handle returns the planner's reply to a request for credit, and false if this gateway doesn't
// hold the planner lease.
func (p *creditPool) handle(r credit.Request) (credit.Grant, bool) {
	v := p.plane.view()
	if !v.HasConfig {
		return credit.Grant{}, false
	}
	now := steadyNow()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.countedAt) >= countInterval {
		p.gateways, p.countedAt = p.plane.GatewayCount(), now
	}
	// The lease is checked last, so that a process that was frozen before doesn't reply.
	term, held := p.plane.planner.term(time.Now())
	if !held {
		return credit.Grant{}, false
	}
	if p.pool == nil || p.pool.Term() != term || now.Sub(p.handledAt) > maxPoolGap {
		p.pool = credit.NewPool(term, now)
		p.plane.log.WithFields(logrus.Fields{"term": term, "gateways": p.gateways}).Info("this gateway grants credit in the groups' quotas")
	}
	p.handledAt = now
	return p.pool.Handle(now, r, credit.Fleet{Groups: v.Config.Groups(), Gateways: p.gateways})
}

// handleRequest replies to another gateway's request for credit.
func (p *creditPool) handleRequest(m *dgram.CreditRequest, from string) {
	g, ok := p.handle(fromCreditRequest(m))
	if !ok {
		return
	}
	if err := p.plane.sendTo(from, grantOf(m, g)); err != nil {
		p.plane.log.WithError(err).WithField("gateway", from).Debug("a grant of credit was not sent")
	}
}

// fromCreditRequest converts a request for credit from its message.
func fromCreditRequest(m *dgram.CreditRequest) credit.Request {
	r := credit.Request{Gateway: m.Gateway, Incarnation: m.GatewayIncarnation, Sequence: m.Sequence, Entries: make([]credit.Entry, len(m.Groups))}
	for i, g := range m.Groups {
		r.Entries[i] = credit.Entry(g)
	}
	return r
}

// grantOf returns the message of a grant in reply to a request.
func grantOf(m *dgram.CreditRequest, g credit.Grant) *dgram.CreditGrant {
	out := &dgram.CreditGrant{Term: g.Term, GatewayIncarnation: m.GatewayIncarnation, Sequence: g.Sequence, Groups: make([]dgram.GroupGrant, len(g.Entries))}
	for i, e := range g.Entries {
		out.Groups[i] = dgram.GroupGrant{Granted: e.Granted, WaitMs: uint32(math.Ceil(float64(e.Wait) / float64(time.Millisecond))), AboveShare: e.AboveShare}
	}
	return out
}

// term returns the fencing token of the planner lease, and whether this gateway holds it.
func (p *planner) term(now time.Time) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fencingToken, p.holdsLease(now)
}
