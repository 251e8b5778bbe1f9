package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/credit"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/transport/proxy"
)

const (
	// creditWait is the least time for which a caller's request waits for the planner's reply:
	// twice the time after which a lost datagram is sent again.
	creditWait = 80 * time.Millisecond
	// futileWaitFactor is how much longer a caller is told to wait than its request has waited in
	// vain: of a group that asks for more than its quota only some can return at the same time.
	futileWaitFactor = 2
	// creditTick is the time between checks whether a request for credit is due, half of the
	// time after which one is sent again.
	creditTick = 20 * time.Millisecond
	// pendingRetryAfter is the wait that a refused caller is told if the planner replied while it
	// waited, but granted what others wait for.
	pendingRetryAfter = 300 * time.Millisecond
)

// Credits is a gateway's credit in the groups' quotas, which it gets from the planner. It
// implements proxy.Quotas.
type Credits struct {
	plane *Plane

	mu      sync.Mutex
	account *credit.Account
	service *credit.Service
	// granted is closed, and replaced, at each reply of the planner.
	granted chan struct{}
	// connected is whether the planner had replied lately at the last check.
	connected bool
	// limitedIn is the configuration's version for which limited says whether a group has a quota.
	limitedIn uint64
	limited   bool
}

var _ proxy.Quotas = (*Credits)(nil)

func newCredits(p *Plane) *Credits {
	now := steadyNow()
	return &Credits{plane: p, account: credit.NewAccount(p.cfg.GatewayID, p.planner.incarnation, now), service: credit.NewService(), granted: make(chan struct{}), connected: true}
}

// steadyNow returns the time, ahead by the time for which the machine was suspended: credit ends
// also while the monotonic clock stands still.
func steadyNow() time.Time { return time.Now().Add(lease.SuspendedTime()) }

// Credits returns the gateway's credit in the groups' quotas.
func (p *Plane) Credits() *Credits { return p.credits }

// Take implements proxy.Quotas.
func (c *Credits) Take(ctx context.Context, g fleet.Group, units float64, patience time.Duration) (time.Duration, bool) {
	c.anyLimited()
	now := steadyNow()
	arrived, deadline, replyBy := now, now.Add(max(creditWait, patience)), now.Add(creditWait)
	c.mu.Lock()
	c.account.Arrive(now, g, units)
	for {
		gateways := 0
		if !c.account.Connected(now) {
			gateways = c.plane.GatewayBound()
		}
		switch d := c.account.Take(now, g, units, gateways).(type) {
		case credit.Taken:
			c.mu.Unlock()
			return 0, true
		case credit.Refused:
			if now.Add(d.Wait).After(deadline) || patience < d.Wait || ctx.Err() != nil {
				c.mu.Unlock()
				// What a request has waited in vain is likely to be too short again.
				return max(d.Wait, futileWaitFactor*now.Sub(arrived)), false
			}
			// The group's budget covers the request before its caller notices the wait.
			c.account.Wait(g.Name, units)
			c.mu.Unlock()
			_ = waitForChange(ctx, nil, d.Wait)
			now = steadyNow()
			replyBy = now.Add(creditWait)
			c.mu.Lock()
			c.account.Leave(g.Name, units)
			continue
		case credit.Pending:
		}
		if !now.Before(deadline) || !now.Before(replyBy) || ctx.Err() != nil {
			replied := c.account.PlannerAge(now) < now.Sub(arrived)
			c.mu.Unlock()
			if !replied {
				return 0, false
			}
			return pendingRetryAfter, false
		}
		c.account.Wait(g.Name, units)
		granted := c.granted
		c.mu.Unlock()
		c.send()
		_ = waitForChange(ctx, granted, min(deadline.Sub(now), replyBy.Sub(now)))
		now = steadyNow()
		select {
		case <-granted:
			replyBy = now.Add(creditWait)
		default:
		}
		c.mu.Lock()
		c.account.Leave(g.Name, units)
	}
}

// Return implements proxy.Quotas.
func (c *Credits) Return(g fleet.Group, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Return(steadyNow(), g.Name, units)
}

// Confirmed implements proxy.Quotas.
func (c *Credits) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.Connected(steadyNow())
}

// Ended implements proxy.Quotas.
func (c *Credits) Ended(group string, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service.Add(steadyNow(), group, served)
}

// AboveShare implements proxy.Quotas.
func (c *Credits) AboveShare(group string) bool {
	now := steadyNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.AboveShare(now, group) && !c.service.PoorlyServed(group, now)
}

// run sends the requests for credit that are due until the context ends.
func (c *Credits) run(ctx context.Context) {
	tick := time.NewTicker(creditTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if c.anyLimited() {
				c.send()
				c.logConnection()
			}
		case <-ctx.Done():
			return
		}
	}
}

