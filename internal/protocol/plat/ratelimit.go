package plat

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"chervilhead/internal/state/fault"
)

// RateLimits limits the calls per second that one process makes to each service; 0 stands
// for the default. A process in a loop must not use up the several hundred writes and two
// thousand reads per second that the table service serves to all processes.
type RateLimits struct {
	TableReads  float64 `yaml:"table_reads"`
	TableWrites float64 `yaml:"table_writes"`
	Objects     float64 `yaml:"objects"`
	Hosts       float64 `yaml:"hosts"`
}

// DefaultRateLimits returns limits of about a quarter of the table service's capacity, far
// above what the capacity page says that a process needs.
func DefaultRateLimits() RateLimits {
	return RateLimits{TableReads: 500, TableWrites: 200, Objects: 100, Hosts: 20}
}

// limits holds the rate limiters, each with a burst of one second's calls.
type limits struct{ reads, writes, objects, hosts *rate.Limiter }

func newLimits(cfg RateLimits) *limits {
	d := DefaultRateLimits()
	newLimiter := func(limit, def float64) *rate.Limiter {
		limit = cmp.Or(limit, def)
		return rate.NewLimiter(rate.Limit(limit), max(int(limit), 1))
	}
	return &limits{
		reads: newLimiter(cfg.TableReads, d.TableReads), writes: newLimiter(cfg.TableWrites, d.TableWrites),
		objects: newLimiter(cfg.Objects, d.Objects), hosts: newLimiter(cfg.Hosts, d.Hosts),
	}
}

// wait blocks until the rate limit allows a call, or returns an outage error if it does not
// within ctx.
func (l *limits) wait(ctx context.Context, service, method string) error {
	limiter := l.hosts
	switch {
	case service == "table" && method == http.MethodGet:
		limiter = l.reads
	case service == "table":
		limiter = l.writes
	case service == "object":
		limiter = l.objects
	}
	if err := limiter.Wait(ctx); err != nil {
		return fault.Outage(service, fmt.Errorf("rate limit of %v calls per second exceeded: %w", limiter.Limit(), err))
	}
	return nil
}
