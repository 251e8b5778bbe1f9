package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

// Settings of a small deployment, as in the site file that claim.txt names.
const (
	heartbeat    = 1200 * time.Millisecond
	stableTime   = 3 * time.Second
	memoryMB     = 284
	keeperMB     = 216
	readyTimeout = 20 * time.Second
	// restartDelay is how long the platform leaves a process down that has ended.
	restartDelay = 600 * time.Millisecond
)

// Names in the configuration.
const (
	routeHost     = "desk.example"
	deskService   = "desk"
	annexService  = "annex"
	modelsService = "models"
	talkService   = "talk"
	modelName     = "m0"
)

// fleet is a deployment: the store, the runners and the processes under test.
type fleet struct {
	binary, dir string
	rec         *record
	store       *stub.Store
	// subnet holds the first three bytes of the addresses of this run.
	subnet     string
	keeperPort int
	// twoVersions makes every second engine run the newer software.
	twoVersions bool
	// linkMbps, if set, is the rate of each gateway's link to the store.
	linkMbps float64

	mu       sync.Mutex
	nextHost int
	procs    []*proc
	runners  []*runner
	closed   bool
}

func newFleet(binary, dir string, rec *record) *fleet {
	return &fleet{
		binary: binary, dir: dir, rec: rec, store: stub.NewStore(), nextHost: 1,
		subnet: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
}

// host returns the address of another machine.
func (f *fleet) host() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextHost++
	return f.subnet + "." + strconv.Itoa(f.nextHost)
}

// freePort returns a port that is free for TCP and UDP at an address.
func freePort(host string) (int, error) {
	for range 20 {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return 0, fmt.Errorf("find a free port: %w", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		c, err := net.ListenPacket("udp4", net.JoinHostPort(host, strconv.Itoa(port)))
		_ = l.Close()
		if err == nil {
			_ = c.Close()
			return port, nil
		}
	}
	return 0, errors.New("no port is free for TCP and UDP")
}

// proc is a gateway or a keeper.
type proc struct {
	f          *fleet
	name, role string
	// callers and ready are the addresses of a gateway.
	callers, ready string
	listener       *stub.Listener
	// link is nil unless the gateway's link has a rate.
	link     *link
	settings func(first bool) string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
	// upSince is when the process was last started, killedAt when it was last killed.
	upSince, killedAt time.Time
}

// addGateway starts a gateway with the settings that deploy/gateway.yaml.tmpl renders.
func (f *fleet) addGateway() (*proc, error) {
	host := f.host()
	l, err := f.store.Listen()
	if err != nil {
		return nil, err
	}
	storeAddress := l.Address
	var k *link
	if f.linkMbps > 0 {
		if k, err = newLink(l.Address, f.linkMbps); err != nil {
			return nil, err
		}
		storeAddress = k.address()
	}
	var ports []int
	for range 3 {
		port, err := freePort(host)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	p := &proc{f: f, role: "gateway", listener: l, link: k, callers: fmt.Sprintf("%s:%d", host, ports[0]), ready: fmt.Sprintf("%s:%d", host, ports[1])}
	p.name = fmt.Sprintf("frontend-%d", len(f.gateways())+1)
	p.settings = func(first bool) string {
		firstStart := ""
		if first {
			firstStart = "  first_start: true\n"
		}
		return fmt.Sprintf("role: gateway\nid: %q\nfailure_domain: \"east\"\nlisten:\n  callers: %q\n  ready: %q\n  metrics: \"%s:9464\"\n  datagrams: \"%s:%d\"\nkeeper_port: %d\nstore:\n  address: %q\n"+
			"retries:\n  ratio: 0.2\n  slack: 54\n  window: 10s\n%sloads:\n  window: 5s\nleave:\n  grace: 8s\n  unready: 2500ms\nresources:\n  memory_mb: %d\nlog_level: info\nramp: true\n",
			p.name, p.callers, p.ready, host, host, ports[2], f.keeperPort, storeAddress, firstStart, memoryMB)
	}
	return p, f.launch(p)
}

// addKeeper starts the keeper beside an engine.
func (f *fleet) addKeeper(r *runner) (*proc, error) {
	l, err := f.store.Listen()
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(r.address)
	p := &proc{f: f, role: "keeper", name: "side-" + r.name, listener: l}
	p.settings = func(bool) string {
		return fmt.Sprintf("role: keeper\nid: %q\nfailure_domain: \"east\"\nlisten:\n  metrics: \"%s:9465\"\n  datagrams: \"%s:%d\"\nendpoint:\n  service: %q\n  address: %q\nstore:\n  address: %q\nresources:\n  memory_mb: %d\nlog_level: info\n",
			p.name, host, host, f.keeperPort, modelsService, r.address, l.Address, keeperMB)
	}
	return p, f.launch(p)
}

func (f *fleet) launch(p *proc) error {
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	return p.start()
}

func (f *fleet) processes() []*proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*proc(nil), f.procs...)
}

