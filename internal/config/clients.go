package config

import (
	"fmt"
	"time"
)

// ClientLimits bound what clients who may not behave take of a process. A client that keeps to the
// operators' limits on requests meets none of them while the process has memory left.
type ClientLimits struct {
	// Clients may fill MemoryShare of the process's memory less OwnMemoryMB, which the process
	// itself needs, but a tenth of it in any case.
	MemoryShare float64 `yaml:"memory_share"`
	OwnMemoryMB int64   `yaml:"own_memory_mb"`
	// MaxConnections bounds the number of connections; 0 derives it from the process's descriptors.
	MaxConnections int `yaml:"max_connections"`
	// MinRate is the rate in bytes a second below which a transfer counts as stalled, over a span
	// of StallTime or longer. Stalled clients are shed while others need their memory.
	MinRate   int64         `yaml:"min_rate"`
	StallTime time.Duration `yaml:"stall_time"`
	// LingerTime is how long a client that was refused may go on sending before its connection is
	// closed.
	LingerTime time.Duration `yaml:"linger_time"`
}

// DefaultClientLimits returns the default limits.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{
		// The rest holds buffers of the kernel and what is garbage until it is collected.
		MemoryShare: 0.85,
		// The process and the decoding of a configuration of 6 MB.
		OwnMemoryMB: 64,
		// The longest body takes four minutes at this rate, far beyond any deadline.
		MinRate:   16 << 10,
		StallTime: time.Second,
		// As long as a client's link may take for a body of the operators' limit at 5 Mbit/s.
		LingerTime: 10 * time.Second,
	}
}

// OrDefault returns the limits, or the default ones if none is set.
func (l ClientLimits) OrDefault() ClientLimits {
	if l == (ClientLimits{}) {
		return DefaultClientLimits()
	}
	return l
}

func (c *checks) clients(l ClientLimits) {
	l = l.OrDefault()
	c.add(l.MemoryShare <= 0 || l.MemoryShare > maxMemoryShare, "clients.memory_share",
		fmt.Sprintf("value %g is not above zero and at most %g", l.MemoryShare, maxMemoryShare), "write a fraction such as 0.85")
	c.add(l.OwnMemoryMB < 0, "clients.own_memory_mb", "the value is below zero", "write a number of megabytes")
	c.add(l.MaxConnections < 0, "clients.max_connections", "the value is below zero", "write a number of connections, or omit the field")
	c.add(l.MinRate < 0, "clients.min_rate", "the value is below zero", "write a number of bytes a second")
	c.positive("clients.stall_time", l.StallTime)
	c.positive("clients.linger_time", l.LingerTime)
}

const (
	// maxMemoryShare leaves a tenth of the memory for what isn't counted.
	maxMemoryShare = 0.9
	// minMemoryShare is what clients may fill on a host with hardly more memory than the process
	// needs.
	minMemoryShare = 0.1
)

// Bytes returns what clients may fill of a process's memory, in bytes.
func (l ClientLimits) Bytes(memory int64) int64 {
	return int64(max(minMemoryShare*float64(memory), l.MemoryShare*float64(memory)-float64(l.OwnMemoryMB<<20)))
}
