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
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/telemetry"
	"chervilhead/internal/transport/agent"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/peer"
)

// answerRetention is how long an ended answer can be resumed.
const answerRetention = 30 * time.Second

// Agent is a running agent process.
type Agent struct {
	cfg   config.Agent
	agent *agent.Agent
	http  *httpd.Server
	peers net.Listener
	pool  *peer.Pool
	docs  *gossip.Store
	work  *workers
	lease *lease.Manager
	// control is nil beside a plain service.
	control *agent.Reconciler
	// booted reports whether the node holds a table.
	booted func() bool
	// life ends when the process stops for good.
	life context.CancelFunc
	log  *logrus.Entry
}

// StartAgent opens the listeners of an agent and starts its work.
func StartAgent(cfg config.Agent, log *logrus.Entry) (*Agent, error) {
	log = log.WithField("node", cfg.ID)
	reg := telemetry.NewRegistry()
	b := newBase(cfg.Platform, cfg.Timing, reg, log)
	peers := peer.NewMetrics(reg)
	ctx, life := context.WithCancel(context.Background())
	n := &Agent{cfg: cfg, docs: b.docs, life: life, log: log, work: newWorkers(ctx)}
	metrics := agent.NewMetrics(reg)
	backend, eng := backendOf(cfg.Endpoint, metrics)
	n.agent = agent.New(ctx, agent.Settings{
		ID: cfg.ID, FailureDomain: cfg.FailureDomain, Slots: cfg.Endpoint.Slots, KeptSlots: cfg.Endpoint.KeptSlotsOrDefault(), ExtraSlots: cfg.Endpoint.ExtraSlots,
		QueueBound: cfg.Endpoint.QueueBound, AnswerRetention: answerRetention, Metrics: metrics,
	}, backend, b.docs, log)
	n.agent.RegisterMetrics(reg)
	n.lease = lease.New(b.platform, lease.Settings{
		Key: place.EndpointLeasePrefix + cfg.ID, InfoKey: place.EndpointPrefix + cfg.ID, Holder: n.agent.Incarnation(), Term: cfg.Timing.LeaseTerm,
		Margin: cfg.Timing.OrderDelay, ImmediateTakeover: cfg.Endpoint.ChecksFencingToken || cfg.Endpoint.Service != "",
	})
	n.pool = peer.NewPool(peers.Dialer(peer.Dial), n.agent, n.hello, log)
	spreader := peer.NewDocumentGossip(cfg.ID, b.docs, n.pool, b.addresses(cfg.ID, cfg.Seeds), nil, log)
	n.booted = spreader.Bootstrapped
	n.agent.EnablePoisonGossip(n.pool, b.addresses(cfg.ID, cfg.Seeds))
	if err := n.listen(spreader.WrapHandler(n.agent), peers, reg); err != nil {
		n.close()
		return nil, err
	}
	info := plan.Endpoint{ID: cfg.ID, Address: n.peers.Addr().String(), FailureDomain: cfg.FailureDomain, Service: cfg.Endpoint.Service}
	n.work.run(b.members.Run)
	n.work.run(b.poller.Run)
	n.work.run(func(ctx context.Context) { b.leaveWhenListed(ctx, cfg.ID, cfg.Timing.HostPoll, n.agent.Leave) })
	n.work.run(spreader.Run)
	n.work.run(func(ctx context.Context) { spreader.Bootstrap(ctx, b.saved) })
	n.work.run(n.agent.RunPoisonGossip)
	if eng != nil {
		n.control = agent.NewReconciler(n.agent, eng, n.lease, b.docs, agent.ReconcilerSettings{
			Endpoint: info, OrderDelay: cfg.Timing.OrderDelay, ChecksFencingToken: cfg.Endpoint.ChecksFencingToken,
		}, log)
		n.work.run(n.control.Run)
		n.work.run(func(ctx context.Context) { n.agent.WatchCacheEvents(ctx, eng) })
	} else {
		n.work.run(func(ctx context.Context) { n.announce(ctx, info) })
	}
	log.WithField("peers", info.Address).Info("agent started")
	return n, nil
}

// backendOf returns what runs attempts on an endpoint, and its engine unless it is a plain service.
func backendOf(ep config.Endpoint, m *agent.Metrics) (agent.Backend, engine.Engine) {
	if ep.Service != "" {
		return agent.NewServiceBackend(ep.Service, ep.URL), nil
	}
	eng := engine.New(ep.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: ep.Slots + ep.ExtraSlots}})
	return agent.EngineBackend{Engine: eng, Metrics: m}, eng
}

func (n *Agent) hello() wire.Hello {
	return wire.Hello{Node: n.cfg.ID, Role: "agent", Incarnation: n.agent.Incarnation(), Versions: n.docs.Versions()}
}

func (n *Agent) listen(h peer.Handler, m *peer.Metrics, reg *prometheus.Registry) error {
	var err error
	if n.peers, err = servePeers(n.cfg.Listen.Peers, h, m, n.work, n.log); err != nil {
		return err
	}
	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return n.booted() && !n.agent.Leaving() }, reg)
	n.http, err = httpd.Listen(n.cfg.Listen.HTTP, r)
	return err
}

// announce keeps the row of a plain service's endpoint in the table service.
func (n *Agent) announce(ctx context.Context, info plan.Endpoint) {
	data, _ := json.Marshal(info) // an endpoint always encodes
	for {
		if err := n.lease.Refresh(ctx, data); err != nil && ctx.Err() == nil {
			n.log.WithError(err).Debug("endpoint row not renewed")
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

// Agent returns the attempt-running part of the process.
func (n *Agent) Agent() *agent.Agent { return n.agent }

// LeaveRequested is closed when the process has to leave: the host list or an operator says so.
func (n *Agent) LeaveRequested() <-chan struct{} { return n.agent.LeaveRequested() }

// Stop refuses new attempts, ends those accepted, waits until what only this endpoint
// holds is resident elsewhere, and closes.
func (n *Agent) Stop() { n.stop(true) }

// StopWithoutHandover stops the agent together with all others, so that nothing is handed over.
func (n *Agent) StopWithoutHandover() { n.stop(false) }

func (n *Agent) stop(handover bool) {
	n.agent.Leave()
	if handover {
		// Entries that do not know it yet are refused while their connections stand; a
		// start that meets a closed connection would end as unknown.
		time.Sleep(n.cfg.Timing.DrainDelay)
	}
	waitIdle(n.agent.Idle)
	if n.control != nil && handover {
		n.control.WaitForHandover(context.Background())
	}
	n.close()
	n.log.Info("agent stopped")
}

func (n *Agent) close() {
	if n.peers != nil {
		_ = n.peers.Close()
	}
	n.work.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.lease.Release(ctx); err != nil {
		n.log.WithError(err).Debug("endpoint lease not released; it ends with its term")
	}
	if n.http != nil {
		n.http.Close()
	}
	n.pool.Close()
	n.life()
}

// PeerAddress returns the address for other processes of the system.
func (n *Agent) PeerAddress() string { return n.peers.Addr().String() }
