package node

import (
	"context"
	"errors"
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
	"chervilhead/internal/transport/drain"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/proxy"
	"chervilhead/internal/transport/relay"
)

// PlatformStore is the platform's store as gateways and keepers use it.
type PlatformStore interface {
	store.TableService
	watch.Source
}

const (
	// dialTimeout bounds the opening of a connection to an endpoint, which takes a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// configStaleAfter is the age of the last confirmation of the configuration from which a
	// request on an unknown route is rejected, not answered 404: the route may be new.
	configStaleAfter = 3100 * time.Millisecond
	// subscribeInterval is the pause between subscriptions to the keepers' states.
	subscribeInterval = 600 * time.Millisecond
	// demandInterval is the pause between reports of demand to the planner.
	demandInterval = 400 * time.Millisecond
	// headerTimeout bounds the time that a client may take to send its header; the
	// operators' limit for clients is shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that a client's connection may be idle; the operators'
	// limit for clients is shorter.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is twice what the operators' limits allow a client.
	maxHeaderBytes = 32 << 10
	// storeRetryDelay is the pause after a failed call of the store; it doubles up to
	// maxStoreRetryDelay, which is within the time that the platform gives to notice that its
	// store is back.
	storeRetryDelay    = 200 * time.Millisecond
	maxStoreRetryDelay = 800 * time.Millisecond
	// ownReadInterval is the longest time that a gateway relies on the planner's observations
	// before it reads the store itself; the store keeps its history for 20 s.
	ownReadInterval = 15 * time.Second
	// orderDelay is the time that an order takes to reach a keeper; the planner stops that
	// long before its lease ends.
	orderDelay = 500 * time.Millisecond
	// proofAgeShare is the part of the bound on removed keys after which the configuration is read
	// although other gateways confirm it. The rest is left for the store's answer.
	proofAgeShare = 0.7
	// sweepInterval is the pause between evictions of idle connections and of what is kept for
	// endpoints that are gone.
	sweepInterval = time.Second
	// A gateway that stops ends the last requests with a response when answerShare of the grace
	// period is left, or maxAnswerMargin, and cuts off the last connections when cutShare of it is
	// left, or maxCutMargin. Both are within the last sixth, so that no request loses more time.
	answerShare     = 1.0 / 8
	maxAnswerMargin = 750 * time.Millisecond
	cutShare        = 1.0 / 12
	maxCutMargin    = 500 * time.Millisecond
	// maxDrainShare is the largest part of the grace period in which a gateway that stops still
	// accepts connections.
	maxDrainShare = 0.5
	// quietTime is how long a connection has no request before a gateway that stops closes it: as
	// long as callers wait for their request to be read.
	quietTime = time.Second
)

