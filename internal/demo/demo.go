package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/node"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/standin/svcsim"
	"chervilhead/internal/transport/httpd"
)

// Demo is a running system of entries, agents and stand-ins.
type Demo struct {
	cfg      config.Demo
	log      *logrus.Entry
	platform *pltsim.Platform
	settings plat.Settings
	timing   config.Timing
	engines  []*engsim.Engine
	servers  []*httpd.Server
	agents   []*node.Agent
	entries  []*node.Entry
	once     sync.Once
}

// loadsPerSecond is the rate at which the stand-in weight store starts loads and the planner
// orders them. At the users' rate of 2 per second the demo takes 91 s to become ready.
const loadsPerSecond = 100

// Start starts the stand-ins, the agents and the entries; on an error it stops those that run.
func Start(cfg config.Demo, log *logrus.Entry) (*Demo, error) {
	d := &Demo{cfg: cfg, log: log, timing: config.DefaultTiming()}
	d.timing.DrainDelay = 0 // no load balancer watches the entries' readiness
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start() error {
	p, srv, err := node.StartSimulatedPlatform(config.Platform{
		Listen: "127.0.0.1:0", HostLag: 200 * time.Millisecond, LoadsPerSecond: loadsPerSecond, LoadsAtOnce: 100, Table: demoTable(),
	})
	if err != nil {
		return err
	}
	d.platform = p
	d.servers = append(d.servers, srv)
	base := "http://" + srv.Address()
	d.settings = plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	if err := d.startEngines(); err != nil {
		return err
	}
	if err := d.startServices(); err != nil {
		return err
	}
	return d.startEntries()
}

func (d *Demo) startEngines() error {
	for i := range engineCount {
		e, srv, err := node.StartSimulatedEngine(config.Engine{
			Listen: "127.0.0.1:0", Weights: d.settings.Weights,
			Engine: engsim.Settings{
				ID: fmt.Sprintf("engine-%02d", i), MemoryTotalBytes: engineMemoryBytes, KVBytes: engineKVBytes, Slots: engineSlots + extraSlots,
				TokenInterval: d.cfg.TokenInterval, PrefillPerToken: 100 * time.Microsecond, LoadBytesPerSecond: loadBytesPerSecond,
				PrefixBlocks: prefixBlocks, ChecksFencingToken: i%2 == 0, CrashOn: d.cfg.CrashOn, RestartDelay: restartDelay,
				Resume: engsim.Resume{Enabled: true, Grace: resumeGrace},
			},
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		d.servers = append(d.servers, srv)
		err = d.startAgent(fmt.Sprintf("runner-%02d", i), failureDomains[i%len(failureDomains)], config.Endpoint{
			URL: "http://" + srv.Address(), Slots: engineSlots, ExtraSlots: extraSlots, QueueBound: 1024, ChecksFencingToken: i%2 == 0,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startServices() error {
	shared := svcsim.New(0)
	for i := range serviceCount {
		srv, err := node.StartSimulatedService(config.Service{Listen: "127.0.0.1:0"}, shared)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, srv)
		err = d.startAgent(fmt.Sprintf("desk-%02d", i), failureDomains[i%len(failureDomains)], config.Endpoint{
			URL: "http://" + srv.Address(), Service: "confirm", Slots: engineSlots, QueueBound: 1024,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startAgent(id, domain string, ep config.Endpoint) error {
	a, err := node.StartAgent(config.Agent{
		ID: id, FailureDomain: domain, Listen: config.AgentListen{Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Platform: d.settings, Timing: d.timing, Endpoint: ep,
	}, d.log)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, a)
	d.platform.Hosts.Set(store.Host{ID: id, Role: store.RoleAgent, Address: a.PeerAddress(), FailureDomain: domain, State: store.HostLive})
	return nil
}

func (d *Demo) startEntries() error {
	second, err := config.NextPort(d.cfg.Listen)
	if err != nil {
		return err
	}
	for i, l := range []config.EntryListen{
		{Callers: d.cfg.Listen, Admin: d.cfg.Admin, Peers: "127.0.0.1:0"},
		{Callers: second, Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
	} {
		id := fmt.Sprintf("entry-%d", i+1)
		e, err := node.StartEntry(config.Entry{
			ID: id, FailureDomain: failureDomains[i], Listen: l, Platform: d.settings, Timing: d.timing, Limits: config.DefaultRequestLimits(),
			LoadsPerSecond: loadsPerSecond,
		}, d.log)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		d.platform.Hosts.Set(store.Host{ID: id, Role: store.RoleEntry, Address: e.PeerAddress(), FailureDomain: failureDomains[i], State: store.HostLive})
	}
	return nil
}

// CallerAddresses returns the address for callers of each entry.
func (d *Demo) CallerAddresses() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, e.CallerAddress())
	}
	return out
}

// AdminAddress returns the address of the first entry's operators' API.
func (d *Demo) AdminAddress() string { return d.entries[0].AdminAddress() }

// WaitReady returns once every model and adapter answers through every entry, or with an error
// when ctx ends.
func (d *Demo) WaitReady(ctx context.Context) error {
	t := demoTable()
	for _, addr := range d.CallerAddresses() {
		var wg sync.WaitGroup
		errs := make(chan error, len(t.Models))
		for _, m := range t.Models {
			wg.Go(func() {
				if err := waitModelReady(ctx, addr, m.Name); err != nil {
					errs <- err
				}
			})
		}
		wg.Wait()
		close(errs)
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// waitModelReady requests one token of a model until it answers with status 200.
func waitModelReady(ctx context.Context, addr, model string) error {
	for {
		status, err := requestToken(ctx, addr, model)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("model %q is not ready (last status %d): %w; look for errors in the log", model, status, ctx.Err())
		}
	}
}

func requestToken(ctx context.Context, addr, model string) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"ready","max_tokens":1}`, model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+RegistryGroupKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Stop drains and stops the entries, then the agents, and then stops the stand-ins. Further
// calls wait for the first.
func (d *Demo) Stop() { d.once.Do(d.stop) }

func (d *Demo) stop() {
	var wg sync.WaitGroup
	for _, e := range d.entries {
		wg.Go(e.Stop)
	}
	wg.Wait()
	for _, a := range d.agents {
		wg.Go(a.StopWithoutHandover)
	}
	wg.Wait()
	for _, e := range d.engines {
		e.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
}
