package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/telemetry"
	"chervilhead/internal/transport/peer"
)

const idlePollInterval = 20 * time.Millisecond

const (
	// maxIdlePlatformConns is the number of idle connections kept to each address of the platform,
	// and platformIdleTimeout how long they are kept if it states no time.
	maxIdlePlatformConns = 8
	platformIdleTimeout  = time.Minute
	// platformDialTimeout bounds the opening of a connection to the platform or an engine.
	platformDialTimeout = 2 * time.Second
)

// base is what agents and entries have in common: the platform's client, the replicated
// documents and the membership view.
type base struct {
	platform *plat.Client
	docs     *gossip.Store
	members  *member.Watcher
	poller   *gossip.Poller
}

func newBase(p plat.Settings, t config.Timing, reg prometheus.Registerer, log *logrus.Entry) base {
	client := plat.New(p, &http.Client{Transport: http1.NewTransport(http1.TransportSettings{DialTimeout: platformDialTimeout, MaxIdlePerHost: maxIdlePlatformConns, IdleTimeout: platformIdleTimeout})}).WithMetrics(plat.NewMetrics(reg))
	docs := gossip.NewStore()
	telemetry.RegisterDocumentVersions(reg, docs.Versions)
	return base{
		platform: client, docs: docs,
		members: member.NewWatcher(client, t.HostPoll, log),
		poller: gossip.NewPoller(docs, map[string]gossip.Source{
			gossip.KindTable: edit.TableSource(client), gossip.KindPlan: place.PlanSource(client), gossip.KindShare: place.ShareSource(client),
		}, t.TablePoll, nil, log),
	}
}

// peerAddresses returns a function that lists the addresses of all other processes in the
// membership view, or the seeds while the view holds none.
func (b base) peerAddresses(self string, seeds []string) func() []string {
	return func() []string {
		hosts := b.members.View().Peers(self)
		if len(hosts) == 0 {
			return slices.Clone(seeds)
		}
		out := make([]string, len(hosts))
		for i, h := range hosts {
			out[i] = h.Address
		}
		return out
	}
}

// leaveWhenListed calls leave once the host list shows this host as leaving.
func (b base) leaveWhenListed(ctx context.Context, id string, poll time.Duration, leave func()) {
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		if h, ok := b.members.View().Host(id); ok && h.State == store.HostLeaving {
			leave()
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// readBackup reads the newest copy of the table in the object store.
func (b base) readBackup(ctx context.Context) (gossip.Document, error) {
	return edit.ReadBackup(ctx, b.platform.ObjectsClient())
}

// workers runs functions until their context ends.
type workers struct {
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newWorkers(ctx context.Context) *workers {
	w := &workers{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	return w
}

func (w *workers) run(f func(context.Context)) { w.wg.Go(func() { f(w.ctx) }) }

func (w *workers) stop() {
	w.cancel()
	w.wg.Wait()
}

// servePeers listens for peer connections and serves them until w stops or the listener closes.
func servePeers(address string, h peer.Handler, m *peer.Metrics, w *workers, log *logrus.Entry) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address", address, err)
	}
	l = m.Listener(l)
	w.run(func(ctx context.Context) { peer.Serve(ctx, l, h, log) })
	return l, nil
}

// waitIdle polls idle until it reports true.
func waitIdle(idle func() bool) {
	for !idle() {
		time.Sleep(idlePollInterval)
	}
}
