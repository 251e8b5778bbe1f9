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

// LimitPolicy is how a limit is shared by entries.
type LimitPolicy string

const (
	// LimitLeased leases parts that follow demand.
	LimitLeased LimitPolicy = "leased parts"
	// LimitFixedSplit divides a limit equally over the two entries of the settings.
	LimitFixedSplit LimitPolicy = "fixed equal split"
	// LimitLiveSplit divides a limit equally over the entries that live, which all know at once.
	LimitLiveSplit LimitPolicy = "equal split over live entries"
)

// LimitPhase is a part of a run with one behaviour of the balancer.
type LimitPhase struct {
	Name     string
	Duration time.Duration
	// TrafficShares is the part of the requests that each entry gets; an entry without any is not there.
	TrafficShares []float64
}

// LimitPhases returns the phases of a run: after the balancer's skew is settled, an
// entry joins and then the one with the most requests dies.
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

// LimitResult is what was used of a limit in one phase.
type LimitResult struct {
	Phase string
	// Utilization is the part of the limit that was used in the mean, Most the largest count as a part of the limit.
	Utilization, PeakUtilization float64
}

const (
	limitValue = 100.0
	// limitOffered is the demand as a part of the limit.
	limitOffered = 1.2
	limitHold    = time.Second
	limitStep    = time.Second / 120
	limitTerm    = 30 * time.Second
	limitMargin  = 2 * time.Second
	// An entry renews after a second when it refused a request, else after the idle time.
	limitEarly = time.Second
	limitIdle  = 7500 * time.Millisecond
)

// limitRun is a run in virtual time with the product's own holders and divider.
type limitRun struct {
	policy     LimitPolicy
	concurrent bool
	now        time.Time
	st         *pltsim.Table
	table      table.Table
	divider    *quota.Allocator
	entries    []*limitEntry
	log        *logrus.Entry
}

type limitEntry struct {
	holder  *quota.Limiter
	renewed time.Time
	refused bool
	live    bool
	tokens  bucket.Bucket
	// ends are the times at which what runs ends; tickets belong to them.
	ends    []time.Time
	tickets []*quota.Admission
}

// RunLimit measures a limit on concurrent requests or on requests a second.
func RunLimit(p LimitPolicy, concurrent bool) []LimitResult {
	l := logrus.New()
	l.SetOutput(io.Discard)
	r := &limitRun{policy: p, concurrent: concurrent, now: time.Unix(0, 0), st: pltsim.NewTable(&pltsim.Faults{}), log: l.WithField("trial", "limits")}
	g := table.Group{Name: "g", Weight: 1}
	if concurrent {
		g.MaxConcurrent = int(limitValue)
	} else {
		g.MaxRequestsPerSecond = limitValue
	}
	r.table = table.New(1, []table.Group{g}, nil, nil, nil)
	clock := func() time.Time { return r.now }
	r.divider = quota.NewAllocator(r.st, r.log).WithClock(clock)
	for i := range 3 {
		h := quota.New(r.st, quota.Settings{Holder: fmt.Sprintf("entry-%d", i), Term: limitTerm, Margin: limitMargin, Now: clock}, r.log)
		h.SetTable(r.table)
		r.entries = append(r.entries, &limitEntry{holder: h})
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
			e.ends, e.tickets = nil, nil // what a dead entry ran ends with it
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
			for owed[i] += ph.TrafficShares[i] * limitOffered * limitValue * limitStep.Seconds(); owed[i] >= 1; owed[i]-- {
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
		if r.now.Sub(end.Add(-ph.Duration)) >= limitHold { // the first second fills up
			sum += count / limitValue
			steps++
		}
	}
	res.Utilization = sum / float64(steps)
	return res
}

// control lets entries renew and the divider divide.
func (r *limitRun) control() {
	ctx := context.Background()
	for _, e := range r.entries {
		wait := limitIdle
		if e.refused {
			wait = limitEarly
		}
		if e.live && r.now.Sub(e.renewed) >= wait {
			_ = e.holder.Refresh(ctx) // a conflict is repaired by the next renewal
			e.renewed, e.refused = r.now, false
		}
	}
	if r.now.UnixNano()%int64(time.Second) < int64(limitStep) {
		_ = r.divider.Step(ctx, r.table)
	}
}

func (r *limitRun) admit(e *limitEntry, i, live int) bool {
	var ok bool
	var ticket *quota.Admission
	if r.policy == LimitLeased {
		t, err := e.holder.Admit("g", 0)
		ok, ticket = err == nil, t
	} else {
		ok = r.admitEqual(e, i, live)
	}
	if !ok {
		e.refused = true
		return false
	}
	e.ends, e.tickets = append(e.ends, r.now.Add(limitHold)), append(e.tickets, ticket)
	return true
}

func (r *limitRun) admitEqual(e *limitEntry, i, live int) bool {
	part := limitValue / float64(live)
	if r.policy == LimitFixedSplit {
		part = limitValue / 2
		if i >= 2 {
			part = 0 // the settings know two entries
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
		if e.tickets[0] != nil {
			e.tickets[0].Done(0)
		}
		e.ends, e.tickets = e.ends[1:], e.tickets[1:]
	}
}
