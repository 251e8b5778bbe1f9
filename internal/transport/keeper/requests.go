package keeper

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// maxSubscribers bounds the gateways that receive endpoint state reports.
const maxSubscribers = 1024

// receive handles requests from gateways until the context ends.
func (k *Keeper) receive(ctx context.Context) {
	buf := make([]byte, dgram.MaxBytes)
	for {
		n, from, err := k.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			k.log.WithError(err).Warn("a datagram could not be read")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		k.handleDatagram(buf[:n], from)
	}
}

// handleDatagram applies a gateway's message, or drops a datagram that is none.
func (k *Keeper) handleDatagram(data []byte, from net.Addr) {
	msg, err := dgram.Decode(data)
	if err != nil {
		k.log.WithError(err).WithField("from", from.String()).Debug("a datagram was dropped")
		return
	}
	switch msg := msg.(type) {
	case *dgram.KeeperRequest:
		k.handleRequest(msg, from)
	case *dgram.StreamRecords:
		k.putStreams(msg, time.Now())
	case *dgram.StreamQuery:
		k.replyStream(msg, from, time.Now())
	case *dgram.CrashReports:
		k.mergeCrashes(msg, time.Now())
	}
}

// handleRequest applies a gateway's request and subscribes the gateway.
func (k *Keeper) handleRequest(req *dgram.KeeperRequest, from net.Addr) {
	k.mu.Lock()
	urgent := k.applyRequest(req, from.String(), time.Now())
	k.subscribe(req, from, time.Now())
	k.mu.Unlock()
	if urgent {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// subscribe records that a gateway is to get reports; a new one gets the first at the next poll.
func (k *Keeper) subscribe(req *dgram.KeeperRequest, from net.Addr, now time.Time) {
	s, known := k.subscribers[from.String()]
	if !known {
		if len(k.subscribers) >= maxSubscribers {
			return
		}
		s = &subscriber{addr: from}
		k.subscribers[from.String()] = s
		k.sendCrashes(k.suspects.Reports(maxRetoldBytes, now), s)
	}
	s.gateway, s.lastSeen, s.interval = req.Gateway, now, k.cfg.HeartbeatInterval
	if req.ReportInterval > 0 {
		s.interval = max(s.interval, min(req.ReportInterval, maxReportInterval))
	}
}

// applyRequest records a gateway's request. It returns true if the request may lead to an
// order, so that it is handled before the next poll.
func (k *Keeper) applyRequest(req *dgram.KeeperRequest, from string, now time.Time) bool {
	if req.Endpoint != "" && !k.identified && (k.endpoint == "" || req.Endpoint != k.endpoint && req.Incarnation == k.report.Incarnation) {
		k.endpoint = req.Endpoint
	}
	k.endPauseOfOldIncarnation(req)
	if k.wantedConfigHash = req.EngineConfigHash; k.wantedConfigHash != k.configHash {
		select {
		case k.configWake <- struct{}{}:
		default:
		}
	}
	if req.ConfigVersion > 0 && req.ConfigVersion >= k.newestConfig {
		k.newestConfig, k.configHolder = req.ConfigVersion, from
	}
	for _, u := range req.UsedAdapters {
		k.lastUsed[fleet.ParseModelName(u)] = now
	}
	for _, c := range req.CachedPrefixes {
		k.cachedPrefixes[c] = now
	}
	urgent := false
	for _, w := range req.WantedAdapters {
		n := fleet.ParseModelName(w)
		if _, held := fleet.Holds(k.report.Models, n); held {
			// The gateway missed the report that lists the adapter.
			k.reportDue = true
		}
		if _, ok := k.wantedAdapters[n]; !ok {
			k.wantedAdapters[n] = now
		}
		urgent = true
	}
	if m := req.Move; m != nil && (m.FencingToken > k.moveToken || m.FencingToken == k.moveToken && m.ID > k.moveID) {
		k.log.WithFields(logrus.Fields{"from": from, "term": m.FencingToken, "move": m.ID, "drop": m.Unload, "load": m.Load}).Info("received a move from the planner")
		k.moveToken, k.moveID, k.move, k.moveReceivedAt, k.moveDone = m.FencingToken, m.ID, m, now, false
		urgent = true
	}
	return urgent
}

// followConfig reads the engine's configuration when the hash that gateways send differs
// from that of the configuration in use.
func (k *Keeper) followConfig(ctx context.Context) {
	tick := time.NewTicker(configRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-k.configWake:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		due := k.wantedConfigHash != 0 && k.wantedConfigHash != k.configHash
		want := k.wantedConfigHash
		k.mu.Unlock()
		if !due {
			continue
		}
		ch, err := k.src.Config(ctx, 0, 0)
		if err != nil {
			k.log.WithError(err).Warn("the configuration could not be read")
			time.Sleep(configRetryInterval)
			continue
		}
		k.applyConfig(ch, want)
	}
}

// applyConfig takes over the engine's configuration; wantedHash is the hash that gateways sent.
func (k *Keeper) applyConfig(ch watch.ConfigChange, wantedHash uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := ch.Config.Service(k.cfg.Service)
	if !ch.Changed || !ok || s.Engine == nil {
		k.log.WithField("service", k.cfg.Service).Warn("the configuration is missing or has no engine for the service")
		return
	}
	k.spec, k.healthPath, k.configHash = s.Engine, s.HealthPath, wantedHash
	if k.fencingToken == 0 {
		// The store's version never decreases, so this keeper's token is higher than that
		// of a keeper that ran before it.
		k.fencingToken = uint64(ch.Version)
	}
	k.log.WithFields(logrus.Fields{"config": ch.Config.Version, "models": len(s.Engine.Models), "fence": k.fencingToken}).Info("the engine's configuration was read")
}
