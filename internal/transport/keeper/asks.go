package keeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// maxSubscribers bounds the gateways that get the state.
const maxSubscribers = 1024

// receive takes asks from gateways until the socket closes.
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
		m, err := dgram.Decode(buf[:n])
		if err != nil {
			k.log.WithError(err).WithField("from", from.String()).Debug("a datagram was dropped")
			continue
		}
		a, ok := m.(*dgram.KeeperRequest)
		if !ok {
			continue
		}
		k.mu.Lock()
		urgent := k.ask(a, from.String(), time.Now())
		if _, known := k.subs[from.String()]; known || len(k.subs) < maxSubscribers {
			if !known {
				k.sentAt = time.Time{}
			}
			k.subs[from.String()] = subscriber{name: a.Gateway, seen: time.Now()}
			k.addrs[from.String()] = from
		}
		k.mu.Unlock()
		if urgent {
			select {
			case k.wake <- struct{}{}:
			default:
			}
		}
	}
}

// ask takes over what a gateway wants; it returns true if there is something to order.
func (k *Keeper) ask(a *dgram.KeeperRequest, from string, now time.Time) bool {
	if a.Endpoint != "" && !k.told && (k.endpoint == "" || a.Endpoint != k.endpoint && a.Incarnation >= k.report.Incarnation) {
		k.endpoint = a.Endpoint
	}
	if k.specWant = a.EngineConfigHash; k.specWant != k.specHave {
		select {
		case k.specWake <- struct{}{}:
		default:
		}
	}
	for _, u := range a.UsedAdapters {
		k.used[fleet.ParseModelName(u)] = now
	}
	for _, c := range a.CachedPrefixes {
		k.kept[c] = now
	}
	for _, m := range a.CrashRecords {
		if _, known := k.marks[m.Fingerprint]; known || len(k.marks) < maxMarks {
			k.marks[m.Fingerprint] = marked{mark: m, at: now}
			k.sentAt = time.Time{}
		}
	}
	urgent := len(a.CrashRecords) > 0
	for _, w := range a.WantedAdapters {
		n := fleet.ParseModelName(w)
		if _, whole := fleet.Holds(k.report.Models, n); whole {
			// The gateway missed the state that says so.
			k.sentAt = time.Time{}
		}
		if _, ok := k.wants[n]; !ok {
			k.wants[n] = now
		}
		urgent = true
	}
	if m := a.Move; m != nil && (m.FencingToken > k.term || m.FencingToken == k.term && m.ID > k.id) {
		k.log.WithFields(logrus.Fields{"from": from, "term": m.FencingToken, "move": m.ID, "drop": m.Unload, "load": m.Load}).Info("the planner ordered")
		k.term, k.id, k.move, k.moveAt, k.done = m.FencingToken, m.ID, m, now, false
		urgent = true
	}
	return urgent
}

// followSpec reads the engine's part of the configuration when gateways have another.
func (k *Keeper) followSpec(ctx context.Context) {
	tick := time.NewTicker(configRetry)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-k.specWake:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		due := k.specWant != 0 && k.specWant != k.specHave
		want := k.specWant
		k.mu.Unlock()
		if !due {
			continue
		}
		ch, err := k.src.Config(ctx, 0, 0)
		if err != nil {
			k.log.WithError(err).Warn("the configuration could not be read")
			time.Sleep(configRetry)
			continue
		}
		k.takeSpec(ch, want)
	}
}

func (k *Keeper) takeSpec(ch watch.ConfigChange, want uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := ch.Config.Service(k.cfg.Service)
	if !ch.Changed || !ok || s.Engine == nil {
		k.log.WithField("service", k.cfg.Service).Warn("the configuration doesn't name the engine's service")
		return
	}
	k.spec, k.healthPath, k.specHave = s.Engine, s.HealthPath, want
	if k.fence == 0 {
		// The store's counter never goes back, so that this keeper's token is higher than
		// that of the one before it.
		k.fence = ch.Version
	}
	k.log.WithFields(logrus.Fields{"config": ch.Config.Version, "models": len(s.Engine.Models), "fence": k.fence}).Info("the engine's configuration was read")
}
