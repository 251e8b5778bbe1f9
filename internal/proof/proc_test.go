package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/coordination/quota"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/transport/agent"
	"chervilhead/internal/transport/entry"
	"chervilhead/internal/transport/peer"
)

const (
	leaseTerm  = 10 * time.Second
	orderDelay = 2 * time.Second
	hostPoll   = time.Second
	tablePoll  = 10 * time.Second
	drainDelay = time.Second
	// startGap keeps the timers of two processes from expiring at the same instant.
	startGap = 104729 * time.Nanosecond
)

// proc is the common part of entry and agent processes, wired as in package node.
type proc struct {
	f         *fleet
	id        string
	gate      *gate
	docs      *gossip.Store
	members   *member.Watcher
	listener  net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	lease     *lease.Manager
	startedAt time.Time
	// seed is the seed of random.
	seed   uint64
	random jitter.Random
	// busy is set once the process drains or is killed; the fleet's mu guards it.
	busy bool
}

func newProc(f *fleet, id string) *proc {
	p := &proc{f: f, id: id, gate: &gate{p: f.plat}, docs: gossip.NewStore()}
	f.mu.Lock()
	f.startedProcs++
	p.seed = uint64(f.startedProcs)
	f.mu.Unlock()
	// Processes that start at the same instant would stay in step.
	time.Sleep(time.Duration(p.seed) * startGap)
	p.startedAt, p.random = time.Now(), jitter.Seeded(p.seed)
	p.members = member.NewWatcher(p.gate, hostPoll, f.log).WithRandom(p.random)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	f.watchVersions(p)
	return p
}

func (p *proc) peers() []string {
	var out []string
	for _, h := range p.members.View().Peers(p.id) {
		out = append(out, h.Address)
	}
	return out
}

func (p *proc) run(f func(context.Context)) { p.wg.Go(func() { f(p.ctx) }) }

// start serves peer connections and runs the loops that every process runs.
func (p *proc) start(pool *peer.Pool, h peer.Handler, leave func()) {
	var err error
	if p.listener, err = p.f.net.Listen(p.id); err != nil {
		panic(err)
	}
	s := peer.NewDocumentGossip(p.id, p.docs, pool, p.peers, p.random, p.f.log)
	p.run(func(ctx context.Context) { peer.Serve(ctx, p.listener, s.WrapHandler(h), p.f.log) })
	p.run(p.members.Run)
	p.run(gossip.NewPoller(p.docs, map[string]gossip.Source{
		gossip.KindTable: edit.TableSource(p.gate), gossip.KindPlan: place.PlanSource(p.gate),
	}, tablePoll, p.random, p.f.log).Run)
	p.run(s.Run)
	p.run(func(ctx context.Context) {
		s.Bootstrap(ctx, func(ctx context.Context) (gossip.Document, error) { return edit.ReadBackup(ctx, objects{p.gate}) })
	})
	p.run(func(ctx context.Context) {
		for ctx.Err() == nil {
			if h, ok := p.members.View().Host(p.id); ok && h.State == store.HostLeaving {
				leave()
				return
			}
			sleep(ctx, hostPoll)
		}
	})
}

