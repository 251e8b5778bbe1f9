package trial

import (
	"fmt"
	"io"
	"time"

	"chervilhead/internal/state/plan"
)

// Recovery describes how a fleet recovers from the loss of failure domains.
type Recovery struct {
	// UnreachableModels is the largest number of models and adapters without a resident replica
	// during the loss, apart from those that fit on no endpoint.
	UnreachableModels int
	// TimeToReachable is the time until every model has a replica, TimeToAllCopies the time
	// until all replicas of the plan are resident for the first time.
	TimeToReachable, TimeToAllCopies time.Duration
	// PeakLoads is the largest number of transfers queued or active at the weight store.
	PeakLoads    int
	MetObjective int
}

// recoverySampleInterval is how often the state of a recovery is sampled.
const recoverySampleInterval = tickInterval

// DomainLoss is a fleet and the number of failure domains that it loses.
type DomainLoss struct {
	FleetSpec
	LostDomains int
}

// DomainLosses returns the losses that are compared: of one failure domain and of a
// region of the target, and of fleets whose memory holds little more than one replica of each model.
func DomainLosses() []DomainLoss {
	target := TargetFleet()
	target.Horizon = domainLossEnd
	tight := FleetSpec{Name: "120 engines, 480 models", Engines: 120, Models: 480, FailureDomains: 12, LoadsAtOnce: 11, Horizon: domainLossEnd}
	wide := tight
	wide.Name, wide.Engines = "240 engines, 480 models", 240
	return []DomainLoss{{target, 1}, {target, 4}, {tight, 1}, {wide, 4}}
}

// RunRecovery simulates a loss of failure domains under planner settings.
func RunRecovery(s DomainLoss, set plan.Settings) Recovery {
	l := Workload{factor: steady, losesDomain: true, lostDomains: s.LostDomains}
	t := s.table(1)
	p := &product{rates: l.rates(s.FleetSpec, t)(0), settings: set}
	f := newFleet(s.FleetSpec, t, p)
	p.begin(f)
	f.scheduleFaults(l)
	f.scheduleTicks()
	var out Recovery
	var sample func()
	restored := false
	sample = func() {
		sinceLoss := f.now - domainLossStart
		unreachable, missing := f.missingCopies(p)
		out.UnreachableModels = max(out.UnreachableModels, unreachable)
		if unreachable > 0 {
			out.TimeToReachable = sinceLoss
		}
		if missing > 0 && !restored {
			out.TimeToAllCopies = sinceLoss
		}
		restored = restored || missing == 0 && out.TimeToAllCopies > 0
		if f.now < domainLossEnd-recoverySampleInterval {
			f.after(recoverySampleInterval, sample)
		}
	}
	f.after(domainLossStart, func() { f.store.peak = 0; sample() })
	r := f.run(l.arrivals(s.FleetSpec, t))
	out.PeakLoads, out.MetObjective = f.store.peak, r.MetObjective
	return out
}

// missingCopies counts the models without a resident replica, apart from those that fit on
// no endpoint, and the replicas of the plan that are not resident.
func (f *fleet) missingCopies(s *product) (unreachable, missing int) {
	resident := map[string]bool{}
	for _, e := range f.endpoints {
		if !e.up {
			continue
		}
		for m := range e.ready {
			resident[m] = true
		}
		for _, m := range e.placement.Models {
			if !e.has(m) {
				missing++
			}
		}
	}
	for _, m := range f.table.Models {
		if !resident[m.Name] && s.newest.UnplacedReasons[m.Name] != plan.ReasonTooLarge {
			unreachable++
		}
	}
	return unreachable, missing
}

// PrintRecovery compares the recovery with and without the plan's order of loads, as a Markdown table.
func PrintRecovery(w io.Writer, losses ...DomainLoss) error {
	if _, err := fmt.Fprint(w, "\n| fleet | domains lost | loads | unreachable at first | all reachable after | copies back after | peak of loads at once | kept |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, s := range losses {
		for _, m := range []struct {
			name string
			off  plan.Rule
		}{{"each agent by itself", plan.OrderLoads}, {"in the plan's order", 0}} {
			set := plan.DefaultSettings()
			set.DisabledRules = m.off
			r := RunRecovery(s, set)
			if _, err := fmt.Fprintf(w, "| %s | %d | %s | %d | %s | %s | %d | %d |\n", s.Name, s.LostDomains, m.name, r.UnreachableModels, r.TimeToReachable, r.TimeToAllCopies, r.PeakLoads, r.MetObjective); err != nil {
				return err
			}
		}
	}
	return nil
}
