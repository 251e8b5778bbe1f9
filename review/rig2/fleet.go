package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

// The bounds of the smaller site of the users' pages, which the settings of the processes hold too.
const (
	stable    = 3 * time.Second
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
	// smallSlack is the slack of the retry budget.
	smallSlack = 54
)

// The names in the configuration.
const (
	routeHost = "avis.example"
	engines   = "redac"
	portal    = "portail"
)

// The ports of the machines, each of which has a loopback address of its own.
const (
	frontPort, readyPort, appPort = 8149, 8141, 8145
	firstInner, lastInner         = 7380, 7395
)

// fleet is a small deployment: the store, the runners, and the gateways and keepers as processes.
type fleet struct {
	bin, dir string
	rec      *record
	store    *stub.Store
	closers  []func()
	// budgetSlack is the slack of the retry budget in the gateways' settings.
	budgetSlack int

	mu     sync.Mutex
	config stub.Config

	gateways []*proc
	keepers  []*proc
	runners  []*runner
}

// layout says what a case needs.
type layout struct {
	gateways, engines, plain int
	config                   stub.Config
	// budgetSlack is the slack of the retry budget; 0 stands for that of the smaller site.
	budgetSlack int
	// hold are the models that each engine has at its first start, by its number.
	hold func(i int) []string
	// behave sets what is particular about a runner; it may be nil.
	behave func(r *runner)
}

func newFleet(bin string, rec *record) (*fleet, error) {
	abs, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(abs); err != nil {
		return nil, fmt.Errorf("the product is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{bin: abs, dir: dir, rec: rec, store: stub.NewStore()}
	f.closers = append(f.closers, func() {
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(dir)
		}
	})
	return f, nil
}

// host returns the address of a machine; other runs of the rig use others.
func host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%200, n)
}

const (
	firstFront, firstSide, firstPlain = 10, 100, 200
)

// start starts everything and waits until the gateways are ready.
func (f *fleet) start(l layout) error {
	f.config, f.budgetSlack = l.config, cmp.Or(l.budgetSlack, smallSlack)
	f.store.Configure(f.config)
	for i := range l.engines {
		r := newRunner(f, engines, fmt.Sprintf("%s:%d", host(firstSide+i), appPort), l.config.Services[0].Engine)
		r.models = l.hold(i)
		r.onDisk = l.hold(i)
		f.runners = append(f.runners, r)
	}
	for i := range l.plain {
		f.runners = append(f.runners, newRunner(f, portal, fmt.Sprintf("%s:%d", host(firstPlain+i), appPort), nil))
	}
	for _, r := range f.runners {
		if l.behave != nil {
			l.behave(r)
		}
		if err := r.start(); err != nil {
			return err
		}
		f.closers = append(f.closers, r.end)
	}
	for i := range l.engines {
		p, err := f.newProc(fmt.Sprintf("side-%d", i+1), "keeper", host(firstSide+i), map[string]any{
			"service": engines, "app": fmt.Sprintf("%s:%d", host(firstSide+i), appPort),
		})
		if err != nil {
			return err
		}
		f.keepers = append(f.keepers, p)
	}
	for i := range l.gateways {
		ip := host(firstFront + i)
		p, err := f.newProc(fmt.Sprintf("frontend-%d", i+1), "gateway", ip, map[string]any{
			"bootstrap": true,
			"listen":    map[string]any{"front": fmt.Sprintf("%s:%d", ip, frontPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)},
		})
		if err != nil {
			return err
		}
		p.front, p.ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
		f.gateways = append(f.gateways, p)
	}
	for _, p := range append(f.keepers[:len(f.keepers):len(f.keepers)], f.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
		f.closers = append(f.closers, func() { _ = p.stop(syscall.SIGKILL, grace) })
	}
	for _, p := range f.gateways {
		if err := f.awaitReady(p); err != nil {
			return err
		}
	}
	f.rec.notef("%d gateways are ready, %d runners serve", len(f.gateways), len(f.runners))
	return nil
}

// newProc writes the settings of a process.
func (f *fleet) newProc(name, role, ip string, own map[string]any) (*proc, error) {
	l, err := f.store.Listen()
	if err != nil {
		return nil, err
	}
	f.closers = append(f.closers, l.Close)
	fields := map[string]any{
		"nodeName": name, "zone": "charguia", "ip": ip, "internalPorts": []int{firstInner, lastInner},
		"platform": map[string]any{"address": l.Address},
		"limits":   map[string]any{"memoryMb": 284},
		"bounds": map[string]any{
			"retryBudgetRatio": 0.2, "retryBudgetSlack": f.budgetSlack, "budgetWindowS": 10, "ceilingWindowS": 5, "graceS": 8,
		},
	}
	for k, v := range own {
		fields[k] = v
	}
	tmpl, err := os.ReadFile(filepath.Join("deploy", role+".yaml.tmpl"))
	if err != nil {
		return nil, fmt.Errorf("run this in the repository's root: %w", err)
	}
	text, err := render(string(tmpl), fields)
	if err != nil {
		return nil, err
	}
	p := &proc{name: name, role: role, bin: f.bin, dir: f.dir}
	return p, os.WriteFile(p.settings(), []byte(text), 0o600)
}

var errNotReady = errors.New("a gateway is not ready in time")

func (f *fleet) awaitReady(p *proc) error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + p.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, p.name)
}

// restartInTurn stops the gateways one after the other, as the platform does for planned work, and
// starts each again before the next one is stopped.
func (f *fleet) restartInTurn() error {
	for _, p := range f.gateways {
		f.rec.notef("SIGTERM to %s", p.name)
		if err := p.stop(syscall.SIGTERM, grace); err != nil {
			return err
		}
		f.setBootstrap(p)
		if err := p.start(); err != nil {
			return err
		}
		if err := f.awaitReady(p); err != nil {
			return err
		}
		f.rec.notef("%s is ready again", p.name)
	}
	return nil
}

// setBootstrap rewrites a gateway's settings as they are after the first start of the system.
func (f *fleet) setBootstrap(p *proc) {
	data, err := os.ReadFile(p.settings())
	if err != nil {
		return
	}
	text := string(data)
	const line = "  first_start: true\n"
	for i := 0; i+len(line) <= len(text); i++ {
		if text[i:i+len(line)] == line {
			_ = os.WriteFile(p.settings(), []byte(text[:i]+text[i+len(line):]), 0o600)
			return
		}
	}
}

// configure writes a new version of the configuration, as the operator does.
func (f *fleet) configure(change func(c *stub.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, _ := json.Marshal(f.config)
	var next stub.Config
	_ = json.Unmarshal(data, &next)
	change(&next)
	next.Version += 3
	f.config = next
	f.store.Configure(next)
	f.rec.notef("the operator writes version %d of the configuration", next.Version)
}

var errExited = errors.New("a process ended by itself")

func (f *fleet) unexpectedExit() error {
	for _, p := range append(f.keepers[:len(f.keepers):len(f.keepers)], f.gateways...) {
		p.mu.Lock()
		n := p.unexpected
		p.mu.Unlock()
		if n > 0 {
			return fmt.Errorf("%w: %s", errExited, p.name)
		}
	}
	return nil
}

func (f *fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
