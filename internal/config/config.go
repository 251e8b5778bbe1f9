package config

import (
	"fmt"
	"net/netip"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/table"
)

// Entry holds the settings of an entry.
type Entry struct {
	Role          string        `yaml:"role"`
	ID            string        `yaml:"id"`
	FailureDomain string        `yaml:"failure_domain"`
	Listen        EntryListen   `yaml:"listen"`
	Platform      plat.Settings `yaml:"platform"`
	Timing        Timing        `yaml:"timing"`
	Limits        RequestLimits `yaml:"limits"`
	// Resources are those that the host grants the process, and Clients what callers may take of
	// them.
	Resources ResourceLimits `yaml:"resources"`
	Clients   ClientLimits   `yaml:"clients"`
	// MoveCost is the shortage or surplus of a model's replicas, as a fraction, that the planner
	// accepts before it moves models: the more a move is taken to cost, the more it accepts.
	// 0 takes the default.
	MoveCost float64 `yaml:"move_cost"`
	// LoadsPerSecond is the rate at which the weight store starts loads; 0 takes the default of 2.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// Seeds are addresses of a few other processes, asked for documents at startup while no
	// host list can be read.
	Seeds    []string `yaml:"seeds"`
	LogLevel string   `yaml:"log_level"`
}

// EntryListen holds the addresses that an entry listens on.
type EntryListen struct {
	Callers string `yaml:"callers"`
	// Admin serves the operators' API, health, readiness and metrics.
	Admin string `yaml:"admin"`
	Peers string `yaml:"peers"`
}

// Timing holds the intervals and delays of agents and entries.
type Timing struct {
	TablePoll time.Duration `yaml:"table_poll"`
	HostPoll  time.Duration `yaml:"host_poll"`
	LeaseTerm time.Duration `yaml:"lease_term"`
	// OrderDelay is the longest time that an order can take to reach an engine.
	OrderDelay time.Duration `yaml:"order_delay"`
	// DrainDelay is the time between failing readiness, or rejecting attempts, and closing the listeners.
	DrainDelay time.Duration `yaml:"drain_delay"`
}

// RequestLimits bounds the body of a request and the time until it starts.
type RequestLimits struct {
	MaxBodyBytes int64         `yaml:"max_body_bytes"`
	StartTimeout time.Duration `yaml:"start_timeout"`
	// BodyTimeout bounds the time that a caller takes to send a body, and WriteTimeout the time in
	// which it takes a piece of an answer; 0 takes the default.
	BodyTimeout  time.Duration `yaml:"body_timeout"`
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Role          string        `yaml:"role"`
	ID            string        `yaml:"id"`
	FailureDomain string        `yaml:"failure_domain"`
	Listen        AgentListen   `yaml:"listen"`
	Platform      plat.Settings `yaml:"platform"`
	Timing        Timing        `yaml:"timing"`
	Endpoint      Endpoint      `yaml:"endpoint"`
	// Seeds are addresses of a few other processes, asked for documents at startup while no
	// host list can be read.
	Seeds    []string `yaml:"seeds"`
	LogLevel string   `yaml:"log_level"`
}

// AgentListen holds the addresses that an agent listens on.
type AgentListen struct {
	Peers string `yaml:"peers"`
	// HTTP serves health, readiness and metrics.
	HTTP string `yaml:"http"`
}

// Endpoint describes the endpoint of an agent: a model engine or a plain service.
type Endpoint struct {
	URL string `yaml:"url"`
	// Service names a plain service; it is empty for a model engine.
	Service string `yaml:"service"`
	// Slots is the number of attempts that run concurrently.
	Slots int `yaml:"slots"`
	// KeptSlots is the most slots that stay free for groups below their fair share while
	// another group floods the endpoint. Higher values shorten the waits of those groups at
	// the cost of throughput; nil takes the default of a sixteenth of the slots.
	KeptSlots *int `yaml:"kept_slots"`
	// ExtraSlots is the number of attempts that the engine batches beyond Slots; only groups
	// below their fair share use them.
	ExtraSlots int `yaml:"extra_slots"`
	// QueueBound is the most attempts that wait for the endpoint, over all groups.
	QueueBound int `yaml:"queue_bound"`
	// ChecksFencingToken says that the engine rejects orders with an old fencing token.
	ChecksFencingToken bool `yaml:"checks_fence"`
}

// KeptSlotsOrDefault returns the value of kept_slots or its default.
func (e Endpoint) KeptSlotsOrDefault() int {
	if e.KeptSlots != nil {
		return *e.KeptSlots
	}
	const defaultDivisor = 16 // gives up at most 1/16 of the slot time during a flood
	return e.Slots / defaultDivisor
}

// Engine holds the settings of a stand-in model engine.
type Engine struct {
	Role    string          `yaml:"role"`
	Listen  string          `yaml:"listen"`
	Weights string          `yaml:"weights"`
	Engine  engsim.Settings `yaml:"engine"`
}

// Service holds the settings of a stand-in plain service.
type Service struct {
	Role   string        `yaml:"role"`
	Listen string        `yaml:"listen"`
	Delay  time.Duration `yaml:"delay"`
}

// Platform holds the settings of the stand-in platform.
type Platform struct {
	Role           string        `yaml:"role"`
	Listen         string        `yaml:"listen"`
	HostLag        time.Duration `yaml:"host_lag"`
	LoadsPerSecond float64       `yaml:"loads_per_second"`
	LoadsAtOnce    int           `yaml:"loads_at_once"`
	Hosts          []store.Host  `yaml:"hosts"`
	Table          Table         `yaml:"table"`
	// Faults schedules the faults of the platform's services.
	Faults []pltsim.Schedule `yaml:"faults"`
}

// Table holds the rows that an empty table service is filled with at the start.
type Table struct {
	Groups   []table.Group   `yaml:"groups"`
	Models   []table.Model   `yaml:"models"`
	Services []table.Service `yaml:"services"`
	Keys     []table.Key     `yaml:"keys"`
}

// Demo holds the settings of the demo.
type Demo struct {
	Role string `yaml:"role"`
	// Listen is the first entry's address for callers; the second entry takes the next port.
	Listen string `yaml:"listen"`
	// Admin is the operators' address.
	Admin         string        `yaml:"admin"`
	TokenInterval time.Duration `yaml:"token_interval"`
	// CrashOn is a text that makes a stand-in engine crash and restart when a prompt contains it.
	CrashOn string `yaml:"crash_on"`
}

// DefaultDemo returns the default settings of the demo.
func DefaultDemo() *Demo {
	return &Demo{Role: "demo", Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8090", TokenInterval: 20 * time.Millisecond}
}

// NextPort returns an address with the next port; port 0 stays 0.
func NextPort(addr string) (string, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", fmt.Errorf("address %q is not an IP address and port: %w", addr, err)
	}
	if ap.Port() == 0 {
		return addr, nil
	}
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+1).String(), nil
}

// DefaultTiming returns the timing used where the settings give none.
func DefaultTiming() Timing {
	return Timing{
		TablePoll: 10 * time.Second, HostPoll: time.Second, LeaseTerm: 10 * time.Second,
		OrderDelay: 2 * time.Second, DrainDelay: time.Second,
	}
}

// DefaultRequestLimits returns the limits used where the settings give none.
func DefaultRequestLimits() RequestLimits {
	return RequestLimits{MaxBodyBytes: 1 << 20, StartTimeout: 30 * time.Second, BodyTimeout: 2 * time.Minute, WriteTimeout: time.Minute}
}
