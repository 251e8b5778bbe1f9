package testbed

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

// The names in a town's configuration.
const (
	RouteHost    = "town.example"
	plainService = "plain"
	otherService = "other"
	modelService = "models"
)

// Settings shape a town.
type Settings struct {
	// PlainEndpoints and Engines are the numbers of endpoints of each kind.
	PlainEndpoints, EngineEndpoints int
	// Proxied puts a proxy before each endpoint.
	Proxied       bool
	FaultFraction float64
	// ProcessingTime is the time of a plain run; Events and Gap shape streams.
	ProcessingTime time.Duration
	StreamEvents   int
	EventInterval  time.Duration
	// HeartbeatInterval is the pause between writes of the registrations.
	HeartbeatInterval time.Duration
}

// Environment is a small deployment's outside: store, endpoints and clients' view of both.
type Environment struct {
	Store           *stub.Store
	Checker         *Checker
	PlainEndpoints  []*Endpoint
	EngineEndpoints []*Endpoint
	Proxies         []*FaultProxy
	Addresses       []string
	// KeeperPort is the port of keepers, KeeperHosts the addresses of the engines' hosts.
	KeeperPort  int
	KeeperHosts []string

	mu     sync.Mutex
	config stub.Config
}

// Models are the models of a town; each engine has room for three.
var Models = []string{"ant", "bee", "cat", "dog", "elk"}

// New starts a town.
func New(cfg Settings) (*Environment, error) {
	t := &Environment{Store: stub.NewStore(), Checker: NewChecker()}
	spec := &stub.Engine{Slots: 8, CacheTokens: 100_000, WeightsMB: 330, AdapterSlots: 4, LoadsPerS: 4}
	for _, m := range Models {
		spec.Models = append(spec.Models, stub.Model{Name: m, WeightsMB: 100, AdapterMB: 1, Adapters: 8, LoadS: 0.4, WarmS: 0.1, DiskS: 0.2})
	}
	t.config = stub.Config{
		Version: 1, Limits: stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000},
		Services: []stub.Service{
			{Name: plainService, HealthPath: "/healthz", MaxConns: 100},
			{Name: otherService, HealthPath: "/healthz", MaxConns: 100},
			{Name: modelService, HealthPath: "/healthz", MaxConns: 100, Engine: spec},
		},
		Routes: []stub.Route{
			{Name: "get", Prefix: "/get/", Kind: stub.KindIdempotent, TimeoutMS: 2000, ObjectiveMS: 300, Service: plainService, MaxAttempts: 3},
			{Name: "post", Prefix: "/post/", Kind: stub.KindOnce, TimeoutMS: 2000, ObjectiveMS: 300, Service: plainService, MaxAttempts: 1},
			{Name: "chat", Prefix: "/chat/", Kind: stub.KindStream, TimeoutMS: 6000, ObjectiveMS: 500, GapObjectiveMS: 300, Service: modelService, MaxAttempts: 3, Resumable: true},
			{Name: "talk", Prefix: "/talk/", Kind: stub.KindStream, TimeoutMS: 6000, ObjectiveMS: 500, GapObjectiveMS: 300, Service: modelService, MaxAttempts: 1},
		},
	}
	for i := range t.config.Routes {
		t.config.Routes[i].Host = RouteHost
	}
	t.Store.Configure(t.config)
	base := EndpointSettings{Zone: "east", Slots: 8, ProcessingTime: cfg.ProcessingTime, StreamEvents: cfg.StreamEvents, EventInterval: cfg.EventInterval, HeartbeatInterval: cfg.HeartbeatInterval, FaultFraction: cfg.FaultFraction}
	for i := range cfg.PlainEndpoints {
		s := base
		s.Service = plainService
		if i == 0 && cfg.PlainEndpoints > 1 {
			s.Service = otherService
		}
		e, err := t.add(s, fmt.Sprintf("127.0.3.%d", i+1), cfg.Proxied)
		if err != nil {
			return nil, err
		}
		t.PlainEndpoints = append(t.PlainEndpoints, e)
	}
	port, err := freePort("127.0.4.1")
	if err != nil {
		return nil, err
	}
	t.KeeperPort = port
	for i := range cfg.EngineEndpoints {
		s := base
		s.Service, s.Engine = modelService, spec
		s.InitialModels = []string{Models[i%len(Models)], Models[(i+1)%len(Models)]}
		host := fmt.Sprintf("127.0.4.%d", i+1)
		e, err := t.add(s, host, cfg.Proxied)
		if err != nil {
			return nil, err
		}
		t.EngineEndpoints = append(t.EngineEndpoints, e)
		t.KeeperHosts = append(t.KeeperHosts, host)
	}
	return t, nil
}

var freeHosts atomic.Uint32

// FreeAddresses returns addresses of a loopback host of their own, whose ports are free
// for connections and for datagrams. No other process takes them before they are used.
func FreeAddresses(n int) ([]string, error) {
	const first, hosts = 16, 200
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", first+pid%hosts, pid/hosts%hosts, 1+freeHosts.Add(1)%hosts)
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// All stay open until all are known, so that none comes twice.
		defer l.Close()
		c, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			continue
		}
		defer c.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func freePort(host string) (int, error) {
	c, err := net.ListenPacket("udp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return 0, fmt.Errorf("find a free port: %w", err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port, nil
}

// add starts an endpoint on a host, behind a proxy if there is one.
func (t *Environment) add(s EndpointSettings, host string, proxied bool) (*Endpoint, error) {
	s.ListenAddress = net.JoinHostPort(host, "0")
	var p *FaultProxy
	if proxied {
		var err error
		if p, err = NewFaultProxy(s.ListenAddress); err != nil {
			return nil, err
		}
		s.RegisteredAddress = p.Address
		s.ListenAddress = "127.0.0.1:0"
	}
	e := NewEndpoint(s, t.Store, t.Checker)
	if err := e.Start(); err != nil {
		return nil, err
	}
	if p != nil {
		go p.Run(e.ListenAddress())
		t.Proxies = append(t.Proxies, p)
	}
	return e, nil
}

// RegisteredAddress returns the address that the endpoint registers.
func (e *Endpoint) RegisteredAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.RegisteredAddress
}

// Route returns a route of the configuration.
func (t *Environment) Route(name string) stub.Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.config.Routes {
		if r.Name == name {
			return r
		}
	}
	return stub.Route{}
}

// AddRoute writes a new version of the configuration with one more route, whose name it returns.
func (t *Environment) AddRoute() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.Version += 3
	name := "new" + strconv.FormatUint(t.config.Version, 10)
	t.config.Routes = append(t.config.Routes[:len(t.config.Routes):len(t.config.Routes)], stub.Route{
		Name: name, Host: RouteHost, Prefix: "/" + name + "/", Kind: stub.KindIdempotent, TimeoutMS: 2000, ObjectiveMS: 300, Service: otherService, MaxAttempts: 3,
	})
	t.Store.Configure(t.config)
	return name
}

// Close ends the town's endpoints and proxies.
func (t *Environment) Close() {
	for _, p := range t.Proxies {
		p.Close()
	}
	for _, list := range [][]*Endpoint{t.PlainEndpoints, t.EngineEndpoints} {
		for _, e := range list {
			e.Kill()
		}
	}
}
