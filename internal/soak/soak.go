package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"chervilhead/internal/config"
	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

// Bounds of the platform's contract, from gracePeriod to retryBudgetSlack, and waits of the test.
const (
	gracePeriod        = 8 * time.Second
	recoveryTimeout    = 12 * time.Second
	configApplyTimeout = 2 * time.Second
	drainPeriod        = 2 * time.Second
	stabilizationTime  = 3 * time.Second
	retryBudgetWindow  = 10 * time.Second
	retryBudgetRatio   = 0.2
	retryBudgetSlack   = 50
	// drainLinger is how long an endpoint serves after its drain period, so that late
	// requests are observed.
	drainLinger = 500 * time.Millisecond
	// resumeDelay is how long after a pause a process still counts as faulty.
	resumeDelay = 300 * time.Millisecond
	// storeRecoveryTime is the extra time for gateways to update their configuration after store faults.
	storeRecoveryTime = 5 * time.Second
)

// Settings configures a run.
type Settings struct {
	// Binary is the path of the product's executable; Dir holds the settings and logs of
	// its processes.
	Binary, Dir string
	Seed        uint64
	// InjectionDuration is the period in which faults start.
	InjectionDuration                 time.Duration
	Gateways, PlainEndpoints, Engines int
	Clients                           int
	// Restores adds restores of the store from a copy to the faults.
	Restores bool
	// RateLimits adds endpoints that name a rate limit to the faults.
	RateLimits bool
	// Leaves adds endpoints that only their answers say to leave, Pauses endpoints that ask for a
	// pause, to the faults.
	Leaves, Pauses bool
	// Versions adds rollouts of other software versions of the engines, faults of all gateways at
	// once, and callers that resume broken streams.
	Versions bool
	// Keys gives callers keys, which are added and removed; StrictRevocation makes the gateways
	// prove that a key is valid. Quotas gives the groups of callers quotas. The latter two include Keys.
	Keys, StrictRevocation, Quotas bool
	// Refusals adds gateways that the store refuses for long beside a change.
	Refusals bool
	// LargeConfigs adds large configurations, which reach every other gateway over a thin link.
	LargeConfigs bool
	// HerdKills adds losses of many processes at once, some of them twice in a row.
	HerdKills bool
	// Crashing adds a caller whose request crashes each endpoint that runs it.
	Crashing bool
	// ClockSteps lets the time of day on an endpoint's machine jump when the endpoint starts again.
	ClockSteps bool
	// Strangers is the number of clients that don't behave at each gateway.
	Strangers int
	// DisableFaults runs the load without any faults.
	DisableFaults bool
}

// Report is the result of a run: the scheduled faults, the number of requests by route and
// outcome, and the violated rules.
type Report struct {
	Seed          uint64
	Faults        []string
	OutcomeCounts map[string]int
	Violations    []string
}

type soak struct {
	cfg            Settings
	env            *testbed.Environment
	storeListeners []*stub.Listener
	gateways       []*proc
	keepers        []*proc
	// groups are the names of the groups of callers.
	groups []string

	mu            sync.Mutex
	busyEndpoints map[int]bool
	busyProcs     map[int]bool
	// storeFaults and pathFaults are the periods of faults of the store, and of links,
	// endpoints, keepers and power.
	storeFaults []span
	pathFaults  []span
	// linkFaults are the periods of faults of links.
	linkFaults []span
	// powerLosses are the periods in which all processes were killed at once.
	powerLosses []span
	rotation    []*proc
	// crashing are the requests that crash endpoints.
	crashing []crashingRun
	errs     []error
}

// Run runs the load and the fault schedule of one seed. Violated rules are in the report; the
// error is about the run itself.
func Run(ctx context.Context, cfg Settings) (Report, error) {
	if cfg.Versions {
		cfg.Engines = max(cfg.Engines, minVersionEngines)
	}
	cfg.Keys = cfg.Keys || cfg.StrictRevocation || cfg.Quotas
	groups := callerGroups(cfg)
	env, err := testbed.New(testbed.Settings{
		SoftwareVersions: cfg.initialVersions(), Groups: groups,
		PlainEndpoints: cfg.PlainEndpoints, EngineEndpoints: cfg.Engines, Proxied: true, FaultFraction: 0.02, ProcessingTime: 20 * time.Millisecond, StreamEvents: 30, EventInterval: 15 * time.Millisecond, HeartbeatInterval: 600 * time.Millisecond,
	})
	if err != nil {
		return Report{}, err
	}
	defer env.Close()
	s := &soak{cfg: cfg, env: env, busyEndpoints: map[int]bool{}, busyProcs: map[int]bool{}}
	for _, g := range groups {
		s.groups = append(s.groups, g.Name)
	}
	defer s.stop()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	rep := Report{Seed: cfg.Seed}
	events := scheduleAll(cfg)
	for _, e := range events {
		rep.Faults = append(rep.Faults, e.String())
	}
	if err := s.drive(ctx, events); err != nil {
		return rep, err
	}
	rep.OutcomeCounts, rep.Violations = env.Checker.Counts(), env.Checker.Violations()
	return rep, errors.Join(s.errs...)
}

