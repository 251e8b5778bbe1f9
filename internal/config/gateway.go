package config

import (
	"fmt"
	"time"
)

// Gateway holds the settings of a gateway on the users' platform.
type Gateway struct {
	Role          string        `yaml:"role"`
	ID            string        `yaml:"id"`
	FailureDomain string        `yaml:"failure_domain"`
	Listen        GatewayListen `yaml:"listen"`
	// KeeperPort is the port on which the keepers receive datagrams.
	KeeperPort     int            `yaml:"keeper_port"`
	Store          Store          `yaml:"store"`
	Retries        Retries        `yaml:"retries"`
	ModelLoadLimit ModelLoadLimit `yaml:"loads"`
	Revocation     Revocation     `yaml:"revocation"`
	Shutdown       Shutdown       `yaml:"leave"`
	Resources      ResourceLimits `yaml:"resources"`
	Clients        ClientLimits   `yaml:"clients"`
	// Ramp limits the requests to endpoints that have just started or recovered.
	Ramp     bool   `yaml:"ramp"`
	LogLevel string `yaml:"log_level"`
}

// GatewayListen holds the addresses that a gateway listens on.
type GatewayListen struct {
	Callers string `yaml:"callers"`
	// Ready serves readiness, health and metrics.
	Ready string `yaml:"ready"`
	// Metrics serves health and metrics on a separate address; it may be empty.
	Metrics string `yaml:"metrics"`
	// Datagrams receives datagrams from keepers and other gateways.
	Datagrams string `yaml:"datagrams"`
}

// Keeper holds the settings of a keeper on the users' platform.
type Keeper struct {
	Role          string       `yaml:"role"`
	ID            string       `yaml:"id"`
	FailureDomain string       `yaml:"failure_domain"`
	Listen        KeeperListen `yaml:"listen"`
	// Endpoint is the engine on the keeper's host.
	Endpoint  KeeperEndpoint `yaml:"endpoint"`
	Store     Store          `yaml:"store"`
	Resources ResourceLimits `yaml:"resources"`
	LogLevel  string         `yaml:"log_level"`
}

// KeeperListen holds the addresses that a keeper listens on.
type KeeperListen struct {
	// Metrics serves health and metrics; it may be empty.
	Metrics   string `yaml:"metrics"`
	Datagrams string `yaml:"datagrams"`
}

// KeeperEndpoint identifies the engine of a keeper by its service and address.
type KeeperEndpoint struct {
	Service string `yaml:"service"`
	Address string `yaml:"address"`
}

// Store holds the settings for the platform's metadata store.
type Store struct {
	Address string `yaml:"address"`
	// Timeout bounds a call, not counting the time that it asks the store to wait.
	Timeout time.Duration `yaml:"timeout"`
	// ConfigWait is how long a read of the configuration waits for a change (long polling).
	ConfigWait time.Duration `yaml:"config_wait"`
	// EndpointPoll is the pause between reads of the endpoints.
	EndpointPoll time.Duration `yaml:"endpoint_poll"`
	// LeaseTerm is the term of the planner lease.
	LeaseTerm time.Duration `yaml:"lease_term"`
}

// Retries is the retry budget: in a window, the attempts beyond the first of each request,
// over all gateways, stay below Ratio times the requests plus Slack.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
	// FirstStart says that the whole system starts for the first time, so that no gateway has
	// spent anything of the budget.
	FirstStart bool `yaml:"first_start"`
}

// ModelLoadLimit bounds the loads from the weight store in addition to the rate that the operators set.
type ModelLoadLimit struct {
	// Window is the time over which the platform counts loads.
	Window time.Duration `yaml:"window"`
}

// Revocation holds the bound on the use of keys that a configuration removed.
type Revocation struct {
	// Strict makes the bound hold for all gateways, also those that are frozen or cut off.
	Strict bool `yaml:"strict"`
	// Bound is the time after the store's acknowledgement from which no request may run whose
	// caller sends it with a removed key.
	Bound time.Duration `yaml:"bound"`
}

// Shutdown holds the times of a gateway's shutdown.
type Shutdown struct {
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration `yaml:"grace"`
	// DrainDelay is how long the gateway still accepts connections after it fails readiness.
	DrainDelay time.Duration `yaml:"unready"`
}

