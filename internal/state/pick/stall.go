package pick

import "time"

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
