package node

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/coordination/quota"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/telemetry"
	"chervilhead/internal/transport/entry"
	"chervilhead/internal/transport/httpd"
	"chervilhead/internal/transport/opsapi"
	"chervilhead/internal/transport/peer"
)

// Entry is a running entry process.
type Entry struct {
	cfg     config.Entry
	entry   *entry.Entry
	callers *httpd.Server
	admin   *httpd.Server
	peers   net.Listener
	workers *workers
	lease   *lease.Manager
	log     *logrus.Entry
}

// StartEntry opens the listeners of an entry and starts its background tasks.
func StartEntry(cfg config.Entry, log *logrus.Entry) (*Entry, error) {
	log = log.WithField("node", cfg.ID)
	reg := telemetry.NewRegistry()
	b := newBase(cfg.Platform, cfg.Timing, reg, log)
	peerMetrics := peer.NewMetrics(reg)
	settings := entry.DefaultSettings(cfg.ID, cfg.FailureDomain)
	defaults := config.DefaultRequestLimits()
	settings.MaxBodyBytes, settings.StartTimeout = cfg.Limits.MaxBodyBytes, cfg.Limits.StartTimeout
	settings.BodyTimeout = cmp.Or(cfg.Limits.BodyTimeout, defaults.BodyTimeout)
	settings.Metrics = entry.NewMetrics(reg)
	e := entry.New(settings, b.docs, b.members, peerMetrics.Dialer(peer.Dial), log)
	e.EnablePoisonGossip(b.peerAddresses(cfg.ID, cfg.Seeds))
	e.EnableIdempotencyKeys(b.platform, b.platform.ObjectsClient())
	e.EnableQuotas(b.platform)
	n := &Entry{cfg: cfg, entry: e, log: log, workers: newWorkers(context.Background())}
	n.lease = lease.New(b.platform, lease.Settings{
		Key: place.PlannerLeaseKey, Holder: ident.New(cfg.ID + "-"), Term: cfg.Timing.LeaseTerm, Margin: cfg.Timing.LeaseTerm / 4,
	})
	planner := place.New(b.platform, n.lease, b.docs, b.members, log)
	planner.AddTask(quota.NewAllocator(b.platform, log).Step)
	planSettings := plan.DefaultSettings()
	planSettings.MoveCost, planSettings.LoadsPerSecond = cmp.Or(cfg.MoveCost, planSettings.MoveCost), cfg.LoadsPerSecond
	planner.SetSettings(planSettings)
	docGossip := peer.NewDocumentGossip(cfg.ID, b.docs, e.Pool(), b.peerAddresses(cfg.ID, cfg.Seeds), nil, log)

	r := mux.NewRouter()
	httpd.RegisterHealthAndMetrics(r, func() bool { return docGossip.Bootstrapped() && e.Ready() }, reg)
	ops := opsapi.New(b.platform, b.platform.ObjectsClient(), b.docs, b.members, e.Pool(), e.Status, log)
	ops.RegisterRoutes(r)
	guards := newClientGuards(cfg.Clients, cfg.Resources, reg, log)
	if err := n.listen(r, docGossip.WrapHandler(e), peerMetrics, guards, cmp.Or(cfg.Limits.WriteTimeout, defaults.WriteTimeout)); err != nil {
		n.close()
		return nil, err
	}
	n.workers.run(b.members.Run)
	n.workers.run(b.poller.Run)
	n.workers.run(func(ctx context.Context) { b.leaveWhenListed(ctx, cfg.ID, cfg.Timing.HostPoll, n.entry.Leave) })
	n.workers.run(planner.Run)
	n.workers.run(docGossip.Run)
	n.workers.run(func(ctx context.Context) { docGossip.Bootstrap(ctx, b.readBackup) })
	n.workers.run(ops.Run)
	n.workers.run(e.ExpireLoadReports)
	n.workers.run(e.ExpireIdempotencyKeys)
	n.workers.run(e.RenewQuotaLeases)
	n.workers.run(e.RunPoisonGossip)
	log.WithField("callers", n.callers.Address()).Info("entry started")
	return n, nil
}

func (n *Entry) listen(admin *mux.Router, h peer.Handler, m *peer.Metrics, guards clientGuards, writeTimeout time.Duration) error {
	var err error
	if n.peers, err = servePeers(n.cfg.Listen.Peers, h, m, n.workers, n.log); err != nil {
		return err
	}
	if n.callers, err = httpd.ListenGuarded(n.cfg.Listen.Callers, n.entry.Handler(), guards.callers(writeTimeout)); err != nil {
		return err
	}
	n.admin, err = httpd.ListenGuarded(n.cfg.Listen.Admin, admin, guards.operators())
	return err
}

// Entry returns the part of the process that serves callers.
func (n *Entry) Entry() *entry.Entry { return n.entry }

// LeaveRequested is closed when the host list or an operator tells the process to leave.
func (n *Entry) LeaveRequested() <-chan struct{} { return n.entry.LeaveRequested() }

// Stop fails readiness, waits for the load balancer to notice, completes the requests
// in flight and closes.
func (n *Entry) Stop() {
	n.entry.Leave()
	time.Sleep(n.cfg.Timing.DrainDelay)
	if err := n.callers.Drain(context.Background()); err != nil {
		n.log.WithError(err).Warn("listener for callers did not drain")
	}
	n.close()
	n.log.Info("entry stopped")
}

func (n *Entry) close() {
	if n.peers != nil {
		_ = n.peers.Close()
	}
	n.workers.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.lease.Release(ctx); err != nil {
		n.log.WithError(err).Debug("planner lease not released; it expires at the end of its term")
	}
	if err := n.entry.ReleaseQuotaLeases(ctx); err != nil {
		n.log.WithError(err).Debug("limit parts not released; they expire at the end of their term")
	}
	if n.callers != nil {
		n.callers.Close()
	}
	if n.admin != nil {
		n.admin.Close()
	}
	n.entry.Close()
}

// CallerAddress returns the address for callers.
func (n *Entry) CallerAddress() string { return n.callers.Address() }

// AdminAddress returns the operators' address.
func (n *Entry) AdminAddress() string { return n.admin.Address() }

// PeerAddress returns the address for peer connections.
func (n *Entry) PeerAddress() string { return n.peers.Addr().String() }
