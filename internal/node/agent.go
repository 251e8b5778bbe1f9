package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/telemetry"
	"chervilhead/internal/transport/agent"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/peer"
)

// answerRetention is how long a finished answer can be resumed.
const answerRetention = 30 * time.Second

// Agent is a running agent process.
type Agent struct {
	cfg     config.Agent
	agent   *agent.Agent
	http    *httpd.Server
	peers   net.Listener
	pool    *peer.Pool
	docs    *gossip.Store
	workers *workers
	lease   *lease.Manager
	// reconciler is nil beside a plain service.
	reconciler *agent.Reconciler
	// bootstrapped reports whether the process holds a table.
	bootstrapped func() bool
	// cancel ends the context of the attempts; close calls it last.
	cancel context.CancelFunc
	log    *logrus.Entry
}

// StartAgent opens the listeners of an agent and starts its background tasks.
func StartAgent(cfg config.Agent, log *logrus.Entry) (*Agent, error) {
	log = log.WithField("node", cfg.ID)
	reg := telemetry.NewRegistry()
	b := newBase(cfg.Platform, cfg.Timing, reg, log)
	peerMetrics := peer.NewMetrics(reg)
	ctx, cancel := context.WithCancel(context.Background())
	n := &Agent{cfg: cfg, docs: b.docs, cancel: cancel, log: log, workers: newWorkers(ctx)}
	metrics := agent.NewMetrics(reg)
	backend, eng := newBackend(cfg.Endpoint, metrics)
	n.agent = agent.New(ctx, agent.Settings{
		ID: cfg.ID, FailureDomain: cfg.FailureDomain, Slots: cfg.Endpoint.Slots, KeptSlots: cfg.Endpoint.KeptSlotsOrDefault(), ExtraSlots: cfg.Endpoint.ExtraSlots,
		QueueBound: cfg.Endpoint.QueueBound, AnswerRetention: answerRetention, Metrics: metrics,
	}, backend, b.docs, log)
	n.agent.RegisterMetrics(reg)
	n.lease = lease.New(b.platform, lease.Settings{
		Key: place.EndpointLeasePrefix + cfg.ID, InfoKey: place.EndpointPrefix + cfg.ID, Holder: n.agent.Incarnation(), Term: cfg.Timing.LeaseTerm,
		Margin: cfg.Timing.OrderDelay, ImmediateTakeover: cfg.Endpoint.ChecksFencingToken || cfg.Endpoint.Service != "",
	})
	n.pool = peer.NewPool(peerMetrics.Dialer(peer.Dial), n.agent, n.hello, log)
	docGossip := peer.NewDocumentGossip(cfg.ID, b.docs, n.pool, b.peerAddresses(cfg.ID, cfg.Seeds), nil, log)
	n.bootstrapped = docGossip.Bootstrapped
	n.agent.EnablePoisonGossip(n.pool, b.peerAddresses(cfg.ID, cfg.Seeds))
	guards := newClientGuards(config.ClientLimits{}, config.ResourceLimits{}, reg, log)
	if err := n.listen(docGossip.WrapHandler(n.agent), peerMetrics, guards, reg); err != nil {
		n.close()
		return nil, err
	}
	info := plan.Endpoint{ID: cfg.ID, Address: n.peers.Addr().String(), FailureDomain: cfg.FailureDomain, Service: cfg.Endpoint.Service}
	n.workers.run(b.members.Run)
	n.workers.run(b.poller.Run)
	n.workers.run(func(ctx context.Context) { b.leaveWhenListed(ctx, cfg.ID, cfg.Timing.HostPoll, n.agent.Leave) })
	n.workers.run(docGossip.Run)
	n.workers.run(func(ctx context.Context) { docGossip.Bootstrap(ctx, b.readBackup) })
	n.workers.run(n.agent.RunPoisonGossip)
	if eng != nil {
		n.reconciler = agent.NewReconciler(n.agent, eng, n.lease, b.docs, agent.ReconcilerSettings{
			Endpoint: info, OrderDelay: cfg.Timing.OrderDelay, ChecksFencingToken: cfg.Endpoint.ChecksFencingToken,
		}, log)
		n.workers.run(n.reconciler.Run)
		n.workers.run(func(ctx context.Context) { n.agent.WatchCacheEvents(ctx, eng) })
	} else {
		n.workers.run(func(ctx context.Context) { n.renewEndpointRow(ctx, info) })
	}
	log.WithField("peers", info.Address).Info("agent started")
	return n, nil
}

