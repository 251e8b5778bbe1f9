package node

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/keeper"
	"chervilhead/internal/transport/relay"
)

const (
	// pollInterval is the pause between reads of the engine's report, which cost nothing on its host.
	pollInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between states sent to the gateways that use the engine.
	heartbeatInterval = 200 * time.Millisecond
	// EngineTimeout bounds a keeper's call of the engine on its host.
	EngineTimeout = 400 * time.Millisecond
)

// Keeper is a running keeper process.
type Keeper struct {
	log *logrus.Entry
	// metrics is nil if no address is set or the address could not be opened.
	metrics *httpd.Server
	// relay reads the configuration from the store for gateways that it refuses.
	relay  *httpd.Server
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// StartKeeper opens the listeners of a keeper and starts its background tasks.
func StartKeeper(cfg config.Keeper, engine keeper.Engine, src watch.Source, reg *prometheus.Registry, log *logrus.Entry) (*Keeper, error) {
	k, err := keeper.New(keeper.Settings{
		Holder: cfg.ID, Service: cfg.Endpoint.Service, Address: cfg.Endpoint.Address, Listen: cfg.Listen.Datagrams,
		PollInterval: pollInterval, HeartbeatInterval: heartbeatInterval,
	}, engine, src, log)
	if err != nil {
		return nil, err
	}
	relayed, err := relay.Listen(cfg.Listen.Datagrams, relay.FromStore(src))
	if err != nil {
		k.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Keeper{log: log, metrics: serveMetrics(cfg.Listen.Metrics, newClientGuards(config.ClientLimits{}, cfg.Resources, reg, log), reg, log), relay: relayed, cancel: cancel}
	n.wg.Go(func() { k.Run(ctx) })
	log.WithFields(logrus.Fields{"endpoint": cfg.Endpoint.Address, "service": cfg.Endpoint.Service}).Info("keeper started")
	return n, nil
}

// Stop ends the keeper. Models and adapters that it had loaded stay resident; the next
// keeper reads them from the engine.
func (n *Keeper) Stop() {
	n.cancel()
	n.relay.Close()
	if n.metrics != nil {
		n.metrics.Close()
	}
	n.wg.Wait()
	n.log.Info("keeper stopped")
}