// drive runs clients and faults, and checks recovery and arrivals afterwards.
func (s *soak) drive(ctx context.Context, events []faultEvent) error {
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	var load, faults sync.WaitGroup
	lctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load.Go(func() { s.balance(lctx) })
	for i := range s.cfg.Clients {
		load.Go(func() { s.client(lctx, i) })
	}
	if s.cfg.Crashing {
		load.Go(func() { s.sendCrashing(lctx) })
	}
	if s.cfg.Strangers > 0 {
		for i, g := range s.gateways {
			load.Go(func() { s.crowdGateway(lctx, i) })
			load.Go(func() { s.watchMemory(lctx, g) })
		}
	}
	began := time.Now()
	for _, e := range events {
		if wait(ctx, time.Until(began.Add(e.at))) != nil {
			break
		}
		faults.Go(func() { s.inject(e) })
	}
	_ = wait(ctx, time.Until(began.Add(s.cfg.InjectionDuration)))
	faults.Wait()
	if ctx.Err() == nil {
		s.checkRecovery(ctx)
	}
	cancel()
	load.Wait()
	s.checkArrivals()
	s.checkRateLimits()
	s.checkNotices()
	s.checkResumptions()
	s.checkCrashing()
	s.checkGroups()
	for _, p := range s.procs() {
		if p.unexpectedExits > 0 {
			s.env.Checker.AddViolation("FAULT", "%s exited unexpectedly %d times", p.name, p.unexpectedExits)
		}
	}
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// build opens a store listener for each process and starts all processes.
func (s *soak) build() error {
	if err := os.MkdirAll(s.cfg.Dir, 0o750); err != nil {
		return fmt.Errorf("create the run's directory: %w", err)
	}
	addrs, err := testbed.FreeAddresses(3 * s.cfg.Gateways)
	if err != nil {
		return err
	}
	for i := range s.cfg.Engines {
		l, err := s.env.Store.Listen()
		if err != nil {
			return err
		}
		s.storeListeners = append(s.storeListeners, l)
		name := fmt.Sprintf("keeper-%d", i)
		p, err := newProc(name, "keeper", s.cfg.Binary, s.cfg.Dir, config.Keeper{
			Role: "keeper", ID: name, FailureDomain: "east", LogLevel: "info",
			Listen:   config.KeeperListen{Datagrams: fmt.Sprintf("%s:%d", s.env.KeeperHosts[i], s.env.KeeperPort)},
			Endpoint: config.KeeperEndpoint{Service: "models", Address: s.env.EngineEndpoints[i].RegisteredAddress()},
			Store:    storeConfig(l), Resources: config.ResourceLimits{MemoryMB: 128},
		})
		if err != nil {
			return err
		}
		s.keepers = append(s.keepers, p)
	}
	for i := range s.cfg.Gateways {
		l, err := s.env.Store.Listen()
		if err != nil {
			return err
		}
		s.storeListeners = append(s.storeListeners, l)
		name := fmt.Sprintf("gateway-%d", i)
		settings, err := s.gatewaySettings(config.Gateway{
			Role: "gateway", ID: name, FailureDomain: "east", KeeperPort: s.env.KeeperPort, LogLevel: "info",
			Listen:         config.GatewayListen{Callers: addrs[3*i], Ready: addrs[3*i+1], Datagrams: addrs[3*i+2]},
			Store:          storeConfig(l),
			Retries:        config.Retries{Ratio: retryBudgetRatio, Slack: retryBudgetSlack, Window: retryBudgetWindow},
			ModelLoadLimit: config.ModelLoadLimit{Window: 5 * time.Second},
			Shutdown:       config.Shutdown{GracePeriod: gracePeriod, DrainDelay: 2500 * time.Millisecond},
			Resources:      config.ResourceLimits{MemoryMB: s.gatewayMemoryMB()},
		})
		if err != nil {
			return err
		}
		p, err := newProc(name, "gateway", s.cfg.Binary, s.cfg.Dir, settings)
		if err != nil {
			return err
		}
		p.callers, p.ready = addrs[3*i], addrs[3*i+1]
		s.gateways = append(s.gateways, p)
	}
	if s.cfg.LargeConfigs {
		s.limitLinks()
	}
	for _, p := range s.procs() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func storeConfig(l *stub.Listener) config.Store {
	return config.Store{
		Address: l.Address, Timeout: 700 * time.Millisecond, ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, LeaseTerm: 4 * time.Second,
	}
}

func (s *soak) procs() []*proc {
	return append(s.gateways[:len(s.gateways):len(s.gateways)], s.keepers...)
}

// stop kills the processes that still run and closes the store listeners.
func (s *soak) stop() {
	var wg sync.WaitGroup
	for _, p := range s.procs() {
		wg.Go(func() { p.stop(false, 0) })
	}
	wg.Wait()
	for _, l := range s.storeListeners {
		l.Close()
	}
}

// recordError records an error of the test itself; Run returns it.
func (s *soak) recordError(err error) {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	}
}

// reserve reserves the target of a fault and returns false if it is taken: two faults of one
// kind on one target at once would revert each other.
func (s *soak) reserve(set *map[int]bool, i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (*set)[i] {
		return false
	}
	(*set)[i] = true
	return true
}

func (s *soak) release(set *map[int]bool, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(*set, i)
}

// recordFault records a fault that lasts until the returned function is called.
func (s *soak) recordFault(list *[]span) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(*list)
	*list = append(*list, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

func (s *soak) faultDuring(list *[]span, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range *list {
		if x.overlaps(from, to) {
			return true
		}
	}
	return false
}

// whenReady waits until all gateways are ready.
func (s *soak) waitReady(ctx context.Context) error {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); {
		n := 0
		for _, g := range s.gateways {
			if testbed.GatewayReady(ctx, g.ready) {
				n++
			}
		}
		if n == len(s.gateways) {
			return nil
		}
		if err := wait(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("gateways not ready after %v; see the logs in %s", recoveryTimeout, filepath.Clean(s.cfg.Dir))
}
