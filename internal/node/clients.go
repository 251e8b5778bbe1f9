package node

import (
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/state/intake"
	"chervilhead/internal/transport/guard"
)

const (
	// defaultMemoryMB is the memory of a process whose settings name none.
	defaultMemoryMB = 512
	// reservedDescriptors are kept by the platform for files, and ownDescriptors by the process for
	// its listeners, the store and other processes.
	reservedDescriptors = 200
	ownDescriptors      = 128
	// clientShare is the part of the other descriptors for clients. Each request may hold one more
	// for its endpoint, and idleShare is the part for idle connections to endpoints.
	clientShare = 0.4
	idleShare   = 0.2
	// minConnections is the number of clients that are served with any limit.
	minConnections = 16
	// probeConnections and probeBytes bound the clients of the addresses for health checks and
	// metrics, which a few probes ask once a second.
	probeConnections = 32
	probeBytes       = 6 << 20
	// clientRetryAfter is the Retry-After of a client that is refused for want of memory; what
	// stalled clients hold is free by then.
	clientRetryAfter = 300 * time.Millisecond
)

// clientGuards makes the guards of a process from its settings.
type clientGuards struct {
	limits      config.ClientLimits
	memory      int64
	descriptors int
	metrics     *guard.Metrics
	log         *logrus.Entry
}

func newClientGuards(limits config.ClientLimits, res config.ResourceLimits, reg prometheus.Registerer, log *logrus.Entry) clientGuards {
	g := clientGuards{limits: limits.OrDefault(), memory: res.MemoryMB << 20, descriptors: maxDescriptors(res.MaxDescriptors), metrics: guard.NewMetrics(reg), log: log}
	if g.memory == 0 {
		g.memory = defaultMemoryMB << 20
	}
	return g
}

// maxDescriptors returns the lower one of a setting, unless it is 0, and the system's limit.
func maxDescriptors(setting int) int {
	n := setting
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && (n == 0 || r.Cur < uint64(n)) {
		const most = 1 << 20
		n = int(min(r.Cur, most))
	}
	return n
}

// free returns the descriptors that clients and endpoints share.
func (g clientGuards) free() int {
	return max(0, g.descriptors-reservedDescriptors-ownDescriptors)
}

// maxIdleConns returns how many idle connections to endpoints are kept in all.
func (g clientGuards) maxIdleConns() int {
	return max(minConnections, int(idleShare*float64(g.free())))
}

// callers returns the guard of the address for callers.
func (g clientGuards) callers(writeTimeout time.Duration) *guard.Guard {
	n := g.limits.MaxConnections
	if n == 0 {
		n = max(minConnections, int(clientShare*float64(g.free())))
	}
	return g.new("callers", g.limits.Bytes(g.memory), n, writeTimeout)
}

// probeWriteTimeout bounds the time in which a client takes a piece of an answer of a probe address.
const probeWriteTimeout = 10 * time.Second

// probes returns the guard of an address for health checks or metrics.
func (g clientGuards) probes(name string) *guard.Guard {
	return g.new(name, probeBytes, probeConnections, probeWriteTimeout)
}

// operators returns the guard of the operators' address. Their imports are long and decoded as a
// whole, so that they get half as much as callers.
func (g clientGuards) operators() *guard.Guard {
	const divisor = 2
	return g.new("admin", g.limits.Bytes(g.memory)/divisor, probeConnections, probeWriteTimeout)
}

func (g clientGuards) new(name string, bytes int64, connections int, writeTimeout time.Duration) *guard.Guard {
	return guard.New(guard.Settings{
		Name: name, Limits: intake.DefaultLimits(bytes, connections, g.limits.MinRate, g.limits.StallTime),
		LingerTime: g.limits.LingerTime, RetryAfter: clientRetryAfter, WriteTimeout: writeTimeout,
	}, g.metrics, g.log)
}