// shutDown stops the process; a planned stop also releases its lease.
func (p *proc) shutDown(planned bool) {
	p.listener.Close()
	if !planned {
		p.f.net.ResetConnections(p.id, "")
		p.f.net.ResetConnections("", p.id)
	}
	p.cancel()
	p.wg.Wait()
	if planned {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.lease.Release(ctx)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dial opens a connection, unless the process was killed.
func (p *proc) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.gate.killed() {
		return nil, errKilled
	}
	// peer.Dial has the same bound; without it a dial over a silent link never returns.
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.f.net.Dialer(p.id)(ctx, address)
}

type entryProc struct {
	*proc
	e     *entry.Entry
	calls sync.WaitGroup
	// callersCtx is the callers' context; it ends when the process is killed.
	callersCtx        context.Context
	disconnectCallers context.CancelFunc
}

func (f *fleet) startEntry(id string) *entryProc {
	p := &entryProc{proc: newProc(f, id)}
	p.callersCtx, p.disconnectCallers = context.WithCancel(context.Background())
	settings := entry.DefaultSettings(id, "d0")
	settings.Seed = p.seed
	p.e = entry.New(settings, p.docs, p.members, p.dial, f.log)
	p.e.EnablePoisonGossip(p.peers)
	p.e.EnableIdempotencyKeys(p.gate, objects{p.gate})
	p.e.EnableQuotas(p.gate)
	p.lease = lease.New(p.gate, lease.Settings{Key: place.PlannerLeaseKey, Holder: ident.New(id + "-"), Term: leaseTerm, Margin: leaseTerm / 4})
	p.start(p.e.Pool(), p.e, p.e.Leave)
	planner := place.New(p.gate, p.lease, p.docs, p.members, f.log)
	planner.AddTask(quota.NewAllocator(p.gate, f.log).Step)
	p.run(planner.Run)
	p.run(p.e.RenewQuotaLeases)
	p.run(p.e.ExpireLoadReports)
	p.run(p.e.ExpireIdempotencyKeys)
	p.run(p.e.RunPoisonGossip)
	return p
}

// stop drains the entry as a planned stop does: calls in flight end first.
func (p *entryProc) stop() {
	p.e.Leave()
	time.Sleep(drainDelay)
	p.calls.Wait()
	p.shutDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.e.ReleaseQuotaLeases(ctx)
	p.e.Close()
}

// kill ends the process at once, with broken connections for its callers.
func (p *entryProc) kill() {
	p.gate.kill()
	p.disconnectCallers()
	p.shutDown(false)
	p.e.Close()
}

type agentProc struct {
	*proc
	a          *agent.Agent
	pool       *peer.Pool
	reconciler *agent.Reconciler
	http       *http.Transport
	cancelRuns context.CancelFunc
}

// attemptChecker checks the attempts that an agent accepts.
type attemptChecker struct {
	*agent.Agent
	f  *fleet
	id string
}

func (s attemptChecker) Serve(ctx context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
	out, err := s.Agent.Serve(ctx, c, method, params)
	if r, ok := out.(wire.StartReply); ok && err == nil && r.Refused == nil {
		if start, err := peer.Decode[wire.Start](params); err == nil {
			s.f.checkAccepted(s.id, start)
		}
	}
	return out, err
}

func (f *fleet) startAgent(i int) *agentProc {
	id := agentName(i)
	p := &agentProc{proc: newProc(f, id), http: f.net.Transport(id)}
	info := plan.Endpoint{ID: id, Address: id, FailureDomain: fmt.Sprintf("d%d", i%2)}
	var eng engine.Engine
	var backend agent.Backend
	url := "http://" + backendAddress(i)
	checks := i%2 == 0
	if i == serviceAgent {
		info.Service = serviceName
		backend = agent.NewServiceBackend(serviceName, url).WithDial(p.http.DialContext)
	} else {
		eng = engine.New(url, &http.Client{Transport: p.http})
		backend = agent.EngineBackend{Engine: eng}
	}
	ctx, cancelRuns := context.WithCancel(context.Background())
	p.cancelRuns = cancelRuns
	p.a = agent.New(ctx, agent.Settings{ID: id, FailureDomain: info.FailureDomain, Slots: slots, QueueBound: 64, AnswerRetention: retention, Random: p.random}, backend, p.docs, f.log)
	p.lease = lease.New(p.gate, lease.Settings{Key: place.EndpointLeasePrefix + id, InfoKey: place.EndpointPrefix + id, Holder: p.a.Incarnation(), Term: leaseTerm, Margin: orderDelay, ImmediateTakeover: checks || eng == nil})
	p.pool = peer.NewPool(p.dial, p.a, func() wire.Hello {
		return wire.Hello{Node: id, Role: "agent", Incarnation: p.a.Incarnation(), Versions: p.docs.Versions()}
	}, f.log)
	p.a.EnablePoisonGossip(p.pool, p.peers)
	p.start(p.pool, attemptChecker{p.a, f, id}, p.a.Leave)
	p.run(p.a.RunPoisonGossip)
	if eng != nil {
		p.reconciler = agent.NewReconciler(p.a, eng, p.lease, p.docs, agent.ReconcilerSettings{Endpoint: info, OrderDelay: orderDelay, ChecksFencingToken: checks}, f.log)
		p.run(p.reconciler.Run)
	} else {
		p.run(func(ctx context.Context) { p.refreshRegistration(ctx, info) })
	}
	return p
}

func (p *agentProc) refreshRegistration(ctx context.Context, info plan.Endpoint) {
	data, _ := json.Marshal(info)
	for ctx.Err() == nil {
		_ = p.lease.Refresh(ctx, data)
		sleep(ctx, leaseTerm/10)
	}
}

// stop drains the agent as a planned stop does.
func (p *agentProc) stop() {
	p.a.Leave()
	time.Sleep(drainDelay)
	for !p.a.Idle() {
		time.Sleep(20 * time.Millisecond)
	}
	if p.reconciler != nil {
		p.reconciler.WaitForHandover(context.Background())
	}
	p.close(true)
}

func (p *agentProc) close(planned bool) {
	p.shutDown(planned)
	p.pool.Close()
	p.cancelRuns()
	p.http.CloseIdleConnections()
	if !planned {
		p.f.net.ResetConnections(p.id, "")
	}
}