// ResourceLimits holds the resources that the host grants the process.
type ResourceLimits struct {
	MemoryMB int64 `yaml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 leaves it to the
	// limit that the system sets, which also holds beside it.
	MaxDescriptors int `yaml:"max_descriptors"`
}

// minRevocationBound is the shortest bound that a gateway can keep without refusing requests: a
// planner's read of the configuration lasts up to 2.2 s and its announcement 0.6 s more.
const minRevocationBound = 3 * time.Second

func newGateway() Settings {
	return &Gateway{
		Role: "gateway",
		// The store answers within a few milliseconds; a slow one takes 60 times as long.
		Store:          defaultStore(),
		ModelLoadLimit: ModelLoadLimit{Window: 5 * time.Second},
		// The bound is that of the platform's contract.
		Revocation: Revocation{Bound: 5 * time.Second},
		// The load balancer notices after two health checks, one second apart.
		Shutdown: Shutdown{GracePeriod: 8 * time.Second, DrainDelay: 2500 * time.Millisecond},
		Clients:  DefaultClientLimits(),
	}
}

func newKeeper() Settings { return &Keeper{Role: "keeper", Store: defaultStore()} }

func defaultStore() Store {
	return Store{
		Timeout: 700 * time.Millisecond, ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, LeaseTerm: 4 * time.Second,
	}
}

// optionalListen checks an address to listen on that may be empty.
func (c *checks) optionalListen(field, value string) {
	if value != "" {
		c.listen(field, value)
	}
}

func (c *checks) store(s Store) {
	c.listen("store.address", s.Address)
	c.positive("store.timeout", s.Timeout)
	c.positive("store.config_wait", s.ConfigWait)
	c.positive("store.endpoint_poll", s.EndpointPoll)
	c.positive("store.lease_term", s.LeaseTerm)
}

func (c *checks) resources(r ResourceLimits) {
	c.add(r.MemoryMB <= 0, "resources.memory_mb", "the value is not above zero", "write the memory limit of the process in megabytes")
	c.add(r.MaxDescriptors < 0, "resources.max_descriptors", "the value is below zero", "write the number of descriptors of the process, or omit the field")
}

func (s *Gateway) problems() []problem {
	var c checks
	c.node(s.ID, s.FailureDomain)
	c.listen("listen.callers", s.Listen.Callers)
	c.listen("listen.ready", s.Listen.Ready)
	c.listen("listen.datagrams", s.Listen.Datagrams)
	c.optionalListen("listen.metrics", s.Listen.Metrics)
	c.add(s.KeeperPort <= 0 || s.KeeperPort > 65535, "keeper_port", fmt.Sprintf("value %d is not a port", s.KeeperPort), "write a port from 1 to 65535")
	c.store(s.Store)
	c.add(s.Retries.Ratio < 0 || s.Retries.Slack < 0, "retries", "a value is below zero", "write the ratio and slack of the platform's retry budget")
	c.positive("retries.window", s.Retries.Window)
	c.positive("loads.window", s.ModelLoadLimit.Window)
	c.add(s.Revocation.Strict && s.Revocation.Bound < minRevocationBound, "revocation.bound",
		fmt.Sprintf("value %s is below %s, in which proofs can't arrive", s.Revocation.Bound, minRevocationBound), "write a longer duration")
	c.positive("leave.grace", s.Shutdown.GracePeriod)
	c.add(s.Shutdown.DrainDelay < 0 || s.Shutdown.DrainDelay >= s.Shutdown.GracePeriod, "leave.unready",
		fmt.Sprintf("value %s is not between zero and the grace period %s", s.Shutdown.DrainDelay, s.Shutdown.GracePeriod), "write a shorter duration")
	c.resources(s.Resources)
	c.clients(s.Clients)
	return c
}

func (s *Gateway) addresses() []address {
	return []address{{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.datagrams", s.Listen.Datagrams}}
}

func (s *Keeper) problems() []problem {
	var c checks
	c.node(s.ID, s.FailureDomain)
	c.listen("listen.datagrams", s.Listen.Datagrams)
	c.optionalListen("listen.metrics", s.Listen.Metrics)
	c.add(s.Endpoint.Service == "", "endpoint.service", "the service is missing", "name the service of the engine on this host")
	c.listen("endpoint.address", s.Endpoint.Address)
	c.store(s.Store)
	c.resources(s.Resources)
	return c
}

func (s *Keeper) addresses() []address { return []address{{"listen.datagrams", s.Listen.Datagrams}} }