func (f *fleet) gateways() []*proc {
	var out []*proc
	for _, p := range f.processes() {
		if p.role == "gateway" {
			out = append(out, p)
		}
	}
	return out
}

// start starts the process as the deploy file says; the log goes to the temporary folder.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.f.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0)), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(filepath.Join(p.f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	defer log.Close()
	cmd := exec.Command(p.f.binary, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILHEAD_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	p.cmd, p.exited, p.upSince = cmd, exited, time.Now()
	p.starts++
	p.f.rec.add("%s started (%d)", p.name, p.starts)
	return nil
}

// kill ends the process at once.
func (p *proc) kill(why string) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.killedAt = time.Now()
	p.mu.Unlock()
	p.f.rec.add("%s killed: %s", p.name, why)
	_ = cmd.Process.Kill()
	<-exited
}

// inTouch reports whether the process has run for stableTime without a kill.
func (p *proc) inTouch(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killedAt.Before(p.upSince) && now.Sub(p.upSince) >= stableTime
}

// rss returns the resident memory of the process in bytes.
func (p *proc) rss() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// waitReady waits until every gateway says that it is ready.
func (f *fleet) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(readyTimeout)
	for _, g := range f.gateways() {
		for {
			resp, err := client.Get("http://" + g.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and runners.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	procs, runners := f.procs, f.runners
	f.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		p.mu.Unlock()
		p.listener.Close()
		if p.link != nil {
			p.link.close()
		}
	}
	for _, r := range runners {
		r.close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, p := range procs {
			if data, err := os.ReadFile(filepath.Join(f.dir, p.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), data, 0o600)
			}
		}
	}
}

// baseConfig returns the operators' first configuration.
func baseConfig() stub.Config {
	return stub.Config{
		Version: 7,
		Limits:  stub.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Services: []stub.Service{
			{Name: deskService, HealthPath: "/healthz", MaxConns: 100},
			{Name: annexService, HealthPath: "/healthz", MaxConns: 100},
			{Name: talkService, HealthPath: "/healthz", MaxConns: 360},
			{Name: modelsService, HealthPath: "/healthz", MaxConns: 360, Engine: &stub.Engine{
				Slots: 64, CacheTokens: 231707, WeightsMB: 220000, AdapterSlots: adapterSlots, LoadsPerS: 2.1,
				Models: []stub.Model{{Name: modelName, WeightsMB: 65100, AdapterMB: 12, Adapters: 57, LoadS: 5, WarmS: 0.38, DiskS: 1}},
			}},
		},
		Routes: []stub.Route{
			{Name: "lookup", Host: routeHost, Prefix: "/lookup/", Kind: stub.KindIdempotent, TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: deskService, MaxAttempts: 2},
			{Name: "post", Host: routeHost, Prefix: "/post/", Kind: stub.KindOnce, TimeoutMS: 1500, ObjectiveMS: 300, Priority: 2, Service: deskService, MaxAttempts: 1},
			{Name: "roster", Host: routeHost, Prefix: "/roster/", Kind: stub.KindIdempotent, TimeoutMS: 12000, ObjectiveMS: 5000, Priority: 1, Service: deskService, MaxAttempts: 2},
			{Name: "chat", Host: routeHost, Prefix: "/chat/", Kind: stub.KindStream, TimeoutMS: 12000, ObjectiveMS: 5000, GapObjectiveMS: 400, Priority: 1, Service: modelsService, MaxAttempts: 2, Resumable: true},
			{Name: "talk", Host: routeHost, Prefix: "/talk/", Kind: stub.KindStream, TimeoutMS: 12000, ObjectiveMS: 5000, GapObjectiveMS: 400, Priority: 1, Service: talkService, MaxAttempts: 2, Resumable: true},
		},
	}
}

// deploy starts a small deployment and waits until it serves.
func (f *fleet) deploy(gateways, desks, annexes, engines int, talkers ...int) error {
	f.store.Configure(baseConfig())
	port, err := freePort(f.subnet + ".1")
	if err != nil {
		return err
	}
	f.keeperPort = port
	counts := map[string]int{deskService: desks, annexService: annexes, modelsService: engines}
	for _, n := range talkers {
		counts[talkService] = n
	}
	for service, n := range counts {
		for i := range n {
			if _, err := f.addRunner(service, fmt.Sprintf("%s-%d", service, i+1)); err != nil {
				return err
			}
		}
	}
	for range gateways {
		if _, err := f.addGateway(); err != nil {
			return err
		}
	}
	for _, r := range f.serviceRunners(modelsService) {
		if _, err := f.addKeeper(r); err != nil {
			return err
		}
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	// Gateways are in touch from then on, and keepers have reported to them.
	time.Sleep(stableTime + 2*time.Second)
	return nil
}
