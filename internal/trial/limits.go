package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/quota"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/table"
)

// LimitPolicy is how a limit is divided among entries.
type LimitPolicy string

const (
	// LimitLeased leases to each entry a part that follows its demand.
	LimitLeased LimitPolicy = "leased parts"
	// LimitFixedSplit divides a limit equally among the two configured entries.
	LimitFixedSplit LimitPolicy = "fixed equal split"
	// LimitLiveSplit divides a limit equally among the live entries, of which all entries know without delay.
	LimitLiveSplit LimitPolicy = "equal split over live entries"
)

// LimitPhase is a part of a run during which the load balancer splits traffic in one way.
type LimitPhase struct {
	Name     string
	Duration time.Duration
	// TrafficShares is the fraction of the requests that each entry gets; an entry with none is not running.
	TrafficShares []float64
}

// LimitPhases returns the phases of a run: once the parts have adapted to a skewed load
// balancer, an entry joins, and then the entry with the most requests dies.
func LimitPhases() []LimitPhase {
	return []LimitPhase{
		{"first 15 s", 15 * time.Second, []float64{0.9, 0.1, 0}},
		{"90/10 over two entries", 45 * time.Second, []float64{0.9, 0.1, 0}},
		{"an entry joins (60/10/30), first 5 s", 5 * time.Second, []float64{0.6, 0.1, 0.3}},
		{"60/10/30", 55 * time.Second, []float64{0.6, 0.1, 0.3}},
		{"the first entry dies (0/25/75), first 32 s", 32 * time.Second, []float64{0, 0.25, 0.75}},
		{"25/75", 28 * time.Second, []float64{0, 0.25, 0.75}},
	}
}

// LimitResult is the utilization of a limit in one phase.
type LimitResult struct {
	Phase string
	// Utilization is the mean use after the first second, PeakUtilization the largest use, as fractions of the limit.
	Utilization, PeakUtilization float64
}

const (
	limitValue = 100.0
	// limitOfferedRatio is the offered load as a fraction of the limit.
	limitOfferedRatio    = 1.2
	limitRequestDuration = time.Second
	limitStep            = time.Second / 120
	limitLeaseTerm       = 30 * time.Second
	limitLeaseMargin     = 2 * time.Second
	// An entry renews after limitEarlyRenewal if it rejected a request, else after limitIdleRenewal.
	limitEarlyRenewal = time.Second
	limitIdleRenewal  = 7500 * time.Millisecond
)

// limitRun is a run in virtual time with the product's own limiters and allocator.
type limitRun struct {
	policy     LimitPolicy
	concurrent bool
	now        time.Time
	store      *pltsim.Table
	table      table.Table
	allocator  *quota.Allocator
	entries    []*limitEntry
	log        *logrus.Entry
}

type limitEntry struct {
	limiter  *quota.Limiter
	renewed  time.Time
	rejected bool
	live     bool
	tokens   bucket.Bucket
	// ends are the times at which the running requests end; admissions are theirs.
	ends       []time.Time
	admissions []*quota.Admission
}

// RunLimit simulates a limit on concurrent requests or, if concurrent is false, on requests per second.
func RunLimit(p LimitPolicy, concurrent bool) []LimitResult {
	l := logrus.New()
	l.SetOutput(io.Discard)
	r := &limitRun{policy: p, concurrent: concurrent, now: time.Unix(0, 0), store: pltsim.NewTable(&pltsim.Faults{}), log: l.WithField("trial", "limits")}
	g := table.Group{Name: "g", Weight: 1}
	if concurrent {
		g.MaxConcurrent = int(limitValue)
	} else {
		g.MaxRequestsPerSecond = limitValue
	}
	r.table = table.New(1, []table.Group{g}, nil, nil, nil)
	clock := func() time.Time { return r.now }
	r.allocator = quota.NewAllocator(r.store, r.log).WithClock(clock)
	for i := range 3 {
		h := quota.New(r.store, quota.Settings{Holder: fmt.Sprintf("entry-%d", i), Term: limitLeaseTerm, Margin: limitLeaseMargin, Now: clock}, r.log)
		h.SetTable(r.table)
		r.entries = append(r.entries, &limitEntry{limiter: h})
	}
	var out []LimitResult
	for _, ph := range LimitPhases() {
		out = append(out, r.phase(ph))
	}
	return out
}

