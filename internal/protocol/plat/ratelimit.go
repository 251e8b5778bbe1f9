package plat

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

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
type limits struct{ reads, writes, objects, hosts *limiter }

// limiter hands out the turns of calls.
type limiter struct {
	*rate.Limiter
	mu sync.Mutex
}

// reserve returns a turn that comes within maxWait, or false.
func (l *limiter) reserve(maxWait time.Duration) (*rate.Reservation, bool) {
	// A cancelled turn is free again only if no other was handed out since.
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := l.Reserve()
	if turn.Delay() > maxWait {
		turn.Cancel()
		return nil, false
	}
	return turn, true
}

func newLimits(cfg RateLimits) *limits {
	d := DefaultRateLimits()
	newLimiter := func(limit, def float64) *limiter {
		limit = cmp.Or(limit, def)
		return &limiter{Limiter: rate.NewLimiter(rate.Limit(limit), max(int(limit), 1))}
	}
	return &limits{
		reads: newLimiter(cfg.TableReads, d.TableReads), writes: newLimiter(cfg.TableWrites, d.TableWrites),
		objects: newLimiter(cfg.Objects, d.Objects), hosts: newLimiter(cfg.Hosts, d.Hosts),
	}
}

// wait blocks until the rate limit allows a call, or returns an outage error at once if that
// would take longer than maxWait.
func (l *limits) wait(ctx context.Context, maxWait time.Duration, service, method string) error {
	chosen := l.hosts
	switch {
	case service == "table" && method == http.MethodGet:
		chosen = l.reads
	case service == "table":
		chosen = l.writes
	case service == "object":
		chosen = l.objects
	}
	turn, ok := chosen.reserve(maxWait)
	if !ok {
		return fault.Outage(service, fmt.Errorf("rate limit of %v calls per second exceeded", chosen.Limit()))
	}
	t := time.NewTimer(turn.Delay())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		turn.Cancel()
		return fault.Outage(service, fmt.Errorf("wait for the rate limit of %v calls per second: %w", chosen.Limit(), ctx.Err()))
	}
}
