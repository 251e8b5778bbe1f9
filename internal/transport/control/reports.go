package control

import (
	"context"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

// subscribeDue sends the subscriptions that are due at a tick: to keepers that never reported,
// to those of engines that are in use or have just come into use, and to a part of the others.
// It returns their number.
func (p *Plane) subscribeDue(tick int, now time.Time) int {
	v := p.view()
	var due []fleet.Endpoint
	p.mu.Lock()
	for _, e := range v.Endpoints {
		_, reported := p.reports[e.Address]
		_, wasUsed := p.usedSince[e.ID]
		used := p.hooks.RecentlyUsed(e.ID)
		switch {
		case used && !wasUsed:
			p.usedSince[e.ID] = now
		case !used && wasUsed:
			delete(p.usedSince, e.ID)
		}
		period := ticksPerIdleSubscription
		if used {
			period = ticksPerSubscription
		}
		// The id spreads the subscriptions over the ticks.
		if !reported || used && !wasUsed || (uint64(tick)+poison.RendezvousWeight("tick", e.ID))%uint64(period) == 0 {
			due = append(due, e)
		}
	}
	for id := range p.usedSince {
		if _, listed := v.Endpoints[id]; !listed {
			delete(p.usedSince, id)
		}
	}
	p.mu.Unlock()
	p.subscribe(v, due)
	return len(due)
}

func (p *Plane) subscribe(v *watch.View, endpoints []fleet.Endpoint) {
	for _, e := range endpoints {
		if spec := p.engineSpec(v, e); spec != nil {
			adapters, prefixes := p.hooks.TakeUsage(e.ID)
			p.send(e, &dgram.KeeperRequest{UsedAdapters: adapters, CachedPrefixes: prefixes, EngineConfigHash: p.engineConfigHash(v.Config.Version, e.Service, spec)})
		}
	}
}

func (p *Plane) send(e fleet.Endpoint, req *dgram.KeeperRequest) {
	req.Gateway, req.Endpoint, req.Incarnation, req.ConfigVersion = p.cfg.GatewayID, e.ID, e.Incarnation, p.view().Config.Version
	if !p.hooks.RecentlyUsed(e.ID) {
		req.ReportInterval = idleReportInterval
	}
	p.sendToKeeper(e, req)
}

// sendToKeeper sends a message to the keeper of an endpoint.
func (p *Plane) sendToKeeper(e fleet.Endpoint, m dgram.Message) {
	addr, err := p.keeperAddr(e)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(m); err == nil {
			_, err = p.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		p.log.WithError(err).WithField("endpoint", e.ID).Debug("a message to a keeper was not sent")
	}
}

func (p *Plane) receive(ctx context.Context) {
	buf := make([]byte, dgram.MaxBytes)
	for {
		n, from, err := p.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			p.log.WithError(err).Warn("a datagram could not be read")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p.handleDatagram(buf[:n], from.String())
	}
}

// handleDatagram applies a datagram, or drops it if it is no message.
func (p *Plane) handleDatagram(data []byte, from string) {
	m, err := dgram.Decode(data)
	if err != nil {
		p.log.WithError(err).WithField("from", from).Debug("a datagram was dropped")
		return
	}
	switch m := m.(type) {
	case *dgram.EndpointState:
		p.handleEndpointState(m)
		if m.ConfigVersion > p.view().Config.Version {
			p.observe(watch.Observation{From: m.ConfigHolder, ConfigVersion: m.ConfigVersion})
		}
	case *dgram.StreamRecords:
		if m.Query == 0 {
			p.durable.takeOver(m, from)
			break
		}
		p.streamQueries.handleReply(m, from)
	case *dgram.StreamsKept:
		p.durable.handleKept(m)
	case *dgram.Demand:
		p.planner.handleDemand(m, from)
	case *dgram.CreditRequest:
		p.pool.handleRequest(m, from)
	case *dgram.CreditGrant:
		p.credits.handleGrant(m)
	case *dgram.PlannerStatus:
		p.planner.handleAnnouncement(m, from, time.Now())
		if !m.Resigned {
			p.observe(watch.Observation{
				From: from, StoreVersion: m.StoreVersion, EndpointsDigest: m.EndpointsDigest, ModelsDigest: m.ModelsDigest, ModelsMatter: !p.allReported(),
				ConfigVersion: m.ConfigVersion, ConfigConfirmedAt: time.Now().Add(-m.ConfigConfirmedAge),
				ConfigProof: clock.Reading{Era: m.ConfigProofEra, Time: m.ConfigProofTime},
			})
			p.reportNewerConfig(m, from)
		}
	case *dgram.CrashReports:
		p.handleCrashReports(m.Decoded())
	case *dgram.NewerConfig:
		p.observe(watch.Observation{From: from, ConfigVersion: m.Version})
	}
}

// allReported reports whether keeper reports supersede the registrations of all engines. If
// one doesn't, the gateway needs the models in the registrations.
func (p *Plane) allReported() bool {
	v := p.view()
	for _, s := range p.States() {
		if !s.StatusSupersedes && p.engineSpec(v, s.Endpoint) != nil {
			return false
		}
	}
	return true
}

// handleEndpointState applies a keeper's report, unless a newer one has arrived.
func (p *Plane) handleEndpointState(m *dgram.EndpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reports[m.Address]
	if !ok {
		r = &report{}
		p.reports[m.Address] = r
	}
	now := time.Now()
	order, newer := r.order.With(m.KeeperIncarnation, m.MessageSequence, now)
	if !newer {
		return
	}
	status := fleet.Status{
		ReceivedAt: now, Incarnation: m.Incarnation, Alive: m.Alive, Running: m.Running, Waiting: m.Waiting, Prefilling: m.Prefilling,
		KVUsedTokens: m.KVUsedTokens, KVTotalTokens: m.KVTotalTokens, Sequence: m.OrderSequence, ExecutingOrder: m.ExecutingOrder, InMemory: m.InMemory, OnDisk: m.OnDisk, Leaving: m.Leaving, AdaptersInUse: m.AdaptersInUse, LoadingModels: m.LoadingModels, ReservedMB: m.ReservedMB,
	}
	for _, x := range m.Models {
		status.Models = append(status.Models, fleet.Resident{Model: x.Name, Version: x.Version, Adapters: x.Adapters})
	}
	for _, age := range m.WeightStoreLoadAges {
		status.StoreLoadStarts = append(status.StoreLoadStarts, status.ReceivedAt.Add(-age))
	}
	for _, name := range m.LoadingAdapters {
		status.LoadingAdapters = append(status.LoadingAdapters, fleet.ParseModelName(name))
	}
	changed := status.Sequence != r.status.Sequence || status.Alive != r.status.Alive || status.Leaving != r.status.Leaving || status.ExecutingOrder != r.status.ExecutingOrder || len(status.Models) != len(r.status.Models) || len(status.LoadingAdapters) > 0 || len(m.RefusedAdapters) > 0
	r.order, r.status, r.endpoint, r.gateways, r.refusedAdapters = order, status, m.Endpoint, m.Gateways, m.RefusedAdapters
	p.gatewayPeak = p.gatewayPeak.with(m.Gateways, status.ReceivedAt)
	r.move = moveProgress{m.MoveFencingToken, m.MoveID, m.MoveDone}
	p.outdated.Store(true)
	if changed {
		p.wakeWaiting()
	}
	if len(m.CachedPrefixes) > 0 {
		if e, ok := p.view().Endpoints[m.Endpoint]; ok && e.Address == m.Address {
			p.hooks.AddPrefixes(e, m.CachedPrefixes)
		}
	}
}