func (r *limitRun) phase(ph LimitPhase) LimitResult {
	live := 0
	for i, e := range r.entries {
		e.live = ph.TrafficShares[i] > 0
		if e.live {
			live++
		} else {
			e.ends, e.admissions = nil, nil // the requests of a dead entry end with it
		}
	}
	res := LimitResult{Phase: ph.Name}
	sum, steps := 0.0, 0
	owed := make([]float64, len(r.entries))
	var admitted []time.Time
	for end := r.now.Add(ph.Duration); r.now.Before(end); r.now = r.now.Add(limitStep) {
		r.control()
		running := 0
		for i, e := range r.entries {
			e.finish(r.now)
			for owed[i] += ph.TrafficShares[i] * limitOfferedRatio * limitValue * limitStep.Seconds(); owed[i] >= 1; owed[i]-- {
				if r.admit(e, i, live) {
					admitted = append(admitted, r.now)
				}
			}
			running += len(e.ends)
		}
		admitted = slices.DeleteFunc(admitted, func(t time.Time) bool { return r.now.Sub(t) >= time.Second })
		count := float64(running)
		if !r.concurrent {
			count = float64(len(admitted))
		}
		res.PeakUtilization = max(res.PeakUtilization, count/limitValue)
		if r.now.Sub(end.Add(-ph.Duration)) >= limitRequestDuration { // in the first second the count is still rising
			sum += count / limitValue
			steps++
		}
	}
	res.Utilization = sum / float64(steps)
	return res
}

// control renews the leases of entries that are due and runs the allocator once a second.
func (r *limitRun) control() {
	ctx := context.Background()
	for _, e := range r.entries {
		wait := limitIdleRenewal
		if e.rejected {
			wait = limitEarlyRenewal
		}
		if e.live && r.now.Sub(e.renewed) >= wait {
			_ = e.limiter.Refresh(ctx) // the next renewal resolves a conflict
			e.renewed, e.rejected = r.now, false
		}
	}
	if r.now.UnixNano()%int64(time.Second) < int64(limitStep) {
		_ = r.allocator.Step(ctx, r.table)
	}
}

func (r *limitRun) admit(e *limitEntry, i, live int) bool {
	var ok bool
	var admission *quota.Admission
	if r.policy == LimitLeased {
		t, err := e.limiter.Admit("g", 0)
		ok, admission = err == nil, t
	} else {
		ok = r.admitBySplit(e, i, live)
	}
	if !ok {
		e.rejected = true
		return false
	}
	e.ends, e.admissions = append(e.ends, r.now.Add(limitRequestDuration)), append(e.admissions, admission)
	return true
}

func (r *limitRun) admitBySplit(e *limitEntry, i, live int) bool {
	part := limitValue / float64(live)
	if r.policy == LimitFixedSplit {
		part = limitValue / 2
		if i >= 2 {
			part = 0 // only two entries are configured
		}
	}
	if r.concurrent {
		return float64(len(e.ends)+1) <= part
	}
	next, _, ok := e.tokens.WithRate(r.now, part).Take(r.now, 1)
	e.tokens = next
	return ok
}

func (e *limitEntry) finish(now time.Time) {
	for len(e.ends) > 0 && !now.Before(e.ends[0]) {
		if e.admissions[0] != nil {
			e.admissions[0].Done(0)
		}
		e.ends, e.admissions = e.ends[1:], e.admissions[1:]
	}
}
