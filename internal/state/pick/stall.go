package pick

import (
	"math"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

// stallCost returns the cost of making the streams at an endpoint miss their gap objective. An
// engine prefills a chunk of a prompt between two steps of its running streams. If the prompts
// that arrive within one gap objective take about as long to prefill, all streams there are
// late, even if each prompt alone is read in time. sent counts the prompt tokens that this
// gateway has sent within the last gap objective; it doesn't see those of other gateways. A
// third power leaves an endpoint with little to prefill alone.
func stallCost(sent, prefillTokens int, gap, perToken time.Duration) time.Duration {
	if gap <= 0 {
		return 0
	}
	busy := float64(sent+prefillTokens) * float64(perToken) / float64(gap)
	return time.Duration(busy * busy * busy * float64(gap))
}

const (
	// affinityPerGateway is the cost by which the endpoints differ for one gateway, for each
	// gateway of the deployment.
	affinityPerGateway = 2500 * time.Microsecond
	// maxAffinity bounds that cost, so that a queue outweighs it.
	maxAffinity = 80 * time.Millisecond
	// domainAffinity is the part of the cost by which endpoints in other failure domains are less
	// preferred, so that a gateway's own endpoints are mostly near.
	domainAffinity = 0.25
)

// affinityCost returns a cost between 0 and a maximum that differs by gateway and endpoint. It
// gives each gateway endpoints of its own to prefer. Gateways don't see each other's requests,
// and a report is older than a prompt takes to prefill: the more gateways send to one
// endpoint, the less each knows of what it has to prefill now.
//
// An adapter and a prompt that is mostly shared have one home for all gateways instead: a
// second copy costs an order, or the prefill of the shared part.
func affinityCost(req Request, e fleet.Endpoint) time.Duration {
	if req.Gateway == "" || req.ModelName.Adapter != "" || 2*req.SharedTokens() > req.PromptTokens() {
		return 0
	}
	part := float64(poison.RendezvousWeight(req.Gateway, e.ID)) / math.MaxUint64
	if e.FailureDomain != req.FailureDomain {
		part += domainAffinity
	}
	return time.Duration(part * float64(min(maxAffinity, time.Duration(req.Gateways)*affinityPerGateway)))
}
