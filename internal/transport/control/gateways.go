package control

import "time"

const (
	// defaultGatewayCount is assumed until a keeper or the planner has reported the number of
	// gateways. It is that of a large deployment, because the gateways' shares of common limits
	// must not exceed them.
	defaultGatewayCount = 100
	// gatewayCountSettled is the time after a gateway's start in which keepers that have started
	// too may not have heard of all gateways: the life of a subscription.
	gatewayCountSettled = 4 * time.Second
	// silentGatewayTime is how long a gateway that fell silent keeps its share of a common limit,
	// because it may be cut off from this one and go on sending: longer than the disruptions that
	// the platform speaks of.
	silentGatewayTime = time.Minute
)

// gatewayPeak is the highest number of gateways reported lately.
type gatewayPeak struct {
	count int
	at    time.Time
}

// with returns the peak after a report of a number of gateways.
func (g gatewayPeak) with(count int, now time.Time) gatewayPeak {
	if count >= g.count || now.Sub(g.at) > silentGatewayTime {
		return gatewayPeak{count, now}
	}
	return g
}

// GatewayCount returns the largest number of gateways that a keeper or the planner reports, or a
// default until one has reported.
func (p *Plane) GatewayCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.reportedGateways(); n > 0 {
		return n
	}
	return defaultGatewayCount
}

// GatewayBound returns a number that isn't below that of the gateways that may be sending: the
// highest that was reported in silentGatewayTime, and the default while the reports may be of
// keepers that still count.
func (p *Plane) GatewayBound() int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatewayPeak = p.gatewayPeak.with(p.reportedGateways(), now)
	if p.gatewayPeak.count == 0 || now.Sub(p.startedAt) < gatewayCountSettled {
		return max(p.gatewayPeak.count, defaultGatewayCount)
	}
	return p.gatewayPeak.count
}

// reportedGateways returns the largest number of gateways that a keeper or the planner reports, or
// 0; the caller holds mu.
func (p *Plane) reportedGateways() int {
	n := int(p.planner.gateways.Load())
	for _, r := range p.reports {
		n = max(n, r.gateways)
	}
	return n
}
