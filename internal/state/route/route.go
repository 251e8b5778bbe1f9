package route

import (
	"slices"
	"time"
)

// Candidate is an endpoint that may run an attempt, with what the choice depends on.
type Candidate struct {
	Endpoint      string
	Address       string
	FailureDomain string
	// LoadKnown is set when Wait and Running come from a fresh load report.
	LoadKnown bool
	Resident  bool
	Running   int
	Slots     int
	Wait      time.Duration
	// InFlight is the number of attempts that the entry sent there since the load report.
	InFlight int
	Leaving  bool
	// PromptTokens is the length of the request's prompt, CachedTokens the estimate of how
	// many of them the endpoint holds in its prefix cache.
	PromptTokens, CachedTokens int
	// PrefillPerToken is the time that the endpoint takes to prefill one token.
	PrefillPerToken time.Duration
	// NeedsPermit is set when the endpoint needs the permit of a home to run the request.
	NeedsPermit bool
	// Tried is set when an earlier attempt of the request ran there.
	Tried bool
	// DomainTried is set when an earlier attempt ran in the same failure domain.
	DomainTried bool
	// Local is set when the endpoint is in the entry's failure domain.
	Local bool
}

// Terms that Score adds to the expected delay.
const (
	notResidentCostSeconds = 5.0
	// permitCostSeconds is a round trip to another agent.
	permitCostSeconds      = 0.004
	unknownLoadCostSeconds = 0.5
	triedCostSeconds       = 10.0
	triedDomainCostSeconds = 2.0
	// remoteCostSeconds only breaks ties: another failure domain is about 1 ms away.
	remoteCostSeconds = 0.002
)

// Score returns the expected delay of a candidate in seconds; lower is better.
func Score(c Candidate) float64 {
	s := c.Wait.Seconds()
	slots := max(c.Slots, 1)
	s += 0.05 * float64(c.Running+c.InFlight) / float64(slots)
	s += (time.Duration(max(c.PromptTokens-c.CachedTokens, 0)) * c.PrefillPerToken).Seconds()
	switch {
	case !c.LoadKnown:
		s += unknownLoadCostSeconds
	case !c.Resident:
		s += notResidentCostSeconds
	}
	if c.Tried {
		s += triedCostSeconds
	}
	if c.DomainTried {
		s += triedDomainCostSeconds
	}
	if c.NeedsPermit {
		s += permitCostSeconds
	}
	if !c.Local {
		s += remoteCostSeconds
	}
	return s
}

// Choose returns the index of the candidate with the lowest score, or -1 if all are leaving.
func Choose(cs []Candidate) int {
	best := -1
	for i, c := range cs {
		if c.Leaving {
			continue
		}
		if best < 0 || Score(c) < Score(cs[best]) {
			best = i
		}
	}
	return best
}

// Reasons for a choice.
const (
	ReasonOnly      = "only candidate"
	ReasonDelay     = "least expected delay"
	ReasonAffinity  = "prefix affinity"
	ReasonHomesBusy = "homes busy"
)

// Reason returns what decided the choice of candidate i; ReasonAffinity if another one would
// have been chosen without the prefix caches.
func Reason(cs []Candidate, i int) string {
	if len(cs) == 1 {
		return ReasonOnly
	}
	if cs[i].NeedsPermit {
		return ReasonHomesBusy
	}
	uncached := slices.Clone(cs)
	for k := range uncached {
		uncached[k].CachedTokens = 0
	}
	if Choose(uncached) != i {
		return ReasonAffinity
	}
	return ReasonDelay
}
