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
)

const (
	// reportEvery is the pause between reports of an engine, which are free on its host.
	reportEvery = 100 * time.Millisecond
	// stateSpacing is the shortest pause between states sent to gateways.
	stateSpacing = 200 * time.Millisecond
	// stateEvery is the longest pause between states sent to gateways.
	stateEvery = 200 * time.Millisecond
	// EngineTimeout bounds a call of the engine on a keeper's own host.
	EngineTimeout = 400 * time.Millisecond
)

// Keeper is a running keeper.
type Keeper struct {
	log *logrus.Entry
	// metrics is nil where no address is set.
	metrics *httpd.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// StartKeeper starts a keeper.
func StartKeeper(cfg config.Keeper, engine keeper.Engine, src watch.Source, reg *prometheus.Registry, log *logrus.Entry) (*Keeper, error) {
	k, err := keeper.New(keeper.Settings{
		Holder: cfg.ID, Service: cfg.Endpoint.Service, Address: cfg.Endpoint.Address, Listen: cfg.Listen.Datagrams,
		PollInterval: reportEvery, MinStateInterval: stateSpacing, HeartbeatInterval: stateEvery,
	}, engine, src, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Keeper{log: log, metrics: serveMetrics(cfg.Listen.Metrics, reg, log), cancel: cancel}
	n.wg.Go(func() { k.Run(ctx) })
	log.WithFields(logrus.Fields{"endpoint": cfg.Endpoint.Address, "service": cfg.Endpoint.Service}).Info("keeper started")
	return n, nil
}

// Stop ends the keeper. What it ordered stays; the next keeper reads it from the engine.
func (n *Keeper) Stop() {
	n.cancel()
	if n.metrics != nil {
		n.metrics.Close()
	}
	n.wg.Wait()
	n.log.Info("keeper stopped")
}