// anyLimited reports whether a group has a quota; without one, nothing is asked of the planner.
// It is also called for each request, which may come before the next tick sees its quota.
func (c *Credits) anyLimited() bool {
	v := c.plane.view()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.HasConfig && (c.limitedIn == 0 || v.Config.Version != c.limitedIn) {
		was := c.limited
		c.limitedIn, c.limited = v.Config.Version, false
		for _, g := range v.Config.Groups() {
			c.limited = c.limited || g.Quota.Limited()
		}
		if c.limited && !was {
			// The planner has not been asked before; its silence means nothing yet.
			c.account.Begin(steadyNow())
		}
	}
	return c.limited
}

// logConnection logs when the planner stops replying and when it replies again.
func (c *Credits) logConnection() {
	now := steadyNow()
	c.mu.Lock()
	connected, age := c.account.Connected(now), c.account.PlannerAge(now)
	changed := connected != c.connected
	c.connected = connected
	c.mu.Unlock()
	switch log := c.plane.log.WithField("planner", c.plane.planner.holderAddr()); {
	case !changed:
	case connected:
		log.Info("the planner grants credit in the groups' quotas again")
	default:
		log.WithFields(logrus.Fields{"silent_ms": age.Milliseconds(), "gateways": c.plane.GatewayCount()}).Warn("the planner grants no credit; this gateway's share of the groups' quotas is in force")
	}
}

// send sends the request for credit that is due, if any.
func (c *Credits) send() {
	for {
		c.mu.Lock()
		r, due := c.account.Next(steadyNow())
		c.mu.Unlock()
		if !due {
			return
		}
		holder := c.plane.planner.holderAddr()
		if holder != c.plane.cfg.Listen {
			c.sendTo(holder, r)
			return
		}
		// This gateway is the planner. The reply may let further requests be due.
		g, ok := c.plane.pool.handle(r)
		if !ok || !c.apply(g) {
			return
		}
	}
}

func (c *Credits) sendTo(holder string, r credit.Request) {
	if holder == "" {
		return
	}
	m := &dgram.CreditRequest{Gateway: r.Gateway, GatewayIncarnation: r.Incarnation, Sequence: r.Sequence, Groups: make([]dgram.GroupCredit, len(r.Entries))}
	for i, e := range r.Entries {
		m.Groups[i] = dgram.GroupCredit(e)
	}
	if err := c.plane.sendTo(holder, m); err != nil {
		c.plane.log.WithError(err).WithField("planner", holder).Debug("a request for credit was not sent")
	}
}

// handleGrant takes over a reply of the planner.
func (c *Credits) handleGrant(m *dgram.CreditGrant) {
	if m.GatewayIncarnation != c.plane.planner.incarnation {
		return
	}
	g := credit.Grant{Term: m.Term, Sequence: m.Sequence, Entries: make([]credit.GrantEntry, len(m.Groups))}
	for i, e := range m.Groups {
		g.Entries[i] = credit.GrantEntry{Granted: e.Granted, Wait: e.Wait(), AboveShare: e.AboveShare}
	}
	if c.apply(g) {
		c.send()
	}
}

// apply takes over a grant and wakes the requests that wait for it.
func (c *Credits) apply(g credit.Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.account.Apply(steadyNow(), g) {
		return false
	}
	close(c.granted)
	c.granted = make(chan struct{})
	return true
}

// sendTo sends a message to another gateway.
func (p *Plane) sendTo(to string, m dgram.Message) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	data, err := dgram.Encode(m)
	if err != nil {
		return err
	}
	_, err = p.conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
	return err
}

// holderAddr returns the address of the planner, or "" if it isn't known.
func (p *planner) holderAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder
}

// Register registers the gauges of the gateway's credit with reg.
func (c *Credits) Register(reg prometheus.Registerer) {
	gauge := func(name, help string, labels prometheus.Labels, value func(now time.Time) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return value(steadyNow())
		}))
	}
	for unit, name := range map[fleet.QuotaUnit]string{fleet.QuotaRequests: "requests", fleet.QuotaTokens: "tokens"} {
		gauge("chervilhead_quota_credit", "Credit of all groups that is left at this gateway, by unit.", prometheus.Labels{"unit": name}, func(now time.Time) float64 {
			return c.account.Credits(now, unit)
		})
	}
	gauge("chervilhead_quota_planner_age_seconds", "Time since the planner's last reply on quotas, 0 if no group has one.", nil, func(now time.Time) float64 {
		if !c.limited {
			return 0
		}
		return c.account.PlannerAge(now).Seconds()
	})
	gauge("chervilhead_quota_worst_served_ratio", "Share of requests within their quota that are served, in the worst-served tenth of the groups, relative to all groups.", nil, func(now time.Time) float64 {
		return c.service.Worst(now)
	})
}
