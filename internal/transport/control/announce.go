package control

import (
	"net"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
)

// refreshDue reports whether the lease has to be read or renewed: not while another gateway
// announces itself as the planner, and at once when that gateway falls silent.
func (p *planner) refreshDue(lastRefresh, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := p.announcedAt.Add(plannerSilentAfter)
	switch {
	case p.holdsLease(now) && p.refreshFailures > 0:
		return now.Sub(lastRefresh) >= leaseRetryInterval
	case p.holdsLease(now):
		return now.Sub(lastRefresh) >= leaseRefreshInterval
	case now.Before(silent):
		return false
	case lastRefresh.Before(silent):
		return true
	case p.holder == "":
		// A released lease may be taken once the orders sent under it have arrived.
		return now.Sub(lastRefresh) >= freeLeaseInterval
	default:
		return now.Sub(lastRefresh) >= leaseRefreshInterval
	}
}

// announce sends this gateway's observation of the store to the other gateways, if it is the
// planner. Uncertain endpoints, kept during an outage of the store, are not announced, because
// others must not rely on them.
func (p *planner) announce(v *watch.View, now time.Time) {
	p.mu.Lock()
	isPlanner := p.holdsLease(now)
	gateways := 0
	for _, h := range p.demands {
		if now.Sub(h.receivedAt) <= demandTTL {
			gateways++
		}
	}
	if isPlanner {
		p.gateways.Store(int64(gateways))
	}
	p.mu.Unlock()
	if !isPlanner || !v.HasConfig || v.EndpointsUncertain {
		return
	}
	p.broadcast(&dgram.PlannerStatus{StoreVersion: v.StoreVersion, EndpointsDigest: v.EndpointsDigest, ModelsDigest: v.ModelsDigest, Gateways: gateways, ConfigVersion: v.Config.Version, ConfigConfirmedAge: now.Sub(v.ConfigConfirmedAt), ConfigProofEra: v.ConfigProof.Era, ConfigProofTime: v.ConfigProof.Time}, now)
}

// broadcast sends a message to all gateways that reported demand within demandTTL.
func (p *planner) broadcast(m dgram.Message, now time.Time) {
	data, err := dgram.Encode(m)
	if err != nil {
		p.plane.log.WithError(err).Error("a message of the planner could not be encoded")
		return
	}
	var to []string
	p.mu.Lock()
	for _, h := range p.demands {
		if h.addr != "" && now.Sub(h.receivedAt) <= demandTTL {
			to = append(to, h.addr)
		}
	}
	p.mu.Unlock()
	for _, a := range to {
		addr, err := net.ResolveUDPAddr("udp4", a)
		if err == nil {
			_, err = p.plane.conn.WriteTo(data, addr)
		}
		if err != nil {
			p.plane.log.WithError(err).WithField("gateway", a).Debug("a message of the planner was not sent")
		}
	}
}

// handleAnnouncement records that another gateway is the planner, or no longer is.
func (p *planner) handleAnnouncement(m *dgram.PlannerStatus, from string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdsLease(now) {
		// This gateway holds the lease: the sender was frozen and doesn't know yet that its
		// own has expired.
		return
	}
	if !m.Resigned {
		p.announcedAt, p.holder = now, from
		p.gateways.Store(int64(m.Gateways))
		return
	}
	p.announcedAt, p.holder, p.yieldedToken = time.Time{}, "", m.YieldedToken
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// reportNewerConfig answers the announcement of an older configuration than this gateway's. The
// store may have been restored from a copy that lacks the newer one; the planner then has no other
// way to learn of it, and must not prove the older one to itself and to other gateways.
func (p *Plane) reportNewerConfig(m *dgram.PlannerStatus, from string) {
	v := p.view()
	if !v.HasConfig || v.Config.Version <= m.ConfigVersion {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", from)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(&dgram.NewerConfig{Version: v.Config.Version}); err == nil {
			_, err = p.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		p.log.WithError(err).WithField("planner", from).Debug("the newer configuration was not reported")
	}
}
