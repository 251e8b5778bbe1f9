package plat

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"chervilhead/internal/state/fault"
)

// RateLimits bounds the calls a second that one process makes of each service; 0 takes the
// default. A process that loops must not take the platform's several hundred writes and
// two thousand reads a second from all others.
type RateLimits struct {
	TableReads  float64 `yaml:"table_reads"`
	TableWrites float64 `yaml:"table_writes"`
	Objects     float64 `yaml:"objects"`
	Hosts       float64 `yaml:"hosts"`
}

// DefaultRateLimits is about a quarter of what the table service takes a second, far above
// what a process needs in the capacity page.
func DefaultRateLimits() RateLimits {
	return RateLimits{TableReads: 500, TableWrites: 200, Objects: 100, Hosts: 20}
}

// limits holds the calls that a process may make now, with a burst of one second.
type limits struct{ reads, writes, objects, hosts *rate.Limiter }

func newLimits(b RateLimits) *limits {
	d := DefaultRateLimits()
	per := func(v, other float64) *rate.Limiter {
		v = cmp.Or(v, other)
		return rate.NewLimiter(rate.Limit(v), max(int(v), 1))
	}
	return &limits{
		reads: per(b.TableReads, d.TableReads), writes: per(b.TableWrites, d.TableWrites),
		objects: per(b.Objects, d.Objects), hosts: per(b.Hosts, d.Hosts),
	}
}

// wait returns once a call fits the budget, or an outage when it won't within ctx.
func (l *limits) wait(ctx context.Context, service, method string) error {
	of := l.hosts
	switch {
	case service == "table" && method == http.MethodGet:
		of = l.reads
	case service == "table":
		of = l.writes
	case service == "object":
		of = l.objects
	}
	if err := of.Wait(ctx); err != nil {
		return fault.Outage(service, fmt.Errorf("budget of %v calls a second is spent: %w", of.Limit(), err))
	}
	return nil
}
