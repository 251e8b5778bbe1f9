package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/node"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/httpd"
)

// The only model, group and key of the fleet, its sizes and its start-up limit.
const (
	fleetModel = "model"
	fleetGroup = "group"
	fleetKey   = "load-key"

	fleetModelBytes   = int64(1) << 30
	fleetEngineBytes  = int64(16) << 30
	fleetReadyTimeout = 30 * time.Second
)

// fleet is an entry and agents with a simulated platform and simulated engines, all in this process.
type fleet struct {
	log              *logrus.Entry
	platform         *pltsim.Platform
	platformSettings plat.Settings
	timing           config.Timing
	engines          []*engsim.Engine
	servers          []*httpd.Server
	agents           []*node.Agent
	entry            *node.Entry
	// directTargets are the base URLs of engines without an agent. An agent cancels
	// requests on its engine that it did not start, so direct load needs other engines.
	directTargets []string
}

// startFleet starts a fleet and returns once it serves requests.
func startFleet(ctx context.Context, cfg CompareSettings) (*fleet, error) {
	l := logrus.New()
	l.SetOutput(io.Discard)
	// The log level of a deployment, so that the cost of logging is measured too.
	l.SetLevel(logrus.InfoLevel)
	f := &fleet{log: l.WithField("service", "load"), timing: config.DefaultTiming()}
	f.timing.DrainDelay = 0
	if err := f.start(ctx, cfg); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, cfg CompareSettings) error {
	p, srv, err := node.StartSimulatedPlatform(config.Platform{Listen: "127.0.0.1:0", LoadsPerSecond: 100, LoadsAtOnce: 100, Table: fleetTable(cfg.Engines)})
	if err != nil {
		return err
	}
	f.platform, f.servers = p, append(f.servers, srv)
	base := "http://" + srv.Address()
	f.platformSettings = plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	for i := range cfg.Engines {
		if err := f.addEndpoint(i, cfg); err != nil {
			return err
		}
		if err := f.addDirectEngine(i, cfg); err != nil {
			return err
		}
	}
	f.entry, err = node.StartEntry(config.Entry{
		ID: "entry", FailureDomain: "domain-0", Platform: f.platformSettings, Timing: f.timing, Limits: config.DefaultRequestLimits(),
		Listen: config.EntryListen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
	}, f.log)
	if err != nil {
		return err
	}
	f.platform.Hosts.Set(store.Host{ID: "entry", Role: store.RoleEntry, Address: f.entry.PeerAddress(), FailureDomain: "domain-0", State: store.HostLive})
	return f.waitReady(ctx)
}

func fleetTable(replicas int) config.Table {
	return config.Table{
		Groups: []table.Group{{Name: fleetGroup, Weight: 1, QueueBound: 1024}},
		Models: []table.Model{{Name: fleetModel, Groups: []string{fleetGroup}, Version: "v1", MemoryBytes: fleetModelBytes, LeastCopies: replicas}},
		Keys:   []table.Key{{Name: "key", Hash: ident.HashKey(fleetKey), Group: fleetGroup}},
	}
}

func (f *fleet) addEndpoint(i int, cfg CompareSettings) error {
	_, srv, err := f.startEngine(fmt.Sprintf("engine-%d", i), cfg)
	if err != nil {
		return err
	}
	id, domain := fmt.Sprintf("agent-%d", i), fmt.Sprintf("domain-%d", i%4)
	a, err := node.StartAgent(config.Agent{
		ID: id, FailureDomain: domain, Listen: config.AgentListen{Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Platform: f.platformSettings, Timing: f.timing,
		Endpoint: config.Endpoint{URL: "http://" + srv.Address(), Slots: cfg.Slots, QueueBound: 1024, ChecksFencingToken: true},
	}, f.log)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, a)
	f.platform.Hosts.Set(store.Host{ID: id, Role: store.RoleAgent, Address: a.PeerAddress(), FailureDomain: domain, State: store.HostLive})
	return nil
}

func (f *fleet) startEngine(id string, cfg CompareSettings) (*engsim.Engine, *httpd.Server, error) {
	e, srv, err := node.StartSimulatedEngine(config.Engine{Listen: "127.0.0.1:0", Weights: f.platformSettings.Weights, Engine: engsim.Settings{
		ID: id, MemoryTotalBytes: fleetEngineBytes, KVBytes: fleetModelBytes, Slots: cfg.Slots,
		TokenInterval: cfg.TokenInterval, LoadBytesPerSecond: 100 * fleetModelBytes, ChecksFencingToken: true,
	}})
	if err == nil {
		f.engines, f.servers = append(f.engines, e), append(f.servers, srv)
	}
	return e, srv, err
}

// addDirectEngine starts an engine without an agent and orders it to load the model.
func (f *fleet) addDirectEngine(i int, cfg CompareSettings) error {
	e, srv, err := f.startEngine(fmt.Sprintf("bare-%d", i), cfg)
	if err != nil {
		return err
	}
	f.directTargets = append(f.directTargets, "http://"+srv.Address())
	return e.ApplyOrder(engine.Order{ID: "load", Kind: engine.OrderLoad, Model: fleetModel, Version: "v1", MemoryBytes: fleetModelBytes})
}

// waitReady returns once the model is resident on every engine and requests through the entry complete.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	for {
		ready := f.entry.Entry().Ready() && f.modelLoaded()
		for _, a := range f.agents {
			s := a.Agent().Status()
			ready = ready && s.Endpoint != nil && len(s.Endpoint.Models) > 0
		}
		if ready && f.servesRequests(ctx) {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("fleet not ready to serve requests: %w", ctx.Err())
		}
	}
}

// modelLoaded reports whether the model is ready on every engine.
func (f *fleet) modelLoaded() bool {
	for _, e := range f.engines {
		s, err := e.State()
		if err != nil || len(s.Residents) == 0 || !s.Residents[0].Ready {
			return false
		}
	}
	return true
}

// servesRequests reports whether a few requests through the entry all complete.
func (f *fleet) servesRequests(ctx context.Context) bool {
	cfg := DefaultSettings()
	cfg.Targets, cfg.Models, cfg.Keys, cfg.Tokens = f.targets(), []string{fleetModel}, []string{fleetKey}, 1
	cfg.Rate, cfg.Count, cfg.Timeout = 50, 4*len(f.agents), 2*time.Second
	res, err := Run(ctx, cfg, nil)
	return err == nil && res.FinalSummary().Outcomes["complete"] == cfg.Count
}

func (f *fleet) targets() []string { return []string{"http://" + f.entry.CallerAddress()} }

func (f *fleet) stop() {
	if f.entry != nil {
		f.entry.Stop()
	}
	for _, a := range f.agents {
		a.StopWithoutHandover()
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
