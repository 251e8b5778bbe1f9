package route

import (
	"slices"
	"time"
)

// Candidate is an endpoint that could run an attempt.
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
	// InFlight is the entry's own attempts sent there since the report.
	InFlight int
	Leaving  bool
	// PromptTokens is the length of the request's prompt, and CachedTokens the part of
	// it that the endpoint probably holds in its prefix cache.
	PromptTokens, CachedTokens int
	// PrefillPerToken is the time that the endpoint takes to compute a token of a prompt.
	PrefillPerToken time.Duration
	// NeedsPermit is set when the endpoint has to ask a home before it may run the request.
	NeedsPermit bool
	// Tried is set when an earlier attempt of the request ran there.
	Tried bool
	// DomainTried is set when an earlier attempt ran in the same failure domain.
	DomainTried bool
	// Local is set when the endpoint is in the entry's failure domain.
	Local bool
}

// The terms of a score, in seconds of expected delay.
const (
	notResidentCost = 5.0
	// permitCost is a round trip to another agent.
	permitCost      = 0.004
	unknownCost     = 0.5
	triedCost       = 10.0
	domainTriedCost = 2.0
	// remoteCost only breaks ties: a failure domain is about a millisecond away.
	remoteCost = 0.002
)

// Score is the expected delay of a candidate in seconds; lower is better.
func Score(c Candidate) float64 {
	s := c.Wait.Seconds()
	slots := max(c.Slots, 1)
	s += 0.05 * float64(c.Running+c.InFlight) / float64(slots)
	s += (time.Duration(max(c.PromptTokens-c.CachedTokens, 0)) * c.PrefillPerToken).Seconds()
	switch {
	case !c.LoadKnown:
		s += unknownCost
	case !c.Resident:
		s += notResidentCost
	}
	if c.Tried {
		s += triedCost
	}
	if c.DomainTried {
		s += domainTriedCost
	}
	if c.NeedsPermit {
		s += permitCost
	}
	if !c.Local {
		s += remoteCost
	}
	return s
}

// Choose returns the index of the candidate with the least score, or -1 when none may take new work.
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

// The reasons of a choice.
const (
	ReasonOnly      = "only candidate"
	ReasonDelay     = "least expected delay"
	ReasonAffinity  = "prefix affinity"
	ReasonHomesBusy = "homes busy"
)

// Reason names what decided a choice: prefix affinity, if another candidate would have
// been chosen without it.
func Reason(cs []Candidate, i int) string {
	if len(cs) == 1 {
		return ReasonOnly
	}
	if cs[i].NeedsPermit {
		return ReasonHomesBusy
	}
	plain := slices.Clone(cs)
	for k := range plain {
		plain[k].CachedTokens = 0
	}
	if Choose(plain) != i {
		return ReasonAffinity
	}
	return ReasonDelay
}