// newBackend returns what runs attempts on an endpoint, and its engine, which is nil for a plain service.
func newBackend(ep config.Endpoint, m *agent.Metrics) (agent.Backend, engine.Engine) {
	if ep.Service != "" {
		return agent.NewServiceBackend(ep.Service, ep.URL), nil
	}
	eng := engine.New(ep.URL, &http.Client{Transport: http1.NewTransport(http1.TransportSettings{DialTimeout: platformDialTimeout, MaxIdlePerHost: ep.Slots + ep.ExtraSlots, IdleTimeout: platformIdleTimeout})})
	return agent.EngineBackend{Engine: eng, Metrics: m}, eng
}

func (n *Agent) hello() wire.Hello {
	return wire.Hello{Node: n.cfg.ID, Role: "agent", Incarnation: n.agent.Incarnation(), Versions: n.docs.Versions()}
}

func (n *Agent) listen(h peer.Handler, m *peer.Metrics, guards clientGuards, reg *prometheus.Registry) error {
	var err error
	if n.peers, err = servePeers(n.cfg.Listen.Peers, h, m, n.workers, n.log); err != nil {
		return err
	}
	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return n.bootstrapped() && !n.agent.Leaving() }, reg)
	n.http, err = httpd.ListenGuarded(n.cfg.Listen.HTTP, r, guards.probes("health"))
	return err
}

// renewEndpointRow keeps the row of a plain service's endpoint in the table service
// until the context ends.
func (n *Agent) renewEndpointRow(ctx context.Context, info plan.Endpoint) {
	data, _ := json.Marshal(info) // an endpoint always encodes
	for {
		if err := n.lease.Refresh(ctx, data); err != nil && ctx.Err() == nil {
			n.log.WithError(err).Debug("could not renew the endpoint's lease and row")
		}
		wait := n.cfg.Timing.LeaseTerm / 3
		if _, ok := n.lease.Valid(time.Now()); !ok {
			wait = n.cfg.Timing.LeaseTerm / 10
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Agent returns the part of the process that runs attempts.
func (n *Agent) Agent() *agent.Agent { return n.agent }

// LeaveRequested is closed when the host list or an operator tells the process to leave.
func (n *Agent) LeaveRequested() <-chan struct{} { return n.agent.LeaveRequested() }

// Stop rejects new attempts, completes those accepted, waits for a bounded time until
// what only this endpoint holds is resident elsewhere, and closes.
func (n *Agent) Stop() { n.stop(true) }

// StopWithoutHandover stops an agent whose models need not become resident elsewhere
// because all agents stop together.
func (n *Agent) StopWithoutHandover() { n.stop(false) }

func (n *Agent) stop(handover bool) {
	n.agent.Leave()
	if handover {
		// Entries that have not seen the leave yet get their attempts rejected while the
		// connections are open; an attempt sent to a closed connection would end as unknown.
		time.Sleep(n.cfg.Timing.DrainDelay)
	}
	waitIdle(n.agent.Idle)
	if n.reconciler != nil && handover {
		n.reconciler.WaitForHandover(context.Background())
	}
	n.close()
	n.log.Info("agent stopped")
}

func (n *Agent) close() {
	if n.peers != nil {
		_ = n.peers.Close()
	}
	n.workers.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.lease.Release(ctx); err != nil {
		n.log.WithError(err).Debug("endpoint lease not released; it expires at the end of its term")
	}
	if n.http != nil {
		n.http.Close()
	}
	n.pool.Close()
	n.cancel()
}

// PeerAddress returns the address for peer connections.
func (n *Agent) PeerAddress() string { return n.peers.Addr().String() }
