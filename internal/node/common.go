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
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/telemetry"
	"chervilhead/internal/transport/peer"
)

const idlePoll = 20 * time.Millisecond

// platformConns is the number of idle connections kept to the platform.
const platformConns = 8

// base is what every process of the system has: its documents and its view of the fleet.
type base struct {
	platform *plat.Client
	docs     *gossip.Store
	members  *member.Watcher
	poller   *gossip.Poller
}

func newBase(p plat.Settings, t config.Timing, reg prometheus.Registerer, log *logrus.Entry) base {
	client := plat.New(p, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConns}}).WithMetrics(plat.NewMetrics(reg))
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

// addresses returns the peer addresses of all other processes. The seeds stand in
// while no host list has been read.
func (b base) addresses(self string, seeds []string) func() []string {
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

// leaveWhenListed calls leave once the host list says that this host leaves.
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

// saved reads the newest copy of the table in the object store.
func (b base) saved(ctx context.Context) (gossip.Document, error) {
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

// servePeers listens for other processes and serves them until the work stops or the
// listener closes.
func servePeers(address string, h peer.Handler, m *peer.Metrics, work *workers, log *logrus.Entry) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address", address, err)
	}
	l = m.Listener(l)
	work.run(func(ctx context.Context) { peer.Serve(ctx, l, h, log) })
	return l, nil
}

// waitIdle returns when idle reports true.
func waitIdle(idle func() bool) {
	for !idle() {
		time.Sleep(idlePoll)
	}
}
