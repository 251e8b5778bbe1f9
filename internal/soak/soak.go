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

// The town's bounds, those of the platform's contract.
const (
	grace      = 8 * time.Second
	recoverIn  = 12 * time.Second
	applyIn    = 2 * time.Second
	drainFor   = 2 * time.Second
	stable     = 3 * time.Second
	budgetIn   = 10 * time.Second
	budgetPart = 0.2
	budgetMore = 50
	// drainLinger is how long an endpoint serves on after its time to leave, so that late
	// requests are seen; thaw is how long after a pause a process counts as harmed.
	drainLinger = 500 * time.Millisecond
	thaw        = 300 * time.Millisecond
	// outerMore is added to the bound of a configuration after faults of the store.
	outerMore = 5 * time.Second
)

// Settings shape a run.
type Settings struct {
	// Binary is the product's program, Dir takes settings and logs.
	Binary, Dir string
	Seed        uint64
	// InjectionDuration is the time in which faults begin.
	InjectionDuration                 time.Duration
	Gateways, PlainEndpoints, Engines int
	Clients                           int
	// DisableFaults leaves all faults out.
	DisableFaults bool
}

// Report is what a run found.
type Report struct {
	Seed          uint64
	Faults        []string
	OutcomeCounts map[string]int
	Violations    []string
}

type soak struct {
	cfg      Settings
	town     *testbed.Environment
	doors    []*stub.Listener
	gateways []*proc
	keepers  []*proc

	mu            sync.Mutex
	busyEndpoints map[int]bool
	busyProcs     map[int]bool
	storeHarm     []span
	wayHarm       []span
	rotation      []*proc
	errs          []error
}

// Run plays one seed.
func Run(ctx context.Context, cfg Settings) (Report, error) {
	town, err := testbed.New(testbed.Settings{
		PlainEndpoints: cfg.PlainEndpoints, EngineEndpoints: cfg.Engines, Proxied: true, FaultFraction: 0.02, ProcessingTime: 20 * time.Millisecond, StreamEvents: 30, EventInterval: 15 * time.Millisecond, HeartbeatInterval: 600 * time.Millisecond,
	})
	if err != nil {
		return Report{}, err
	}
	defer town.Close()
	s := &soak{cfg: cfg, town: town, busyEndpoints: map[int]bool{}, busyProcs: map[int]bool{}}
	defer s.stop()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	rep := Report{Seed: cfg.Seed}
	events := schedule(cfg.Seed, cfg.InjectionDuration)
	if cfg.DisableFaults {
		events = nil
	}
	for _, e := range events {
		rep.Faults = append(rep.Faults, e.String())
	}
	if err := s.drive(ctx, events); err != nil {
		return rep, err
	}
	rep.OutcomeCounts, rep.Violations = town.Checker.Counts(), town.Checker.Violations()
	return rep, errors.Join(s.errs...)
}

// drive runs clients and faults, and checks the fleet afterwards.
func (s *soak) drive(ctx context.Context, events []event) error {
	if err := s.whenReady(ctx); err != nil {
		return err
	}
	var load, faults sync.WaitGroup
	lctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load.Go(func() { s.balance(lctx) })
	for i := range s.cfg.Clients {
		load.Go(func() { s.client(lctx, i) })
	}
	began := time.Now()
	for _, e := range events {
		if wait(ctx, time.Until(began.Add(e.at))) != nil {
			break
		}
		faults.Go(func() { s.play(e) })
	}
	_ = wait(ctx, time.Until(began.Add(s.cfg.InjectionDuration)))
	faults.Wait()
	if ctx.Err() == nil {
		s.recovered(ctx)
	}
	cancel()
	load.Wait()
	s.checkArrivals()
	for _, p := range s.procs() {
		if p.ends > 0 {
			s.town.Checker.AddViolation("FAULT", "%s ended %d times by itself", p.name, p.ends)
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

// build opens the store's doors and starts all processes.
func (s *soak) build() error {
	if err := os.MkdirAll(s.cfg.Dir, 0o750); err != nil {
		return fmt.Errorf("make the run's directory: %w", err)
	}
	addrs, err := testbed.FreeAddresses(3 * s.cfg.Gateways)
	if err != nil {
		return err
	}
	for i := range s.cfg.Engines {
		d, err := s.town.Store.Listen()
		if err != nil {
			return err
		}
		s.doors = append(s.doors, d)
		name := fmt.Sprintf("keeper-%d", i)
		p, err := newProc(name, "keeper", s.cfg.Binary, s.cfg.Dir, config.Keeper{
			Role: "keeper", ID: name, FailureDomain: "east", LogLevel: "info",
			Listen:   config.KeeperListen{Datagrams: fmt.Sprintf("%s:%d", s.town.KeeperHosts[i], s.town.KeeperPort)},
			Endpoint: config.KeeperEndpoint{Service: "models", Address: s.town.EngineEndpoints[i].RegisteredAddress()},
			Store:    store(d), Resources: config.ResourceLimits{MemoryMB: 128},
		})
		if err != nil {
			return err
		}
		s.keepers = append(s.keepers, p)
	}
	for i := range s.cfg.Gateways {
		d, err := s.town.Store.Listen()
		if err != nil {
			return err
		}
		s.doors = append(s.doors, d)
		name := fmt.Sprintf("gateway-%d", i)
		p, err := newProc(name, "gateway", s.cfg.Binary, s.cfg.Dir, config.Gateway{
			Role: "gateway", ID: name, FailureDomain: "east", KeeperPort: s.town.KeeperPort, LogLevel: "info",
			Listen:         config.GatewayListen{Callers: addrs[3*i], Ready: addrs[3*i+1], Datagrams: addrs[3*i+2]},
			Store:          store(d),
			Retries:        config.Retries{Ratio: budgetPart, Slack: budgetMore, Window: budgetIn},
			ModelLoadLimit: config.ModelLoadLimit{Window: 5 * time.Second},
			Shutdown:       config.Shutdown{GracePeriod: grace, DrainDelay: 2500 * time.Millisecond},
			Resources:      config.ResourceLimits{MemoryMB: 200},
		})
		if err != nil {
			return err
		}
		p.callers, p.ready = addrs[3*i], addrs[3*i+1]
		s.gateways = append(s.gateways, p)
	}
	for _, p := range s.procs() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func store(d *stub.Listener) config.Store {
	return config.Store{
		Address: d.Address, Timeout: 700 * time.Millisecond, ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, LeaseTerm: 4 * time.Second,
	}
}

func (s *soak) procs() []*proc {
	return append(s.gateways[:len(s.gateways):len(s.gateways)], s.keepers...)
}

// stop ends whatever still runs, by the ids of the processes that it started.
func (s *soak) stop() {
	var wg sync.WaitGroup
	for _, p := range s.procs() {
		wg.Go(func() { p.end(false, 0) })
	}
	wg.Wait()
	for _, d := range s.doors {
		d.Close()
	}
}

// must notes an error of the soak itself.
func (s *soak) must(err error) {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	}
}

// take reserves what a fault is about to harm; two faults of one kind on one thing at
// once would undo each other.
func (s *soak) take(set *map[int]bool, i int) bool {
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

// note notes that something is wrong until the returned function is called.
func (s *soak) note(list *[]span) func() {
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

func (s *soak) wrong(list *[]span, from, to time.Time) bool {
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
func (s *soak) whenReady(ctx context.Context) error {
	for end := time.Now().Add(recoverIn); time.Now().Before(end); {
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
	return fmt.Errorf("the gateways are not ready after %v; see the logs in %s", recoverIn, filepath.Clean(s.cfg.Dir))
}
