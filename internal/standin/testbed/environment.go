package testbed

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform/stub"
)

// The host and service names in the configuration.
const (
	RouteHost    = "town.example"
	plainService = "plain"
	otherService = "other"
	modelService = "models"
)

// Settings configures an environment.
type Settings struct {
	// PlainEndpoints and EngineEndpoints are the numbers of endpoints of each kind.
	PlainEndpoints, EngineEndpoints int
	// Proxied puts a FaultProxy in front of each endpoint.
	Proxied       bool
	FaultFraction float64
	// ProcessingTime is the duration of a plain run; StreamEvents and EventInterval are the
	// length and pace of a stream.
	ProcessingTime time.Duration
	StreamEvents   int
	EventInterval  time.Duration
	// HeartbeatInterval is the time between two writes of a registration.
	HeartbeatInterval time.Duration
	// SoftwareVersions are the versions of the engines, in turn; without any they have none.
	SoftwareVersions []string
	// Groups are the groups of callers in the first configuration; without any, callers need no key.
	Groups []stub.Group
}

// Environment is what surrounds the gateways and keepers of a small deployment: the store,
// the endpoints and the proxies in front of them.
type Environment struct {
	Store           *stub.Store
	Checker         *Checker
	PlainEndpoints  []*Endpoint
	EngineEndpoints []*Endpoint
	Proxies         []*FaultProxy
	Addresses       []string
	// KeeperPort is the keepers' port, KeeperHosts the addresses of the engines' hosts.
	KeeperPort  int
	KeeperHosts []string
	ports       []*portHold
	heartbeat   time.Duration

	mu     sync.Mutex
	config stub.Config
}

// Models are the models that engines can load; each engine has memory for three.
var Models = []string{"ant", "bee", "cat", "dog", "elk"}

