package place

import (
	"slices"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/plan"
)

// logMoves logs each replica that a plan adds or removes, with the reason.
func (p *Planner) logMoves(next plan.Plan) {
	before, after := replicaCounts(p.last), replicaCounts(next)
	for _, e := range next.Endpoints {
		old, _ := p.last.Endpoint(e.ID)
		line := p.log.WithFields(logrus.Fields{"version": next.Version, "endpoint": e.ID, "failure_domain": e.FailureDomain})
		for _, m := range e.Models {
			if !slices.Contains(old.Models, m) {
				line.WithFields(logrus.Fields{"model": m, "copies": after[m], "reason": additionReason(before[m], after[m])}).Info("placement: copy added")
			}
		}
		for _, m := range old.Models {
			if !slices.Contains(e.Models, m) {
				line.WithFields(logrus.Fields{"model": m, "copies": after[m], "reason": removalReason(e, before[m], after[m])}).Info("placement: copy removed")
			}
		}
	}
}

// replicaCounts returns the number of replicas of each model in a plan.
func replicaCounts(p plan.Plan) map[string]int {
	out := map[string]int{}
	for _, e := range p.Endpoints {
		for _, m := range e.Models {
			out[m]++
		}
	}
	return out
}

func additionReason(before, after int) string {
	switch {
	case before == 0:
		return "the model had no copy"
	case after > before:
		return "more copies are needed"
	default:
		return "the copy replaces one on another endpoint"
	}
}

func removalReason(e plan.Endpoint, before, after int) string {
	switch {
	case e.Leaving:
		return "the endpoint is leaving"
	case after == 0:
		return "no demand, and the memory is needed"
	case after < before:
		return "fewer copies are needed, or the memory is needed"
	default:
		return "a copy on another endpoint replaces it"
	}
}
