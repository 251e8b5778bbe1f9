package control

import (
	"net"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
)

// due reports whether the lease has to be read or renewed: not while another gateway
// announces that it holds it, at once when that one falls silent.
func (p *planner) due(asked, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := p.heardAt.Add(awayAfter)
	switch {
	case now.Before(p.until) && p.failures > 0:
		return now.Sub(asked) >= renewAgain
	case now.Before(p.until):
		return now.Sub(asked) >= leaseEvery
	case now.Before(silent):
		return false
	case asked.Before(silent):
		return true
	case p.holder == "":
		// A lease that was given up may be taken once orders sent before have arrived.
		return now.Sub(asked) >= freeEvery
	default:
		return now.Sub(asked) >= leaseEvery
	}
}

// announce tells the other gateways what this one read in the store, if it plans. After an
// outage of the store it keeps endpoints that may be gone, which others must not rely on.
func (p *planner) announce(v *watch.View, now time.Time) {
	p.mu.Lock()
	plans := now.Before(p.until)
	p.mu.Unlock()
	if !plans || !v.HasConfig || v.EndpointsUncertain {
		return
	}
	p.tell(&dgram.PlannerStatus{StoreVersion: v.StoreVersion, EndpointsDigest: v.EndpointsDigest, ConfigVersion: v.Config.Version, ConfigAge: now.Sub(v.ConfigConfirmedAt)}, now)
}

// tell sends a message to all gateways that told their demand lately.
func (p *planner) tell(m *dgram.PlannerStatus, now time.Time) {
	data, err := dgram.Encode(m)
	if err != nil {
		p.desk.log.WithError(err).Error("the planner's word could not be encoded")
		return
	}
	var to []string
	p.mu.Lock()
	for _, h := range p.heard {
		if h.from != "" && now.Sub(h.at) <= demandFor {
			to = append(to, h.from)
		}
	}
	p.mu.Unlock()
	for _, a := range to {
		addr, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = p.desk.conn.WriteTo(data, addr)
		}
		if err != nil {
			p.desk.log.WithError(err).WithField("gateway", a).Debug("the planner's word was not sent")
		}
	}
}

// announced takes over that another gateway plans, or no longer does.
func (p *planner) announced(m *dgram.PlannerStatus, from string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until) {
		// The sender was frozen and doesn't know yet that its term is over.
		return
	}
	if !m.Resigned {
		p.heardAt, p.holder = now, from
		return
	}
	p.heardAt, p.holder, p.yielded = time.Time{}, "", m.YieldedToken
	select {
	case p.look <- struct{}{}:
	default:
	}
}