// New starts an environment; Close stops it.
func New(cfg Settings) (*Environment, error) {
	env := &Environment{Store: stub.NewStore(), Checker: NewChecker(), heartbeat: cfg.HeartbeatInterval}
	spec := &stub.Engine{Slots: 8, CacheTokens: 100_000, WeightsMB: 330, AdapterSlots: 4, LoadsPerS: 4}
	for _, m := range Models {
		spec.Models = append(spec.Models, stub.Model{Name: m, WeightsMB: 100, AdapterMB: 1, Adapters: 8, LoadS: 0.4, WarmS: 0.1, DiskS: 0.2})
	}
	env.config = stub.Config{
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
	env.addGroups(cfg.Groups)
	for i := range env.config.Routes {
		env.config.Routes[i].Host = RouteHost
	}
	env.Store.Configure(env.config)
	base := EndpointSettings{Zone: "east", Slots: 8, ProcessingTime: cfg.ProcessingTime, StreamEvents: cfg.StreamEvents, EventInterval: cfg.EventInterval, HeartbeatInterval: cfg.HeartbeatInterval, FaultFraction: cfg.FaultFraction}
	for i := range cfg.PlainEndpoints {
		s := base
		s.Service = plainService
		if i == 0 && cfg.PlainEndpoints > 1 {
			s.Service = otherService
		}
		e, err := env.add(s, fmt.Sprintf("127.0.3.%d", i+1), cfg.Proxied)
		if err != nil {
			return nil, err
		}
		env.PlainEndpoints = append(env.PlainEndpoints, e)
	}
	if err := env.holdKeeperPort(cfg.EngineEndpoints); err != nil {
		return nil, err
	}
	for i := range cfg.EngineEndpoints {
		s := base
		s.Service, s.Engine = modelService, spec
		s.InitialModels = []string{Models[i%len(Models)], Models[(i+1)%len(Models)]}
		if n := len(cfg.SoftwareVersions); n > 0 {
			s.SoftwareVersion = cfg.SoftwareVersions[i%n]
		}
		e, err := env.add(s, env.KeeperHosts[i], cfg.Proxied)
		if err != nil {
			return nil, err
		}
		env.EngineEndpoints = append(env.EngineEndpoints, e)
	}
	return env, nil
}

var nextHost atomic.Uint32

// FreeAddresses returns n addresses on a loopback host derived from the process id, with ports
// that are free for TCP and UDP. Other processes use other loopback hosts, so the ports stay
// free until they are used.
func FreeAddresses(n int) ([]string, error) {
	const first, hosts = 16, 200
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", first+pid%hosts, pid/hosts%hosts, 1+nextHost.Add(1)%hosts)
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// Kept open until all ports are known, so that no port is returned twice.
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

// holdKeeperPort names the hosts of n engines and holds a port on them, or on one host if there is no
// engine, because gateways need a port in any case.
func (env *Environment) holdKeeperPort(n int) error {
	var hosts []string
	for i := range max(1, n) {
		hosts = append(hosts, fmt.Sprintf("127.0.4.%d", i+1))
	}
	env.KeeperHosts = hosts[:n]
	port, err := env.holdPort(hosts...)
	env.KeeperPort = port
	return err
}

// holdPort holds a port on hosts until Close, so that a process which starts again gets it.
func (env *Environment) holdPort(hosts ...string) (int, error) {
	h, err := holdPort(hosts)
	if err != nil {
		return 0, err
	}
	env.ports = append(env.ports, h)
	return h.port, nil
}

// add starts an endpoint on a host, behind a proxy if proxied is set.
func (env *Environment) add(s EndpointSettings, host string, proxied bool) (*Endpoint, error) {
	port, err := env.holdPort(host)
	if err != nil {
		return nil, err
	}
	s.ListenAddress = net.JoinHostPort(host, strconv.Itoa(port))
	var p *FaultProxy
	if proxied {
		if p, err = NewFaultProxy(net.JoinHostPort(host, "0")); err != nil {
			return nil, err
		}
		s.RegisteredAddress = p.Address
	}
	e := NewEndpoint(s, env.Store, env.Checker)
	if err := e.Start(); err != nil {
		return nil, err
	}
	if p != nil {
		go p.Run(e.ListenAddress())
		env.Proxies = append(env.Proxies, p)
	}
	return e, nil
}

// RegisteredAddress returns the address in the endpoint's registration.
func (e *Endpoint) RegisteredAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.RegisteredAddress
}

// Route returns the route with a name, or the zero value if there is none.
func (env *Environment) Route(name string) stub.Route {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, r := range env.config.Routes {
		if r.Name == name {
			return r
		}
	}
	return stub.Route{}
}

// AddRoute writes a new version of the configuration with one more route and returns its name.
func (env *Environment) AddRoute() string { return env.addRoute(nil) }

// AddRoutes writes a new version of the configuration with a number of routes that nobody uses, in
// place of earlier ones, and with one more route, whose name it returns.
func (env *Environment) AddRoutes(unused int) string {
	return env.addRoute(func(routes []stub.Route) []stub.Route {
		routes = slices.DeleteFunc(routes, func(r stub.Route) bool { return r.Host == unusedHost })
		for i := range unused {
			name := fmt.Sprintf("unused%05d", i)
			routes = append(routes, stub.Route{
				Name: name, Host: unusedHost, Prefix: "/" + name + "/", Kind: stub.KindIdempotent, TimeoutMS: 12000, ObjectiveMS: 5000, Service: otherService, MaxAttempts: 2,
			})
		}
		return routes
	})
}

// unusedHost is the host of the routes that nobody uses.
const unusedHost = "unused.example"

// addRoute writes a new version of the configuration with one more route; change, which may be nil,
// changes the others.
func (env *Environment) addRoute(change func([]stub.Route) []stub.Route) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.config.Version += 3
	env.config.Routes = slices.Clone(env.config.Routes)
	if change != nil {
		env.config.Routes = change(env.config.Routes)
	}
	name := "new" + strconv.FormatUint(env.config.Version, 10)
	env.config.Routes = append(env.config.Routes, stub.Route{
		Name: name, Host: RouteHost, Prefix: "/" + name + "/", Kind: stub.KindIdempotent, TimeoutMS: 2000, ObjectiveMS: 300, Service: otherService, MaxAttempts: 3,
	})
	env.Store.Configure(env.config)
	return name
}

// RestoreStore replaces the store's content by that of a backup. Registrations of endpoints
// that ended since then lapse again, as those of endpoints that fall silent do.
func (env *Environment) RestoreStore(b stub.Backup) {
	env.Store.Restore(b)
	time.AfterFunc(3*env.heartbeat, func() {
		live := map[string]bool{}
		for _, e := range slices.Concat(env.PlainEndpoints, env.EngineEndpoints) {
			live[e.ID()] = true
		}
		for _, id := range env.Store.Registrations() {
			if !live[id] {
				env.Store.Unregister(id)
			}
		}
	})
}

// RewriteConfig writes the newest version of the configuration once more, as operators do
// after the store lost it.
func (env *Environment) RewriteConfig() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.Store.Configure(env.config)
}

// Close stops the endpoints and proxies.
func (env *Environment) Close() {
	for _, p := range env.Proxies {
		p.Close()
	}
	for _, list := range [][]*Endpoint{env.PlainEndpoints, env.EngineEndpoints} {
		for _, e := range list {
			e.Kill()
		}
	}
	for _, p := range env.ports {
		p.release()
	}
}
