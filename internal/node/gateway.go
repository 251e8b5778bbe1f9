package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/budget"
	"chervilhead/internal/transport/control"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/proxy"
)

// PlatformStore is the platform's store as gateways and keepers use it.
type PlatformStore interface {
	store.TableService
	watch.Source
}

const (
	// dialTimeout bounds a new connection to an endpoint, which takes some milliseconds.
	dialTimeout = 250 * time.Millisecond
	// configStale is the age from which a route that isn't known may be a new one.
	configStale = 3100 * time.Millisecond
	// askEvery is the pause between subscriptions.
	askEvery = 600 * time.Millisecond
	// sayEvery is the pause between reports of demand.
	sayEvery = 400 * time.Millisecond
	// headerTimeout bounds the time that a client may take to send its header; the
	// operators' limit for clients is shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that a client's connection may be idle; the operators'
	// limit for clients is shorter.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is twice what the operators' limits allow a client.
	maxHeaderBytes = 32 << 10
	// storeRetry is the pause after a call of the store that failed.
	storeRetry = 200 * time.Millisecond
	// ownRead is the longest time that a gateway relies on what the planner read in the
	// store before it reads itself; the store keeps its history for 20 s.
	ownRead = 8 * time.Second
	// orderDelay is taken off the planner's lease: the time that an order takes to a keeper.
	orderDelay = 500 * time.Millisecond
	// tidyEvery is the pause between looks for connections that are idle for too long.
	tidyEvery = time.Second
	// exitMargin is left of the grace when the last requests are cut off.
	exitMargin = 500 * time.Millisecond
)

// Gateway is a running gateway.
type Gateway struct {
	cfg   config.Gateway
	log   *logrus.Entry
	srv   *http.Server
	pages *httpd.Server
	// metrics is nil where no address of their own is set.
	metrics *httpd.Server
	pass    *proxy.Handler
	desk    *control.Plane
	ready   atomic.Bool
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// StartGateway starts a gateway.
func StartGateway(cfg config.Gateway, src PlatformStore, names proxy.HeaderNames, reg *prometheus.Registry, log *logrus.Entry) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{cfg: cfg, log: log, cancel: cancel}
	fail := func(err error) (*Gateway, error) {
		cancel()
		return nil, err
	}
	var d *control.Plane
	w := watch.New(src, watch.Timing{ConfigWait: cfg.Store.ConfigWait, EndpointPoll: cfg.Store.EndpointPoll, RetryDelay: storeRetry, OwnReadInterval: ownRead},
		func(v *watch.View) { d.UpdateView(v) }, log)
	d, err := control.New(control.Settings{
		GatewayID: cfg.ID, Listen: cfg.Listen.Datagrams, KeeperPort: cfg.KeeperPort, ModelLoadWindow: cfg.ModelLoads.Window, SubscribeInterval: askEvery, DemandInterval: sayEvery,
	}, w.View, lease.New(src, lease.Settings{Key: "planner", Holder: cfg.Listen.Datagrams, Term: cfg.Store.LeaseTerm, Margin: orderDelay}), src, log)
	if err != nil {
		return fail(err)
	}
	g.pass = proxy.New(proxy.Settings{
		Headers: names, FailureDomain: cfg.FailureDomain, ConfigStaleAfter: configStale,
		RetryBudget: budget.Limit{Ratio: cfg.Retries.Ratio, Slack: cfg.Retries.Slack, Window: cfg.Retries.Window},
	}, w.View, d, http1.NewPool(dialTimeout), proxy.NewMetrics(reg), log)
	g.desk = d
	d.OnObservation(w.ApplyObservation)
	d.SetHooks(g.pass.TakeUsage, g.pass.AddCachedPrefixes, g.pass.MergeCrashRecord)

	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return g.ready.Load() && w.View().HasConfig && !w.View().EndpointsConfirmedAt.IsZero() }, reg)
	if g.pages, err = httpd.Listen(cfg.Listen.Ready, r); err != nil {
		return fail(err)
	}
	l, err := net.Listen("tcp", cfg.Listen.Callers)
	if err != nil {
		g.pages.Close()
		return fail(fmt.Errorf("listen on %s: %w; choose a free address", cfg.Listen.Callers, err))
	}
	g.srv = &http.Server{
		Handler: g.pass, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: stdlog.New(serverLog{log}, "", 0),
	}
	g.metrics = serveMetrics(cfg.Listen.Metrics, reg, log)
	g.ready.Store(true)
	g.wg.Go(func() {
		if err := g.srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("the listener for callers ended")
		}
	})
	g.wg.Go(func() { w.Run(ctx) })
	g.wg.Go(func() { d.Run(ctx) })
	g.wg.Go(func() {
		tick := time.NewTicker(tidyEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				g.pass.Sweep()
			case <-ctx.Done():
				return
			}
		}
	})
	log.WithFields(logrus.Fields{"callers": cfg.Listen.Callers, "ready": cfg.Listen.Ready}).Info("gateway started")
	return g, nil
}

// serverLog passes the HTTP server's complaints on.
type serverLog struct{ log *logrus.Entry }

var _ io.Writer = serverLog{}

func (s serverLog) Write(p []byte) (int, error) {
	s.log.WithField("server", string(p)).Debug("the HTTP server complained")
	return len(p), nil
}

// Stop says that the gateway isn't ready, goes on until the balancer has noticed, and ends
// once every request has ended or the grace is over.
func (g *Gateway) Stop() {
	began := time.Now()
	g.ready.Store(false)
	g.pass.Drain()
	g.desk.ResignPlanner()
	g.log.Info("gateway stopping")
	time.Sleep(g.cfg.Shutdown.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Shutdown.GracePeriod-exitMargin-time.Since(began))
	defer cancel()
	if err := g.srv.Shutdown(ctx); err != nil {
		g.log.WithError(err).Warn("requests were cut off at the end of the grace")
		if err := g.srv.Close(); err != nil {
			g.log.WithError(err).Debug("close the listener for callers")
		}
	}
	g.cancel()
	g.pages.Close()
	if g.metrics != nil {
		g.metrics.Close()
	}
	g.wg.Wait()
	g.log.Info("gateway stopped")
}

// serveMetrics serves metrics on an address of their own, if one is set. A process works
// without them.
func serveMetrics(address string, reg *prometheus.Registry, log *logrus.Entry) *httpd.Server {
	if address == "" {
		return nil
	}
	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return true }, reg)
	s, err := httpd.Listen(address, r)
	if err != nil {
		log.WithError(err).Warn("metrics are not served")
		return nil
	}
	return s
}