// Gateway is a running gateway process.
type Gateway struct {
	cfg config.Gateway
	log *logrus.Entry
	srv *http.Server
	// listener and conns are those of srv, and accepted is closed once all connections that it has
	// accepted are among conns.
	listener net.Listener
	conns    *drain.Conns
	accepted chan struct{}
	health   *httpd.Server
	// metrics is nil if no address of its own is set or the address could not be opened.
	metrics *httpd.Server
	// relay serves the configuration to other gateways.
	relay   *httpd.Server
	handler *proxy.Handler
	plane   *control.Plane
	ready   atomic.Bool
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// StartGateway opens the listeners of a gateway and starts its background tasks.
func StartGateway(cfg config.Gateway, src PlatformStore, headers proxy.HeaderNames, reg *prometheus.Registry, log *logrus.Entry) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	guards := newClientGuards(cfg.Clients, cfg.Resources, reg, log)
	callers := guards.callers(0)
	g := &Gateway{cfg: cfg, log: log, cancel: cancel, conns: drain.New(), accepted: make(chan struct{})}
	fail := func(err error) (*Gateway, error) {
		cancel()
		return nil, err
	}
	var plane *control.Plane
	maxProofAge := time.Duration(0)
	if cfg.Revocation.Strict {
		maxProofAge = time.Duration(proofAgeShare * float64(cfg.Revocation.Bound))
	}
	w := watch.New(src, watch.Timing{MaxProofAge: maxProofAge, ConfigWait: cfg.Store.ConfigWait, EndpointPoll: cfg.Store.EndpointPoll, RetryDelay: storeRetryDelay, MaxRetryDelay: maxStoreRetryDelay, OwnReadInterval: ownReadInterval},
		func(v *watch.View) {
			plane.UpdateView(v)
			g.handler.ObserveVersions(v)
		}, log)
	plane, err := control.New(control.Settings{
		GatewayID: cfg.ID, Listen: cfg.Listen.Datagrams, KeeperPort: cfg.KeeperPort, ModelLoadWindow: cfg.ModelLoadLimit.Window, SubscribeInterval: subscribeInterval, DemandInterval: demandInterval,
	}, w.View, lease.New(src, lease.Settings{Key: "planner", Holder: cfg.Listen.Datagrams, Term: cfg.Store.LeaseTerm, Margin: orderDelay}), src, log)
	if err != nil {
		return fail(err)
	}
	g.handler = proxy.New(proxy.Settings{
		Headers: headers, GatewayID: cfg.ID, FailureDomain: cfg.FailureDomain, ConfigStaleAfter: configStaleAfter,
		Revocation:       proxy.Revocation{Strict: cfg.Revocation.Strict, Bound: cfg.Revocation.Bound},
		RetryBudget:      budget.Limit{Ratio: cfg.Retries.Ratio, Slack: cfg.Retries.Slack, Window: cfg.Retries.Window},
		FirstStart:       cfg.Retries.FirstStart,
		Ramp:             cfg.Ramp,
		ConfirmEndpoints: w.ConfirmEndpoints,
		Quotas:           plane.Credits(),
		Durable:          plane.Durable(),
		MaxBodyBytes:     callers.LargestBody(),
	}, w.View, plane, http1.NewPool(dialTimeout).WithMaxIdle(guards.maxIdleConns()), proxy.NewMetrics(reg), log)
	g.plane = plane
	plane.OnObservation(w.ApplyObservation)
	w.SetRelay(relay.NewClient(), plane.KeeperAddresses)
	plane.Credits().Register(reg)
	plane.SetHooks(control.Hooks{
		TakeUsage: g.handler.TakeUsage, RecentlyUsed: g.handler.RecentlyUsed, AddPrefixes: g.handler.AddCachedPrefixes, MergeCrashReport: g.handler.MergeCrashReport,
		RestoreVersions: g.handler.RestoreVersions, RestoreStreams: g.handler.RestoreStreams, RestoreCrashes: g.handler.RestoreCrashes, KeptCrashes: g.handler.KeptCrashes,
	})

	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return g.ready.Load() && w.View().HasConfig && !w.View().EndpointsConfirmedAt.IsZero() }, reg)
	r.Handle("/where", g.handler.WhereHandler())
	if g.health, err = httpd.ListenGuarded(cfg.Listen.Ready, r, guards.probes("ready")); err != nil {
		return fail(err)
	}
	if g.relay, err = relay.Listen(cfg.Listen.Datagrams, func(context.Context) (relay.Held, error) {
		v := w.View()
		return relay.Held{Version: v.Config.Version, Data: v.ConfigData}, nil
	}); err != nil {
		g.health.Close()
		return fail(err)
	}
	l, err := callers.Listen(cfg.Listen.Callers)
	if err != nil {
		g.health.Close()
		g.relay.Close()
		return fail(err)
	}
	g.srv = &http.Server{
		Handler: g.conns.Handler(callers.Handler(g.handler)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: stdlog.New(serverLog{log}, "", 0),
	}
	g.srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return g.conns.Context(callers.Context(ctx, nc), nc)
	}
	g.srv.ConnState = func(nc net.Conn, state http.ConnState) {
		callers.Observe(nc, state)
		g.conns.Observe(nc, state)
	}
	g.listener = l
	g.metrics = serveMetrics(cfg.Listen.Metrics, guards, reg, log)
	g.ready.Store(true)
	g.wg.Go(func() {
		defer close(g.accepted)
		if err := g.srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.WithError(err).Error("server for callers failed")
		}
	})
	g.wg.Go(func() { w.Run(ctx) })
	g.wg.Go(func() { plane.Run(ctx) })
	g.wg.Go(func() {
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				g.handler.Sweep()
			case <-ctx.Done():
				return
			}
		}
	})
	log.WithFields(logrus.Fields{"callers": cfg.Listen.Callers, "ready": cfg.Listen.Ready}).Info("gateway started")
	return g, nil
}

// serverLog passes the HTTP server's error log to the process's log at debug level.
type serverLog struct{ log *logrus.Entry }

var _ io.Writer = serverLog{}

func (s serverLog) Write(p []byte) (int, error) {
	s.log.WithField("server", string(p)).Debug("HTTP server reported an error")
	return len(p), nil
}

// Stop fails readiness, goes on serving while the load balancer notices, and returns once every
// request has ended. Shortly before the grace period ends it answers those that still run.
func (g *Gateway) Stop() {
	began := time.Now()
	grace := g.cfg.Shutdown.GracePeriod
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	drained := began.Add(min(g.cfg.Shutdown.DrainDelay, share(maxDrainShare)))
	cutoff := began.Add(grace - min(maxAnswerMargin, share(answerShare)))
	end := began.Add(grace - min(maxCutMargin, share(cutShare)))
	g.ready.Store(false)
	g.handler.Drain(proxy.Stop{UnreadyUntil: drained, Cutoff: cutoff})
	g.plane.ResignPlanner()
	g.log.Info("gateway stopping")
	time.Sleep(time.Until(drained))
	if err := g.listener.Close(); err != nil {
		g.log.WithError(err).Debug("could not close the listener for callers")
	}
	<-g.accepted
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.conns.Wait(ctx, quietTime); err != nil {
		g.log.WithError(err).Warn("grace period is over; cutting off the connections that are left")
	}
	if err := g.srv.Close(); err != nil {
		g.log.WithError(err).Debug("could not close the server for callers")
	}
	g.cancel()
	g.health.Close()
	g.relay.Close()
	if g.metrics != nil {
		g.metrics.Close()
	}
	g.wg.Wait()
	g.log.Info("gateway stopped")
}

// serveMetrics serves health, readiness and metrics on a separate address, if one is set.
// It returns nil if the address cannot be opened: a process works without metrics.
func serveMetrics(address string, guards clientGuards, reg *prometheus.Registry, log *logrus.Entry) *httpd.Server {
	if address == "" {
		return nil
	}
	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return true }, reg)
	s, err := httpd.ListenGuarded(address, r, guards.probes("metrics"))
	if err != nil {
		log.WithError(err).Warn("could not listen for metrics; they are not served")
		return nil
	}
	return s
}
